package kit;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicLong;

/** A client's connection. */
public final class Client implements AutoCloseable {
    private static final AtomicLong IDS = new AtomicLong();

    private final int port;
    public Socket socket;
    public BufferedInputStream in;

    public Client(int port) {
        this.port = port;
    }

    /** Returns an id that no other request has. */
    public static String newId() {
        return String.format("%016x", 0x9b1f03aa00000000L + IDS.incrementAndGet());
    }

    public void connect() throws IOException {
        if (socket == null || socket.isClosed()) {
            socket = new Socket();
            socket.connect(new InetSocketAddress("127.0.0.1", port), 2000);
            socket.setTcpNoDelay(true);
            in = new BufferedInputStream(socket.getInputStream(), 65536);
        }
    }

    /** Returns the text of a request without a body or with one. */
    public static String request(String id, String kind, long deadline, String key, String body) {
        boolean get = kind.equals("lookup");
        return (get ? "GET" : "POST")
                + " /api HTTP/1.1\r\nHost: service.internal\r\nReq-Id: "
                + id
                + "\r\nReq-Kind: "
                + kind
                + "\r\nReq-Owner: acme\r\nReq-Deadline-Ms: "
                + deadline
                + "\r\n"
                + (key == null ? "" : "Idempotency-Key: " + key + "\r\n")
                + (get ? "" : "Content-Length: " + body.length() + "\r\n")
                + "\r\n"
                + (get ? "" : body);
    }

    public void write(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Sends a request and reads its answer, waiting this much longer than its time. */
    public Http.Answer ask(String id, String kind, long deadline, String key, String body, int more) {
        try {
            connect();
            socket.setSoTimeout((int) deadline + more);
            write(request(id, kind, deadline, key, body));
            Http.Answer answer = Http.readAnswer(in);
            if (answer.closes()) {
                close();
            }
            return answer;
        } catch (IOException | RuntimeException e) {
            close();
            return Http.Answer.none(e.toString());
        }
    }

    @Override
    public void close() {
        try {
            if (socket != null) {
                socket.close();
            }
        } catch (IOException e) {
            // it is closed
        }
    }
}
