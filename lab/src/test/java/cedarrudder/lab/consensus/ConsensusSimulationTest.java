package cedarrudder.lab.consensus;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import cedarrudder.consensus.ConsensusSettings;
import cedarrudder.consensus.LogPosition;
import cedarrudder.consensus.Proposal;
import cedarrudder.consensus.ProposalOutcome;
import cedarrudder.consensus.RaftNode;
import cedarrudder.consensus.StableStorage;
import cedarrudder.consensus.Voter;
import cedarrudder.lab.checker.AtMostOnceEffect;
import cedarrudder.lab.checker.History;
import cedarrudder.lab.checker.HistoryEvent;
import cedarrudder.lab.checker.SingleTable;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.testng.annotations.Test;

/**
 * Tests consensus in simulation, with provoked failures. Seeds are fixed, so the results are
 * reproducible.
 */
public class ConsensusSimulationTest {

    private static final long SECOND = 1_000_000_000L;
    private static final long MILLI = 1_000_000L;
    private static final ConsensusSimulation.Network CALM =
            new ConsensusSimulation.Network(0, 0, 0, 2 * MILLI, 21 * MILLI);
    private static final ConsensusSettings SETTINGS = ConsensusSettings.DEFAULT;

    private static ConsensusSimulation started(
            int size, ConsensusSettings settings, int stateBytes) {
        ConsensusSimulation simulation =
                new ConsensusSimulation(
                        size, CALM, settings, false, stateBytes, 7, RaftNode::new, null);
        simulation.form(0);
        simulation.play(15 * SECOND);
        assertEquals(simulation.view(simulation.leader()).voters().size(), 5);
        return simulation;
    }

    private static LogPosition commit(ConsensusSimulation simulation) {
        LogPosition number = simulation.propose(simulation.leader(), new byte[100]);
        assertNotNull(number);
        simulation.play(2 * SECOND);
        assertTrue(simulation.allLoaded(number));
        return number;
    }

    private static void restartAllVotersWithoutState(ConsensusSimulation simulation) {
        for (Voter voter : simulation.view(simulation.leader()).voters().all()) {
            simulation.kill(voter.replica());
            simulation.restart(voter.replica());
        }
    }

    @Test
    public void oneSeedGivesOneHistory() {
        List<List<HistoryEvent>> histories = new ArrayList<>();
        for (int time = 0; time < 2; time++) {
            List<HistoryEvent> events = new ArrayList<>();
            ConsensusSimulation simulation =
                    new ConsensusSimulation(
                            9,
                            new ConsensusSimulation.Network(0.1, 0.1, 0.1, MILLI, 20 * MILLI),
                            SETTINGS,
                            true,
                            600,
                            5,
                            RaftNode::new,
                            events::add);
            simulation.form(2);
            simulation.play(15 * SECOND);
            assertNotNull(simulation.propose(simulation.leader(), new byte[700]));
            simulation.play(2 * SECOND);
            simulation.kill(simulation.leader());
            simulation.play(10 * SECOND);
            histories.add(events);
        }
        assertEquals(histories.get(0), histories.get(1));
        assertTrue(histories.get(0).stream().anyMatch(event -> event.what().equals("loaded")));
    }

    @Test
    public void faultStormsViolateNoInvariantAndSettle() {
        for (long seed = 1; seed <= 100; seed++) {
            FaultStorm.Result result = FaultStorm.play(seed, RaftNode::new);
            assertEquals(result.breaches(), List.of(), "seed " + seed);
            assertTrue(result.settled() >= 0, "seed " + seed + " did not settle");
        }
    }

    @Test
    public void messagesOfALeaderThatWasPausedHaveNoEffect() {
        ConsensusSimulation simulation = started(7, SETTINGS, 8);
        int stalled = simulation.leader();
        long term = simulation.view(stalled).term();
        simulation.stall(stalled, 5 * SECOND);
        assertNull(simulation.propose(stalled, new byte[8]));
        simulation.play(4 * SECOND);
        int other = simulation.leader();
        assertNotEquals(other, stalled);
        assertTrue(
                simulation.view(stalled).isLeader(),
                "the paused replica still believes that it leads");
        LogPosition number = commit(simulation);
        simulation.play(100 * MILLI);
        assertEquals(simulation.leader(), other);
        assertFalse(simulation.view(stalled).isLeader());
        assertTrue(simulation.view(other).term() > term);
        assertEquals(simulation.view(stalled).appliedPosition(), number);
    }

