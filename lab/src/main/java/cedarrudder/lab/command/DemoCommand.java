package cedarrudder.lab.command;

import cedarrudder.lab.emulator.EmulationResult;
import cedarrudder.lab.emulator.Emulator;
import cedarrudder.lab.emulator.HostEnvironment;
import cedarrudder.lab.result.RunResult;
import cedarrudder.lab.scenario.Scenario;
import cedarrudder.lab.scenario.ScenarioReader;
import cedarrudder.toml.InvalidFileException;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.ExitCode;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** {@code demo}: half a minute of all of it on sockets. */
@Command(
        name = "demo",
        description =
                "Starts discovery, three tiers and a daemon for each caller on loopback, loads them"
                    + " for half a minute with a node killed and one turned slow, and ends all that"
                    + " it started.")
final class DemoCommand implements Callable<Integer> {

    private static final Path SCENARIO = Path.of("lab", "scenarios", "hut.toml");
    private static final int MEMORY_MB = 192;
    private static final int SOCKETS = 1024;
    private static final long MICROS = 1_000_000L;

    @Spec private CommandSpec spec;

    @Option(
            names = "--root",
            paramLabel = "DIR",
            defaultValue = ".",
            description =
                    "The checkout whose daemon is run; the working directory where not given.")
    private Path root;

    @Option(
            names = "--scenario",
            paramLabel = "FILE",
            description = "Plays another scenario than lab/scenarios/hut.toml.")
    private Path file;

    @Option(
            names = "--seed",
            paramLabel = "N",
            description = "The run's seed; from the clock where not given.")
    private Long seed;

    @Override
    public Integer call() throws InvalidFileException, IOException, InterruptedException {
        PrintWriter out = spec.commandLine().getOut();
        Scenario scenario = ScenarioReader.read(file != null ? file : root.resolve(SCENARIO));
        long chosen = seed != null ? seed : System.currentTimeMillis() % MICROS;
        Path folder = Files.createTempDirectory("cedarrudder-demo");
        out.println(
                "starting discovery, "
                        + scenario.tiers().size()
                        + " tiers and their daemons (seed "
                        + chosen
                        + ")");
        out.flush();
        EmulationResult emulated =
                Emulator.play(
                        scenario,
                        chosen,
                        HostEnvironment.of(root, folder, List.of(), MEMORY_MB, SOCKETS),
                        second -> {
                            out.println(EmulateCommand.line(second));
                            out.flush();
                        });
        ModelComparison beside = new ModelComparison(scenario);
        beside.add(emulated);
        Path page = beside.write(folder.resolve("results"));
        print(out, emulated);
        out.println("report:   " + page);
        out.flush();
        return emulated.clean() ? ExitCode.OK : ExitCode.SOFTWARE;
    }

    private static void print(PrintWriter out, EmulationResult emulated) {
        RunResult result = emulated.result();
        long inAim = result.classes().stream().mapToLong(RunResult.ClassResult::inAim).sum();
        long late = result.classes().stream().mapToLong(RunResult.ClassResult::late).sum();
        result.faults()
                .forEach(
                        fault ->
                                out.println(
                                        String.format(
                                                Locale.ROOT,
                                                "fault:    %s in %s from %.1f to %.1f s",
                                                fault.trouble().toLowerCase(Locale.ROOT),
                                                fault.tier(),
                                                fault.from(),
                                                fault.to())));
        out.println(
                String.format(
                        Locale.ROOT,
                        "served:   %d of %d requests, %d of them in time",
                        inAim + late,
                        result.requests(),
                        inAim));
        out.println(
                String.format(
                        Locale.ROOT,
                        "latency:  p50 %.1f ms, p99 %.1f ms",
                        result.latency().p50(),
                        result.latency().p99()));
        out.println(
                String.format(
                        Locale.ROOT, "attempts: %.3f a request over all tiers", result.attempts()));
        out.println("rules:    " + (result.breaches().isEmpty() ? "kept" : "broken"));
        result.breaches().forEach(breach -> out.println("          " + ResultText.breach(breach)));
        if (!result.finding().isEmpty()) {
            out.println("ended:    " + result.finding());
        }
        if (emulated.own().ranLate()) {
            out.println(
                    String.format(
                            Locale.ROOT,
                            "NOTE:     this machine ran late (p99 %.1f ms, at most "
                                    + "%.1f); the figures tell little about the daemon",
                            emulated.own().p99(),
                            emulated.own().max()));
        }
    }
}
