package cedarrudder.program;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import cedarrudder.balancer.Await;
import cedarrudder.program.ProxyHarness.Client;
import cedarrudder.program.ProxyHarness.Received;
import cedarrudder.protocol.JsonObject;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;

/** Tests the built jar, run as the proxy. */
public class ServeIT {

    private static final int TERMINATED = 128 + 15;

    private static Process serve(String configuration) throws IOException {
        Path file = Files.createTempFile("cedarrudder", ".json");
        Files.writeString(file, configuration);
        return serve(file);
    }

    private static Process serve(Path file, String... options) throws IOException {
        List<String> command =
                new ArrayList<>(
                        List.of(
                                "env",
                                ProxyUnderTest.DEFAULT_SIGNALS,
                                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                                "-jar",
                                "daemon/target/cedarrudder.jar",
                                "serve"));
        command.addAll(List.of(options));
        ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
        builder.environment().put("BALANCER_CONFIG", file.toString());
        return builder.start();
    }

    private static String awaitLine(Process process, BufferedReader lines, String part)
            throws IOException, InterruptedException {
        return Await.line(part, process, lines, line -> line.contains(part));
    }

    @Test
    public void acceptedRequestsAreAnsweredBeforeTheProcessEnds() throws Exception {
        try (ProxyHarness harness = new ProxyHarness(1)) {
            Process process = serve(harness.configuration());
            BufferedReader lines =
                    new BufferedReader(
                            new InputStreamReader(
                                    process.getInputStream(), StandardCharsets.UTF_8));
            awaitLine(process, lines, "proxy.started");
            try (Client client = harness.client();
                    Client idle = harness.client();
                    Client late = harness.client()) {
                serveOne(harness, idle, "before");
                client.send(ProxyHarness.request("order", "/api", "x"));
                Received accepted = harness.nextRequest();
                ProxyUnderTest.signal(process, "TERM");
                awaitLine(process, lines, "proxy.shutdown_started");
                // Where this proxy is the only one, clients have no other proxy until it is
                // restarted.
                serveOne(harness, idle, "still");
                serveOne(harness, late, "late");
                assertEquals(idle.read(), null);
                accepted.reply("200 OK", "kept");
                Received answer = client.read();
                assertEquals(answer.body(), "kept");
                assertEquals(answer.field("Connection"), "close");
            }
            assertEquals(Await.end("the end of the process", process), TERMINATED);
        }
    }

    private static void serveOne(ProxyHarness harness, Client client, String text)
            throws Exception {
        client.send(ProxyHarness.request("lookup", "/api", "").replace("id-1", text));
        harness.nextRequest().reply("200 OK", text);
        assertEquals(client.read().body(), text);
    }

    /**
     * The virtual machine's own reaction to SIGHUP is to exit, which would be a crash for an
     * operator who only replaced a file.
     */
    @Test
    public void sighupReloadsTheConfigurationWhileServing() throws Exception {
        try (ProxyHarness harness = new ProxyHarness(1)) {
            Path file = Files.createTempFile("cedarrudder", ".json");
            Files.writeString(file, harness.configuration());
            Process process = serve(file);
            BufferedReader lines =
                    new BufferedReader(
                            new InputStreamReader(
                                    process.getInputStream(), StandardCharsets.UTF_8));
            awaitLine(process, lines, "proxy.started");
            try (Client client = harness.client()) {
                client.send(ProxyHarness.request("order", "/api", "x"));
                Received accepted = harness.nextRequest();
                Files.writeString(file, "{");
                ProxyUnderTest.signal(process, "HUP");
                awaitLine(process, lines, "configuration.rejected");
                harness.discovery = harness.new Peer(harness.lookups);
                Files.writeString(file, harness.configuration());
                ProxyUnderTest.signal(process, "HUP");
                while (ProxyHarness.await(harness.lookups).socket().getLocalPort()
                        != harness.discovery.server.getLocalPort()) {
                    // a watch at the old address
                }
                accepted.reply("200 OK", "kept");
                assertEquals(client.read().body(), "kept");
                ProxyUnderTest.signal(process, "HUP");
                process.destroy();
            }
            assertEquals(Await.end("the end of the process", process), TERMINATED);
        }
    }