    @Test
    public void aVoterThatLostItsStateIsReplacedByItsNewIncarnation() {
        ConsensusSimulation simulation = started(5, SETTINGS, 8);
        int leader = simulation.leader();
        int voter = (leader + 1) % 5;
        long before = simulation.view(voter).incarnation();
        simulation.kill(voter);
        simulation.restart(voter);
        simulation.play(8 * SECOND);
        assertFalse(simulation.view(leader).voters().contains(new Voter(voter, before)));
        assertTrue(
                simulation
                        .view(leader)
                        .voters()
                        .contains(new Voter(voter, simulation.view(voter).incarnation())));
    }

    @Test
    public void aDeadVoterIsReplacedAndZonesStayBalanced() {
        ConsensusSimulation simulation = started(12, SETTINGS, 8);
        int leader = simulation.leader();
        Voter killed =
                simulation.view(leader).voters().all().stream()
                        .filter(v -> v.replica() != leader)
                        .findFirst()
                        .get();
        simulation.kill(killed.replica());
        simulation.play(15 * SECOND);
        List<Voter> voters = simulation.view(simulation.leader()).voters().all();
        assertEquals(voters.size(), 5);
        assertFalse(voters.contains(killed));
        for (int zone = 0; zone < 3; zone++) {
            int wanted = zone;
            long there = voters.stream().filter(v -> v.replica() % 3 == wanted).count();
            assertTrue(there == 1 || there == 2, voters.toString());
        }
    }

    @Test
    public void aGroupWhoseMajorityLostItsStateStopsUntilAnOperatorFormsAnother() {
        ConsensusSimulation simulation = started(9, SETTINGS, 8);
        LogPosition before = commit(simulation);
        restartAllVotersWithoutState(simulation);
        simulation.play(30 * SECOND);
        assertEquals(simulation.leader(), -1);
        assertTrue(simulation.agree(), "the learners still have the entry");
        simulation.form(3);
        simulation.play(15 * SECOND);
        LogPosition after = commit(simulation);
        assertTrue(after.compareTo(before) > 0);
        assertTrue(simulation.agree());
    }

    @Test
    public void afterTheFormationTimeoutOnlyAMajorityOfReplicasFormsAGroup() {
        ConsensusSimulation simulation = started(9, SETTINGS.withFormationTimeout(6 * SECOND), 8);
        LogPosition before = commit(simulation);
        List<Integer> voters =
                simulation.view(simulation.leader()).voters().all().stream()
                        .map(Voter::replica)
                        .toList();
        for (int i = 0; i < 9; i++) {
            for (int j = 0; j < 9; j++) {
                simulation.cut(i, j, voters.contains(i) != voters.contains(j));
            }
        }
        simulation.updateLiveness();
        simulation.play(30 * SECOND);
        IntStream.range(0, 9)
                .forEach(i -> assertEquals(simulation.view(i).group(), before.group()));
        simulation.heal();
        simulation.play(10 * SECOND);
        restartAllVotersWithoutState(simulation);
        simulation.play(40 * SECOND);
        assertTrue(simulation.leader() >= 0);
        assertTrue(commit(simulation).compareTo(before) > 0);
    }

    @Test
    public void aReplicaThatRestartsLateReceivesASnapshotInFragments() {
        ConsensusSimulation simulation = started(8, SETTINGS, 30_000);
        int stopped = (simulation.leader() + 1) % 8;
        simulation.kill(stopped);
        for (int i = 0; i < 100; i++) {
            simulation.propose(simulation.leader(), new byte[200]);
            simulation.play(100 * MILLI);
        }
        simulation.network(new ConsensusSimulation.Network(0.3, 0.02, 0.01, 2 * MILLI, 21 * MILLI));
        simulation.restart(stopped);
        simulation.play(15 * SECOND);
        assertTrue(simulation.agree());
        assertNotEquals(simulation.sum(stopped), 0);
    }

    @Test
    public void aLeaderHandsOverWithin150Milliseconds() {
        ConsensusSimulation simulation = started(5, SETTINGS, 8);
        int leader = simulation.leader();
        simulation.transfer(leader);
        simulation.play(150 * MILLI);
        assertNotEquals(simulation.leader(), leader);
        commit(simulation);
    }

