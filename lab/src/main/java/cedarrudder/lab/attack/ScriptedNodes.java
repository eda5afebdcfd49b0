package cedarrudder.lab.attack;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicReferenceArray;

/**
 * Nodes on loopback that answer at once with the request's id, and note what reached them. A target that
 * begins with {@code /slow} is answered after a while, one with {@code /large} by 60,000 bytes. Each node
 * can be made to do worse.
 */
public final class ScriptedNodes implements Closeable {

    private static final String LOAD = "TEXT latency_ms=1, inflight=0, util=0.1";
    private static final int SLOW_MILLIS = 300;
    private static final int LARGE = 60_000;
    private static final int BACKLOG = 512;

    /** What a node does. */
    public enum Mood {
        /** It answers at once. */
        WELL,
        /** It takes a while over each request. */
        SLOW,
        /** It takes requests and answers none. */
        SILENT,
        /** It ends each connection, as a process that is gone. */
        DEAD
    }

    private final List<ServerSocket> servers = new ArrayList<>();
    private final AtomicReferenceArray<Mood> moods;
    private final Queue<Reached> reached = new ConcurrentLinkedQueue<>();

    /** @throws IOException if there are no ports for so many */
    public ScriptedNodes(int count) throws IOException {
        moods = new AtomicReferenceArray<>(count);
        for (int i = 0; i < count; i++) {
            int number = i;
            moods.set(i, Mood.WELL);
            ServerSocket server = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
            servers.add(server);
            start("node-" + i, () -> accept(server, number));
        }
    }

    private static void start(String name, Runnable task) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        thread.start();
    }

    private void accept(ServerSocket server, int number) {
        try {
            while (true) {
                Socket socket = server.accept();
                start("node-connection", () -> serve(socket, number));
            }
        } catch (IOException e) {
            // closed: the run is over
        }
    }

    private void serve(Socket socket, int number) {
        try (socket) {
            socket.setTcpNoDelay(true);
            for (var next = NodeReader.read(socket.getInputStream()); next != null;
                    next = NodeReader.read(socket.getInputStream())) {
                if (moods.get(number) == Mood.DEAD) {
                    return;
                }
                while (moods.get(number) == Mood.SILENT) {
                    Thread.sleep(SLOW_MILLIS);
                }
                if (moods.get(number) == Mood.SLOW) {
                    Thread.sleep(SLOW_MILLIS);
                }
                socket.getOutputStream().write(answer(next).getBytes(StandardCharsets.ISO_8859_1));
            }
        } catch (IOException e) {
            // the proxy ended it, which is its right
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private String answer(NodeReader.Request request) throws InterruptedException {
        if (request.target().equals("/_load") || request.target().equals("/ping")) {
            return ok(LOAD);
        }
        reached.add(new Reached(request.id(), request.unsound()));
        if (request.target().startsWith("/slow")) {
            Thread.sleep(SLOW_MILLIS);
        }
        return ok(request.target().startsWith("/large")
                ? request.id() + "x".repeat(LARGE - request.id().length()) : request.id());
    }

    private static String ok(String body) {
        return "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    /** From now on this node does so. */
    public void mood(int node, Mood mood) {
        moods.set(node, mood);
    }

    /** Where they are. */
    public List<InetSocketAddress> addresses() {
        return servers.stream().map(s -> new InetSocketAddress(s.getInetAddress(), s.getLocalPort()))
                .toList();
    }

    /** What has reached them whose id begins with this. */
    List<Reached> reached(String id) {
        return reached.stream().filter(r -> r.id().startsWith(id)).toList();
    }

    /** What has reached them without an id. */
    List<Reached> nameless() {
        return reached("").stream().filter(r -> r.id().isEmpty()).toList();
    }

    @Override
    public void close() throws IOException {
        for (ServerSocket server : servers) {
            server.close();
        }
    }
}
