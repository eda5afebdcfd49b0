package cedarrudder.lab.cluster;

import cedarrudder.lab.attack.ScriptedNodes.Mood;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * Draws a script from a seed: replicas in three zones that agree, and each kind of fault once, in
 * an order and upon replicas that the seed gives.
 */
public final class RandomScript {

    private static final int ZONES = 3;
    private static final int NODES = 6;
    private static final long PERIOD = 200_000_000L;
    private static final long SETTLE = 40_000_000_000L;
    private static final long HOUR_MILLIS = 3_600_000;
    private static final int DRIFT = 1_000;

    /** The share that may be killed at once: less than half. */
    private static final double MAX_KILLED = 0.48;

    /** Longer than the lease that is given here. */
    private static final double HALT = 6;

    /** A group whose majority forgot has been silent for this long before another is formed. */
    private static final String AGREEMENT =
            """
            [agreement]
            lease_ms = 4000
            voter_patience_ms = 3000
            silence_ms = 4000
            zones = [%s]
            """;

    private enum Fault {
        KILL,
        STOP,
        TERM,
        HANG_UP,
        UPGRADE,
        HALVES,
        MUTE,
        DEAFEN,
        WEATHER,
        FLOOD,
        LEADER_KILLED,
        LEADER_STOPPED,
        LEADER_REPLACED,
        ZONE_CUT,
        RING,
        ZONE_DEAD
    }

    private final SplittableRandom random;
    private final int replicas;
    private final List<Integer> all;
    private final List<ScriptStep> steps = new ArrayList<>();

    private RandomScript(long seed, int replicas) {
        this.random = new SplittableRandom(seed);
        this.replicas = replicas;
        this.all = IntStream.range(0, replicas).boxed().toList();
    }

    /** One seed, one script. */
    public static Script of(long seed, int replicas) {
        return new RandomScript(seed, replicas).draw();
    }

    private Script draw() {
        steps.add(
                new ScriptStep(
                        0,
                        ScriptAction.CALL,
                        List.of(0),
                        false,
                        NetworkConditions.CALM,
                        0,
                        Mood.WELL,
                        List.of(),
                        NetworkPartition.ALL,
                        new OperatorCall("POST", "/-/group", "", 200)));
        List<Fault> order = new ArrayList<>(List.of(Fault.values()));
        double at = 6;
        while (!order.isEmpty()) {
            at += draw(order.remove(random.nextInt(order.size())), at);
        }
        List<Long> offsets = new ArrayList<>();
        List<Integer> drifts = new ArrayList<>();
        for (int i = 0; i < replicas; i++) {
            offsets.add(
                    random.nextInt(3) == 0 ? random.nextLong(-HOUR_MILLIS, HOUR_MILLIS + 1) : 0);
            drifts.add(random.nextInt(-1, 2) * DRIFT);
        }
        return new Script(
                replicas,
                NODES,
                ZONES,
                PERIOD,
                Script.nanos(at),
                SETTLE,
                offsets,
                drifts,
                AGREEMENT.formatted(
                        all.stream()
                                .map(i -> "\"" + Script.zoneName(i % ZONES) + "\"")
                                .collect(Collectors.joining(", "))),
                steps);
    }

