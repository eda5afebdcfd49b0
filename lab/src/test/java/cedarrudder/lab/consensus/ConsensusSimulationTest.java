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
        ConsensusSimulation copies =
                new ConsensusSimulation(
                        size, CALM, settings, false, stateBytes, 7, RaftNode::new, null);
        copies.form(0);
        copies.play(15 * SECOND);
        assertEquals(copies.view(copies.leader()).voters().size(), 5);
        return copies;
    }

    private static LogPosition commit(ConsensusSimulation copies) {
        LogPosition number = copies.propose(copies.leader(), new byte[100]);
        assertNotNull(number);
        copies.play(2 * SECOND);
        assertTrue(copies.allLoaded(number));
        return number;
    }

    private static void forgetAll(ConsensusSimulation copies) {
        for (Voter voter : copies.view(copies.leader()).voters().all()) {
            copies.kill(voter.replica());
            copies.restart(voter.replica());
        }
    }

    @Test
    public void oneSeedGivesOneHistory() {
        List<List<HistoryEvent>> histories = new ArrayList<>();
        for (int time = 0; time < 2; time++) {
            List<HistoryEvent> events = new ArrayList<>();
            ConsensusSimulation copies =
                    new ConsensusSimulation(
                            9,
                            new ConsensusSimulation.Network(0.1, 0.1, 0.1, MILLI, 20 * MILLI),
                            SETTINGS,
                            true,
                            600,
                            5,
                            RaftNode::new,
                            events::add);
            copies.form(2);
            copies.play(15 * SECOND);
            assertNotNull(copies.propose(copies.leader(), new byte[700]));
            copies.play(2 * SECOND);
            copies.kill(copies.leader());
            copies.play(10 * SECOND);
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
        ConsensusSimulation copies = started(7, SETTINGS, 8);
        int stalled = copies.leader();
        long term = copies.view(stalled).term();
        copies.stall(stalled, 5 * SECOND);
        assertNull(copies.propose(stalled, new byte[8]));
        copies.play(4 * SECOND);
        int other = copies.leader();
        assertNotEquals(other, stalled);
        assertTrue(copies.view(stalled).isLeader(), "it believes that it leads");
        LogPosition number = commit(copies);
        copies.play(100 * MILLI);
        assertEquals(copies.leader(), other);
        assertFalse(copies.view(stalled).isLeader());
        assertTrue(copies.view(other).term() > term);
        assertEquals(copies.view(stalled).appliedPosition(), number);
    }

    @Test
    public void aVoterThatForgotVotesAgainUnderItsNewLife() {
        ConsensusSimulation copies = started(5, SETTINGS, 8);
        int leader = copies.leader();
        int voter = (leader + 1) % 5;
        long before = copies.view(voter).incarnation();
        copies.kill(voter);
        copies.restart(voter);
        copies.play(8 * SECOND);
        assertFalse(copies.view(leader).voters().contains(new Voter(voter, before)));
        assertTrue(
                copies.view(leader)
                        .voters()
                        .contains(new Voter(voter, copies.view(voter).incarnation())));
    }

    @Test
    public void aSilentVoterIsReplacedByOneOfItsZone() {
        ConsensusSimulation copies = started(12, SETTINGS, 8);
        int leader = copies.leader();
        Voter gone =
                copies.view(leader).voters().all().stream()
                        .filter(v -> v.replica() != leader)
                        .findFirst()
                        .get();
        copies.kill(gone.replica());
        copies.play(15 * SECOND);
        List<Voter> voters = copies.view(copies.leader()).voters().all();
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
        ConsensusSimulation copies = started(9, SETTINGS, 8);
        LogPosition before = commit(copies);
        forgetAll(copies);
        copies.play(30 * SECOND);
        assertEquals(copies.leader(), -1);
        assertTrue(copies.agree(), "learners have it still");
        copies.form(3);
        copies.play(15 * SECOND);
        LogPosition after = commit(copies);
        assertTrue(after.compareTo(before) > 0);
        assertTrue(copies.agree());
    }

    @Test
    public void afterTheStatedSilenceAMajorityOfCopiesFormsAGroupAndAMinorityDoesNot() {
        ConsensusSimulation copies = started(9, SETTINGS.withFormationTimeout(6 * SECOND), 8);
        LogPosition before = commit(copies);
        List<Integer> voters =
                copies.view(copies.leader()).voters().all().stream().map(Voter::replica).toList();
        for (int i = 0; i < 9; i++) {
            for (int j = 0; j < 9; j++) {
                copies.cut(i, j, voters.contains(i) != voters.contains(j));
            }
        }
        copies.updateLiveness();
        copies.play(30 * SECOND);
        IntStream.range(0, 9).forEach(i -> assertEquals(copies.view(i).group(), before.group()));
        copies.heal();
        copies.play(10 * SECOND);
        forgetAll(copies);
        copies.play(40 * SECOND);
        assertTrue(copies.leader() >= 0);
        assertTrue(commit(copies).compareTo(before) > 0);
    }

    @Test
    public void oneThatWasAwayGetsASnapshotInPieces() {
        ConsensusSimulation copies = started(8, SETTINGS, 30_000);
        int away = (copies.leader() + 1) % 8;
        copies.kill(away);
        for (int i = 0; i < 100; i++) {
            copies.propose(copies.leader(), new byte[200]);
            copies.play(100 * MILLI);
        }
        copies.network(new ConsensusSimulation.Network(0.3, 0.02, 0.01, 2 * MILLI, 21 * MILLI));
        copies.restart(away);
        copies.play(15 * SECOND);
        assertTrue(copies.agree());
        assertNotEquals(copies.sum(away), 0);
    }

    @Test
    public void aLeaderHandsOverAtOnce() {
        ConsensusSimulation copies = started(5, SETTINGS, 8);
        int leader = copies.leader();
        copies.transfer(leader);
        copies.play(150 * MILLI);
        assertNotEquals(copies.leader(), leader);
        commit(copies);
    }

    /**
     * It stood still, and all that was sent to it waited: at its first look it knows how old that
     * is.
     */
    @Test
    public void aCopyThatStoodStillKnowsThatItsContactIsOld() {
        ConsensusSimulation copies = started(12, SETTINGS, 8);
        copies.play(3 * SECOND);
        for (int i = 0; i < 12; i++) {
            assertTrue(copies.contactAge(i) >= 0 && copies.contactAge(i) < 3 * SECOND, "copy " + i);
        }
        int still = (copies.leader() + 1) % 12;
        copies.stall(still, 6 * SECOND);
        copies.play(6 * SECOND + 1);
        assertTrue(copies.contactAge(still) > 5_900 * MILLI, "age " + copies.contactAge(still));
        copies.play(3 * SECOND);
        assertTrue(copies.contactAge(still) < 3 * SECOND);
    }

    /**
     * What replicas that don't lead hand on is committed, one after another, and said once each.
     */
    @Test
    public void anyCopyProposesAndIsToldOnce() {
        ConsensusSimulation copies = started(40, SETTINGS, 8);
        copies.network(new ConsensusSimulation.Network(0.3, 0.05, 0.01, 2 * MILLI, 21 * MILLI));
        for (int replica = 0; replica < 40; replica++) {
            for (int i = 0; i < 3; i++) {
                assertNotNull(
                        copies.hand(replica, new byte[] {(byte) replica, (byte) i}, 30 * SECOND));
            }
        }
        copies.play(30 * SECOND);
        for (int replica = 0; replica < 40; replica++) {
            List<ConsensusSimulation.Settled> settled = copies.settled(replica);
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
            ConsensusSimulation copies = started(7, SETTINGS, 8);
            int leader = copies.leader();
            int by = (leader + 1) % 7;
            copies.hand(by, new byte[] {1}, 20 * SECOND);
            copies.play(wait * MILLI);
            copies.kill(leader);
            copies.play(10 * SECOND);
            assertEquals(copies.settled(by).size(), 1, "after " + wait + " ms");
            assertEquals(copies.settled(by).get(0).outcome(), ProposalOutcome.COMMITTED);
            assertTrue(copies.agree());
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
        lone.hand(0, new byte[1], 3 * SECOND);
        lone.play(2_900 * MILLI);
        assertEquals(lone.settled(0), List.of());
        lone.play(200 * MILLI);
        assertEquals(lone.settled(0).get(0).outcome(), ProposalOutcome.NOT_TAKEN);
        ConsensusSimulation copies = started(7, SETTINGS, 8);
        int by = (copies.leader() + 1) % 7;
        for (int i = 0; i < 7; i++) {
            copies.cut(i, by, true);
        }
        Proposal proposal = copies.hand(by, new byte[] {7}, 2 * SECOND);
        copies.play(3 * SECOND);
        assertEquals(copies.settled(by).get(0).outcome(), ProposalOutcome.UNKNOWN);
        copies.heal();
        copies.again(by, proposal, 5 * SECOND);
        copies.play(5 * SECOND);
        assertEquals(copies.settled(by).get(1).outcome(), ProposalOutcome.COMMITTED);
    }

    /**
     * One that left its group and has nothing of the next forms one: it still knows what took
     * effect.
     */
    @Test
    public void aProposalTakesEffectOnceThoughGroupsFollowOneAnother() {
        List<HistoryEvent> events = new ArrayList<>();
        ConsensusSimulation copies =
                new ConsensusSimulation(7, CALM, SETTINGS, false, 8, 7, RaftNode::new, events::add);
        copies.form(0);
        copies.play(15 * SECOND);
        int by = (copies.leader() + 1) % 7;
        int founder = (by + 1) % 7;
        for (int i = 0; i < 7; i++) {
            copies.cut(i, by, true);
        }
        Proposal proposal = copies.hand(by, new byte[] {7}, 2 * SECOND);
        copies.play(3 * SECOND);
        copies.form((by + 2) % 7);
        int era = copies.view(founder).group().era();
        for (int i = 0; i < 10_000 && copies.view(founder).group().era() == era; i++) {
            copies.play(MILLI / 10);
        }
        assertEquals(copies.view(founder).appliedPosition().index(), 0);
        copies.form(founder);
        copies.play(8 * SECOND);
        copies.heal();
        copies.again(by, proposal, 5 * SECOND);
        copies.play(5 * SECOND);
        assertEquals(copies.settled(by).get(1).outcome(), ProposalOutcome.COMMITTED);
        assertEquals(copies.settled(by).get(1).number().group().era(), era);
        assertEquals(
                History.judged(
                        events, copies.now(), List.of(new SingleTable(), new AtMostOnceEffect())),
                List.of());
    }

    /** Its clock went back: what a former life proposed does not stand for what this one does. */
    @Test
    public void aCopyThatComesBackWithAnEarlierLifeIsNotTakenForItsFormerSelf() {
        ConsensusSimulation copies = started(7, SETTINGS, 8);
        int by = (copies.leader() + 1) % 7;
        copies.hand(by, new byte[] {1}, 5 * SECOND);
        copies.play(3 * SECOND);
        copies.kill(by);
        copies.pretend(by, 1, StableStorage.NONE);
        copies.play(3 * SECOND);
        copies.hand(by, new byte[] {2}, 5 * SECOND);
        copies.play(3 * SECOND);
        assertNotEquals(copies.settled(by).get(0).outcome(), ProposalOutcome.COMMITTED);
        copies.hand(by, new byte[] {3}, 5 * SECOND);
        copies.play(3 * SECOND);
        assertEquals(copies.settled(by).get(1).outcome(), ProposalOutcome.COMMITTED);
    }

    /**
     * Its clock went back, so that its life is smaller than the one before: it takes a larger one
     * and is heard.
     */
    @Test
    public void aLifeThatIsTooSmallIsMended() {
        ConsensusSimulation copies = started(7, SETTINGS, 8);
        int back = (copies.leader() + 1) % 7;
        long before = copies.view(back).incarnation();
        copies.kill(back);
        copies.pretend(back, 1, StableStorage.NONE);
        copies.play(5 * SECOND);
        commit(copies);
        assertTrue(copies.view(back).incarnation() > before);
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
