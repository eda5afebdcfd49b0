import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A toy service to try the proxy with: discovery on port 7100 and three nodes after it, all in one process.
 * Start it with {@code java example/ToyServer.java}; each node answers with its name and what it was sent.
 */
public final class ToyServer {

    private static final int DISCOVERY_PORT = 7100;
    private static final int NODES = 3;
    private static final long ALIVE_MILLIS = 2000;

    private ToyServer() { }

    public static void main(String[] args) throws IOException {
        // Answers go out at once, not when more has come together.
        System.setProperty("sun.net.httpserver.nodelay", "true");
        List<String> entries = new ArrayList<>();
        for (int i = 1; i <= NODES; i++) {
            int port = DISCOVERY_PORT + i;
            startNode("toy-" + i, port);
            entries.add("""
                    {"id":"toy-%d","addr":"127.0.0.1:%d","zone":"room","kind":"standard","cell":0,\
                    "state":"in_service","weight":1.0,"started_ms":0}""".formatted(i, port));
        }
        String list = "{\"version\":1,\"full\":true,\"servers\":[" + String.join(",", entries) + "]}\n";
        start(DISCOVERY_PORT).createContext("/catalog/members", exchange -> {
            exchange.sendResponseHeaders(200, 0);
            try (OutputStream out = exchange.getResponseBody()) {
                out.write(list.getBytes(StandardCharsets.UTF_8));
                while (String.valueOf(exchange.getRequestURI().getQuery()).contains("follow=1")) {
                    out.flush();
                    Thread.sleep(ALIVE_MILLIS);
                    out.write('\n');
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        System.out.println("toy discovery on port " + DISCOVERY_PORT + ", nodes on the " + NODES + " after it");
    }

    private static HttpServer start(int port) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 0);
        server.setExecutor(Executors.newCachedThreadPool());
        server.start();
        return server;
    }

    private static void startNode(String name, int port) throws IOException {
        AtomicInteger inFlight = new AtomicInteger();
        HttpServer server = start(port);
        server.createContext("/_load", exchange -> answer(exchange, 200,
                "TEXT latency_ms=5, inflight=" + inFlight.get() + ", util=0.1"));
        server.createContext("/", exchange -> {
            inFlight.incrementAndGet();
            try {
                String sent = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
                String id = exchange.getRequestHeaders().getFirst("Req-Id");
                answer(exchange, id == null ? 404 : 200, name + " served " + id + " " + sent + "\n");
            } finally {
                inFlight.decrementAndGet();
            }
        });
    }

    private static void answer(HttpExchange exchange, int status, String text) throws IOException {
        byte[] body = text.getBytes(StandardCharsets.UTF_8);
        exchange.sendResponseHeaders(status, body.length);
        try (OutputStream out = exchange.getResponseBody()) {
            out.write(body);
        }
    }
}
