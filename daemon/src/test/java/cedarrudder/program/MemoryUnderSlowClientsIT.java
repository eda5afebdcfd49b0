package cedarrudder.program;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import cedarrudder.balancer.Await;
import cedarrudder.program.ProxyHarness.Client;
import cedarrudder.program.ProxyHarness.Received;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import org.testng.annotations.Test;

/** Hundreds of clients at once that write slowly, stop, or read slowly. */
public class MemoryUnderSlowClientsIT {

    /** Of each kind; together fewer than the clients that the example's descriptors allow. */
    private static final int CLIENTS_OF_A_KIND = 110;

    private static final int STEADY_READERS = 200;
    private static final int SERVED_BESIDE = 100;
    private static final int LARGE = 3_000_000;
    private static final long BYTES_PER_KIB = 1024;

    /** The limit of the example's configuration. */
    private static final long MEMORY_LIMIT_BYTES = 192 * BYTES_PER_KIB * BYTES_PER_KIB;

    /** What one client does until its connection ends. */
    private interface Behavior {
        void run(Client client, String id) throws Exception;
    }

    private static String upload(String id) {
        return ProxyHarness.request("order", "/large", "")
                .replace("id-1", id)
                .replace("Content-Length: 0", "Content-Length: " + LARGE);
    }

    private static void writeSlowly(Client client, String id) throws Exception {
        client.send(upload(id));
        for (int written = 0; written < LARGE; written += 10_000) {
            client.send("x".repeat(10_000));
            Thread.sleep(300);
        }
    }

    private static void stopHalfWay(Client client, String id) throws Exception {
        client.send(upload(id)).send("x".repeat(LARGE / 2));
        client.read();
    }

    private static void sendManyFields(Client client, String id) throws Exception {
        client.send("GET /api HTTP/1.1\r\nHost: a\r\n");
        for (int i = 0; i < 4_000; i++) {
            client.send("f" + i + ":" + i + "\r\n");
        }
        client.read();
    }

    private static void readSlowly(Client client, String id) throws Exception {
        client.send(ProxyHarness.request("lookup", "/large", "").replace("id-1", id));
        while (client.in().read(new byte[1_000]) >= 0) {
            Thread.sleep(200);
        }
    }

    private static void readSteadily(Client client, String id) throws Exception {
        client.send(ProxyHarness.request("lookup", "/endless", "").replace("id-1", id));
        while (client.in().read(new byte[6_400]) >= 0) {
            Thread.sleep(100);
        }
    }

    /** Sends a response far larger than all buffers between the endpoint and its client. */
    private static void sendEndless(Received request) throws IOException {
        String piece = "y".repeat(64_000);
        request.raw("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        while (true) {
            request.chunk(piece);
        }
    }

    private static void serve(Received request) throws Exception {
        if (request.first().contains("/endless")) {
            sendEndless(request);
        } else if (!request.first().contains("/large")) {
            request.reply("200 OK", "done");
        } else if (request.first().startsWith("GET")) {
            request.reply("200 OK", "y".repeat(LARGE));
        } else {
            request.socket().getInputStream().skipNBytes(LARGE);
            request.reply("200 OK", "done");
        }
    }

    /** Returns the options of the virtual machine in the deploy file. */
    static List<String> deployOptions() throws IOException {
        String run =
                Files.readAllLines(Path.of("deploy", "balancer.toml")).stream()
                        .filter(line -> line.startsWith("run ="))
                        .findFirst()
                        .orElseThrow();
        return Arrays.stream(run.split(" ")).filter(word -> word.startsWith("-X")).toList();
    }

    private static long peakBytes(Process process) throws IOException {
        String status =
                Files.readAllLines(Path.of("/proc/" + process.pid() + "/status")).stream()
                        .filter(line -> line.startsWith("VmHWM:"))
                        .findFirst()
                        .orElseThrow();
        return Long.parseLong(status.replaceAll("\\D", "")) * BYTES_PER_KIB;
    }

    private static void start(
            ProxyHarness harness, AtomicBoolean on, Behavior behavior, String id) {
        Thread client =
                new Thread(
                        () -> {
                            for (int i = 0; on.get(); i++) {
                                try (Client connection = harness.client()) {
                                    behavior.run(connection, id + "-" + i);
                                } catch (Exception e) {
                                    // the proxy may end the connection of such a client
                                }
                            }
                        });
        client.setDaemon(true);
        client.start();
    }

    /** Guards against a process that passes its memory limit, and against others not served. */
    @Test
    public void hundredsOfSlowClientsAtOnceLeaveTheProcessWithinItsMemory() throws Exception {
        assertWithinMemoryBeside(
                CLIENTS_OF_A_KIND,
                List.of(
                        MemoryUnderSlowClientsIT::writeSlowly,
                        MemoryUnderSlowClientsIT::stopHalfWay,
                        MemoryUnderSlowClientsIT::sendManyFields,
                        MemoryUnderSlowClientsIT::readSlowly));
    }

    /** Guards against memory that grows with clients whose responses stay open for long. */
    @Test
    public void hundredsOfSteadySlowReadersLeaveTheProcessWithinItsMemory() throws Exception {
        assertWithinMemoryBeside(STEADY_READERS, List.of(MemoryUnderSlowClientsIT::readSteadily));
    }

    private static void assertWithinMemoryBeside(int clientsOfAKind, List<Behavior> behaviors)
            throws Exception {
        AtomicBoolean on = new AtomicBoolean(true);
        try (ProxyHarness harness = new ProxyHarness(4)) {
            harness.leavesBodies = true;
            TestEndpoints.handleRequests(harness, MemoryUnderSlowClientsIT::serve);
            try (ProxyUnderTest proxy =
                    new ProxyUnderTest(
                            harness,
                            Files.createTempDirectory("memory"),
                            "",
                            deployOptions(),
                            List.of())) {
                proxy.awaitReady();
                for (int i = 0; i < clientsOfAKind * behaviors.size(); i++) {
                    start(harness, on, behaviors.get(i % behaviors.size()), "slow-" + i);
                }
                for (int i = 0; i < SERVED_BESIDE; i++) {
                    String request =
                            ProxyHarness.request("lookup", "/api", "").replace("id-1", "b" + i);
                    Await.until("a request served", () -> isServed(harness, request));
                    Thread.sleep(50);
                }
                assertTrue(proxy.process.isAlive());
                assertEquals(proxy.status("GET", "/-/ready"), 200);
                long peak = peakBytes(proxy.process);
                System.out.println("MemoryUnderSlowClientsIT: peak " + peak + " bytes");
                assertTrue(peak < MEMORY_LIMIT_BYTES, peak + " bytes");
            } finally {
                on.set(false);
            }
        }
    }

    private static boolean isServed(ProxyHarness harness, String request) throws IOException {
        try (Client client = harness.client()) {
            Received answer = client.send(request).read();
            return answer != null && answer.first().equals("HTTP/1.1 200 OK");
        }
    }
}
