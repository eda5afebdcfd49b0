package cedarrudder.simulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Runs the built jar as users run it. */
class JarIT {
    private static final long NOW = 1_000_000_000L;

    private record Run(int exit, byte[] out, String err) {}

    private static Run run(byte[] input, String... arguments)
            throws IOException, InterruptedException {
        List<String> command =
                new ArrayList<>(
                        List.of(
                                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                                "-jar",
                                "daemon/target/cedarrudder.jar"));
        command.addAll(Arrays.asList(arguments));
        Process process = new ProcessBuilder(command).start();
        try (OutputStream in = process.getOutputStream()) {
            in.write(input);
        } catch (IOException e) {
            // The process may have exited without reading its input; its output and exit code show
            // that.
        }
        byte[] out = process.getInputStream().readAllBytes();
        String err = new String(process.getErrorStream().readAllBytes(), StandardCharsets.UTF_8);
        assertTrue(process.waitFor(30, TimeUnit.SECONDS));
        return new Run(process.exitValue(), out, err);
    }

    private static byte[] exchange() {
        return new Frames(NOW)
                .to(3)
                .start(7, Frames.SETTINGS)
                .inventory(0, 11)
                .view(SimulatorWire.VIEW_CACHED, 0)
                .knock(5, NOW + 1_000_000_000L)
                .bytes();
    }

    @Test
    void servesAnExchangeAndExitsAtTheEndOfInput() throws Exception {
        for (String[] arguments :
                new String[][] {{"adapter"}, {"adapter", "--set", "max-age-ms=1500"}}) {
            Run run = run(exchange(), arguments);
            assertEquals(0, run.exit, run.err);
            assertTrue(Frames.actions(run.out).contains("3 send 5 11"));
            assertEquals("", run.err);
        }
    }

    @Test
    void reportsInvalidInputInOneLine() throws Exception {
        Run run = run(Arrays.copyOf(exchange(), 100), "adapter");
        assertEquals(1, run.exit);
        assertEquals(0, run.out.length);
        assertEquals(1, run.err.lines().count(), run.err);
        assertTrue(run.err.startsWith("cedarrudder: batch 1: input ends"), run.err);
    }

    @Test
    void reportsInvalidArgumentsBeforeTheUsage() throws Exception {
        String[][] wrong = {
            {},
            {"simhost"},
            {"adapter", "more"},
            {"serve", "--speed"},
            {"version", "--set"},
            {"check"},
            {"serve", "--log-format", "xml"},
            {"adapter", "--set", "max-ag-ms=1"},
            {"adapter", "--set"}
        };
        String[] named = {
            "no command", "simhost", "more", "--speed", "--set", "FILE", "xml", "max-ag-ms", "--set"
        };
        for (int i = 0; i < wrong.length; i++) {
            Run run = run(new byte[0], wrong[i]);
            assertEquals(2, run.exit);
            assertEquals(0, run.out.length);
            List<String> lines = run.err.lines().toList();
            assertTrue(
                    lines.get(0).startsWith("cedarrudder: ") && lines.get(0).contains(named[i]),
                    run.err);
            assertTrue(lines.get(1).startsWith("Usage: cedarrudder"), run.err);
        }
    }

    @Test
    void checksOperatorsFiles() throws Exception {
        Run good = run(new byte[0], "check", "deploy/operator.toml");
        assertEquals(0, good.exit, good.err);
        assertEquals("deploy/operator.toml: good\n", new String(good.out, StandardCharsets.UTF_8));
        Path bad = Files.createTempFile("operator", ".toml");
        try {
            Files.writeString(bad, "[nodes]\nbody_byte = 1\n[log]\nlevel = 3\n");
            Run run =
                    run(new byte[0], "check", bad.toString(), "deploy/operator.toml", "none.toml");
            assertEquals(1, run.exit);
            assertEquals("", run.err);
            assertEquals(
                    List.of(
                            bad
                                    + ":2: nodes.body_byte: found an unknown key; allowed: did you"
                                    + " mean 'body_bytes'?",
                            bad + ":4: log.level: found 3; allowed: debug, info, warn, error",
                            "deploy/operator.toml: good",
                            "none.toml: found no such file; allowed: a TOML file"),
                    new String(run.out, StandardCharsets.UTF_8).lines().toList());
            Run serve = run(new byte[0], "serve", "--operator", bad.toString());
            assertEquals(1, serve.exit);
            assertEquals(
                    2, serve.err.lines().filter(l -> l.startsWith("cedarrudder: " + bad)).count());
        } finally {
            Files.delete(bad);
        }
    }

    @Test
    void printsVersionAndUsageOnRequest() throws Exception {
        Run version = run(new byte[0], "version");
        assertEquals(0, version.exit, version.err);
        String said = new String(version.out, StandardCharsets.UTF_8);
        assertTrue(said.matches("cedarrudder \\d+\\.\\S+, Java 17\\S*\\R"), said);
        Run help = run(new byte[0], "serve", "--help");
        assertEquals(0, help.exit);
        assertTrue(
                new String(help.out, StandardCharsets.UTF_8)
                        .startsWith("Usage: cedarrudder serve"));
    }
}
