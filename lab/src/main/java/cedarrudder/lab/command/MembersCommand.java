package cedarrudder.lab.command;

import cedarrudder.lab.membership.FailureDetectionTrial;
import cedarrudder.lab.membership.SwimSimulation;
import cedarrudder.lab.membership.TransientFaultTrial;
import cedarrudder.membership.MembershipSettings;
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

/** {@code members}: how soon instances find out which of them died, and what that costs. */
@Command(
        name = "members",
        description =
                "Plays membership in virtual time: many instances die at once, and "
                        + "each survivor is watched. Exit code 1 where a survivor missed a death.")
final class MembersCommand implements Callable<Integer> {

    private static final long MICRO = 1_000;

    @Spec private CommandSpec spec;

    @Mixin private Seeds seeds = new Seeds();

    @Option(
            names = "--sizes",
            split = ",",
            paramLabel = "N",
            defaultValue = "10,100,500",
            description = "Instances; ${DEFAULT-VALUE} where not given.")
    private List<Integer> sizes;

    @Option(
            names = "--loss",
            split = ",",
            paramLabel = "SHARE",
            defaultValue = "0,0.1,0.3",
            description = "Messages lost; ${DEFAULT-VALUE} where not given.")
    private List<Double> losses;

    @Option(
            names = "--dying",
            paramLabel = "SHARE",
            defaultValue = "0.48",
            description = "Instances that die at once; ${DEFAULT-VALUE} where not given.")
    private double dying;

    @Option(
            names = "--calm",
            paramLabel = "SECONDS",
            defaultValue = "60",
            description = "Before that; ${DEFAULT-VALUE} where not given.")
    private double calm;

    @Option(
            names = "--after",
            paramLabel = "SECONDS",
            defaultValue = "60",
            description = "After it; ${DEFAULT-VALUE} where not given.")
    private double after;

    @Option(
            names = "--trouble",
            split = ",",
            paramLabel = "KIND",
            description =
                    "Instead of that, what passes again: ${COMPLETION-CANDIDATES}. "
                            + "Exit code 1 where not all agree in time after it.")
    private List<TransientFaultTrial.Kind> troubles = List.of();

    @Override
    public Integer call() {
        check(
                sizes.stream().allMatch(size -> size >= 2 && size <= 5_000),
                "--sizes",
                "from 2 to 5000 each");
        check(
                losses.stream().allMatch(loss -> loss >= 0 && loss < 1),
                "--loss",
                "from 0 to below 1 each");
        check(dying >= 0 && dying < 1, "--dying", "from 0 to below 1");
        check(calm > 0 && after > 0, "--calm and --after", "over 0");
        long[] range = seeds.range(spec);
        return troubles.isEmpty() ? detect(range) : suffer(range);
    }

    private static SwimSimulation.Network network(double loss) {
        return new SwimSimulation.Network(loss, 100 * MICRO, 2_000 * MICRO);
    }

    private int suffer(long[] range) {
        List<List<String>> rows = new ArrayList<>();
        rows.add(
                List.of(
                        "trouble",
                        "instances",
                        "loss",
                        "seeds",
                        "false deaths",
                        "of those in trouble",
                        "agreed p50 s",
                        "max s",
                        "never",
                        "bytes/s",
                        "most in 1 s"));
        boolean all = true;
        for (TransientFaultTrial.Kind kind : troubles) {
            for (int size : sizes) {
                for (double loss : losses) {
                    TransientFaultTrial trouble =
                            new TransientFaultTrial(
                                    kind, size, network(loss), MembershipSettings.DEFAULT);
                    for (long seed = range[0]; seed <= range[1]; seed++) {
                        trouble.play(seed);
                    }
                    TransientFaultTrial.Figures f = trouble.figures();
                    all &= f.never() == 0;
                    rows.add(
                            List.of(
                                    kind.toString(),
                                    Integer.toString(size),
                                    figure(loss, 2),
                                    Integer.toString(f.seeds()),
                                    Long.toString(f.falseDeaths()),
                                    Long.toString(f.heldDead()),
                                    figure(f.p50(), 1),
                                    figure(f.worst(), 1),
                                    Integer.toString(f.never()),
                                    figure(f.bytesPerSecond(), 0),
                                    Long.toString(f.maxInSecond())));
                }
            }
        }
        return print(rows, all);
    }

    private int print(List<List<String>> rows, boolean all) {
        PrintWriter out = spec.commandLine().getOut();
        ResultText.table(rows).forEach(out::println);
        out.flush();
        return all ? ExitCode.OK : ExitCode.SOFTWARE;
    }

    private int detect(long[] range) {
        List<List<String>> rows = new ArrayList<>();
        rows.add(
                List.of(
                        "instances",
                        "loss",
                        "seeds",
                        "unseen",
                        "p50 s",
                        "p99 s",
                        "max s",
                        "false deaths",
                        "bytes/s",
                        "messages/s",
                        "most in 1 s"));
        boolean all = true;
        for (int size : sizes) {
            for (double loss : losses) {
                FailureDetectionTrial detection =
                        new FailureDetectionTrial(
                                size,
                                network(loss),
                                dying,
                                MembershipSettings.DEFAULT,
                                calm,
                                after);
                for (long seed = range[0]; seed <= range[1]; seed++) {
                    detection.play(seed);
                }
                FailureDetectionTrial.Figures f = detection.figures();
                all &= f.unseen() == 0;
                rows.add(
                        List.of(
                                Integer.toString(size),
                                figure(loss, 2),
                                Integer.toString(f.seeds()),
                                f.unseen() + " of " + f.pairs(),
                                figure(f.p50(), 1),
                                figure(f.p99(), 1),
                                figure(f.max(), 1),
                                Long.toString(f.falseDeaths()),
                                figure(f.bytesPerSecond(), 0),
                                figure(f.messagesPerSecond(), 1),
                                Long.toString(f.maxInSecond())));
            }
        }
        return print(rows, all);
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
