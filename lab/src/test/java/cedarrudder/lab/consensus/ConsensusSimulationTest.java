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
 * Replicas that agree, with what goes wrong made to go wrong. Seeds are fixed: the verdict is the
 * same.
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

    private static void forgetAll(ConsensusSimulation simulation) {
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
    public void stormsBreakNoRuleAndEnd() {
        for (long seed = 1; seed <= 100; seed++) {
            FaultStorm.Result result = FaultStorm.play(seed, RaftNode::new);
            assertEquals(result.breaches(), List.of(), "seed " + seed);
            assertTrue(result.settled() >= 0, "seed " + seed + " did not settle");
        }
    }

    @Test
    public void whatALeaderSaysThatStoodStillHasNoEffect() {
        ConsensusSimulation simulation = started(7, SETTINGS, 8);
        int stalled = simulation.leader();
        long term = simulation.view(stalled).term();
        simulation.stall(stalled, 5 * SECOND);
        assertNull(simulation.propose(stalled, new byte[8]));
        simulation.play(4 * SECOND);
        int other = simulation.leader();
        assertNotEquals(other, stalled);
        assertTrue(simulation.view(stalled).isLeader(), "it believes that it leads");
        LogPosition number = commit(simulation);
        simulation.play(100 * MILLI);
        assertEquals(simulation.leader(), other);
        assertFalse(simulation.view(stalled).isLeader());
        assertTrue(simulation.view(other).term() > term);
        assertEquals(simulation.view(stalled).appliedPosition(), number);
    }

    @Test
    public void aVoterThatForgotVotesAgainUnderItsNewLife() {
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
    public void aSilentVoterIsReplacedByOneOfItsZone() {
        ConsensusSimulation simulation = started(12, SETTINGS, 8);
        int leader = simulation.leader();
        Voter gone =
                simulation.view(leader).voters().all().stream()
                        .filter(v -> v.replica() != leader)
                        .findFirst()
                        .get();
        simulation.kill(gone.replica());
        simulation.play(15 * SECOND);
        List<Voter> voters = simulation.view(simulation.leader()).voters().all();
        assertEquals(voters.size(), 5);
        assertFalse(voters.contains(gone));
        for (int zone = 0; zone < 3; zone++) {
            int wanted = zone;
            long there = voters.stream().filter(v -> v.replica() % 3 == wanted).count();
            assertTrue(there == 1 || there == 2, voters.toString());
        }
    }

    @Test
    public void aGroupWhoseMajorityForgotStopsUntilAnOperatorFormsAnother() {
        ConsensusSimulation simulation = started(9, SETTINGS, 8);
        LogPosition before = commit(simulation);
        forgetAll(simulation);
        simulation.play(30 * SECOND);
        assertEquals(simulation.leader(), -1);
        assertTrue(simulation.agree(), "learners have it still");
        simulation.form(3);
        simulation.play(15 * SECOND);
        LogPosition after = commit(simulation);
        assertTrue(after.compareTo(before) > 0);
        assertTrue(simulation.agree());
    }

    @Test
    public void afterTheStatedSilenceAMajorityOfCopiesFormsAGroupAndAMinorityDoesNot() {
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
        forgetAll(simulation);
        simulation.play(40 * SECOND);
        assertTrue(simulation.leader() >= 0);
        assertTrue(commit(simulation).compareTo(before) > 0);
    }

    @Test
    public void oneThatWasAwayGetsASnapshotInPieces() {
        ConsensusSimulation simulation = started(8, SETTINGS, 30_000);
        int away = (simulation.leader() + 1) % 8;
        simulation.kill(away);
        for (int i = 0; i < 100; i++) {
            simulation.propose(simulation.leader(), new byte[200]);
            simulation.play(100 * MILLI);
        }
        simulation.network(new ConsensusSimulation.Network(0.3, 0.02, 0.01, 2 * MILLI, 21 * MILLI));
        simulation.restart(away);
        simulation.play(15 * SECOND);
        assertTrue(simulation.agree());
        assertNotEquals(simulation.sum(away), 0);
    }

    @Test
    public void aLeaderHandsOverAtOnce() {
        ConsensusSimulation simulation = started(5, SETTINGS, 8);
        int leader = simulation.leader();
        simulation.transfer(leader);
        simulation.play(150 * MILLI);
        assertNotEquals(simulation.leader(), leader);
        commit(simulation);
    }

    /**
     * It stood still, and all that was sent to it waited: at its first look it knows how old that
     * is.
     */
    @Test
    public void aCopyThatStoodStillKnowsThatItsContactIsOld() {
        ConsensusSimulation simulation = started(12, SETTINGS, 8);
        simulation.play(3 * SECOND);
        for (int i = 0; i < 12; i++) {
            assertTrue(
                    simulation.contactAge(i) >= 0 && simulation.contactAge(i) < 3 * SECOND,
                    "copy " + i);
        }
        int still = (simulation.leader() + 1) % 12;
        simulation.stall(still, 6 * SECOND);
        simulation.play(6 * SECOND + 1);
        assertTrue(
                simulation.contactAge(still) > 5_900 * MILLI,
                "age " + simulation.contactAge(still));
        simulation.play(3 * SECOND);
        assertTrue(simulation.contactAge(still) < 3 * SECOND);
    }

    /**
     * What replicas that don't lead hand on is committed, one after another, and said once each.
     */
    @Test
    public void anyCopyProposesAndIsToldOnce() {
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
                    "copy " + replica);
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
     * The leader has it and is lost before the word of it is out: asked of the next one, it counts
     * once.
     */
    @Test
    public void aProposalOutlivesItsLeader() {
        for (long wait = 2; wait < 90; wait += 4) {
            ConsensusSimulation simulation = started(7, SETTINGS, 8);
            int leader = simulation.leader();
            int by = (leader + 1) % 7;
            simulation.forwardProposal(by, new byte[] {1}, 20 * SECOND);
            simulation.play(wait * MILLI);
            simulation.kill(leader);
            simulation.play(10 * SECOND);
            assertEquals(simulation.settled(by).size(), 1, "after " + wait + " ms");
            assertEquals(simulation.settled(by).get(0).outcome(), ProposalOutcome.COMMITTED);
            assertTrue(simulation.agree());
        }
    }

    /**
     * Without a leader: never handed on, so surely not taken; handed to one that is silent:
     * unknown.
     */
    @Test
    public void whatIsNotKnownIsNotClaimed() {
        ConsensusSimulation lone =
                new ConsensusSimulation(3, CALM, SETTINGS, false, 8, 7, RaftNode::new, null);
        lone.forwardProposal(0, new byte[1], 3 * SECOND);
        lone.play(2_900 * MILLI);
        assertEquals(lone.settled(0), List.of());
        lone.play(200 * MILLI);
        assertEquals(lone.settled(0).get(0).outcome(), ProposalOutcome.NOT_TAKEN);
        ConsensusSimulation simulation = started(7, SETTINGS, 8);
        int by = (simulation.leader() + 1) % 7;
        for (int i = 0; i < 7; i++) {
            simulation.cut(i, by, true);
        }
        Proposal proposal = simulation.forwardProposal(by, new byte[] {7}, 2 * SECOND);
        simulation.play(3 * SECOND);
        assertEquals(simulation.settled(by).get(0).outcome(), ProposalOutcome.UNKNOWN);
        simulation.heal();
        simulation.forwardProposalAgain(by, proposal, 5 * SECOND);
        simulation.play(5 * SECOND);
        assertEquals(simulation.settled(by).get(1).outcome(), ProposalOutcome.COMMITTED);
    }

    /**
     * One that left its group and has nothing of the next forms one: it still knows what took
     * effect.
     */
    @Test
    public void aProposalTakesEffectOnceThoughGroupsFollowOneAnother() {
        List<HistoryEvent> events = new ArrayList<>();
        ConsensusSimulation simulation =
                new ConsensusSimulation(7, CALM, SETTINGS, false, 8, 7, RaftNode::new, events::add);
        simulation.form(0);
        simulation.play(15 * SECOND);
        int by = (simulation.leader() + 1) % 7;
        int founder = (by + 1) % 7;
        for (int i = 0; i < 7; i++) {
            simulation.cut(i, by, true);
        }
        Proposal proposal = simulation.forwardProposal(by, new byte[] {7}, 2 * SECOND);
        simulation.play(3 * SECOND);
        simulation.form((by + 2) % 7);
        int era = simulation.view(founder).group().era();
        for (int i = 0; i < 10_000 && simulation.view(founder).group().era() == era; i++) {
            simulation.play(MILLI / 10);
        }
        assertEquals(simulation.view(founder).appliedPosition().index(), 0);
        simulation.form(founder);
        simulation.play(8 * SECOND);
        simulation.heal();
        simulation.forwardProposalAgain(by, proposal, 5 * SECOND);
        simulation.play(5 * SECOND);
        assertEquals(simulation.settled(by).get(1).outcome(), ProposalOutcome.COMMITTED);
        assertEquals(simulation.settled(by).get(1).number().group().era(), era);
        assertEquals(
                History.judged(
                        events,
                        simulation.now(),
                        List.of(new SingleTable(), new AtMostOnceEffect())),
                List.of());
    }

    /** Its clock went back: what a former life proposed does not stand for what this one does. */
    @Test
    public void aCopyThatComesBackWithAnEarlierLifeIsNotTakenForItsFormerSelf() {
        ConsensusSimulation simulation = started(7, SETTINGS, 8);
        int by = (simulation.leader() + 1) % 7;
        simulation.forwardProposal(by, new byte[] {1}, 5 * SECOND);
        simulation.play(3 * SECOND);
        simulation.kill(by);
        simulation.pretend(by, 1, StableStorage.NONE);
        simulation.play(3 * SECOND);
        simulation.forwardProposal(by, new byte[] {2}, 5 * SECOND);
        simulation.play(3 * SECOND);
        assertNotEquals(simulation.settled(by).get(0).outcome(), ProposalOutcome.COMMITTED);
        simulation.forwardProposal(by, new byte[] {3}, 5 * SECOND);
        simulation.play(3 * SECOND);
        assertEquals(simulation.settled(by).get(1).outcome(), ProposalOutcome.COMMITTED);
    }

    /**
     * Its clock went back, so that its life is smaller than the one before: it takes a larger one
     * and is heard.
     */
    @Test
    public void aLifeThatIsTooSmallIsMended() {
        ConsensusSimulation simulation = started(7, SETTINGS, 8);
        int back = (simulation.leader() + 1) % 7;
        long before = simulation.view(back).incarnation();
        simulation.kill(back);
        simulation.pretend(back, 1, StableStorage.NONE);
        simulation.play(5 * SECOND);
        commit(simulation);
        assertTrue(simulation.view(back).incarnation() > before);
    }

    /** What a replica sends does not grow with the number of replicas. */
    @Test
    public void oneOfManySendsNoMoreThanOneOfFew() {
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
