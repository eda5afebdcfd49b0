package cedarrudder.program;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import cedarrudder.balancer.Await;
import cedarrudder.program.World.Caller;
import cedarrudder.program.World.Received;
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
        try (World world = new World(1)) {
            Process process = serve(world.configuration());
            BufferedReader lines =
                    new BufferedReader(
                            new InputStreamReader(
                                    process.getInputStream(), StandardCharsets.UTF_8));
            awaitLine(process, lines, "proxy.started");
            try (Caller caller = world.caller();
                    Caller idle = world.caller();
                    Caller late = world.caller()) {
                serveOne(world, idle, "before");
                caller.send(World.request("order", "/api", "x"));
                Received taken = world.call();
                ProxyUnderTest.signal(process, "TERM");
                awaitLine(process, lines, "proxy.shutdown_started");
                // Where this proxy is the only one, clients have no other proxy until it is
                // restarted.
                serveOne(world, idle, "still");
                serveOne(world, late, "late");
                assertEquals(idle.read(), null);
                taken.reply("200 OK", "kept");
                Received answer = caller.read();
                assertEquals(answer.body(), "kept");
                assertEquals(answer.field("Connection"), "close");
            }
            assertEquals(Await.end("the end of the process", process), TERMINATED);
        }
    }

    private static void serveOne(World world, Caller caller, String text) throws Exception {
        caller.send(World.request("lookup", "/api", "").replace("id-1", text));
        world.call().reply("200 OK", text);
        assertEquals(caller.read().body(), text);
    }

    /**
     * The virtual machine's own reaction to SIGHUP is to exit, which would be a crash for an
     * operator who only replaced a file.
     */
    @Test
    public void sighupReloadsTheConfigurationWhileServing() throws Exception {
        try (World world = new World(1)) {
            Path file = Files.createTempFile("cedarrudder", ".json");
            Files.writeString(file, world.configuration());
            Process process = serve(file);
            BufferedReader lines =
                    new BufferedReader(
                            new InputStreamReader(
                                    process.getInputStream(), StandardCharsets.UTF_8));
            awaitLine(process, lines, "proxy.started");
            try (Caller caller = world.caller()) {
                caller.send(World.request("order", "/api", "x"));
                Received taken = world.call();
                Files.writeString(file, "{");
                ProxyUnderTest.signal(process, "HUP");
                awaitLine(process, lines, "configuration.rejected");
                world.discovery = world.new Peer(world.lookups);
                Files.writeString(file, world.configuration());
                ProxyUnderTest.signal(process, "HUP");
                while (World.await(world.lookups).socket().getLocalPort()
                        != world.discovery.server.getLocalPort()) {
                    // a watch at the old address
                }
                taken.reply("200 OK", "kept");
                assertEquals(caller.read().body(), "kept");
                ProxyUnderTest.signal(process, "HUP");
                process.destroy();
            }
            assertEquals(Await.end("the end of the process", process), TERMINATED);
        }
    }

    @Test
    public void sighupReloadsTheOperatorsFileAndAnInvalidOneChangesNothing() throws Exception {
        Path operator = Files.createTempFile("operator", ".toml");
        try (World world = new World(1)) {
            Path file = Files.createTempFile("cedarrudder", ".json");
            Files.writeString(file, world.configuration());
            Files.writeString(operator, "[callers]\nbody_bytes = 3\n[log]\nformat = \"json\"\n");
            Process process =
                    serve(file, "--operator", operator.toString(), "--log-level", "debug");
            BufferedReader lines =
                    new BufferedReader(
                            new InputStreamReader(
                                    process.getInputStream(), StandardCharsets.UTF_8));
            String said = awaitLine(process, lines, "proxy.started");
            assertEquals(event(said, "proxy.started").text("name", null), "example");
            Files.writeString(
                    operator, "[callers]\nbody_bytes = 300\nidle = 1\n[log]\nformat = \"xml\"\n");
            ProxyUnderTest.signal(process, "HUP");
            JsonObject kept =
                    event(
                            awaitLine(process, lines, "operator_file.rejected"),
                            "operator_file.rejected");
            assertEquals(kept.integer("problems"), 2);
            assertTrue(
                    kept.text("first", null)
                            .contains(".toml:3: callers.idle: found an unknown key"));
            assertEquals(answer(world, "four"), "HTTP/1.1 413 Content Too Large");
            Files.writeString(operator, "[callers]\nbody_bytes = 300\n");
            ProxyUnderTest.signal(process, "HUP");
            awaitLine(process, lines, "operator_file.reloaded");
            assertEquals(answer(world, "four"), "HTTP/1.1 200 OK");
            ProxyUnderTest.signal(process, "TERM");
            awaitLine(process, lines, "INFO proxy.shutdown_started");
            assertEquals(Await.end("the end of the process", process), TERMINATED);
        } finally {
            Files.delete(operator);
        }
    }

    /** Returns the last line of a log whose lines must all be JSON; it must have this event. */
    private static JsonObject event(String said, String event) {
        List<JsonObject> entries = said.lines().map(JsonObject::parse).toList();
        JsonObject last = entries.get(entries.size() - 1);
        assertEquals(last.text("event", null), event);
        return last;
    }

    /**
     * Returns the first line of the answer to a request with this body; an endpoint answers the
     * requests that reach it.
     */
    private static String answer(World world, String body) throws Exception {
        try (Caller caller = world.caller()) {
            Thread node =
                    new Thread(
                            () -> {
                                try {
                                    world.call().reply("200 OK", "done");
                                } catch (InterruptedException | IOException e) {
                                    Thread.currentThread()
                                            .interrupt(); // the request was rejected before it
                                    // reached the endpoint
                                    // here
                                }
                            });
            node.start();
            caller.send(World.request("order", "/api", body));
            String first = caller.read().first();
            node.interrupt();
            Await.end("the end of the endpoint's thread", node);
            return first;
        }
    }

    @Test
    public void aFailedStartIsExplainedInOneLine() throws Exception {
        try (World world = new World(1)) {
            String taken =
                    world.configuration()
                            .replace(
                                    ":" + world.port,
                                    ":" + world.nodes.get(0).server.getLocalPort());
            for (String configuration : new String[] {"{", "{}", taken}) {
                Process process = serve(configuration);
                String said = Await.all("the end of the process", process);
                // Short of cores the event loop also logs its delay.
                List<String> lines =
                        said.lines().filter(line -> !line.contains(" loop.delayed ")).toList();
                assertEquals(lines.size(), 1, said);
                assertTrue(lines.get(0).startsWith("cedarrudder: "), said);
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
        try (World world = new World(1);
                ProxyUnderTest proxy = new ProxyUnderTest(world, state, "", watched, List.of())) {
            proxy.awaitLine("proxy.started");
        }
        String classes = Files.readString(loaded);
        assertTrue(classes.contains("logging.InternalLoggerFactory "), classes);
        assertFalse(classes.contains("logging.Slf4J"), "the start searched for SLF4J");
    }
}
