package kit;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;

/** A stand-in of a node: answers probes, and passes requests to the case. */
public final class Node {
    /** What a node does with a request. */
    public interface Work {
        void run(Http.Request request, Connection connection) throws Exception;
    }

    /** A connection to a node, which carries one request at a time. */
    public static final class Connection {
        public final Socket socket;
        public final BufferedInputStream in;
        public final OutputStream out;

        Connection(Socket socket) throws IOException {
            this.socket = socket;
            this.in = new BufferedInputStream(socket.getInputStream(), 65536);
            this.out = socket.getOutputStream();
        }

        public void write(String text) throws IOException {
            out.write(text.getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
        }

        /** Writes an answer with a body. */
        public void answer(int status, String fields, String body) throws IOException {
            write(Node.answer(status, fields, body));
        }
    }

    public final String id;
    public final int port;
    private final ServerSocket socket;
    private final Work work;
    public final AtomicInteger held = new AtomicInteger();

    public Node(String id, Work work) throws IOException {
        this.id = id;
        this.work = work;
        socket = new ServerSocket(0, 512, InetAddress.getByName("127.0.0.1"));
        port = socket.getLocalPort();
        Kit.go(
                () -> {
                    while (true) {
                        Socket caller = socket.accept();
                        caller.setTcpNoDelay(true);
                        Kit.go(() -> serve(caller));
                    }
                });
    }

    public static String answer(int status, String fields, String body) {
        return "HTTP/1.1 "
                + status
                + " X\r\n"
                + fields
                + "Content-Length: "
                + body.length()
                + "\r\n\r\n"
                + body;
    }

    private void serve(Socket caller) throws Exception {
        try (caller) {
            Connection connection = new Connection(caller);
            while (true) {
                Http.Request request = Http.readRequest(connection.in);
                if (request == null) {
                    return;
                }
                if (request.target.equals("/ping") || request.target.equals("/_load")) {
                    connection.answer(
                            200, "", "TEXT latency_ms=5, inflight=" + held.get() + ", util=0.2");
                    continue;
                }
                held.incrementAndGet();
                try {
                    work.run(request, connection);
                } finally {
                    held.decrementAndGet();
                }
            }
        }
    }
}
