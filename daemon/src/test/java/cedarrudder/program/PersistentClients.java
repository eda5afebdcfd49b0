package cedarrudder.program;

import cedarrudder.balancer.Await;
import cedarrudder.program.ProxyHarness.Client;
import cedarrudder.program.ProxyHarness.Received;
import java.io.IOException;
import java.net.ConnectException;
import java.net.SocketException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicBoolean;

/** Clients that each send requests on one connection until it is closed. */
final class PersistentClients {

    /** The outcomes of a connection or request in which nothing is lost. */
    private static final List<String> IN_ORDER = List.of("200", "503", "told", "closed before");

    private static final int MAX_PAUSE_MILLIS = 30;

    private final ProxyHarness harness;
    private final Random random;
    private final List<Thread> threads = new ArrayList<>();
    private final AtomicBoolean anyEnded = new AtomicBoolean();

    /** The number of requests and connections for each outcome. */
    private final Map<String, Integer> ends = Collections.synchronizedMap(new TreeMap<>());

    /**
     * @param random the source of the pauses between the requests of a client
     */
    PersistentClients(ProxyHarness harness, Random random) {
        this.harness = harness;
        this.random = random;
    }

    /** Starts a client; its request ids begin with this name. */
    void start(String name) {
        Random pauses = new Random(random.nextLong());
        Thread thread = new Thread(() -> run(name, pauses));
        threads.add(thread);
        thread.start();
    }

    private void run(String name, Random pauses) {
        String last = "none";
        try (Client client = harness.client()) {
            for (int i = 0; last.equals("none"); i++) {
                try {
                    client.send(
                            ProxyHarness.request("order", "/api", "x")
                                    .replace("id-1", name + i)
                                    .replace("30000", "900"));
                } catch (SocketException e) {
                    last = "closed before";
                    continue;
                }
                Received answer = client.read();
                if (answer == null) {
                    last = "closed before";
                } else {
                    ends.merge(answer.first().split(" ")[1], 1, Integer::sum);
                    last = "close".equals(answer.field("Connection")) ? "told" : "none";
                    Thread.sleep(pauses.nextInt(MAX_PAUSE_MILLIS));
                }
            }
        } catch (IOException | InterruptedException e) {
            last = e instanceof ConnectException ? "connection refused" : "reset: " + e;
        }
        ends.merge(last, 1, Integer::sum);
        anyEnded.set(true);
    }

    void awaitServed(int requests) throws Exception {
        Await.until(requests + " served", () -> ends.getOrDefault("200", 0) > requests);
    }

    boolean hasAnyEnded() {
        return anyEnded.get();
    }

    void awaitEnds() throws InterruptedException {
        for (Thread thread : threads) {
            Await.end("the end of a client's connection", thread);
        }
    }

    boolean allEndedInOrder() {
        return IN_ORDER.containsAll(ends.keySet());
    }

    @Override
    public String toString() {
        return ends.toString();
    }
}