    /** Adds a fault and its end; gives how long it takes with a pause behind it, in seconds. */
    private double draw(Fault fault, double at) {
        double lasts = 3 + 4 * random.nextDouble();
        List<Integer> one = some(1);
        switch (fault) {
            case KILL -> {
                List<Integer> killed = some((int) Math.max(1, MAX_KILLED * replicas));
                steps.add(ScriptStep.of(at, ScriptAction.KILL, killed));
                steps.add(ScriptStep.of(at + lasts, ScriptAction.BACK, killed));
                return lasts + 8; // until those that forgot vote again
            }
            case LEADER_KILLED -> {
                steps.add(leader(at, ScriptAction.KILL));
                steps.add(ScriptStep.of(at + lasts, ScriptAction.BACK, all));
            }
            case STOP -> {
                steps.add(ScriptStep.of(at, ScriptAction.STOP, one));
                steps.add(ScriptStep.of(at + 10, ScriptAction.GO_ON, one));
                return 12;
            }
            case LEADER_STOPPED -> {
                steps.add(leader(at, ScriptAction.STOP));
                steps.add(ScriptStep.of(at + HALT, ScriptAction.GO_ON, all));
                return HALT + 2;
            }
            case TERM -> {
                steps.add(ScriptStep.of(at, ScriptAction.TERM, one));
                steps.add(ScriptStep.of(at + lasts, ScriptAction.BACK, one));
            }
            case HALVES -> {
                steps.add(ScriptStep.of(at, ScriptAction.CUT, some(replicas / 2)));
                steps.add(ScriptStep.of(at + lasts + 5, ScriptAction.HEAL, List.of()));
                return lasts + 8;
            }
            case MUTE, DEAFEN -> {
                steps.add(
                        ScriptStep.of(
                                at,
                                fault == Fault.MUTE ? ScriptAction.MUTE : ScriptAction.DEAFEN,
                                one));
                steps.add(ScriptStep.of(at + lasts, ScriptAction.HEAL, List.of()));
            }
            case ZONE_CUT -> {
                int zone = random.nextInt(ZONES);
                steps.add(
                        cut(
                                at,
                                ScriptAction.CUT,
                                zone,
                                new NetworkPartition(
                                        List.of(),
                                        ofZone(NODES, zone),
                                        IntStream.range(0, NODES)
                                                .filter(i -> i % ZONES != zone)
                                                .boxed()
                                                .toList())));
                steps.add(ScriptStep.of(at + lasts, ScriptAction.HEAL, List.of()));
            }
            case RING -> {
                for (int zone = 0; zone < ZONES; zone++) {
                    steps.add(
                            cut(
                                    at,
                                    ScriptAction.MUTE,
                                    zone,
                                    new NetworkPartition(
                                            ofZone(replicas, (zone + 1) % ZONES),
                                            List.of(),
                                            List.of())));
                }
                steps.add(ScriptStep.of(at + lasts, ScriptAction.HEAL, List.of()));
            }
            case ZONE_DEAD -> {
                int zone = random.nextInt(ZONES);
                steps.add(nodes(at, zone, Mood.DEAD));
                steps.add(nodes(at + lasts, zone, Mood.COLD));
            }
            case WEATHER -> {
                steps.add(
                        ScriptStep.weather(
                                at,
                                new NetworkConditions(
                                        0.3 * random.nextDouble(),
                                        0.2,
                                        0.2,
                                        0.05,
                                        2_000_000,
                                        21_000_000)));
                steps.add(ScriptStep.weather(at + lasts, NetworkConditions.CALM));
            }
            case FLOOD -> steps.add(ScriptStep.flood(at, one.get(0), 3));
            case LEADER_REPLACED -> steps.add(leader(at, ScriptAction.UPGRADE));
            case UPGRADE -> steps.add(ScriptStep.of(at, ScriptAction.UPGRADE, one));
            case HANG_UP -> steps.add(ScriptStep.of(at, ScriptAction.HANG_UP, one));
        }
        return lasts + 2;
    }

    private static ScriptStep leader(double at, ScriptAction act) {
        return new ScriptStep(
                Script.nanos(at),
                act,
                List.of(),
                true,
                NetworkConditions.CALM,
                0,
                Mood.WELL,
                List.of(),
                NetworkPartition.ALL,
                null);
    }

    private ScriptStep cut(double at, ScriptAction act, int zone, NetworkPartition sides) {
        return new ScriptStep(
                Script.nanos(at),
                act,
                ofZone(replicas, zone),
                false,
                NetworkConditions.CALM,
                0,
                Mood.WELL,
                List.of(),
                sides,
                null);
    }

    private static ScriptStep nodes(double at, int zone, Mood mood) {
        return new ScriptStep(
                Script.nanos(at),
                ScriptAction.NODES,
                List.of(),
                false,
                NetworkConditions.CALM,
                0,
                mood,
                ofZone(NODES, zone),
                NetworkPartition.ALL,
                null);
    }

    private static List<Integer> ofZone(int count, int zone) {
        return IntStream.range(0, count).filter(i -> i % ZONES == zone).boxed().toList();
    }

    private List<Integer> some(int count) {
        List<Integer> left = new ArrayList<>(all);
        List<Integer> chosen = new ArrayList<>();
        while (chosen.size() < count) {
            chosen.add(left.remove(random.nextInt(left.size())));
        }
        return chosen;
    }
}
