package cedarrudder.program;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import cedarrudder.operator.OperatorFile;
import cedarrudder.program.ProxyHarness.Client;
import cedarrudder.program.ProxyHarness.Received;
import cedarrudder.protocol.JsonObject;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.testng.annotations.Test;

/**
 * Tests the settings of the operator's file over sockets. A test of a timeout shows that the
 * setting is used by another event, which without it would come later, or sooner.
 */
public class OperatorScenarioTest {

    static OperatorFile operator(String text) throws Exception {
        Path file = Files.createTempFile("operator", ".toml");
        try {
            Files.writeString(file, text);
            return OperatorFile.read(file);
        } finally {
            Files.delete(file);
        }
    }

    private static void serve(ProxyHarness harness, Client client, String id) throws Exception {
        client.send(ProxyHarness.request("lookup", "/api", "").replace("id-1", id));
        harness.nextRequest().reply("200 OK", id);
        assertEquals(client.read().body(), id);
    }

    /** Waits until the proxy closes a silent connection because its request is overdue. */
    private static void awaitOverdue(ProxyHarness harness) throws Exception {
        try (Client silent = harness.client()) {
            assertNull(silent.read());
        }
    }

    @Test
    public void byteBoundsApplyToClientsAndEndpoints() throws Exception {
        try (ProxyHarness harness =
                new ProxyHarness(1)
                        .with(
                                operator(
                                        "[callers]\nhead_bytes = 1024\nbody_bytes = 3\n"
                                                + "[nodes]\nhead_bytes = 2048\nbody_bytes = 5\n"))
                        .start()) {
            String[][] sent = {
                {ProxyHarness.request("order", "/api", "four"), "413"},
                {ProxyHarness.request("lookup", "/api", "", "A: " + "x".repeat(1024)), "431"}
            };
            for (String[] each : sent) {
                try (Client client = harness.client()) {
                    String first = client.send(each[0]).read().first();
                    assertTrue(first.startsWith("HTTP/1.1 " + each[1]), first);
                }
            }
            try (Client client = harness.client()) {
                String ok = "HTTP/1.1 200 OK\r\nContent-Length: ";
                String[][] answers = {
                    {ok + "5\r\n\r\n12345", "200"},
                    {ok + "6\r\n\r\n123456", "502"},
                    {ok + "0\r\nA: " + "x".repeat(2048) + "\r\n\r\n", "502"}
                };
                for (String[] each : answers) {
                    client.send(ProxyHarness.request("order", "/api", "abc"));
                    harness.nextRequest().raw(each[0]);
                    assertTrue(client.read().first().startsWith("HTTP/1.1 " + each[1]), each[0]);
                }
            }
        }
    }

    /** Without the setting an idle client is closed long after one that has sent nothing. */
    @Test
    public void timeoutsForClientsApply() throws Exception {
        try (ProxyHarness harness =
                        new ProxyHarness(1)
                                .with(
                                        operator(
                                                "[callers]\nrequest_patience_ms = 60000\n"
                                                        + "idle_patience_ms = 500\n"))
                                .start();
                Client silent = harness.client();
                Client idle = harness.client()) {
            serve(harness, idle, "once");
            assertNull(idle.read());
            serve(harness, silent, "late");
        }
    }

    /**
     * Without the settings the probe would be given up, and the answer broken off, long before the
     * client is closed.
     */
    @Test
    public void timeoutsForEndpointsApply() throws Exception {
        try (ProxyHarness harness =
                new ProxyHarness(1)
                        .with(
                                operator(
                                        "[nodes]\n"
                                                + "probe_patience_ms = 10000\n"
                                                + "answer_patience_ms = 10000\n"
                                                + "[callers]\n"
                                                + "request_patience_ms = 1000\n"))) {
            harness.probesWait = true;
            harness.start();
            Received probe = ProxyHarness.await(harness.probes);
            awaitOverdue(harness);
            assertFalse(harness.ended.contains(probe.socket()), "the probe was given up");
            try (Client client = harness.client()) {
                client.send(ProxyHarness.request("order", "/api", "x"));
                Received request = harness.nextRequest();
                request.raw("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nha");
                awaitOverdue(harness);
                request.raw("lf");
                assertEquals(client.read().body(), "half");
            }
        }
    }

    /**
     * Without the setting the request to discovery would wait for longer than the timeout of a
     * client that sends nothing.
     */
    @Test
    public void theTimeoutForDiscoveryApplies() throws Exception {
        try (ProxyHarness harness =
                new ProxyHarness(1)
                        .with(operator("[discovery]\ncall_patience_ms = 100\n"))
                        .start()) {
            ProxyHarness.await(harness.lookups);
            awaitOverdue(harness);
            assertTrue(harness.log.toString(StandardCharsets.UTF_8).contains("why=silent"));
            ProxyHarness.await(harness.lookups);
        }
    }

