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
 * Plays a random sequence of faults, drawn from a seed, against a consensus simulation and checks
 * its history: replicas are killed, up to 48 % of them at once, and restarted without their state
 * or with their disk; leaders are paused; links are cut in both directions or in one; datagrams are
 * lost; operators form groups and hand over leadership.
 */
public final class FaultStorm {

    private static final long SECOND = 1_000_000_000L;
    private static final long MILLI = 1_000_000L;
    private static final double KILLED_FRACTION = 0.48;
    private static final double[] LOSS_FRACTIONS = {0, 0.1, 0.3};
    private static final int STEPS = 24;
    private static final long MAX_SETTLE_TIME = 40 * SECOND;

    /**
     * The result of a seed.
     *
     * @param loaded how often a replica applied an entry
     * @param leaders how often a replica was elected leader
     * @param answered how often a replica received the outcome of a proposal that it had forwarded
     * @param contacts how often a replica recorded a newer leader contact
     * @param settled the time from the last fault until all replicas agreed, in nanoseconds; -1 if
     *     they did not
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

    /** Plays a seed with the consensus nodes that {@code nodeFactory} creates. */
    public static Result play(long seed, ConsensusSimulation.NodeFactory nodeFactory) {
        SplittableRandom random = new SplittableRandom(seed);
        int size = random.nextInt(8) == 0 ? 11 + random.nextInt(20) : 3 + random.nextInt(8);
        boolean disks = random.nextInt(4) == 0;
        double loss = LOSS_FRACTIONS[random.nextInt(LOSS_FRACTIONS.length)];
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
        ConsensusSimulation simulation =
                new ConsensusSimulation(
                        size,
                        network,
                        settings,
                        disks,
                        600,
                        random.nextLong(),
                        nodeFactory,
                        event -> {
                            rules.forEach(rule -> rule.took(event));
                            counts[0] += event.what().equals("loaded") ? 1 : 0;
                            counts[1] += event.what().equals("leads") ? 1 : 0;
                            counts[2] += event.what().equals("settled") ? 1 : 0;
                            counts[3] += event.what().equals("sure") ? 1 : 0;
                        });
        simulation.form(random.nextInt(size));
        simulation.play(3 * SECOND);
        for (int step = 0; step < STEPS; step++) {
            injectFault(simulation, random);
            for (int i = random.nextInt(4); i > 0; i--) {
                propose(simulation, random);
                forwardProposal(simulation, random);
                simulation.play(random.nextLong(200 * MILLI));
            }
            simulation.play(random.nextLong(1_500 * MILLI));
        }
        long settled = settle(simulation, random, network);
        List<Violation> breaches = new ArrayList<>();
        rules.forEach(
                rule -> {
                    rule.ended(simulation.now());
                    breaches.addAll(rule.breaches());
                });
        return new Result(seed, breaches, counts[0], counts[1], counts[2], counts[3], settled);
    }

    private static void injectFault(ConsensusSimulation simulation, SplittableRandom random) {
        int size = simulation.size();
        int chosen = random.nextInt(size);
        int leader = simulation.leader();
        switch (random.nextInt(11)) {
            case 0 -> simulation.kill(chosen);
            case 1 -> {
                for (int i = 0; i < (int) (KILLED_FRACTION * size); i++) {
                    simulation.kill((chosen + i) % size);
                }
            }
            case 2, 3 -> restartAll(simulation);
            case 4 ->
                    simulation.stall(
                            leader < 0 ? chosen : leader,
                            500 * MILLI + random.nextLong(4 * SECOND));
            case 5 -> {
                int half = 1 + random.nextInt(size - 1);
                for (int i = 0; i < size; i++) {
                    for (int j = 0; j < size; j++) {
                        simulation.cut(
                                i,
                                j,
                                (i - chosen + size) % size < half
                                        != (j - chosen + size) % size < half);
                    }
                }
                simulation.updateLiveness();
            }
            case 6 -> {
                boolean outbound = random.nextBoolean();
                int target = random.nextBoolean() && leader >= 0 ? leader : chosen;
                for (int i = 0; i < size; i++) {
                    simulation.cut(outbound ? target : i, outbound ? i : target, true);
                }
                simulation.updateLiveness();
            }
            case 7, 8 -> simulation.heal();
            case 9 -> {
                if (leader >= 0) {
                    simulation.transfer(leader);
                }
            }
            default -> {
                if (random.nextInt(4) == 0 && simulation.runs(chosen)) {
                    simulation.form(chosen);
                } else if (leader >= 0) {
                    // Restarts at once, before any other replica suspects it.
                    simulation.kill(leader);
                    simulation.restart(leader);
                }
            }
        }
    }

    private static void restartAll(ConsensusSimulation simulation) {
        for (int i = 0; i < simulation.size(); i++) {
            if (!simulation.runs(i)) {
                simulation.restart(i);
            }
        }
    }

    /**
     * Proposes content at each replica that leads or still believes that it leads; at most one of
     * them may get it committed.
     */
    private static void propose(ConsensusSimulation simulation, SplittableRandom random) {
        for (int i = 0; i < simulation.size(); i++) {
            if (simulation.runs(i) && simulation.view(i).isLeader()) {
                byte[] content =
                        new byte[8 + (random.nextInt(8) == 0 ? 2_000 : random.nextInt(200))];
                random.nextBytes(content);
                simulation.propose(i, content);
            }
        }
    }

    /**
     * Makes some replicas forward a proposal, or forward the last one again if its outcome is
     * unknown.
     */
    private static void forwardProposal(ConsensusSimulation simulation, SplittableRandom random) {
        for (int i = 0; i < simulation.size(); i++) {
            if (random.nextInt(4) != 0 || !simulation.awake(i)) {
                continue;
            }
            List<ConsensusSimulation.Settled> settled = simulation.settled(i);
            long patience = 500 * MILLI + random.nextLong(6 * SECOND);
            if (!settled.isEmpty()
                    && settled.get(settled.size() - 1).outcome() == ProposalOutcome.UNKNOWN) {
                simulation.forwardProposalAgain(
                        i, settled.get(settled.size() - 1).proposal(), patience);
            } else {
                byte[] content =
                        new byte[8 + (random.nextInt(8) == 0 ? 2_000 : random.nextInt(200))];
                random.nextBytes(content);
                simulation.forwardProposal(i, content, patience);
            }
        }
    }

    /**
     * Ends all faults and waits until all replicas agree; if there is no leader for long, an
     * operator forms a group.
     */
    private static long settle(
            ConsensusSimulation simulation,
            SplittableRandom random,
            ConsensusSimulation.Network network) {
        simulation.heal();
        restartAll(simulation);
        simulation.network(
                new ConsensusSimulation.Network(
                        Math.min(network.loss(), 0.1),
                        0,
                        0,
                        network.minDelay(),
                        network.maxDelay()));
        simulation.play(8 * SECOND);
        long from = simulation.now();
        boolean accepted = false;
        boolean formed = false;
        while (simulation.now() - from < MAX_SETTLE_TIME) {
            int leader = simulation.leader();
            if (leader < 0 && !formed && simulation.now() - from > 14 * SECOND) {
                formed = true;
                simulation.form(random.nextInt(simulation.size()));
            }
            if (!accepted && leader >= 0) {
                accepted = simulation.propose(leader, new byte[] {1, 2, 3}) != null;
            }
            simulation.play(250 * MILLI);
            if (accepted && simulation.leader() >= 0 && simulation.agree()) {
                return simulation.now() - from;
            }
        }
        return -1;
    }
}
