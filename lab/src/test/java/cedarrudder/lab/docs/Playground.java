package cedarrudder.lab.docs;

import static org.testng.Assert.assertTrue;

import cedarrudder.lab.baselines.Policies;
import cedarrudder.lab.experiment.PlanReader;
import cedarrudder.lab.scenario.ScenarioReader;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * Plays the examples of one page, in their order, in a folder that looks like the checkout: small
 * files are replicas, with other ports, and whole modules are links. What the examples write stays
 * in the folder.
 */
final class Playground implements AutoCloseable {

    private static final long PATIENCE_NANOS = TimeUnit.SECONDS.toNanos(180);
    private static final long LOOK_MILLIS = 20;

    /** Before the exit code of a command, behind all that it said. */
    private static final String END = "\001ended ";

    private final Path root;
    private final Path folder;
    private final Ports ports = new Ports();

    Playground(Path root) throws IOException {
        this.root = root.toRealPath();
        folder = Files.createTempDirectory("examples").toRealPath();
        Files.createDirectory(folder.resolve("tmp"));
        mirror("", List.of("core", "conditions", "daemon", "deploy"));
        mirror("lab", List.of("src", "target"));
        mirror("lab/plans", List.of());
        mirror("lab/scenarios", List.of());
        try (Stream<Path> files = Files.walk(this.root.resolve("example"))) {
            for (Path file : files.filter(Files::isRegularFile).toList()) {
                Path copy = folder.resolve(this.root.relativize(file).toString());
                Files.createDirectories(copy.getParent());
                Files.writeString(copy, ports.put(Files.readString(file)));
            }
        }
    }

    /** Links to folders within one, and copies of its files that are as old as they. */
    private void mirror(String name, List<String> links) throws IOException {
        Files.createDirectories(folder.resolve(name));
        try (Stream<Path> entries = Files.list(root.resolve(name))) {
            for (Path entry : entries.toList()) {
                Path copy = folder.resolve(name).resolve(entry.getFileName());
                if (!Files.isDirectory(entry)) {
                    Files.copy(entry, copy, StandardCopyOption.COPY_ATTRIBUTES);
                } else if (links.contains(entry.getFileName().toString())) {
                    Files.createSymbolicLink(copy, entry);
                }
            }
        }
    }

    /** Runs or checks a block; an AssertionError names its place and what went otherwise. */
    void play(Block block) throws Exception {
        String file = block.marks().get("file");
        if (file != null) {
            Path written = folder.resolve(file);
            assertTrue(
                    written.getParent().toRealPath().startsWith(folder),
                    file + " is in the checkout");
            Files.writeString(written, ports.put(block.text()));
        }
        String kind = block.marks().getOrDefault("as", "");
        if (!kind.isEmpty()) {
            Path written = Files.writeString(folder.resolve("lab/plans/shown.toml"), block.text());
            if (kind.equals("plan")) {
                PlanReader.read(written, Policies.names(), ScenarioReader::read);
            } else {
                play(
                        new Block(
                                block.page(),
                                block.line(),
                                "console",
                                "$ ./cedarrudder check lab/plans/shown.toml\n"
                                        + "lab/plans/shown.toml: good\n"));
            }
        }
        if (block.isRun()) {
            run(block);
        }
    }

    private void run(Block block) throws Exception {
        List<Step> steps = Step.of(block);
        StringBuilder script = new StringBuilder("exec 3<&0 </dev/null\n");
        for (Step step : steps) {
            boolean sh = block.language().equals("sh");
            script.append(sh ? "(set -e\n" + step.command() + "\n)" : step.command())
                    .append("\nprintf '")
                    .append(END.replace("\001", "\\001"))
                    .append("%s\\n' $?\n");
        }
        script.append("read -r end <&3\n");
        Path said = folder.resolve("tmp/said");
        Path file = Files.writeString(folder.resolve("tmp/script"), ports.put(script.toString()));
        ProcessBuilder builder =
                new ProcessBuilder("sh", file.toString())
                        .directory(folder.toFile())
                        .redirectErrorStream(true)
                        .redirectOutput(said.toFile());
        builder.environment().keySet().removeIf(name -> name.startsWith("BALANCER_"));
        builder.environment().put("TMPDIR", folder.resolve("tmp").toString());
        builder.environment()
                .put(
                        "JAVA_OPTS",
                        "-XX:TieredStopAtLevel=1 -XX:+UseSerialGC -Djava.io.tmpdir="
                                + folder.resolve("tmp"));
        builder.environment()
                .compute(
                        "PATH",
                        (name, path) ->
                                Path.of(System.getProperty("java.home"), "bin") + ":" + path);
        Process shell = builder.start();
        try {
            String wrong = wrong(block, steps, said);
            if (!wrong.isEmpty()) {
                throw new AssertionError(
                        block.place() + ": " + wrong + "\nports " + ports.offset() + " higher");
            }
        } finally {
            end(shell);
        }
    }

    /**
     * Waits for the end of all commands, or until all that is shown has come from one that goes on.
     */
    private String wrong(Block block, List<Step> steps, Path file)
            throws IOException, InterruptedException {
        boolean goesOn = block.marks().containsKey("goes-on");
        long start = System.nanoTime();
        while (true) {
            boolean late = System.nanoTime() - start > PATIENCE_NANOS;
            String[] said = ports.takeBack(Files.readString(file)).split(END, -1);
            for (int i = 0; i < steps.size(); i++) {
                Step step = steps.get(i);
                boolean last = i == steps.size() - 1;
                String code = i + 1 < said.length ? said[i + 1].lines().findFirst().orElse("") : "";
                String text =
                        i < said.length
                                ? i == 0 ? said[0] : said[i].replaceFirst("^.*\n?", "")
                                : "";
                String expected = last ? block.marks().getOrDefault("exit", "0") : "0";
                if (code.isEmpty() && !(last && goesOn && step.matches(text))) {
                    if (late) {
                        return "no end of `" + step.command() + "`; it said\n" + text;
                    }
                    break;
                } else if (!code.isEmpty() && (!step.matches(text) || !code.equals(expected))) {
                    return "`" + step.command() + "` ended with " + code + " and said\n" + text;
                } else if (last) {
                    return "";
                }
            }
            Thread.sleep(LOOK_MILLIS);
        }
    }

    /** Ends the shell and all that it started; its end alone would leave the others. */
    private static void end(Process shell) throws InterruptedException {
        List<ProcessHandle> others = shell.descendants().toList();
        shell.destroyForcibly().waitFor();
        others.forEach(ProcessHandle::destroyForcibly);
        long start = System.nanoTime();
        while (others.stream().anyMatch(Playground::runs)) {
            assertTrue(System.nanoTime() - start < PATIENCE_NANOS, "no end of " + others);
            Thread.sleep(LOOK_MILLIS);
        }
    }

    /** A process that ended may stand in the system's table for long, but runs no command. */
    private static boolean runs(ProcessHandle process) {
        return process.isAlive() && process.info().command().isPresent();
    }

    @Override
    public void close() throws IOException {
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        } catch (UncheckedIOException e) {
            throw e.getCause();
        }
    }
}
