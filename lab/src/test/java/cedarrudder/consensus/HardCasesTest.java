package cedarrudder.consensus;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertTrue;

import cedarrudder.lab.checker.AtMostOnceEffect;
import cedarrudder.lab.checker.History;
import cedarrudder.lab.checker.HistoryEvent;
import cedarrudder.lab.checker.LeaderContactBound;
import cedarrudder.lab.checker.SingleLeader;
import cedarrudder.lab.checker.SingleTable;
import cedarrudder.lab.consensus.ConsensusSimulation;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import org.testng.annotations.Test;

/**
 * Failure scenarios that replicas have to survive, each of them provoked. Clocks differ by up to an
 * hour and drift by up to 1 in 1,000, as everywhere in the simulation.
 */
public class HardCasesTest {

    private static final long SECOND = 1_000_000_000L;
    private static final long MILLI = 1_000_000L;
    private static final ConsensusSimulation.Network LOSSY =
            new ConsensusSimulation.Network(0.1, 0.02, 0.01, 2 * MILLI, 21 * MILLI);

    private final List<HistoryEvent> events = new ArrayList<>();

    private ConsensusSimulation started(int size, ConsensusSettings settings) {
        events.clear();
        ConsensusSimulation simulation =
                new ConsensusSimulation(
                        size, LOSSY, settings, false, 8, 3, RaftNode::new, events::add);
        simulation.form(0);
        simulation.play(15 * SECOND);
        assertEquals(simulation.view(simulation.leader()).voters().size(), 5);
        return simulation;
    }

    private Set<String> violations(ConsensusSimulation simulation) {
        Set<String> rules = new HashSet<>();
        History.judged(
                        events,
                        simulation.now(),
                        List.of(
                                new SingleTable(),
                                new SingleLeader(),
                                new AtMostOnceEffect(),
                                new LeaderContactBound()))
                .forEach(breach -> rules.add(breach.rule()));
        return rules;
    }

    /** Cuts all links between the replicas in {@code in} and all others. */
    private static void partition(ConsensusSimulation simulation, Set<Integer> in) {
        for (int i = 0; i < simulation.size(); i++) {
            for (int j = 0; j < simulation.size(); j++) {
                simulation.cut(i, j, in.contains(i) != in.contains(j));
            }
        }
        simulation.updateLiveness();
    }

    /**
     * Two regions consider each other dead for ten minutes. The one with the majority of the voters
     * continues; the other commits nothing, forms no group, and its last leader contact is as old
     * as the partition.
     */
    @Test
    public void onlyTheRegionWithAMajorityOfVotersCommitsDuringAPartition() {
        ConsensusSimulation simulation =
                started(12, ConsensusSettings.DEFAULT.withFormationTimeout(6 * SECOND));
        VoterGroup group = simulation.view(0).group();
        List<Integer> voters =
                simulation.view(simulation.leader()).voters().all().stream()
                        .map(Voter::replica)
                        .toList();
        Set<Integer> majority = new HashSet<>(voters.subList(0, 3));
        IntStream.range(0, 12).filter(i -> !voters.contains(i)).limit(3).forEach(majority::add);
        partition(simulation, majority);
        long cutAt = simulation.now();
        simulation.play(600 * SECOND);
        assertTrue(majority.contains(simulation.leader()));
        for (int i = 0; i < 12; i++) {
            assertEquals(simulation.view(i).group(), group);
            assertEquals(
                    simulation.contactAge(i) < 5 * SECOND, majority.contains(i), "replica " + i);
            assertTrue(
                    majority.contains(i)
                            || simulation.contactAge(i) > (simulation.now() - cutAt) * 0.998);
            assertNotNull(simulation.forwardProposal(i, new byte[] {(byte) i}, 5 * SECOND));
        }
        simulation.play(6 * SECOND);
        for (int i = 0; i < 12; i++) {
            assertEquals(
                    simulation.settled(i).get(0).outcome() == ProposalOutcome.COMMITTED,
                    majority.contains(i));
        }
        simulation.heal();
        simulation.play(10 * SECOND);
        assertTrue(simulation.agree());
        assertEquals(violations(simulation), Set.of());
    }

    /**
     * Neither side has a majority without the vote of one voter. One side asks for it, the voter
     * loses its state, and the other side asks for it. If the voter then claims its former
     * incarnation, as in Raft without a disk, each side elects a leader of the same term.
     */
    @Test
    public void aVoterThatLostItsStateDoesNotElectTwoLeadersOfATerm() {
        assertEquals(violationsWhenBothSidesAskForTheVote(false), Set.of());
        assertTrue(violationsWhenBothSidesAskForTheVote(true).contains("A2"));
    }

