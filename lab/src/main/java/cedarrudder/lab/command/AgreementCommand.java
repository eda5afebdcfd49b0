package cedarrudder.lab.command;

import cedarrudder.consensus.ConsensusSettings;
import cedarrudder.consensus.RaftNode;
import cedarrudder.lab.checker.Violation;
import cedarrudder.lab.consensus.ConsensusSimulation;
import cedarrudder.lab.consensus.ConsensusTrial;
import cedarrudder.lab.consensus.FaultStorm;
import java.io.PrintWriter;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.ExitCode;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/**
 * {@code agreement}: whether replicas agree whatever goes wrong, and what it costs them when
 * nothing does.
 */
@Command(
        name = "agreement",
        description =
                "Plays agreement in virtual time: what a commit and another leader take and what"
                    + " copies send, or with --storms faults under the judge. Exit code 1 where a"
                    + " rule was broken, or where a commit or a leader did not come.")
final class AgreementCommand implements Callable<Integer> {

    private static final long MILLI = 1_000_000L;
    private static final int SHOWN = 10;

    @Spec private CommandSpec spec;

    @Mixin private Seeds seeds = new Seeds();

    @Option(names = "--storms", description = "Faults drawn from each seed, judged.")
    private boolean storms;

    @Option(
            names = "--sizes",
            split = ",",
            paramLabel = "N",
            defaultValue = "10,100,1000",
            description = "Copies; ${DEFAULT-VALUE} where not given.")
    private List<Integer> sizes;

    @Option(
            names = "--loss",
            split = ",",
            paramLabel = "SHARE",
            defaultValue = "0",
            description = "Datagrams lost; ${DEFAULT-VALUE} where not given.")
    private List<Double> losses;

    @Option(
            names = "--bytes",
            paramLabel = "N",
            defaultValue = "500",
            description = "What is committed each second; ${DEFAULT-VALUE} where not given.")
    private int bytes;

    @Option(
            names = "--deaths",
            paramLabel = "N",
            defaultValue = "10",
            description = "Leaders killed in each seed; ${DEFAULT-VALUE} where not given.")
    private int deaths;

    @Override
    public Integer call() {
        check(
                sizes.stream().allMatch(size -> size >= 5 && size <= 5_000),
                "--sizes",
                "from 5 to 5000 each");
        check(
                losses.stream().allMatch(loss -> loss >= 0 && loss < 1),
                "--loss",
                "from 0 to below 1 each");
        check(
                bytes >= 8 && bytes <= RaftNode.MAX_CONTENT,
                "--bytes",
                "from 8 to " + RaftNode.MAX_CONTENT);
        check(deaths >= 0 && deaths <= 1_000, "--deaths", "from 0 to 1000");
        long[] range = seeds.range(spec);
        PrintWriter out = spec.commandLine().getOut();
        boolean good = storms ? storms(range, out) : trials(range, out);
        out.flush();
        return good ? ExitCode.OK : ExitCode.SOFTWARE;
    }

    private static boolean storms(long[] range, PrintWriter out) {
        long loaded = 0;
        long leaders = 0;
        long answered = 0;
        int unsettled = 0;
        int broken = 0;
        for (long seed = range[0]; seed <= range[1]; seed++) {
            FaultStorm.Result result = FaultStorm.play(seed, RaftNode::new);
            loaded += result.loaded();
            leaders += result.leaders();
            answered += result.answered();
            if (result.settled() < 0) {
                out.println("seed " + seed + ": copies did not come to hold the same");
                unsettled++;
            }
            broken += result.breaches().isEmpty() ? 0 : 1;
            for (Violation breach :
                    result.breaches().subList(0, Math.min(SHOWN, result.breaches().size()))) {
                out.println("seed " + seed + ": " + breach);
            }
        }
        out.println(
                (range[1] - range[0] + 1)
                        + " seeds, "
                        + leaders
                        + " leaders, "
                        + loaded
                        + " times loaded, "
                        + answered
                        + " proposals answered; broken "
                        + broken
                        + ", not settled "
                        + unsettled);
        return broken + unsettled == 0;
    }

    private boolean trials(long[] range, PrintWriter out) {
        List<List<String>> rows = new ArrayList<>();
        rows.add(
                List.of(
                        "copies",
                        "loss",
                        "seeds",
                        "missed",
                        "commits",
                        "p50 s",
                        "p99 s",
                        "max s",
                        "deaths",
                        "leader p50 s",
                        "p99 s",
                        "max s",
                        "contact p50 s",
                        "p99 s",
                        "max s",
                        "idle bytes/s",
                        "most",
                        "busy bytes/s",
                        "most"));
        boolean all = true;
        for (int size : sizes) {
            for (double loss : losses) {
                ConsensusTrial trial =
                        new ConsensusTrial(
                                size,
                                new ConsensusSimulation.Network(loss, 0, 0, 2 * MILLI, 21 * MILLI),
                                ConsensusSettings.DEFAULT,
                                bytes,
                                deaths);
                for (long seed = range[0]; seed <= range[1]; seed++) {
                    trial.play(seed);
                }
                ConsensusTrial.Figures f = trial.figures();
                all &= f.missed() == 0;
                rows.add(
                        List.of(
                                Integer.toString(size),
                                figure(loss, 2),
                                Integer.toString(f.seeds()),
                                Long.toString(f.missed()),
                                Long.toString(f.commits()),
                                figure(f.commitP50(), 2),
                                figure(f.commitP99(), 2),
                                figure(f.maxCommit(), 2),
                                Long.toString(f.deaths()),
                                figure(f.leaderP50(), 2),
                                figure(f.leaderP99(), 2),
                                figure(f.maxLeader(), 2),
                                figure(f.ageP50(), 2),
                                figure(f.ageP99(), 2),
                                figure(f.maxAge(), 2),
                                figure(f.idle(), 0),
                                figure(f.maxIdle(), 0),
                                figure(f.busy(), 0),
                                figure(f.maxBusy(), 0)));
            }
        }
        ResultText.table(rows).forEach(out::println);
        return all;
    }

    private void check(boolean allowed, String what, String range) {
        if (!allowed) {
            throw new ParameterException(spec.commandLine(), what + ": allowed is " + range);
        }
    }

    private static String figure(double value, int digits) {
        return String.format(Locale.ROOT, "%." + digits + "f", value);
    }
}
