package cedarrudder.lab.command;

import cedarrudder.lab.checker.Violation;
import cedarrudder.lab.experiment.Bootstrap;
import cedarrudder.lab.failover.FailoverRun;
import cedarrudder.lab.failover.FailoverRun.Conditions;
import cedarrudder.lab.failover.FailoverRun.Result;
import cedarrudder.lab.failover.World;
import java.io.PrintWriter;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.stream.LongStream;
import picocli.CommandLine.Command;
import picocli.CommandLine.ExitCode;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** {@code failover}: what is served when zones are lost, and by whose decision. */
@Command(
        name = "failover",
        description =
                "Plays lost, slow and cut zones in virtual time, with copies that decide in common"
                    + " and with rivals, on the same seeds. Exit code 1 where a rule was broken.")
final class FailoverCommand implements Callable<Integer> {

    private static final int SHOWN = 5;

    @Spec private CommandSpec spec;

    @Mixin private Seeds seeds = new Seeds();

    @Option(
            names = "--world",
            split = ",",
            paramLabel = "WORLD",
            description = "What goes wrong: ${COMPLETION-CANDIDATES}; all where not given.")
    private List<World> worlds = List.of(World.values());

    @Option(
            names = "--policy",
            split = ",",
            paramLabel = "POLICY",
            defaultValue = "TOGETHER,ALL_SEEING,OWN_EYES,NONE",
            description =
                    "Who decides; ${DEFAULT-VALUE} where not given. The others are held against the"
                            + " second, paired by seed.")
    private List<String> policies;

    @Option(
            names = "--load",
            paramLabel = "SHARE",
            defaultValue = "0.5",
            description =
                    "What comes to a zone, of what it can do; ${DEFAULT-VALUE} where not given.")
    private double load;

    @Option(
            names = "--loss",
            paramLabel = "SHARE",
            defaultValue = "0",
            description = "Datagrams lost; ${DEFAULT-VALUE} where not given.")
    private double loss;

    @Option(names = "--stalls", description = "Copies stand still for up to 4 s now and then.")
    private boolean stalls;

    @Override
    public Integer call() {
        check(load > 0 && load < 1, "--load", "over 0, below 1");
        check(loss >= 0 && loss < 1, "--loss", "from 0 to below 1");
        List<String> known = FailoverRun.policies();
        policies =
                policies.stream()
                        .map(name -> name.toUpperCase(Locale.ROOT).replace('-', '_'))
                        .toList();
        check(known.containsAll(policies), "--policy", String.join(", ", known));
        long[] range = seeds.range(spec);
        List<List<String>> rows = new ArrayList<>();
        rows.add(
                List.of(
                        "world",
                        "policy",
                        "goodput",
                        "of the second",
                        "95 % from",
                        "to",
                        "least",
                        "out of zone %",
                        "pushed over",
                        "moves",
                        "a minute",
                        "broken"));
        PrintWriter out = spec.commandLine().getOut();
        int broken = 0;
        for (World world : worlds) {
            Map<String, List<Result>> results = new HashMap<>();
            for (String policy : policies) {
                results.put(
                        policy,
                        LongStream.rangeClosed(range[0], range[1])
                                .parallel()
                                .mapToObj(
                                        seed ->
                                                FailoverRun.play(
                                                        world,
                                                        policy,
                                                        new Conditions(load, loss, stalls),
                                                        seed))
                                .toList());
            }
            List<Result> second = results.get(policies.get(Math.min(1, policies.size() - 1)));
            for (String policy : policies) {
                rows.add(row(world, policy, results.get(policy), second));
                for (int i = 0; i < results.get(policy).size(); i++) {
                    List<Violation> breaches = results.get(policy).get(i).breaches();
                    broken += breaches.isEmpty() ? 0 : 1;
                    for (Violation breach : breaches.subList(0, Math.min(SHOWN, breaches.size()))) {
                        out.println(world + ", seed " + (range[0] + i) + ": " + breach);
                    }
                }
            }
        }
        ResultText.table(rows).forEach(out::println);
        out.flush();
        return broken == 0 ? ExitCode.OK : ExitCode.SOFTWARE;
    }

    private static List<String> row(
            World world, String policy, List<Result> results, List<Result> second) {
        double[] ratios = new double[results.size()];
        Arrays.setAll(ratios, i -> results.get(i).goodput() / second.get(i).goodput());
        Bootstrap.Interval interval = Bootstrap.mean(ratios);
        return List.of(
                world.name().toLowerCase(Locale.ROOT),
                policy.toLowerCase(Locale.ROOT),
                figure(results.stream().mapToDouble(Result::goodput).average().orElseThrow(), 4),
                figure(Arrays.stream(ratios).average().orElseThrow(), 4),
                figure(interval.low(), 4),
                figure(interval.high(), 4),
                figure(Arrays.stream(ratios).min().orElseThrow(), 4),
                figure(100 * results.stream().mapToDouble(Result::out).average().orElseThrow(), 2),
                Integer.toString(results.stream().mapToInt(Result::fallen).sum()),
                Integer.toString(results.stream().mapToInt(Result::moves).sum()),
                Integer.toString(results.stream().mapToInt(Result::maxMoves).max().orElseThrow()),
                Long.toString(results.stream().filter(r -> !r.breaches().isEmpty()).count()));
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
