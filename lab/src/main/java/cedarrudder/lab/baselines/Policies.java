package cedarrudder.lab.baselines;

import cedarrudder.balancer.BalancerSettings;
import cedarrudder.balancer.LoadBalancer;
import cedarrudder.balancer.PrequalBalancer;
import cedarrudder.lab.policy.GroundTruth;
import cedarrudder.lab.policy.Policy;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

/** The policies by name: the balancer itself, its rivals, and those broken on purpose. */
public final class Policies {

    /** The balancer under its defaults. */
    public static final String OWN = "cedarrudder";

    /** The bound that sees the true state. */
    public static final String BOUND = "oracle";

    private record Named(String name, String source, Maker maker) implements Policy {
        @Override
        public LoadBalancer create(
                BalancerSettings settings,
                RandomGenerator random,
                LoadBalancer.Actions actions,
                GroundTruth truth) {
            return maker.make(settings, random, actions, truth);
        }
    }

    private interface Maker {
        LoadBalancer make(
                BalancerSettings settings,
                RandomGenerator random,
                LoadBalancer.Actions actions,
                GroundTruth truth);
    }

    private static final Map<String, Named> SOUND = new LinkedHashMap<>();
    private static final Map<String, Named> BROKEN = new LinkedHashMap<>();

    static {
        add(
                SOUND,
                OWN,
                "the decision module; the hot-cold rule after Wydrowski et al., Prequal, NSDI 2024",
                (settings, random, actions, truth) ->
                        new PrequalBalancer(settings, random, actions));
        rival(
                "random",
                "a base line; Envoy's RANDOM",
                (settings, random, truth) -> new RandomPick());
        rival(
                "round-robin",
                "Envoy's ROUND_ROBIN without weights",
                (settings, random, truth) -> new RoundRobin());
        rival(
                "least-requests",
                "Mitzenmacher, The Power of Two Choices, TPDS 12(10), 2001; Envoy's "
                        + "LEAST_REQUEST",
                (settings, random, truth) -> new LeastRequests());
        rival(
                "peak-ewma",
                "Finagle's PeakEwma under its p2c balancer",
                (settings, random, truth) -> new PeakEwma());
        rival(
                "weighted-round-robin",
                "WRR by q / u as in Wydrowski et al., NSDI 2024; gRPC proposal A58",
                (settings, random, truth) -> new WeightedRoundRobin(settings.limits(), random));
        rival(
                "subset-least-requests",
                "deterministic subsetting; Beyer et al., Site Reliability "
                        + "Engineering, 2016, chapter 20",
                (settings, random, truth) -> new SubsetLeastRequests(settings, random));
        rival(
                BOUND,
                "a bound that sees the true state; shortest expected delay, Banawan and Zahorjan, "
                        + "INFOCOM 1989",
                (settings, random, truth) -> new Oracle(settings, truth));
        for (BrokenPolicies.Fault fault : BrokenPolicies.Fault.values()) {
            add(
                    BROKEN,
                    fault.policy(),
                    "broken on purpose, to try the referee",
                    (settings, random, actions, truth) ->
                            new BrokenPolicies(fault, settings, random, actions));
        }
    }

    private Policies() {}

    private static void add(Map<String, Named> to, String name, String source, Maker maker) {
        to.put(name, new Named(name, source, maker));
    }

    private static <S> void rival(String name, String source, Pick.Maker<S> pick) {
        add(
                SOUND,
                name,
                source,
                (settings, random, actions, truth) ->
                        new BaselineBalancer<>(
                                settings, BaselineParameters.USUAL, random, actions, truth, pick));
    }

    /** The names of all sound policies, the balancer's own first and the bound last. */
    public static List<String> names() {
        return List.copyOf(SOUND.keySet());
    }

    /** The names of those broken on purpose. */
    public static List<String> brokenNames() {
        return List.copyOf(BROKEN.keySet());
    }

    /**
     * The policy of a name, sound or broken.
     *
     * @throws IllegalArgumentException naming those that there are
     */
    public static Policy named(String name) {
        return find(name);
    }

    /**
     * Where the policy of a name comes from, in a line.
     *
     * @throws IllegalArgumentException naming those that there are
     */
    public static String source(String name) {
        return find(name).source();
    }

    private static Named find(String name) {
        Named policy = SOUND.getOrDefault(name, BROKEN.get(name));
        if (policy == null) {
            throw new IllegalArgumentException(
                    "no policy " + name + "; there are " + names() + " and " + brokenNames());
        }
        return policy;
    }
}
