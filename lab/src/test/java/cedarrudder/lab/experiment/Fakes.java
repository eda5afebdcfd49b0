package cedarrudder.lab.experiment;

import cedarrudder.balancer.BalancerParameters;
import cedarrudder.lab.result.RunResult;
import cedarrudder.lab.scenario.Draw;
import cedarrudder.lab.scenario.Scenario;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.stream.IntStream;

/** A plan without a model behind it: results follow from the key of a run alone. */
public final class Fakes {

    private Fakes() {}

    /** A scenario with one tier, {@code front}, of this many nodes. */
    static Scenario scenario(String name, int nodes) {
        Scenario.Tier tier =
                new Scenario.Tier(
                        "front",
                        Draw.fixed(nodes),
                        false,
                        Draw.fixed(4),
                        1,
                        Draw.fixed(0),
                        Draw.fixed(nodes),
                        1,
                        List.of(),
                        null,
                        null,
                        null,
                        null);
        return new Scenario(
                name,
                "what " + name + " is for",
                new Scenario.Run(Draw.fixed(60e9), 0, 1000, 10_000_000_000L),
                null,
                null,
                null,
                null,
                null,
                new Scenario.Allowed(true, true, true, true, true, 3),
                null,
                null,
                null,
                List.of(tier),
                List.of(),
                List.of(),
                List.of());
    }

    static Variant variant(String name) {
        return new Variant(name, name, BalancerParameters.DEFAULTS, null, List.of());
    }

    /** Two scenarios of one family and three variants, the first of which is the baseline. */
    public static Plan plan(long seeds) {
        List<Plan.Entry> entries =
                List.of(
                        new Plan.Entry(scenario("calm-10", 10), "calm"),
                        new Plan.Entry(scenario("calm-100", 100), "calm"));
        List<Variant> variants =
                List.of(variant("cedarrudder"), variant("random"), variant("oracle"));
        return new Plan(
                "small",
                "Which is best?",
                entries,
                variants,
                "cedarrudder",
                1,
                seeds,
                List.of(Metric.GOODPUT, Metric.P99),
                false);
    }

    /** The result of a job: better for the oracle, worse for random, with noise by seed. */
    public static Runner.Measured run(Job job) {
        SplittableRandom random = new SplittableRandom(job.key().hashCode());
        double level =
                switch (job.variant().name()) {
                            case "oracle" -> 0.97;
                            case "random" -> 0.8;
                            default -> 0.93;
                        }
                        + 0.02 * random.nextDouble();
        int nodes = (int) job.scenario().tiers().get(0).nodes().low();
        List<RunResult.Second> series = new ArrayList<>();
        for (int second = 0; second < 60; second++) {
            series.add(
                    new RunResult.Second(
                            100,
                            100 * level - (second / 10 == 2 ? 20 : 0),
                            100,
                            110,
                            List.of(110L),
                            12));
        }
        RunResult.Latency latency = new RunResult.Latency(30, 60 / level, 120 / level, 300, 900);
        List<RunResult.NodeResult> each =
                IntStream.range(0, nodes)
                        .mapToObj(
                                i ->
                                        new RunResult.NodeResult(
                                                "front",
                                                i,
                                                "plain",
                                                1,
                                                0.4 + 0.4 * random.nextDouble(),
                                                60,
                                                1,
                                                2.5,
                                                0))
                        .toList();
        RunResult result =
                new RunResult(
                        job.scenario().name(),
                        job.variant().name(),
                        job.seed(),
                        6000,
                        level,
                        level,
                        level - 0.1,
                        level,
                        level,
                        new RunResult.Charges(0.01, 0, 0, 0, 0),
                        latency,
                        1.05,
                        0.3,
                        List.of(
                                new RunResult.ClassResult(
                                        "look & see", 6000, 5800, 50, 100, 40, 10, level, latency)),
                        List.of(),
                        List.of(),
                        List.of(
                                new RunResult.TierResult(
                                        "front",
                                        nodes,
                                        4,
                                        1,
                                        6000,
                                        6300,
                                        20,
                                        List.of(5900L, 100L, 50L),
                                        100,
                                        40,
                                        1800,
                                        60,
                                        0.01,
                                        0,
                                        0)),
                        series,
                        each,
                        List.of(new RunResult.Band("crash", "front", 20, 30, 2)),
                        List.of(),
                        "");
        return new Runner.Measured(result, new RunResult.Cost(0.001 * nodes, 60_000, 0));
    }

    /** The results of {@link #plan}, all of them. */
    public static Results results(long seeds) {
        Results results =
                new Results(Manifest.of(plan(seeds), "code"), new TreeMap<>(), new TreeMap<>());
        for (Job job : plan(seeds).jobs()) {
            Runner.Measured run = run(job);
            results.runs().put(job.key(), run.result());
            results.costs().put(job.key(), run.cost());
        }
        return results;
    }
}
