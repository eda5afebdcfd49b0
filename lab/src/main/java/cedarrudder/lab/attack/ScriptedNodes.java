package cedarrudder.lab.attack;

import java.io.Closeable;
import java.io.EOFException;
import java.io.IOException;
import java.io.PushbackInputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicIntegerArray;
import java.util.concurrent.atomic.AtomicReferenceArray;

/**
 * Nodes on loopback that answer at once with the request's id, and note what reached them. A target
 * that begins with {@code /slow} is answered after a while, one with {@code /large} by 60,000
 * bytes. Each node can be made to do worse, to all or to one proxy: it listens at an address of its
 * own for each.
 */
public final class ScriptedNodes implements Closeable {

    private static final String LOAD = "TEXT latency_ms=1, inflight=0, util=0.1";
    private static final int SLOW_MILLIS = 300;
    private static final int LARGE = 60_000;
    private static final int BACKLOG = 512;
    private static final double MILLION = 1e6;

    /** A cold node takes as long as a slow one at first, and is as the others after this long. */
    private static final int WARM_MILLIS = 1_000;

    /** What a node does. */
    public enum Mood {
        /** It answers at once. */
        WELL,
        /** It takes a while over each request. */
        SLOW,
        /** It takes requests and answers none. */
        SILENT,
        /** It ends each connection, as a process that is gone. */
        DEAD,
        /** It has just started, and gets better soon. */
        COLD
    }

    /** A mood, and since when, on {@link System#nanoTime}. */
    private record Since(Mood mood, long at) {}

    /** Sees what comes to nodes; from any thread. */
    public interface Witness {
        /** A request that has an id came from this proxy. */
        void reached(int node, int proxy, String id);

        /** It is there no more: its answer is about to be written, or its connection ended. */
        void served(int node, int proxy, String id);
    }

    private final int count;
    private final int proxies;
    private final Witness witness;
    private final List<ServerSocket> servers = new ArrayList<>();
    private final AtomicReferenceArray<Since> moods;
    private final AtomicIntegerArray cuts;
    private final Queue<DeliveredRequest> reached = new ConcurrentLinkedQueue<>();

    /**
     * @throws IOException if there are no ports for this many
     */
    public ScriptedNodes(int count) throws IOException {
        this(
                count,
                List.of(InetAddress.getLoopbackAddress()),
                new Witness() {
                    @Override
                    public void reached(int node, int proxy, String id) {}

                    @Override
                    public void served(int node, int proxy, String id) {}
                });
    }

    /**
     * @param addresses for each proxy the one at which it finds the nodes
     * @throws IOException if there are no ports for this many
     */
    public ScriptedNodes(int count, List<InetAddress> addresses, Witness witness)
            throws IOException {
        this.count = count;
        this.proxies = addresses.size();
        this.witness = witness;
        moods = new AtomicReferenceArray<>(count * proxies);
        cuts = new AtomicIntegerArray(count * proxies);
        for (int i = 0; i < count * proxies; i++) {
            int way = i;
            moods.set(i, new Since(Mood.WELL, 0));
            ServerSocket server = new ServerSocket(0, BACKLOG, addresses.get(i / count));
            servers.add(server);
            start("node-" + i % count, () -> accept(server, way));
        }
    }

    /** The place of what a proxy sees of a node. */
    private int way(int node, int proxy) {
        return proxy * count + node;
    }

