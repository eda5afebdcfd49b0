package cedarrudder.program;

import static org.testng.Assert.assertEquals;

import cedarrudder.balancer.Await;
import cedarrudder.program.ProxyHarness.Client;
import cedarrudder.program.ProxyHarness.Received;
import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Endpoints whose process has gone, and a new process that comes up at the same address before
 * discovery tells: with requests in flight, probes, hedged requests and idle connections.
 */
public class ReplacedEndpointScenarioTest {

    private static final int ENDPOINTS = 3;
    private static final int CLIENTS = 6;
    private static final int REPLACEMENTS = 6;
    private static final int MAX_WORK_MILLIS = 60;
    private static final int INTERVAL_MILLIS = 250;
    private static final List<String> KINDS = List.of("order", "booking", "lookup");
    private static final String ANSWERED = "HTTP/1.1 (200 OK|502 Bad Gateway|503 Service.*)";

    private final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
    private final Map<String, String> wrong = new ConcurrentHashMap<>();
    private volatile String startedMillis;
    private volatile String replacedId;

    private void run(ProxyHarness harness, Random random) {
        TestEndpoints.handleRequests(
                harness,
                request -> {
                    runs.computeIfAbsent(request.field("Req-Id"), id -> new AtomicInteger())
                            .incrementAndGet();
                    Thread.sleep(random.nextInt(MAX_WORK_MILLIS));
                    request.reply("200 OK", request.field("Req-Id"));
                });
        TestEndpoints.daemon(
                () -> {
                    while (true) {
                        Received lookup = harness.lookups.take();
                        if (!lookup.first().contains("follow")) {
                            lookup.reply("200 OK", list(harness));
                        }
                    }
                });
    }

    private String list(ProxyHarness harness) throws IOException {
        String entries =
                harness.entries("in_service")
                        .replaceFirst("\"started_ms\":0", "\"started_ms\":" + startedMillis)
                        .replaceFirst("\"n0\"", "\"" + replacedId + "\"");
        return "{\"version\":2,\"full\":true,\"servers\":[" + entries + "]}";
    }

    /** Sends requests one after the other; each must get its own answer, or none of an endpoint. */
    private void call(ProxyHarness harness, String name, AtomicBoolean on) throws Exception {
        for (int i = 0; on.get(); i++) {
            String kind = KINDS.get(i % KINDS.size());
            String id = kind + "-" + name + "-" + i;
            String[] key =
                    kind.equals("booking")
                            ? new String[] {"Idempotency-Key: " + id}
                            : new String[0];
            String text =
                    ProxyHarness.request(kind, "/api", kind.equals("lookup") ? "" : "x", key)
                            .replace("id-1", id)
                            .replace("Deadline-Ms: 30000", "Deadline-Ms: 2500");
            try (Client client = harness.client()) {
                Received answer = client.send(text).read();
                boolean served = answer != null && answer.first().equals("HTTP/1.1 200 OK");
                if (answer == null || !answer.first().matches(ANSWERED)) {
                    wrong.put(id, answer == null ? "closed" : answer.first());
                } else if (served && !answer.body().equals(id)) {
                    wrong.put(id, "served with " + answer.body());
                }
            }
        }
    }

    /** Ends the process of the first endpoint and starts another one at its address at once. */
    private static void replace(ProxyHarness harness) throws Exception {
        int port = harness.nodes.get(0).server.getLocalPort();
        harness.nodes.get(0).close();
        for (Socket socket : harness.accepted) {
            if (!socket.isClosed() && socket.getLocalPort() == port) {
                socket.setSoLinger(true, 0);
                socket.close();
            }
        }
        harness.restart(0);
    }

    @DataProvider
    public Object[][] keyScopes() {
        return new Object[][] {{"all", true}, {"cell", true}, {"cell", false}};
    }

    /** Guards against work that runs twice, or elsewhere, where a process takes over an address. */
    @Test(dataProvider = "keyScopes")
    public void noUnsafeRequestRunsTwiceWhereAProcessTakesOverAnAddress(
            String keyScope, boolean sameId) throws Exception {
        long seed = System.nanoTime();
        System.out.println("ReplacedEndpointScenarioTest: seed " + seed);
        Random random = new Random(seed);
        AtomicBoolean on = new AtomicBoolean(true);
        runs.clear();
        wrong.clear();
        startedMillis = "0";
        replacedId = "n0";
        try (ProxyHarness harness =
                new ProxyHarness(ENDPOINTS)
                        .with("\"key-scope\": \"all\"", "\"key-scope\": \"" + keyScope + "\"")
                        .with("\"quota-per-s\": 100.0", "\"quota-per-s\": 100000.0")) {
            run(harness, random);
            harness.start();
            List<Thread> clients = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                String name = "client" + i;
                Thread client =
                        new Thread(
                                () -> {
                                    try {
                                        call(harness, name, on);
                                    } catch (Exception e) {
                                        wrong.put(name, e.toString());
                                    }
                                });
                clients.add(client);
                client.start();
            }
            for (int i = 0; i < REPLACEMENTS; i++) {
                Thread.sleep(INTERVAL_MILLIS);
                replace(harness);
                Thread.sleep(INTERVAL_MILLIS); // discovery tells only now
                startedMillis = Long.toString(System.currentTimeMillis() - INTERVAL_MILLIS);
                replacedId = sameId ? "n0" : "n0-" + i;
            }
            on.set(false);
            for (Thread client : clients) {
                Await.end("the end of a client", client);
            }
            assertEquals(wrong, Map.of());
            List<String> twice =
                    runs.entrySet().stream()
                            .filter(run -> run.getKey().startsWith("order"))
                            .filter(run -> run.getValue().get() > 1)
                            .map(Map.Entry::getKey)
                            .toList();
            assertEquals(twice, List.of());
        }
    }
}