    /** Without the setting the answers would wait for ten seconds to be read. */
    @Test
    public void aClientThatDoesNotReadIsClosed() throws Exception {
        int answers = 160;
        String answer = "x".repeat(60_000);
        try (ProxyHarness harness =
                        new ProxyHarness(1)
                                .with(operator("[callers]\nanswer_patience_ms = 500\n"))
                                .start();
                Client nonReading = harness.client()) {
            TestEndpoints.handleRequests(harness, request -> request.reply("200 OK", answer));
            for (int i = 0; i < answers; i++) {
                nonReading.send(
                        ProxyHarness.request("lookup", "/api", "").replace("id-1", "id" + i));
            }
            awaitOverdue(harness);
            int read = 0;
            try {
                while (nonReading.read() != null) {
                    read++;
                }
            } catch (java.io.IOException e) {
                // the connection was closed within an answer
            }
            assertTrue(read < answers, read + " answers were read");
        }
    }

    /** A reduced bound on connections of clients applies as soon as the file is reloaded. */
    @Test
    public void theFractionOfDescriptorsForClientsAppliesAtOnce() throws Exception {
        List<Client> idle = new ArrayList<>();
        try (ProxyHarness harness =
                new ProxyHarness(1).with("\"sockets\": 1024", "\"sockets\": 20").start()) {
            for (int i = 0; i < 10; i++) {
                idle.add(harness.client());
                serve(harness, idle.get(i), "id" + i);
            }
            harness.with(operator("[callers]\ndescriptors_share = 0.2\n"));
            for (int i = 0; i < 6; i++) {
                assertNull(idle.get(i).read());
            }
            for (int i = 6; i < 10; i++) {
                serve(harness, idle.get(i), "kept" + i);
            }
            try (Client fifth = harness.client()) {
                assertNull(idle.get(6).read());
                serve(harness, fifth, "fifth");
            }
            for (Client client : idle) {
                client.close();
            }
        }
    }

    /** One connection remains where otherwise five may be idle. */
    @Test
    public void theFractionOfDescriptorsForEndpointsAppliesAtOnce() throws Exception {
        List<Client> clients = new ArrayList<>();
        List<Received> requests = new ArrayList<>();
        try (ProxyHarness harness =
                new ProxyHarness(1).with("\"sockets\": 1024", "\"sockets\": 20").start()) {
            for (int i = 0; i < 4; i++) {
                clients.add(harness.client());
                clients.get(i)
                        .send(ProxyHarness.request("lookup", "/api", "").replace("id-1", "id" + i));
                requests.add(harness.nextRequest());
            }
            for (int i = 0; i < 4; i++) {
                requests.get(i).reply("200 OK", "done");
                assertEquals(clients.get(i).read().body(), "done");
            }
            Received oldest = requests.get(0);
            harness.with(operator("[nodes]\ndescriptors_share = 0.05\n"));
            oldest.awaitEnd();
            serve(harness, clients.get(0), "still");
            for (Client client : clients) {
                client.close();
            }
        }
    }

    @Test
    public void theLogIsBoundedJsonWhateverPeersSend() throws Exception {
        long seed = 20261202;
        SplittableRandom random = new SplittableRandom(seed);
        int peers = 100;
        long from = System.nanoTime();
        try (ProxyHarness harness =
                        new ProxyHarness(1)
                                .with(
                                        operator(
                                                "[log]\nformat = \"json\"\nlines_per_s = 5\n"
                                                        + "line_chars = 100\nlevel = \"warn\"\n"))
                                .start();
                Client client = harness.client()) {
            for (int i = 0; i < peers; i++) {
                byte[] garbage = new byte[2000];
                random.nextBytes(garbage);
                try (Client bad = harness.client()) {
                    bad.send(new String(garbage, StandardCharsets.ISO_8859_1) + "\r\n\r\n").read();
                } catch (java.io.IOException e) {
                    // the proxy may close before it has read everything
                }
            }
            serve(harness, client, "good");
            List<String> lines = harness.log.toString(StandardCharsets.UTF_8).lines().toList();
            long seconds = (System.nanoTime() - from) / 1_000_000_000L + 2;
            assertTrue(
                    lines.size() > 0 && lines.size() <= seconds * 6,
                    "seed " + seed + ": " + lines.size());
            for (String line : lines) {
                JsonObject event = JsonObject.parse(line);
                assertTrue(event.text("level", null).equals("warn"), line);
                assertTrue(line.length() < 400, "seed " + seed + ": " + line);
            }
        }
    }
}