    /**
     * The datagrams sent to a paused replica are buffered: as soon as it resumes, it has to know
     * how old its leader contact is.
     */
    @Test
    public void aReplicaThatWasPausedKnowsTheAgeOfItsLeaderContact() {
        ConsensusSimulation simulation = started(12, SETTINGS, 8);
        simulation.play(3 * SECOND);
        for (int i = 0; i < 12; i++) {
            assertTrue(
                    simulation.contactAge(i) >= 0 && simulation.contactAge(i) < 3 * SECOND,
                    "replica " + i);
        }
        int paused = (simulation.leader() + 1) % 12;
        simulation.stall(paused, 6 * SECOND);
        simulation.play(6 * SECOND + 1);
        assertTrue(
                simulation.contactAge(paused) > 5_900 * MILLI,
                "age " + simulation.contactAge(paused));
        simulation.play(3 * SECOND);
        assertTrue(simulation.contactAge(paused) < 3 * SECOND);
    }

    /**
     * Proposals that replicas forward to the leader are committed in order, and the outcome of each
     * is reported once.
     */
    @Test
    public void anyReplicaProposesAndReceivesEachOutcomeOnce() {
        ConsensusSimulation simulation = started(40, SETTINGS, 8);
        simulation.network(new ConsensusSimulation.Network(0.3, 0.05, 0.01, 2 * MILLI, 21 * MILLI));
        for (int replica = 0; replica < 40; replica++) {
            for (int i = 0; i < 3; i++) {
                assertNotNull(
                        simulation.forwardProposal(
                                replica, new byte[] {(byte) replica, (byte) i}, 30 * SECOND));
            }
        }
        simulation.play(30 * SECOND);
        for (int replica = 0; replica < 40; replica++) {
            List<ConsensusSimulation.Settled> settled = simulation.settled(replica);
            assertEquals(
                    settled.stream().map(ConsensusSimulation.Settled::outcome).toList(),
                    List.of(
                            ProposalOutcome.COMMITTED,
                            ProposalOutcome.COMMITTED,
                            ProposalOutcome.COMMITTED),
                    "replica " + replica);
            for (int i = 0; i < 3; i++) {
                assertEquals(settled.get(i).proposal().content()[1], i);
                assertTrue(
                        i == 0
                                || settled.get(i).number().compareTo(settled.get(i - 1).number())
                                        > 0);
            }
        }
    }

    /**
     * The leader accepts a proposal and dies before its answer is sent: the proposal is forwarded
     * to the next leader and takes effect once.
     */
    @Test
    public void aProposalIsCommittedOnceThoughItsLeaderDies() {
        for (long wait = 2; wait < 90; wait += 4) {
            ConsensusSimulation simulation = started(7, SETTINGS, 8);
            int leader = simulation.leader();
            int proposer = (leader + 1) % 7;
            simulation.forwardProposal(proposer, new byte[] {1}, 20 * SECOND);
            simulation.play(wait * MILLI);
            simulation.kill(leader);
            simulation.play(10 * SECOND);
            assertEquals(simulation.settled(proposer).size(), 1, "after " + wait + " ms");
            assertEquals(simulation.settled(proposer).get(0).outcome(), ProposalOutcome.COMMITTED);
            assertTrue(simulation.agree());
        }
    }

    /**
     * A proposal that was never forwarded, since there is no leader, was certainly not accepted;
     * the outcome of one that was forwarded to a leader that does not answer is unknown.
     */
    @Test
    public void anUnansweredProposalIsUnknownAndAnUnforwardedOneNotTaken() {
        ConsensusSimulation withoutLeader =
                new ConsensusSimulation(3, CALM, SETTINGS, false, 8, 7, RaftNode::new, null);
        withoutLeader.forwardProposal(0, new byte[1], 3 * SECOND);
        withoutLeader.play(2_900 * MILLI);
        assertEquals(withoutLeader.settled(0), List.of());
        withoutLeader.play(200 * MILLI);
        assertEquals(withoutLeader.settled(0).get(0).outcome(), ProposalOutcome.NOT_TAKEN);
        ConsensusSimulation simulation = started(7, SETTINGS, 8);
        int proposer = (simulation.leader() + 1) % 7;
        for (int i = 0; i < 7; i++) {
            simulation.cut(i, proposer, true);
        }
        Proposal proposal = simulation.forwardProposal(proposer, new byte[] {7}, 2 * SECOND);
        simulation.play(3 * SECOND);
        assertEquals(simulation.settled(proposer).get(0).outcome(), ProposalOutcome.UNKNOWN);
        simulation.heal();
        simulation.forwardProposalAgain(proposer, proposal, 5 * SECOND);
        simulation.play(5 * SECOND);
        assertEquals(simulation.settled(proposer).get(1).outcome(), ProposalOutcome.COMMITTED);
    }

