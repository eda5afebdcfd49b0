package cedarrudder.lab.emulator;

import cedarrudder.protocol.HttpDecoder;
import cedarrudder.protocol.MalformedMessageException;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;

/**
 * Runs the code of messages before the run begins: this avoids the first clients meeting it cold.
 */
final class ServerWarmup {

    private static final int TIMES = 5_000;
    private static final byte[] REQUEST =
            ("POST /api/messages HTTP/1.1\r\n"
                            + "Host: service.internal\r\n"
                            + "Req-Id: 0123456789abcdef\r\n"
                            + "Req-Kind: a\r\n"
                            + "Req-Deadline-Ms: 1000\r\n"
                            + "Content-Length: 4\r\n"
                            + "\r\n"
                            + "body")
                    .getBytes(StandardCharsets.ISO_8859_1);
    private static final byte[] ANSWER =
            "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody"
                    .getBytes(StandardCharsets.ISO_8859_1);

    private ServerWarmup() {}

    static void up() {
        HttpDecoder requests = HttpDecoder.ofRequests(HttpDecoder.MAX_HEAD, HttpDecoder.MAX_BODY);
        HttpDecoder answers = HttpDecoder.ofAnswers(HttpDecoder.MAX_HEAD, HttpDecoder.MAX_BODY);
        ByteBuf request = Unpooled.wrappedBuffer(REQUEST);
        ByteBuf answer = Unpooled.wrappedBuffer(ANSWER);
        try {
            for (int i = 0; i < TIMES; i++) {
                requests.decode(request.readerIndex(0));
                answers.decode(answer.readerIndex(0));
            }
        } catch (MalformedMessageException e) {
            throw new IllegalStateException("a sound message was found to be none", e);
        }
    }
}