    private Set<String> violationsWhenBothSidesAskForTheVote(boolean claimsOldIncarnation) {
        ConsensusSimulation simulation = started(5, ConsensusSettings.DEFAULT);
        int leader = simulation.leader();
        int voterWithoutState = (leader + 1) % 5;
        VoterSet voters = simulation.view(leader).voters();
        VoterGroup group = simulation.view(leader).group();
        long term = simulation.view(leader).term();
        Voter voterBefore =
                new Voter(voterWithoutState, simulation.view(voterWithoutState).incarnation());
        Set<Integer> one = Set.of((voterWithoutState + 1) % 5, (voterWithoutState + 2) % 5);
        for (int side = 0; side < 2; side++) {
            Set<Integer> with = new HashSet<>(one);
            if (side == 0) {
                with.add(voterWithoutState);
            }
            partition(simulation, with);
            simulation.kill(voterWithoutState);
            if (claimsOldIncarnation) {
                simulation.pretend(
                        voterWithoutState,
                        voterBefore.incarnation(),
                        BrokenConsensusTest.storageClaiming(group, voterBefore, voters));
            } else {
                simulation.restart(voterWithoutState);
            }
            simulation.play(8 * SECOND);
        }
        for (int i = 0; i < 5 && !claimsOldIncarnation; i++) {
            assertEquals(simulation.view(i).term(), term, "replica " + i);
        }
        simulation.heal();
        simulation.play(8 * SECOND);
        assertTrue(claimsOldIncarnation || simulation.leader() >= 0 && simulation.agree());
        return violations(simulation);
    }

    /**
     * The leader is asked to shut down just after it accepted a proposal: it hands over leadership
     * and ends at any moment after. Either all remaining replicas apply the entry, or none does and
     * its log position holds another entry.
     */
    @Test
    public void anEntryIsAppliedByAllOrNoneWhenItsLeaderShutsDown() {
        int loaded = 0;
        for (long wait = 0; wait < 120; wait += 8) {
            ConsensusSimulation simulation = started(7, ConsensusSettings.DEFAULT);
            int leader = simulation.leader();
            LogPosition number = simulation.propose(leader, new byte[] {9});
            simulation.forwardProposal(leader, new byte[] {8}, SECOND);
            simulation.transfer(leader);
            simulation.play(wait * MILLI);
            simulation.kill(leader);
            simulation.play(4 * SECOND);
            for (int i = 0; i < 20 && !(simulation.leader() >= 0 && simulation.agree()); i++) {
                simulation.play(SECOND);
            }
            assertTrue(simulation.leader() >= 0 && simulation.agree(), "after " + wait + " ms");
            assertEquals(violations(simulation), Set.of(), "after " + wait + " ms");
            String sum =
                    events.stream()
                            .filter(
                                    event ->
                                            event.replica() == leader
                                                    && event.what().equals("stored")
                                                    && event.number("index") == number.index())
                            .findFirst()
                            .get()
                            .text("sum");
            long with =
                    events.stream()
                            .filter(
                                    event ->
                                            event.replica() != leader
                                                    && event.what().equals("loaded")
                                                    && event.number("index") == number.index()
                                                    && event.text("sum").equals(sum))
                            .map(HistoryEvent::replica)
                            .distinct()
                            .count();
            assertTrue(with == 0 || with == 6, "applied by " + with + " after " + wait + " ms");
            loaded += with == 6 ? 1 : 0;
        }
        assertTrue(loaded > 0, "applied after no wait");
    }

    /**
     * Forty replicas forward many proposals while nothing can be committed: the leader stores only
     * a bounded number of them.
     */
    @Test
    public void aLeaderStoresABoundedNumberOfForwardedProposals() {
        ConsensusSimulation simulation = started(40, ConsensusSettings.DEFAULT);
        int leader = simulation.leader();
        IntStream.range(0, 40).forEach(i -> simulation.cut(i, leader, true));
        int before = events.size();
        for (int i = 0; i < 10_000; i++) {
            int from = (leader + 1 + i % 39) % 40;
            RaftNode view = simulation.view(from);
            RaftMessage forwardedMessage =
                    new RaftMessage.ForwardProposal(
                            new Proposal(from, 1, i, view.appliedPosition(), new byte[20]));
            simulation.inject(
                    leader,
                    from,
                    new MessageFragment(
                                    view.group(),
                                    view.term(),
                                    from,
                                    view.incarnation(),
                                    i,
                                    0,
                                    1,
                                    0,
                                    RaftMessageCodec.encode(forwardedMessage))
                            .encode());
        }
        assertTrue(simulation.view(leader).isLeader());
        assertEquals(
                events.subList(before, events.size()).stream()
                        .filter(event -> event.what().equals("stored"))
                        .count(),
                16);
    }
}
