package cedarrudder.lab.consensus;

import cedarrudder.consensus.ConsensusSettings;
import cedarrudder.consensus.ProposalOutcome;
import cedarrudder.lab.checker.AtMostOnceEffect;
import cedarrudder.lab.checker.Invariant;
import cedarrudder.lab.checker.LeaderContactBound;
import cedarrudder.lab.checker.SingleLeader;
import cedarrudder.lab.checker.SingleTable;
import cedarrudder.lab.checker.Violation;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Some replicas, some faults drawn from a seed, and the judge: replicas killed, up to 48 % at once,
 * and started again with nothing or with their disk; leaders that stall; cuts both and one way;
 * loss; operators who form groups and hand over.
 */
public final class FaultStorm {

    private static final long SECOND = 1_000_000_000L;
    private static final long MILLI = 1_000_000L;
    private static final double DYING = 0.48;
    private static final double[] LOSSES = {0, 0.1, 0.3};
    private static final int STEPS = 24;
    private static final long CALM = 40 * SECOND;

    /**
     * What came of a seed.
     *
     * @param loaded how often a replica loaded something
     * @param leaders how often a replica began to lead
     * @param answered how often a replica was told what became of something that it had handed on
     * @param contacts how often a replica came to believe in a newer contact
     * @param settled how long after the last fault all replicas held the same, in nanoseconds; -1
     *     where they did not
     */
    public record Result(
            long seed,
            List<Violation> breaches,
            long loaded,
            long leaders,
            long answered,
            long contacts,
            long settled) {}

    private FaultStorm() {}

    /** Plays a seed with these parts in the replicas. */
    public static Result play(long seed, ConsensusSimulation.Maker maker) {
        SplittableRandom random = new SplittableRandom(seed);
        int size = random.nextInt(8) == 0 ? 11 + random.nextInt(20) : 3 + random.nextInt(8);
        boolean disks = random.nextInt(4) == 0;
        double loss = LOSSES[random.nextInt(LOSSES.length)];
        ConsensusSettings settings =
                new ConsensusSettings(
                        150 * MILLI,
                        600 * MILLI,
                        1_200 * MILLI,
                        3 + 2 * random.nextInt(3),
                        2_500 * MILLI,
                        400 * MILLI,
                        4,
                        16_384,
                        8,
                        random.nextBoolean() ? 4 * SECOND : 0);
        ConsensusSimulation.Network network =
                new ConsensusSimulation.Network(loss, 0.02, 0.01, 2 * MILLI, 21 * MILLI);
        List<Invariant> rules =
                List.of(
                        new SingleTable(),
                        new SingleLeader(),
                        new AtMostOnceEffect(),
                        new LeaderContactBound());
        long[] counts = new long[4];
        ConsensusSimulation copies =
                new ConsensusSimulation(
                        size,
                        network,
                        settings,
                        disks,
                        600,
                        random.nextLong(),
                        maker,
                        event -> {
                            rules.forEach(rule -> rule.took(event));
                            counts[0] += event.what().equals("loaded") ? 1 : 0;
                            counts[1] += event.what().equals("leads") ? 1 : 0;
                            counts[2] += event.what().equals("settled") ? 1 : 0;
                            counts[3] += event.what().equals("sure") ? 1 : 0;
                        });
        copies.form(random.nextInt(size));
        copies.play(3 * SECOND);
        for (int step = 0; step < STEPS; step++) {
            fault(copies, random);
            for (int i = random.nextInt(4); i > 0; i--) {
                propose(copies, random);
                hand(copies, random);
                copies.play(random.nextLong(200 * MILLI));
            }
            copies.play(random.nextLong(1_500 * MILLI));
        }
        long settled = settle(copies, random, network);
        List<Violation> breaches = new ArrayList<>();
        rules.forEach(
                rule -> {
                    rule.ended(copies.now());
                    breaches.addAll(rule.breaches());
                });
        return new Result(seed, breaches, counts[0], counts[1], counts[2], counts[3], settled);
    }