    @Test
    public void sighupReloadsTheOperatorsFileAndAnInvalidOneChangesNothing() throws Exception {
        Path operator = Files.createTempFile("operator", ".toml");
        try (ProxyHarness harness = new ProxyHarness(1)) {
            Path file = Files.createTempFile("cedarrudder", ".json");
            Files.writeString(file, harness.configuration());
            Files.writeString(operator, "[callers]\nbody_bytes = 3\n[log]\nformat = \"json\"\n");
            Process process =
                    serve(file, "--operator", operator.toString(), "--log-level", "debug");
            BufferedReader lines =
                    new BufferedReader(
                            new InputStreamReader(
                                    process.getInputStream(), StandardCharsets.UTF_8));
            String output = awaitLine(process, lines, "proxy.started");
            assertEquals(event(output, "proxy.started").text("name", null), "example");
            Files.writeString(
                    operator, "[callers]\nbody_bytes = 300\nidle = 1\n[log]\nformat = \"xml\"\n");
            ProxyUnderTest.signal(process, "HUP");
            JsonObject rejected =
                    event(
                            awaitLine(process, lines, "operator_file.rejected"),
                            "operator_file.rejected");
            assertEquals(rejected.integer("problems"), 2);
            assertTrue(
                    rejected.text("first", null)
                            .contains(".toml:3: callers.idle: found an unknown key"));
            assertEquals(answer(harness, "four"), "HTTP/1.1 413 Content Too Large");
            Files.writeString(operator, "[callers]\nbody_bytes = 300\n");
            ProxyUnderTest.signal(process, "HUP");
            awaitLine(process, lines, "operator_file.reloaded");
            assertEquals(answer(harness, "four"), "HTTP/1.1 200 OK");
            ProxyUnderTest.signal(process, "TERM");
            awaitLine(process, lines, "INFO proxy.shutdown_started");
            assertEquals(Await.end("the end of the process", process), TERMINATED);
        } finally {
            Files.delete(operator);
        }
    }

    /** Returns the last line of a log whose lines must all be JSON; it must have this event. */
    private static JsonObject event(String output, String event) {
        List<JsonObject> entries = output.lines().map(JsonObject::parse).toList();
        JsonObject last = entries.get(entries.size() - 1);
        assertEquals(last.text("event", null), event);
        return last;
    }

    /**
     * Returns the first line of the answer to a request with this body; an endpoint answers the
     * requests that reach it.
     */
    private static String answer(ProxyHarness harness, String body) throws Exception {
        try (Client client = harness.client()) {
            Thread endpoint =
                    new Thread(
                            () -> {
                                try {
                                    harness.nextRequest().reply("200 OK", "done");
                                } catch (InterruptedException | IOException e) {
                                    // the request was rejected before it reached the endpoint
                                    Thread.currentThread().interrupt();
                                }
                            });
            endpoint.start();
            client.send(ProxyHarness.request("order", "/api", body));
            String first = client.read().first();
            endpoint.interrupt();
            Await.end("the end of the endpoint's thread", endpoint);
            return first;
        }
    }

    @Test
    public void aFailedStartIsExplainedInOneLine() throws Exception {
        try (ProxyHarness harness = new ProxyHarness(1)) {
            String accepted =
                    harness.configuration()
                            .replace(
                                    ":" + harness.port,
                                    ":" + harness.nodes.get(0).server.getLocalPort());
            for (String configuration : new String[] {"{", "{}", accepted}) {
                Process process = serve(configuration);
                String output = Await.all("the end of the process", process);
                // Short of cores the event loop also logs its delay.
                List<String> lines =
                        output.lines().filter(line -> !line.contains(" loop.delayed ")).toList();
                assertEquals(lines.size(), 1, output);
                assertTrue(lines.get(0).startsWith("cedarrudder: "), output);
                assertNotEquals(Await.end("the end of the process", process), 0);
            }
        }
    }

    /** The start must not spend time, and throw errors, on logging libraries that are not there. */
    @Test
    public void theStartSearchesForNoLoggingLibrary() throws Exception {
        Path loaded = Files.createTempFile("loaded", ".log");
        List<String> watched = List.of("-Xlog:class+load:file=" + loaded);
        Path state = Files.createTempDirectory("serve");
        try (ProxyHarness harness = new ProxyHarness(1);
                ProxyUnderTest proxy = new ProxyUnderTest(harness, state, "", watched, List.of())) {
            proxy.awaitLine("proxy.started");
        }
        String classes = Files.readString(loaded);
        assertTrue(classes.contains("logging.InternalLoggerFactory "), classes);
        assertFalse(classes.contains("logging.Slf4J"), "the start searched for SLF4J");
    }
}
