package cedarrudder.lab.command;

import cedarrudder.lab.emulator.EmulationResult;
import cedarrudder.lab.emulator.Emulator;
import cedarrudder.lab.emulator.HostEnvironment;
import cedarrudder.lab.scenario.Scenario;
import cedarrudder.lab.scenario.ScenarioReader;
import cedarrudder.toml.InvalidFileException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine.ArgGroup;
import picocli.CommandLine.Command;
import picocli.CommandLine.ExitCode;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** {@code emulate}: plays a scenario on sockets against daemon processes. */
@Command(
        name = "emulate",
        description =
                "Plays a scenario in real time on loopback sockets, with the built daemon as a"
                    + " process for each proxy. Exit code 1 where a rule was broken, or the machine"
                    + " ran late.")
final class EmulateCommand implements Callable<Integer> {

    @Spec private CommandSpec spec;

    @Parameters(paramLabel = "FILE", description = "The scenario, TOML.")
    private Path file;

    @ArgGroup private Seeds seeds = new Seeds();

    @Option(
            names = "--root",
            paramLabel = "DIR",
            defaultValue = ".",
            description =
                    "The checkout whose " + "daemon is run; the working directory where not given.")
    private Path root;

    @Option(
            names = "--out",
            paramLabel = "DIR",
            description =
                    "Takes the record, the configurations and the "
                            + "logs; a new folder among the temporary ones where not given.")
    private Path out;

    @Option(
            names = "--cpus",
            paramLabel = "LIST",
            split = ",",
            description =
                    "Processors that daemons are dealt to, one each, such as 1,2,3; needs taskset."
                            + " Else the system deals them.")
    private List<Integer> cpus = new ArrayList<>();

    @Option(
            names = "--memory-mb",
            paramLabel = "N",
            defaultValue = "192",
            description =
                    "A daemon that " + "holds more ends the run; ${DEFAULT-VALUE} where not given.")
    private int memory;

    @Option(
            names = "--sockets",
            paramLabel = "N",
            defaultValue = "1024",
            description = "Descriptors of a daemon at the most; ${DEFAULT-VALUE} where not given.")
    private int sockets;

    @Option(
            names = "--alone",
            description = "Does not play the model's runs of the same seeds beside it.")
    private boolean alone;

    @Option(names = "--quiet", description = "No line each second on standard error.")
    private boolean quiet;

    @Option(names = "--json", description = "Writes results as JSON, one run a line.")
    private boolean json;

    @Override
    public Integer call() throws InvalidFileException, IOException, InterruptedException {
        long[] range = seeds.range(spec);
        Scenario scenario = ScenarioReader.read(file);
        Path folder = out != null ? out : Files.createTempDirectory("cedarrudder-emulate");
        PrintWriter err = spec.commandLine().getErr();
        PrintWriter output = spec.commandLine().getOut();
        ModelComparison beside = new ModelComparison(scenario);
        boolean clean = true;
        for (long seed = range[0]; seed <= range[1]; seed++) {
            Path own = range[0] == range[1] ? folder : folder.resolve("seed-" + seed);
            HostEnvironment place = HostEnvironment.of(root, own, cpus, memory, sockets);
            EmulationResult emulated =
                    Emulator.play(
                            scenario,
                            seed,
                            place,
                            second -> {
                                if (!quiet) {
                                    err.println(line(second));
                                    err.flush();
                                }
                            });
            clean &= emulated.clean();
            String written = new ObjectMapper().writeValueAsString(emulated);
            Files.writeString(own.resolve("result.json"), written + "\n");
            if (json) {
                output.println(written);
            } else {
                text(emulated).forEach(output::println);
            }
            output.flush();
            if (!alone) {
                beside.add(emulated);
            }
        }
        if (!alone) {
            Path page = beside.write(folder.resolve("results"));
            if (!json) {
                beside.lines().forEach(output::println);
                output.println("report: " + page);
            }
        }
        output.flush();
        return clean ? ExitCode.OK : ExitCode.SOFTWARE;
    }

    /** A second as a line of a table. */
    static String line(Emulator.Second second) {
        return String.format(
                Locale.ROOT,
                "%4d s  tries %5d  served %5d  refused %4d  other %4d  p50 %7.1f  "
                        + "p99 %7.1f ms  proxies %d  nodes %d of %d",
                second.second(),
                second.tries(),
                second.served(),
                second.refused(),
                second.other(),
                second.p50Millis(),
                second.p99Millis(),
                second.proxiesUp(),
                second.nodesUp(),
                second.nodes());
    }

    /** What a run came to, for a terminal. */
    static List<String> text(EmulationResult emulated) {
        List<String> lines = new ArrayList<>();
        lines.add(emulated.result().scenario() + ", " + emulated.result().variant());
        lines.addAll(ResultText.runs(List.of(emulated.result())));
        lines.addAll(ResultText.details(emulated.result()));
        EmulationResult.Own own = emulated.own();
        lines.add(
                String.format(
                        Locale.ROOT,
                        "the emulator's own lateness: p50 %.2f, p99 %.2f, max %.1f ms at %.1f s, in"
                                + " the lead %.1f ms, over %d events; proxies ready after %.1f s",
                        own.p50(),
                        own.p99(),
                        own.max(),
                        own.maxAt(),
                        own.maxInLead(),
                        own.events(),
                        own.readySeconds()));
        if (own.ranLate()) {
            lines.add("THE MACHINE RAN LATE: this run tells nothing about the daemon");
        }
        if (emulated.lostAtRestarts() > 0) {
            lines.add("lost at planned restarts: " + emulated.lostAtRestarts() + " RPCs");
        }
        long max =
                emulated.proxies().stream()
                        .mapToLong(EmulationResult.ProxyUse::residentKib)
                        .max()
                        .orElse(0);
        long open =
                emulated.proxies().stream()
                        .mapToLong(EmulationResult.ProxyUse::descriptors)
                        .max()
                        .orElse(0);
        double cpu =
                emulated.proxies().stream().mapToDouble(EmulationResult.ProxyUse::cpuSeconds).sum();
        lines.add(
                String.format(
                        Locale.ROOT,
                        "%d proxies: at most %.1f MiB and %d descriptors each, %.1f "
                                + "s of processor time together",
                        emulated.proxies().size(),
                        max / 1024.0,
                        open,
                        cpu));
        for (int i = 0; i < emulated.quarters().size(); i++) {
            EmulationResult.Quarter quarter = emulated.quarters().get(i);
            lines.add(
                    String.format(
                            Locale.ROOT,
                            "quarter %d: a daemon held %.1f MiB and %.0f descriptors "
                                    + "at the median, %.1f MiB at the most",
                            i + 1,
                            quarter.residentKib() / 1024.0,
                            quarter.descriptors(),
                            quarter.maxKib() / 1024.0));
        }
        lines.add("record: " + emulated.record());
        return lines;
    }
}
