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
 * What replicas must come through, each made to happen. Their clocks differ by up to an hour and
 * drift by up to 1 in 1,000, as in all of the model.
 */
public class HardCasesTest {

    private static final long SECOND = 1_000_000_000L;
    private static final long MILLI = 1_000_000L;
    private static final ConsensusSimulation.Network LOSSY =
            new ConsensusSimulation.Network(0.1, 0.02, 0.01, 2 * MILLI, 21 * MILLI);

    private final List<HistoryEvent> events = new ArrayList<>();

    private ConsensusSimulation started(int size, ConsensusSettings settings) {
        events.clear();
        ConsensusSimulation copies =
                new ConsensusSimulation(
                        size, LOSSY, settings, false, 8, 3, RaftNode::new, events::add);
        copies.form(0);
        copies.play(15 * SECOND);
        assertEquals(copies.view(copies.leader()).voters().size(), 5);
        return copies;
    }

    private Set<String> judged(ConsensusSimulation copies) {
        Set<String> rules = new HashSet<>();
        History.judged(
                        events,
                        copies.now(),
                        List.of(
                                new SingleTable(),
                                new SingleLeader(),
                                new AtMostOnceEffect(),
                                new LeaderContactBound()))
                .forEach(breach -> rules.add(breach.rule()));
        return rules;
    }

    /** Nothing passes between those that are in and those that are not. */
    private static void part(ConsensusSimulation copies, Set<Integer> in) {
        for (int i = 0; i < copies.size(); i++) {
            for (int j = 0; j < copies.size(); j++) {
                copies.cut(i, j, in.contains(i) != in.contains(j));
            }
        }
        copies.updateLiveness();
    }

    /**
     * Each half holds the other to be dead, for ten minutes. One half has most voters and goes on;
     * the other commits nothing, forms no group, and knows that its last contact is as old as the
     * cut.
     */
    @Test
    public void twoRegionsThatEachSeeTheOtherAsLost() {
        ConsensusSimulation copies =
                started(12, ConsensusSettings.DEFAULT.withFormationTimeout(6 * SECOND));
        VoterGroup group = copies.view(0).group();
        List<Integer> voters =
                copies.view(copies.leader()).voters().all().stream().map(Voter::replica).toList();
        Set<Integer> max = new HashSet<>(voters.subList(0, 3));
        IntStream.range(0, 12).filter(i -> !voters.contains(i)).limit(3).forEach(max::add);
        part(copies, max);
        long cutAt = copies.now();
        copies.play(600 * SECOND);
        assertTrue(max.contains(copies.leader()));
        for (int i = 0; i < 12; i++) {
            assertEquals(copies.view(i).group(), group);
            assertEquals(copies.contactAge(i) < 5 * SECOND, max.contains(i), "copy " + i);
            assertTrue(max.contains(i) || copies.contactAge(i) > (copies.now() - cutAt) * 0.998);
            assertNotNull(copies.hand(i, new byte[] {(byte) i}, 5 * SECOND));
        }
        copies.play(6 * SECOND);
        for (int i = 0; i < 12; i++) {
            assertEquals(
                    copies.settled(i).get(0).outcome() == ProposalOutcome.COMMITTED,
                    max.contains(i));
        }
        copies.heal();
        copies.play(10 * SECOND);
        assertTrue(copies.agree());
        assertEquals(judged(copies), Set.of());
    }

    /**
     * Without its vote neither side has a majority. One asks for it, it forgets, and the other asks
     * for it. By the plain paper, where it says that it is who it was, each gets a leader of the
     * same term.
     */
    @Test
    public void aVoterThatForgotIsAskedForItsVoteByBothSides() {
        assertEquals(askedByBothSides(false), Set.of());
        assertTrue(askedByBothSides(true).contains("A2"));
    }

    private Set<String> askedByBothSides(boolean pretends) {
        ConsensusSimulation copies = started(5, ConsensusSettings.DEFAULT);
        int leader = copies.leader();
        int forgot = (leader + 1) % 5;
        VoterSet voters = copies.view(leader).voters();
        VoterGroup group = copies.view(leader).group();
        long term = copies.view(leader).term();
        Voter was = new Voter(forgot, copies.view(forgot).incarnation());
        Set<Integer> one = Set.of((forgot + 1) % 5, (forgot + 2) % 5);
        for (int side = 0; side < 2; side++) {
            Set<Integer> with = new HashSet<>(one);
            if (side == 0) {
                with.add(forgot);
            }
            part(copies, with);
            copies.kill(forgot);
            if (pretends) {
                copies.pretend(
                        forgot,
                        was.incarnation(),
                        BrokenConsensusTest.pretending(group, was, voters));
            } else {
                copies.restart(forgot);
            }
            copies.play(8 * SECOND);
        }
        for (int i = 0; i < 5 && !pretends; i++) {
            assertEquals(copies.view(i).term(), term, "copy " + i);
        }
        copies.heal();
        copies.play(8 * SECOND);
        assertTrue(pretends || copies.leader() >= 0 && copies.agree());
        return judged(copies);
    }

    /**
     * The replica that leads is told to end just after it took something: it hands over, and is
     * gone at any moment after. All that go on load it, or none does and its number is another's.
     */
    @Test
    public void somethingIsCommittedAsItsCopyIsToldToEnd() {
        int loaded = 0;
        for (long wait = 0; wait < 120; wait += 8) {
            ConsensusSimulation copies = started(7, ConsensusSettings.DEFAULT);
            int leader = copies.leader();
            LogPosition number = copies.propose(leader, new byte[] {9});
            copies.hand(leader, new byte[] {8}, SECOND);
            copies.transfer(leader);
            copies.play(wait * MILLI);
            copies.kill(leader);
            copies.play(4 * SECOND);
            for (int i = 0; i < 20 && !(copies.leader() >= 0 && copies.agree()); i++) {
                copies.play(SECOND);
            }
            assertTrue(copies.leader() >= 0 && copies.agree(), "after " + wait + " ms");
            assertEquals(judged(copies), Set.of(), "after " + wait + " ms");
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
            assertTrue(with == 0 || with == 6, "loaded by " + with + " after " + wait + " ms");
            loaded += with == 6 ? 1 : 0;
        }
        assertTrue(loaded > 0, "none of all");
    }

    /** Forty replicas hand on all that they can while nothing is committed. */
    @Test
    public void whatOthersHandOnIsBounded() {
        ConsensusSimulation copies = started(40, ConsensusSettings.DEFAULT);
        int leader = copies.leader();
        IntStream.range(0, 40).forEach(i -> copies.cut(i, leader, true));
        int before = events.size();
        for (int i = 0; i < 10_000; i++) {
            int from = (leader + 1 + i % 39) % 40;
            RaftNode view = copies.view(from);
            RaftMessage hand =
                    new RaftMessage.ForwardProposal(
                            new Proposal(from, 1, i, view.appliedPosition(), new byte[20]));
            copies.inject(
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
                                    RaftMessageCodec.encode(hand))
                            .encode());
        }
        assertTrue(copies.view(leader).isLeader());
        assertEquals(
                events.subList(before, events.size()).stream()
                        .filter(event -> event.what().equals("stored"))
                        .count(),
                16);
    }
}