    private static void fault(ConsensusSimulation copies, SplittableRandom random) {
        int size = copies.size();
        int one = random.nextInt(size);
        int leader = copies.leader();
        switch (random.nextInt(11)) {
            case 0 -> copies.kill(one);
            case 1 -> {
                for (int i = 0; i < (int) (DYING * size); i++) {
                    copies.kill((one + i) % size);
                }
            }
            case 2, 3 -> restartAll(copies);
            case 4 ->
                    copies.stall(
                            leader < 0 ? one : leader, 500 * MILLI + random.nextLong(4 * SECOND));
            case 5 -> {
                int half = 1 + random.nextInt(size - 1);
                for (int i = 0; i < size; i++) {
                    for (int j = 0; j < size; j++) {
                        copies.cut(
                                i,
                                j,
                                (i - one + size) % size < half != (j - one + size) % size < half);
                    }
                }
                copies.updateLiveness();
            }
            case 6 -> {
                boolean hears = random.nextBoolean();
                int which = random.nextBoolean() && leader >= 0 ? leader : one;
                for (int i = 0; i < size; i++) {
                    copies.cut(hears ? which : i, hears ? i : which, true);
                }
                copies.updateLiveness();
            }
            case 7, 8 -> copies.heal();
            case 9 -> {
                if (leader >= 0) {
                    copies.transfer(leader);
                }
            }
            default -> {
                if (random.nextInt(4) == 0 && copies.runs(one)) {
                    copies.form(one);
                } else if (leader >= 0) {
                    // Gone and back at once: nobody has missed it yet.
                    copies.kill(leader);
                    copies.restart(leader);
                }
            }
        }
    }

    private static void restartAll(ConsensusSimulation copies) {
        for (int i = 0; i < copies.size(); i++) {
            if (!copies.runs(i)) {
                copies.restart(i);
            }
        }
    }

    /** All replicas that lead, or think so, take it: only one of them may bring it through. */
    private static void propose(ConsensusSimulation copies, SplittableRandom random) {
        for (int i = 0; i < copies.size(); i++) {
            if (copies.runs(i) && copies.view(i).isLeader()) {
                byte[] content =
                        new byte[8 + (random.nextInt(8) == 0 ? 2_000 : random.nextInt(200))];
                random.nextBytes(content);
                copies.propose(i, content);
            }
        }
    }

    /** Any copy hands something on, or again what it does not know the fate of. */
    private static void hand(ConsensusSimulation copies, SplittableRandom random) {
        for (int i = 0; i < copies.size(); i++) {
            if (random.nextInt(4) != 0 || !copies.awake(i)) {
                continue;
            }
            List<ConsensusSimulation.Settled> settled = copies.settled(i);
            long patience = 500 * MILLI + random.nextLong(6 * SECOND);
            if (!settled.isEmpty()
                    && settled.get(settled.size() - 1).outcome() == ProposalOutcome.UNKNOWN) {
                copies.again(i, settled.get(settled.size() - 1).proposal(), patience);
            } else {
                byte[] content =
                        new byte[8 + (random.nextInt(8) == 0 ? 2_000 : random.nextInt(200))];
                random.nextBytes(content);
                copies.hand(i, content, patience);
            }
        }
    }

    /** No more faults; where nobody leads for long, an operator has a group formed. */
    private static long settle(
            ConsensusSimulation copies,
            SplittableRandom random,
            ConsensusSimulation.Network network) {
        copies.heal();
        restartAll(copies);
        copies.network(
                new ConsensusSimulation.Network(
                        Math.min(network.loss(), 0.1),
                        0,
                        0,
                        network.minDelay(),
                        network.maxDelay()));
        copies.play(8 * SECOND);
        long from = copies.now();
        boolean taken = false;
        boolean formed = false;
        while (copies.now() - from < CALM) {
            int leader = copies.leader();
            if (leader < 0 && !formed && copies.now() - from > 14 * SECOND) {
                formed = true;
                copies.form(random.nextInt(copies.size()));
            }
            if (!taken && leader >= 0) {
                taken = copies.propose(leader, new byte[] {1, 2, 3}) != null;
            }
            copies.play(250 * MILLI);
            if (taken && copies.leader() >= 0 && copies.agree()) {
                return copies.now() - from;
            }
        }
        return -1;
    }
}
