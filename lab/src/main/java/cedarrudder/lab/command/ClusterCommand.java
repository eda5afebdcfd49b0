package cedarrudder.lab.command;

import cedarrudder.lab.cluster.Cluster;
import cedarrudder.lab.cluster.RandomScript;
import cedarrudder.lab.cluster.Script;
import cedarrudder.lab.cluster.ScriptReader;
import cedarrudder.lab.cluster.ServiceSummary;
import cedarrudder.lab.cluster.Verdict;
import cedarrudder.lab.cluster.VirtualRun;
import cedarrudder.lab.emulator.HostEnvironment;
import cedarrudder.lab.membership.SwimSimulation;
import cedarrudder.membership.MembershipSettings;
import cedarrudder.toml.InvalidFileException;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine.ArgGroup;
import picocli.CommandLine.Command;
import picocli.CommandLine.ExitCode;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** {@code cluster}: real replicas, faults between them, and the judge. */
@Command(
        name = "cluster",
        description =
                "Plays a script of faults against copies of the daemon, with a relay between each"
                        + " two, and judges what they wrote. Exit code 1 where a rule was broken.")
final class ClusterCommand implements Callable<Integer> {

    private static final int MAX_VIRTUAL = 1_000;
    private static final int SETTLE = 90;
    private static final int MAX_SHOWN = 100;
    private static final long MICRO = 1_000;

    /** A script of a file, or one that each seed draws. */
    static final class What {
        @Parameters(paramLabel = "SCRIPT", description = "A script in TOML (docs/CLUSTER.md).")
        private Path file;

        @Option(names = "--draw", description = "Draws a script from each seed instead.")
        private boolean draw;

        @Option(
                names = "--virtual",
                description = "Plays the same state machines in virtual time instead.")
        private boolean virtual;
    }

    @Spec private CommandSpec spec;

    @ArgGroup(multiplicity = "1")
    private What what;

    @Mixin private Seeds seeds = new Seeds();

    @Option(
            names = "--copies",
            paramLabel = "N",
            defaultValue = "5",
            description =
                    "With --draw: copies, from 3 to 30, with --virtual to 1000; ${DEFAULT-VALUE}"
                            + " where not given.")
    private int replicas;

    @Option(
            names = "--loss",
            paramLabel = "SHARE",
            defaultValue = "0",
            description = "With --virtual: datagrams lost; ${DEFAULT-VALUE} where not given.")
    private double loss;

    @Option(
            names = "--root",
            paramLabel = "DIR",
            defaultValue = ".",
            description = "The checkout whose daemon is played; ${DEFAULT-VALUE} where not given.")
    private Path root;

    @Option(
            names = "--out",
            paramLabel = "DIR",
            defaultValue = "out/cluster",
            description =
                    "Takes histories and logs, a folder a seed; ${DEFAULT-VALUE} where not given.")
    private Path out;

    @Override
    public Integer call() throws InvalidFileException, IOException, InterruptedException {
        int max = what.virtual ? MAX_VIRTUAL : Script.MAX;
        if (replicas < Script.MIN || replicas > max || loss < 0 || loss >= 1) {
            throw new ParameterException(
                    spec.commandLine(),
                    "--copies: found "
                            + replicas
                            + "; allowed: from "
                            + Script.MIN
                            + " to "
                            + max
                            + "; --loss: found "
                            + loss
                            + "; allowed: from 0 to below 1");
        }
        Script script = what.file == null ? null : ScriptReader.read(what.file);
        long[] range = seeds.range(spec);
        PrintWriter print = spec.commandLine().getOut();
        print.printf(
                "%5s %6s %8s %7s %7s %9s %7s %9s %7s %6s  %s%n",
                "seed",
                "copies",
                "events",
                "RPCs",
                "deaths",
                "slowest s",
                "false",
                "agreed s",
                "leaders",
                "tables",
                "verdict");
        boolean good = true;
        for (long seed = range[0]; seed <= range[1]; seed++) {
            int playing = script == null ? replicas : script.replicas();
            Verdict verdict =
                    what.virtual
                            ? VirtualRun.play(
                                    replicas,
                                    new SwimSimulation.Network(loss, 100 * MICRO, 2_000 * MICRO),
                                    MembershipSettings.DEFAULT,
                                    seed,
                                    SETTLE)
                            : Cluster.play(
                                    script == null ? RandomScript.of(seed, replicas) : script,
                                    seed,
                                    HostEnvironment.of(
                                            root, out.resolve("seed-" + seed), List.of(), 0, 0));
            good &= verdict.good();
            print.printf(
                    Locale.ROOT,
                    "%5d %6d %8d %7d %7d %9.1f %7d %9.1f %7d %6d  %s%n",
                    seed,
                    playing,
                    verdict.events(),
                    verdict.requests(),
                    verdict.deaths(),
                    verdict.slowestSeconds(),
                    verdict.falseDeaths(),
                    verdict.agreedSeconds(),
                    verdict.leaders(),
                    verdict.tables(),
                    verdict.good() ? "kept" : "BROKEN");
            ServiceSummary service = verdict.service();
            print.printf(
                    Locale.ROOT,
                    "      refused %d, failed %d, later than 0.3 s %d",
                    service.refused(),
                    service.failed(),
                    service.late());
            print.println(
                    service.removals() == 0
                            ? ""
                            : String.format(
                                    Locale.ROOT,
                                    "; nodes removed in %.1f s",
                                    service.removalSeconds()));
            verdict.breaches().stream()
                    .limit(MAX_SHOWN)
                    .forEach(
                            breach ->
                                    print.println("      " + breach.rule() + ": " + breach.why()));
            if (verdict.breaches().size() > MAX_SHOWN) {
                print.println("      and " + (verdict.breaches().size() - MAX_SHOWN) + " more");
            }
            verdict.found().forEach(each -> print.println("      " + each));
            print.flush();
        }
        return good ? ExitCode.OK : ExitCode.SOFTWARE;
    }
}