    private static void start(String name, Runnable task) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        thread.start();
    }

    private void accept(ServerSocket server, int way) {
        try {
            while (true) {
                Socket socket = server.accept();
                start("node-connection", () -> serve(socket, way));
            }
        } catch (IOException e) {
            // closed: the run is over
        }
    }

    private void serve(Socket socket, int way) {
        try (socket) {
            socket.setTcpNoDelay(true);
            PushbackInputStream in = new PushbackInputStream(socket.getInputStream());
            for (var next = NodeReader.read(in); next != null; next = NodeReader.read(in)) {
                if (moods.get(way).mood == Mood.DEAD) {
                    return;
                }
                serve(socket, in, next, way);
            }
        } catch (IOException e) {
            // the proxy ended it, which is its right
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void serve(Socket socket, PushbackInputStream in, NodeReader.Request request, int way)
            throws IOException, InterruptedException {
        boolean told = !request.id().isEmpty();
        if (told) {
            witness.reached(way % count, way / count, request.id());
        }
        byte[] answer;
        try {
            while (cuts.get(way) > 0 || moods.get(way).mood == Mood.SILENT) {
                await(socket, in, SLOW_MILLIS);
            }
            await(socket, in, delay(moods.get(way)));
            answer = answer(request).getBytes(StandardCharsets.ISO_8859_1);
        } finally {
            if (told) {
                witness.served(way % count, way / count, request.id()); // before the proxy can know
            }
        }
        socket.getOutputStream().write(answer);
    }

    private static int delay(Since mood) {
        double age = (System.nanoTime() - mood.at) / MILLION;
        return switch (mood.mood) {
            case SLOW -> SLOW_MILLIS;
            case COLD -> (int) Math.max(0, SLOW_MILLIS * (1 - age / WARM_MILLIS));
            default -> 0;
        };
    }

    /**
     * Lets this much time pass, and sees the other side end it meanwhile. This avoids a call that
     * was given up long ago being taken for one that is still here.
     */
    private static void await(Socket socket, PushbackInputStream in, int millis)
            throws IOException {
        if (millis == 0) {
            return;
        }
        socket.setSoTimeout(millis);
        try {
            int next = in.read();
            if (next < 0) {
                throw new EOFException();
            }
            in.unread(next); // the next request, before its time: this one need not be slow
        } catch (SocketTimeoutException e) {
            // the time has passed
        } finally {
            socket.setSoTimeout(0);
        }
    }

    private String answer(NodeReader.Request request) throws InterruptedException {
        if (request.target().equals("/_load") || request.target().equals("/ping")) {
            return ok(LOAD);
        }
        reached.add(new DeliveredRequest(request.id(), request.unsound()));
        if (request.target().startsWith("/slow")) {
            Thread.sleep(SLOW_MILLIS);
        }
        return ok(
                request.target().startsWith("/large")
                        ? request.id() + "x".repeat(LARGE - request.id().length())
                        : request.id());
    }

    private static String ok(String body) {
        return "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    /** From now on this node does so, to all. */
    public void mood(int node, Mood mood) {
        for (int proxy = 0; proxy < proxies; proxy++) {
            mood(node, proxy, mood);
        }
    }

    /** From now on it does so to this proxy. */
    public void mood(int node, int proxy, Mood mood) {
        moods.set(way(node, proxy), new Since(mood, System.nanoTime()));
    }

    /**
     * Whether the way between a proxy and a node is cut; then requests come, and no answer does.
     */
    public void cut(int node, int proxy, boolean cut) {
        cuts.set(way(node, proxy), cut ? 1 : 0);
    }

    /** Where they are, for the only proxy or the first. */
    public List<InetSocketAddress> addresses() {
        return addresses(0);
    }

    /** Where this proxy finds them. */
    public List<InetSocketAddress> addresses(int proxy) {
        return servers.subList(proxy * count, (proxy + 1) * count).stream()
                .map(s -> new InetSocketAddress(s.getInetAddress(), s.getLocalPort()))
                .toList();
    }

    /** What has reached them whose id begins with this. */
    List<DeliveredRequest> reached(String id) {
        return reached.stream().filter(r -> r.id().startsWith(id)).toList();
    }

    /** What has reached them without an id. */
    List<DeliveredRequest> nameless() {
        return reached("").stream().filter(r -> r.id().isEmpty()).toList();
    }

    @Override
    public void close() throws IOException {
        for (ServerSocket server : servers) {
            server.close();
        }
    }
}