    /**
     * A replica that left its group and has received nothing of the next one forms a group: it
     * still knows which proposals took effect.
     */
    @Test
    public void aProposalTakesEffectOnceAcrossGroups() {
        List<HistoryEvent> events = new ArrayList<>();
        ConsensusSimulation simulation =
                new ConsensusSimulation(7, CALM, SETTINGS, false, 8, 7, RaftNode::new, events::add);
        simulation.form(0);
        simulation.play(15 * SECOND);
        int proposer = (simulation.leader() + 1) % 7;
        int founder = (proposer + 1) % 7;
        for (int i = 0; i < 7; i++) {
            simulation.cut(i, proposer, true);
        }
        Proposal proposal = simulation.forwardProposal(proposer, new byte[] {7}, 2 * SECOND);
        simulation.play(3 * SECOND);
        simulation.form((proposer + 2) % 7);
        int era = simulation.view(founder).group().era();
        for (int i = 0; i < 10_000 && simulation.view(founder).group().era() == era; i++) {
            simulation.play(MILLI / 10);
        }
        assertEquals(simulation.view(founder).appliedPosition().index(), 0);
        simulation.form(founder);
        simulation.play(8 * SECOND);
        simulation.heal();
        simulation.forwardProposalAgain(proposer, proposal, 5 * SECOND);
        simulation.play(5 * SECOND);
        assertEquals(simulation.settled(proposer).get(1).outcome(), ProposalOutcome.COMMITTED);
        assertEquals(simulation.settled(proposer).get(1).number().group().era(), era);
        assertEquals(
                History.judged(
                        events,
                        simulation.now(),
                        List.of(new SingleTable(), new AtMostOnceEffect())),
                List.of());
    }

    /**
     * The clock of a replica went back, so that it restarts with an earlier incarnation: an outcome
     * of a former incarnation must not count for its own proposals.
     */
    @Test
    public void aReplicaWithAnEarlierIncarnationReceivesNoOutcomeOfItsFormerOne() {
        ConsensusSimulation simulation = started(7, SETTINGS, 8);
        int proposer = (simulation.leader() + 1) % 7;
        simulation.forwardProposal(proposer, new byte[] {1}, 5 * SECOND);
        simulation.play(3 * SECOND);
        simulation.kill(proposer);
        simulation.pretend(proposer, 1, StableStorage.NONE);
        simulation.play(3 * SECOND);
        simulation.forwardProposal(proposer, new byte[] {2}, 5 * SECOND);
        simulation.play(3 * SECOND);
        assertNotEquals(simulation.settled(proposer).get(0).outcome(), ProposalOutcome.COMMITTED);
        simulation.forwardProposal(proposer, new byte[] {3}, 5 * SECOND);
        simulation.play(3 * SECOND);
        assertEquals(simulation.settled(proposer).get(1).outcome(), ProposalOutcome.COMMITTED);
    }

    /**
     * The clock of a replica went back, so that its incarnation is smaller than the one before: it
     * adopts a larger one, and the others accept its messages.
     */
    @Test
    public void anIncarnationThatIsTooSmallIsReplacedByALargerOne() {
        ConsensusSimulation simulation = started(7, SETTINGS, 8);
        int restarted = (simulation.leader() + 1) % 7;
        long before = simulation.view(restarted).incarnation();
        simulation.kill(restarted);
        simulation.pretend(restarted, 1, StableStorage.NONE);
        simulation.play(5 * SECOND);
        commit(simulation);
        assertTrue(simulation.view(restarted).incarnation() > before);
    }

    /** The number of bytes that a replica sends does not grow with the number of replicas. */
    @Test
    public void aReplicaSendsNoMoreInALargeTierThanInASmallOne() {
        double[] sent = new double[2];
        int[] sizes = {10, 200};
        for (int i = 0; i < 2; i++) {
            ConsensusTrial trial = new ConsensusTrial(sizes[i], CALM, SETTINGS, 300, 1);
            trial.play(1);
            ConsensusTrial.Figures figures = trial.figures();
            assertEquals(figures.missed(), 0);
            assertTrue(figures.maxCommit() < 1.5 && figures.maxLeader() < 3, figures.toString());
            sent[i] = figures.busy();
        }
        assertTrue(sent[1] <= sent[0], sent[0] + ", " + sent[1]);
    }
}
