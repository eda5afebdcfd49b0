package cedarrudder.program;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import cedarrudder.balancer.Await;
import cedarrudder.program.ProxyHarness.Client;
import cedarrudder.program.ProxyHarness.Received;
import cedarrudder.protocol.JsonObject;
import java.io.BufferedReader;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** One process of the built proxy, with an address for operators of its own. */
final class ProxyUnderTest implements AutoCloseable {

    /** The exit code of a process that ended because of SIGTERM. */
    static final int TERMINATED = 128 + 15;

    /**
     * The option of {@code env} that restores the default handling of signals which the process
     * running the tests ignores; deploy/balancer.toml uses the same option.
     */
    static final String DEFAULT_SIGNALS = "--default-signal=HUP,TERM";

    static final String JAR = "daemon/target/cedarrudder.jar";

    final int admin;
    final Process process;
    final BufferedReader log;

    ProxyUnderTest(ProxyHarness harness, Path state) throws IOException {
        this(harness, state, "", List.of(), List.of());
    }

    /**
     * @param before the shell commands before the process is started, such as a limit of its own
     * @param machine options of the virtual machine
     * @param options options of {@code serve}
     */
    ProxyUnderTest(
            ProxyHarness harness,
            Path state,
            String shellPrefix,
            List<String> machine,
            List<String> options)
            throws IOException {
        this(harness, state, shellPrefix, machine, List.of("-jar", JAR), options);
    }

    /**
     * @param program the arguments by which the virtual machine finds the program to run
     */
    ProxyUnderTest(
            ProxyHarness harness,
            Path state,
            String shellPrefix,
            List<String> machine,
            List<String> program,
            List<String> options)
            throws IOException {
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            admin = free.getLocalPort();
        }
        Path file = Files.createTempFile("cedarrudder", ".json");
        Files.writeString(file, harness.configuration());
        List<String> command =
                new ArrayList<>(
                        List.of(
                                "/bin/sh",
                                "-c",
                                shellPrefix + " exec env " + DEFAULT_SIGNALS + " \"$0\" \"$@\"",
                                Path.of(System.getProperty("java.home"), "bin", "java")
                                        .toString()));
        command.addAll(machine);
        command.addAll(program);
        command.add("serve");
        command.addAll(options);
        ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
        builder.environment().put("BALANCER_CONFIG", file.toString());
        builder.environment().put("BALANCER_ADMIN_ADDR", "127.0.0.1:" + admin);
        builder.environment().put("TMPDIR", state.toString());
        process = builder.start();
        log = process.inputReader(StandardCharsets.UTF_8);
    }

    /**
     * Starts a process with the virtual machine's options of the deploy file, until it is ready.
     */
    static ProxyUnderTest startAsDeployed(ProxyHarness harness, Path state) throws Exception {
        List<String> machine = MemoryUnderSlowClientsIT.deployOptions();
        ProxyUnderTest proxy = new ProxyUnderTest(harness, state, "", machine, List.of());
        proxy.awaitReady();
        return proxy;
    }

    void awaitLine(String part) throws IOException, InterruptedException {
        Await.line(
                part,
                process,
                log,
                line -> {
                    assertTrue(!line.contains("discovery.failed call=list"), line);
                    return line.contains(part);
                });
    }

    /** Returns the rest of the log, up to the end of the process. */
    String rest() throws IOException {
        return Await.all("the end of the process", process, log);
    }

    /** Waits until the process is ready to serve, without reading its log. */
    void awaitReady() throws Exception {
        Await.until(
                "a positive answer of /-/ready",
                () -> {
                    try {
                        return status("GET", "/-/ready") == 200;
                    } catch (IOException e) {
                        assertTrue(process.isAlive(), "the process ended: " + e);
                        return false;
                    }
                });
    }

    Received request(String method, String path) throws IOException {
        try (Client client = new Client(admin)) {
            return client.send(method + " " + path + " HTTP/1.1\r\nHost: ops\r\n\r\n").read();
        }
    }

    int status(String method, String path) throws IOException {
        return Integer.parseInt(request(method, path).first().split(" ")[1]);
    }

    long metric(String name) throws IOException {
        return JsonObject.parse(request("GET", "/-/metrics").body()).integer(name);
    }

    /**
     * Waits until a metric has this value. Where memory runs out, a request may end without an
     * answer.
     */
    void awaitMetric(String name, long value) throws Exception {
        Await.until(
                name + " at " + value,
                () -> {
                    Received page = request("GET", "/-/metrics");
                    return page != null && JsonObject.parse(page.body()).integer(name) == value;
                });
    }

    /** Returns the number of descriptors that the process has open. */
    int descriptors() {
        return Path.of("/proc", Long.toString(process.pid()), "fd").toFile().list().length;
    }

    void signal(String name) throws Exception {
        signal(process, name);
    }

    /**
     * Sends a signal. Unlike {@code destroy}, which closes the streams, this leaves the log
     * readable.
     */
    static void signal(Process process, String name) throws IOException, InterruptedException {
        Process kill = new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start();
        assertEquals(Await.end("the end of kill", kill), 0);
    }

    /** Sends SIGKILL and waits for the end, as if the machine had lost the process. */
    void kill() throws Exception {
        process.destroyForcibly();
        awaitEnd(128 + 9);
    }

    /** Waits until the process has ended, and checks its exit code. */
    void awaitEnd(int code) throws Exception {
        assertEquals(Await.end("the end of the process", process), code);
    }

    @Override
    public void close() {
        process.destroyForcibly();
    }
}
