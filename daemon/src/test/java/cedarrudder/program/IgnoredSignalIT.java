package cedarrudder.program;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import cedarrudder.balancer.Await;
import cedarrudder.program.ProxyHarness.Received;
import cedarrudder.toml.ConfigDocument;
import java.io.BufferedReader;
import java.io.File;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests the proxy when its parent ignores signals, as {@code nohup} and some service managers do.
 * POSIX passes ignored signals on to every program that is started, and the virtual machine
 * installs no handler for a shutdown signal that it finds ignored.
 *
 * <p>The failure: SIGHUP was lost, so the proxy kept asking the discovery that the configuration no
 * longer named. Requests went to drained and removed endpoints, and days of the users' bench broke
 * their rule {@code drain}. With the same build and seed (brink 880101, the herd day 6) all rules
 * were kept when started from a terminal; under {@code nohup} the rule {@code drain} was broken,
 * and each of the 14 proxies logged {@code sighup.ignored}.
 */
public class IgnoredSignalIT {

    private static final String IGNORES = "trap '' HUP TERM; ";

    /** Returns the commands that the project offers for starting a proxy. */
    @DataProvider
    public Object[][] commands() throws Exception {
        String platform =
                ConfigDocument.read(Path.of("deploy", "balancer.toml")).root().text("run", null);
        return new Object[][] {{platform}, {"exec ./cedarrudder serve"}};
    }

    private static Process start(String command, Path configuration) throws IOException {
        ProcessBuilder builder =
                new ProcessBuilder("/bin/sh", "-c", IGNORES + "exec /bin/sh -c \"$0\"", command)
                        .redirectErrorStream(true);
        builder.environment().put("BALANCER_CONFIG", configuration.toString());
        builder.environment().put("TMPDIR", Files.createTempDirectory("signals").toString());
        // The Java that made the class-data archive; another one would reject the archive.
        builder.environment()
                .merge(
                        "PATH",
                        Path.of(System.getProperty("java.home"), "bin").toString(),
                        (path, own) -> own + File.pathSeparator + path);
        return builder.start();
    }

    /** Waits for the start and returns the further output of the process. */
    private static BufferedReader awaitStart(Process process) throws Exception {
        BufferedReader log = process.inputReader(StandardCharsets.UTF_8);
        Await.line("the start of the proxy", process, log, line -> line.contains("proxy.started"));
        return log;
    }

    private static boolean nextLookupIsAt(ProxyHarness harness, int port) {
        Received lookup = harness.lookups.poll();
        return lookup != null && lookup.socket().getLocalPort() == port;
    }

    /** SIGHUP must make the proxy use the new address of discovery. */
    @Test(dataProvider = "commands")
    public void sighupSwitchesToTheNewDiscoveryAddress(String command) throws Exception {
        Path file = Files.createTempFile("cedarrudder", ".json");
        try (ProxyHarness harness = new ProxyHarness(1)) {
            Files.writeString(file, harness.configuration());
            Process process = start(command, file);
            try {
                awaitStart(process);
                int former = harness.discovery.server.getLocalPort();
                harness.discovery = harness.new Peer(harness.lookups);
                int moved = harness.discovery.server.getLocalPort();
                assertNotEquals(moved, former);
                Files.writeString(file, harness.configuration());
                ProxyUnderTest.signal(process, "HUP");
                Await.until(
                        "a request to the moved discovery", () -> nextLookupIsAt(harness, moved));
            } finally {
                process.destroyForcibly();
            }
        }
    }

    /** SIGTERM must drain the proxy, which would otherwise be killed with requests in flight. */
    @Test(dataProvider = "commands")
    public void sigtermDrainsTheProxy(String command) throws Exception {
        Path file = Files.createTempFile("cedarrudder", ".json");
        try (ProxyHarness harness = new ProxyHarness(1)) {
            Files.writeString(file, harness.configuration());
            Process process = start(command, file);
            try {
                BufferedReader log = awaitStart(process);
                ProxyUnderTest.signal(process, "TERM");
                String rest = Await.all("the end of the process", process, log);
                assertTrue(rest.contains("proxy.shutdown_started"), rest);
                assertEquals(
                        Await.end("the end of the process", process), ProxyUnderTest.TERMINATED);
            } finally {
                process.destroyForcibly();
            }
        }
    }
}
