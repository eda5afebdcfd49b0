package cedarrudder.program;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertTrue;

import cedarrudder.program.ProxyHarness.Client;
import cedarrudder.toml.ConfigDocument;
import java.io.File;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

/** Tests the command that the platform starts, and whether it uses the class-data archive. */
public class ClassDataIT {

    /**
     * The source that the virtual machine's list of loaded classes gives for the archive of the
     * build.
     */
    private static final String FROM_ARCHIVE = "shared objects file (top)";

    private static final String JAR = "daemon/target/cedarrudder.jar";
    private static final int TIMEOUT_MILLIS = 20_000;

    /** The result of a run: the source of each class, and the text of both output streams. */
    private record Run(Map<String, String> sources, String out, String err) {}

    /**
     * Starts the command, waits until the proxy is ready, serves a request and ends the process.
     */
    private static Run run(String command) throws IOException, InterruptedException {
        Path loaded = Files.createTempFile("cedarrudder", ".classes");
        Path out = Files.createTempFile("cedarrudder", ".out");
        Path err = Files.createTempFile("cedarrudder", ".err");
        Path configuration = Files.createTempFile("cedarrudder", ".json");
        try (ProxyHarness harness = new ProxyHarness(1)) {
            Files.writeString(configuration, harness.configuration());
            ProcessBuilder builder =
                    new ProcessBuilder(
                                    "/bin/sh",
                                    "-c",
                                    command.replaceFirst(
                                            "^(exec (?:env \\S+ )?java) ",
                                            "$1 -Xlog:class+load:file=" + loaded + " "))
                            .redirectOutput(out.toFile())
                            .redirectError(err.toFile());
            builder.environment().put("BALANCER_CONFIG", configuration.toString());
            // The Java that made the archive; another one would reject the archive.
            builder.environment()
                    .merge(
                            "PATH",
                            Path.of(System.getProperty("java.home"), "bin").toString(),
                            (path, own) -> own + File.pathSeparator + path);
            Process process = builder.start();
            try {
                for (int i = 0; !Files.readString(err).contains("proxy.started"); i++) {
                    assertTrue(process.isAlive() && i < TIMEOUT_MILLIS, Files.readString(err));
                    Thread.sleep(1);
                }
                try (Client client = harness.client()) {
                    client.send(ProxyHarness.request("lookup", "/api", ""));
                    harness.nextRequest().reply("200 OK", "served");
                    assertEquals(client.read().body(), "served");
                }
            } finally {
                process.destroy();
                assertTrue(process.waitFor(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
            }
            Map<String, String> sources = new HashMap<>();
            for (String line : Files.readAllLines(loaded, StandardCharsets.UTF_8)) {
                // [0.042s][info][class,load] cedarrudder.balancer.PrequalBalancer source: shared
                // objects file (top)
                String[] parts =
                        line.substring(line.lastIndexOf(']') + 1).strip().split(" source: ");
                if (parts.length == 2) {
                    sources.put(parts[0], parts[1]);
                }
            }
            return new Run(sources, Files.readString(out), Files.readString(err));
        } finally {
            for (Path file : List.of(loaded, out, err, configuration)) {
                Files.deleteIfExists(file);
            }
        }
    }

    private static String command() throws Exception {
        ConfigDocument deploy = ConfigDocument.read(Path.of("deploy", "balancer.toml"));
        String command = deploy.root().text("run", null);
        assertTrue(command.matches("exec (env \\S+ )?java .*"), command);
        return command;
    }

    @Test
    public void thePlatformsCommandLoadsItsClassesFromTheArchiveAndPrintsNothingOnStandardOutput()
            throws Exception {
        Run run = run(command());
        assertEquals(run.out, "");
        for (String name :
                List.of(
                        "cedarrudder.program.Main",
                        "cedarrudder.program.ProxyServer",
                        "cedarrudder.balancer.PrequalBalancer",
                        "cedarrudder.forwarding.RequestForwarder",
                        "cedarrudder.transport.HttpServer",
                        "cedarrudder.logging.Logger",
                        "io.netty.channel.nio.NioEventLoop")) {
            assertEquals(run.sources.get(name), FROM_ARCHIVE, name);
        }
        // Netty's bridges to absent logging libraries can't be archived.
        List<String> fromJar =
                run.sources.entrySet().stream()
                        .filter(e -> e.getValue().contains("cedarrudder.jar"))
                        .map(Map.Entry::getKey)
                        .filter(name -> !name.startsWith("io.netty.util.internal.logging."))
                        .toList();
        assertTrue(fromJar.isEmpty(), "the training in deploy/ClassData.java misses " + fromJar);
    }

    /**
     * Classes that only other commands and the operator's file need would cost start-up time and
     * memory.
     */
    @Test
    public void thePlatformsCommandLoadsNeitherTheArgumentParserNorTheTomlParser()
            throws Exception {
        Run run = run(command());
        assertNotNull(run.sources.get("cedarrudder.program.Main"));
        List<String> unwanted =
                run.sources.keySet().stream()
                        .filter(
                                name ->
                                        name.startsWith("picocli.")
                                                || name.startsWith("org.tomlj.")
                                                || name.startsWith("org.antlr.")
                                                || name.startsWith(
                                                        "cedarrudder.program.HistoryFile")
                                                || name.startsWith("cedarrudder.draining.")
                                                || name.startsWith("cedarrudder.conditions.")
                                                || name.startsWith("dev.cel.")
                                                || name.equals("cedarrudder.transport.SkewedClock")
                                                || name.startsWith("cedarrudder.footprint.")
                                                || name.startsWith(
                                                        "cedarrudder.protocol.EndpointListReader")
                                                || name.equals("cedarrudder.program.MachineLayout")
                                                || name.startsWith("cedarrudder.consensus.")
                                                || name.startsWith("cedarrudder.coordination.")
                                                || name.startsWith("cedarrudder.routetable.")
                                                || name.equals(
                                                        "cedarrudder.transport.ReplicaCoordinator")
                                                || name.equals("cedarrudder.program.FailoverWiring")
                                                || name.startsWith("cedarrudder.failover.")
                                                || name.equals(
                                                        "cedarrudder.program.CoordinationWiring")
                                                || name.equals(
                                                        "cedarrudder.program.FileStableStorage")
                                                || name.startsWith(
                                                        "cedarrudder.program.ProcessMemoryEstimate")
                                                || name.equals(
                                                        "cedarrudder.transport.MembershipService"))
                        .toList();
        assertEquals(unwanted, List.of(), unwanted.toString());
    }

    /**
     * The archive works only with the jar it was trained with. This test shows that the checks of
     * this class would notice an unused archive.
     */
    @Test
    public void aJarAtAnotherPathIsDetectedAsNotUsingTheArchive() throws Exception {
        Path copy = Files.createTempFile("cedarrudder", ".jar");
        try {
            Files.copy(
                    Path.of(JAR),
                    copy,
                    StandardCopyOption.REPLACE_EXISTING,
                    StandardCopyOption.COPY_ATTRIBUTES);
            Run run = run(command().replace("-jar " + JAR, "-jar " + copy));
            assertNotNull(run.sources.get("cedarrudder.balancer.PrequalBalancer"));
            assertNotEquals(run.sources.get("cedarrudder.balancer.PrequalBalancer"), FROM_ARCHIVE);
            assertTrue(run.out.contains("Unable to use shared archive"), run.out);
        } finally {
            Files.delete(copy);
        }
    }
}
