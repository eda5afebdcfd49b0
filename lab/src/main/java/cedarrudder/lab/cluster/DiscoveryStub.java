package cedarrudder.lab.cluster;

import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/**
 * A discovery: it answers calls with its list, pushes a new one to watches, and keeps them alive.
 */
final class DiscoveryStub implements Closeable {

    private static final int BACKLOG = 128;
    private static final int ALIVE_MILLIS = 2_000;
    private static final String END_OF_HEAD = "\r\n\r\n";

    private final ServerSocket server =
            new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
    private String list;

    /**
     * @param list the whole list as one line of JSON
     */
    DiscoveryStub(String list) throws IOException {
        this.list = list;
        start(this::accept);
    }

    private static void start(Runnable task) {
        Thread thread = new Thread(task, "discovery");
        thread.setDaemon(true);
        thread.start();
    }

    InetSocketAddress address() {
        return new InetSocketAddress(server.getInetAddress(), server.getLocalPort());
    }

    /** The list is this from now on. */
    synchronized void list(String next) {
        list = next;
        notifyAll();
    }

    private synchronized String list() {
        return list;
    }

    /** Another list than this, or this one after a while. */
    private synchronized String after(String delivered) throws InterruptedException {
        if (list.equals(delivered)) {
            wait(ALIVE_MILLIS);
        }
        return list;
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = server.accept();
                start(() -> serve(socket));
            }
        } catch (IOException e) {
            // closed: the run is over
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            StringBuilder head = new StringBuilder();
            InputStream in = socket.getInputStream();
            while (head.indexOf(END_OF_HEAD) < 0) {
                int next = in.read();
                if (next < 0) {
                    return;
                }
                head.append((char) next);
            }
            OutputStream out = socket.getOutputStream();
            if (!head.toString().contains("follow=1")) {
                String whole = list() + "\n";
                write(
                        out,
                        "HTTP/1.1 200 OK\r\nContent-Length: "
                                + whole.length()
                                + "\r\nConnection: close"
                                + END_OF_HEAD
                                + whole);
                return;
            }
            write(out, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked" + END_OF_HEAD);
            String delivered = "";
            for (String next = list(); ; next = after(delivered)) {
                String line = next.equals(delivered) ? "\n" : next + "\n";
                delivered = next;
                write(out, Integer.toHexString(line.length()) + "\r\n" + line + "\r\n");
            }
        } catch (IOException e) {
            // the proxy ended it
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
