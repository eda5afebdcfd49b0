package cedarrudder.program;

import cedarrudder.program.ProxyHarness.Received;
import java.io.IOException;

/** How an endpoint of a test tells where the body of its response ends. */
enum ResponseFraming {
    LENGTH,
    CHUNKED,
    CLOSE;

    /** Sends the head of a successful response whose body has this length. */
    void sendHead(Received request, int length) throws IOException {
        String field =
                switch (this) {
                    case LENGTH -> "Content-Length: " + length;
                    case CHUNKED -> "Transfer-Encoding: chunked";
                    case CLOSE -> "Connection: close";
                };
        request.raw("HTTP/1.1 200 OK\r\n" + field + "\r\n\r\n");
    }

    /** Sends a part of the body. */
    void send(Received request, String part) throws IOException {
        if (this == CHUNKED) {
            request.chunk(part);
        } else {
            request.raw(part);
        }
    }

    /** Ends the body. */
    void end(Received request) throws IOException {
        if (this == CHUNKED) {
            request.raw("0\r\n\r\n");
        } else if (this == CLOSE) {
            request.socket().close();
        }
    }
}
