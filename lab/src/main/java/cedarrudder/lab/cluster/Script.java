package cedarrudder.lab.cluster;

import cedarrudder.lab.attack.ScriptedNodes.Mood;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;

/**
 * What happens to copies, and when.
 *
 * @param copies how many there are
 * @param nodes behind them
 * @param zones that copies and nodes are dealt to: number 4 of 3 zones is in zone 1
 * @param period of membership, in nanoseconds
 * @param length until the faults are over, in nanoseconds: what is cut, stopped or away then is mended
 * @param settle after that, in which copies have to agree; nanoseconds
 * @param clockOffsets of each copy, in milliseconds; those beyond its end have none
 * @param clockDrifts of each copy, in millionths; those beyond its end have none
 * @param operator more tables of each copy's operator's file; {@code {folder}} stands for its own folder
 * @param steps in the order of time
 */
public record Script(int copies, int nodes, int zones, long period, long length, long settle, List<Long> clockOffsets,
        List<Integer> clockDrifts, String operator, List<Step> steps) {

    /** Copies at the least and at the most. */
    public static final int LEAST = 3;
    public static final int MOST = 30;
    static final int MOST_NODES = 30;
    static final int MOST_ZONES = 8;

    private static final long SECOND = 1_000_000_000L;
    private static final long HOUR_MILLIS = 3_600_000;

    /** The share that may be killed at once: less than half. */
    private static final double MOST_KILLED = 0.48;

    public Script {
        clockOffsets = List.copyOf(clockOffsets);
        clockDrifts = List.copyOf(clockDrifts);
        steps = steps.stream().sorted(Comparator.comparingLong(Step::at)).toList();
    }

    static long nanos(double seconds) {
        return (long) (seconds * SECOND);
    }

    long clockOffset(int copy) {
        return copy < clockOffsets.size() ? clockOffsets.get(copy) : 0;
    }

    int clockDrift(int copy) {
        return copy < clockDrifts.size() ? clockDrifts.get(copy) : 0;
    }

    /** The zone of a copy, or of a node. */
    int zone(int number) {
        return number % zones;
    }

    static String zoneName(int zone) {
        return "zone-" + zone;
    }

    /** Draws one: each kind of fault comes once, in an order and upon copies that the seed gives. */
    public static Script drawn(long seed, int copies) {
        SplittableRandom random = new SplittableRandom(seed);
        List<Step> steps = new ArrayList<>();
        List<Act> order = new ArrayList<>(List.of(Act.KILL, Act.STOP, Act.TERM, Act.HANG_UP, Act.UPGRADE,
                Act.CUT, Act.MUTE, Act.DEAFEN, Act.WEATHER, Act.FLOOD));
        double at = 3;
        while (!order.isEmpty()) {
            Act act = order.remove(random.nextInt(order.size()));
            at += draw(act, at, copies, random, steps);
        }
        List<Long> offsets = new ArrayList<>();
        for (int i = 0; i < copies; i++) {
            offsets.add(random.nextInt(3) == 0 ? random.nextLong(-HOUR_MILLIS, HOUR_MILLIS + 1) : 0);
        }
        return new Script(copies, 3, 1, SECOND / 5, nanos(at), 30 * SECOND, offsets, List.of(), "", steps);
    }

    /** Adds a fault and its end; gives how long it takes with a pause behind it, in seconds. */
    private static double draw(Act act, double at, int copies, SplittableRandom random, List<Step> steps) {
        double lasts = 3 + 4 * random.nextDouble();
        List<Integer> one = some(1, copies, random);
        switch (act) {
            case KILL -> {
                List<Integer> killed = some((int) Math.max(1, MOST_KILLED * copies), copies, random);
                steps.add(Step.of(at, act, killed));
                steps.add(Step.of(at + lasts, Act.BACK, killed));
            }
            case STOP -> {
                steps.add(Step.of(at, act, one));
                steps.add(Step.of(at + 10, Act.GO_ON, one));
                return 12;
            }
            case TERM -> {
                steps.add(Step.of(at, act, one));
                steps.add(Step.of(at + lasts, Act.BACK, one));
            }
            case CUT -> {
                steps.add(Step.of(at, act, some(copies / 2, copies, random)));
                steps.add(Step.of(at + lasts + 5, Act.HEAL, List.of()));
                return lasts + 8;
            }
            case MUTE, DEAFEN -> {
                steps.add(Step.of(at, act, one));
                steps.add(Step.of(at + lasts, Act.HEAL, List.of()));
            }
            case WEATHER -> {
                steps.add(Step.weather(at, new Weather(0.3 * random.nextDouble(), 0.2, 0.2, 0.05,
                        2_000_000, 21_000_000)));
                steps.add(Step.weather(at + lasts, Weather.CALM));
            }
            case FLOOD -> steps.add(new Step(nanos(at), act, one, Weather.CALM, nanos(3),
                    Mood.WELL, List.of(), null));
            default -> steps.add(Step.of(at, act, one));
        }
        return lasts + 2;
    }

    private static List<Integer> some(int count, int copies, SplittableRandom random) {
        List<Integer> all = new ArrayList<>();
        for (int i = 0; i < copies; i++) {
            all.add(i);
        }
        List<Integer> chosen = new ArrayList<>();
        while (chosen.size() < count) {
            chosen.add(all.remove(random.nextInt(all.size())));
        }
        return chosen;
    }
}
