package cedarrudder.consensus;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertTrue;

import cedarrudder.lab.checker.History;
import cedarrudder.lab.checker.HistoryEvent;
import cedarrudder.lab.checker.LeaderContactBound;
import cedarrudder.lab.checker.SingleLeader;
import cedarrudder.lab.checker.SingleTable;
import cedarrudder.lab.consensus.ConsensusSimulation;
import cedarrudder.lab.consensus.FaultStorm;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import org.testng.annotations.Test;

/**
 * Programs that lack one rule each: the judge finds it, or a measure shows it. Seeds are fixed: the
 * verdict is the same.
 */
public class BrokenConsensusTest {

    private static final long SECOND = 1_000_000_000L;
    private static final long MILLI = 1_000_000L;
    private static final ConsensusSimulation.Network CALM =
            new ConsensusSimulation.Network(0, 0, 0, 2 * MILLI, 21 * MILLI);

    private static ConsensusSimulation.Maker with(SafetyRules conduct) {
        return (zones, self, incarnation, settings, store, random, outlet, now) ->
                new RaftNode(
                        zones, self, incarnation, settings, store, random, outlet, now, conduct);
    }

    /** The rules that seeds break, up to the first seed that breaks one of these. */
    private static Set<String> broken(SafetyRules conduct, int seeds, String... wanted) {
        Set<String> rules = new HashSet<>();
        for (long seed = 1; seed <= seeds && Collections.disjoint(rules, List.of(wanted)); seed++) {
            FaultStorm.play(seed, with(conduct))
                    .breaches()
                    .forEach(breach -> rules.add(breach.rule()));
        }
        return rules;
    }

    @Test
    public void oneThatForgotVotesUnderItsNewLife() {
        Set<String> rules =
                broken(
                        new SafetyRules() {
                            @Override
                            boolean mayVote(boolean sworn, boolean seated) {
                                return true;
                            }
                        },
                        20,
                        "A2");
        assertTrue(rules.contains("A2"), rules.toString());
    }

    /** What is handed on again, since the leader's answer was lost, would count twice. */
    @Test
    public void aProposalHandedOnTwiceTakesEffectTwice() {
        Set<String> rules =
                broken(
                        new SafetyRules() {
                            @Override
                            boolean mayTakeEffect(boolean isNew) {
                                return true;
                            }
                        },
                        100,
                        "A3");
        assertTrue(rules.contains("A3"), rules.toString());
    }

    /**
     * What lay unread for as long as a replica stood still would make a contact as much younger.
     */
    @Test
    public void aContactThatCountsFromItsArrivalIsTooYoung() {
        Set<String> rules =
                broken(
                        new SafetyRules() {
                            @Override
                            long contactCountsFrom(long askedAt, long answeredAt) {
                                return answeredAt;
                            }
                        },
                        20,
                        "contact");
        assertTrue(rules.contains("contact"), rules.toString());
    }

    /** Clocks that differ by 2 in 1,000, and a contact that stays the last for 40 minutes. */
    @Test
    public void withoutTheDriftAContactThatIsHandedOnIsTooYoung() {
        assertEquals(handedOnForMinutes(new SafetyRules()), Set.of());
        assertEquals(
                handedOnForMinutes(
                        new SafetyRules() {
                            @Override
                            long withClockDrift(long nanos) {
                                return nanos;
                            }
                        }),
                Set.of("contact"));
    }

    private static Set<String> handedOnForMinutes(SafetyRules conduct) {
        List<HistoryEvent> events = new ArrayList<>();
        ConsensusSimulation copies = started(10, false, conduct, events);
        for (Voter voter : copies.view(copies.leader()).voters().all()) {
            copies.kill(voter.replica());
        }
        for (int round = 0; round < 4; round++) {
            for (int i = 0; i < 10; i++) {
                if (i % 2 == round % 2 && copies.runs(i)) {
                    copies.kill(i);
                    copies.restart(i);
                }
            }
            copies.play(600 * SECOND);
        }
        return judged(copies, events);
    }

    /**
     * One datagram with a peer's address that names a higher group, or a later life of that peer.
     */
    @Test
    public void aForgedDatagramMovesNobody() {
        assertTrue(staysAfterForgeries(new SafetyRules()));
        assertTrue(
                !staysAfterForgeries(
                        new SafetyRules() {
                            @Override
                            boolean acceptsHigherGroupOrIncarnation(boolean answered) {
                                return true;
                            }
                        }));
    }

    private static boolean staysAfterForgeries(SafetyRules conduct) {
        ConsensusSimulation copies = started(5, false, conduct, new ArrayList<>());
        VoterGroup group = copies.view(0).group();
        long incarnation = copies.view(1).incarnation();
        for (int i = 0; i < 100; i++) {
            RaftMessage message =
                    i % 2 == 0
                            ? new RaftMessage.Digest(9, 9, 9, 1, 0, 0, i)
                            : new RaftMessage.DigestResponse(i, 0, 9);
            VoterGroup other = new VoterGroup(group.era() + i % 3, 1, incarnation);
            copies.inject(
                    0,
                    1,
                    new MessageFragment(
                                    other,
                                    9,
                                    1,
                                    incarnation + i % 5,
                                    i,
                                    0,
                                    1,
                                    0,
                                    RaftMessageCodec.encode(message))
                            .encode());
            copies.play(20 * MILLI);
        }
        copies.play(5 * SECOND);
        LogPosition number =
                copies.leader() < 0 ? null : copies.propose(copies.leader(), new byte[8]);
        copies.play(2 * SECOND);
        return number != null && number.group().equals(group) && copies.allLoaded(number);
    }

    /**
     * The plain paper without a disk: the replica says that it is who it was, and remembers no vote
     * and no entry.
     */
    @Test
    public void oneThatForgotVotesAsIfItRemembered() {
        List<HistoryEvent> events = new ArrayList<>();
        ConsensusSimulation copies = started(5, false, new SafetyRules(), events);
        int leader = copies.leader();
        VoterSet voters = copies.view(leader).voters();
        VoterGroup group = copies.view(leader).group();
        assertNotNull(copies.propose(leader, new byte[8]));
        copies.play(SECOND);
        for (Voter voter : voters.all()) {
            copies.kill(voter.replica());
            copies.pretend(voter.replica(), voter.incarnation(), pretending(group, voter, voters));
        }
        copies.play(5 * SECOND);
        assertTrue(judged(copies, events).contains("A2"), events.toString());
    }

    static StableStorage pretending(VoterGroup group, Voter voter, VoterSet voters) {
        return new StableStorage() {
            @Override
            public Recovered recovered() {
                return new Recovered(
                        new HardState(group, voter.incarnation(), 1, null, true),
                        new Snapshot(1, 1, voters, new AppliedProposals().encodeWith(new byte[8])),
                        List.of());
            }

            @Override
            public void writeHardState(HardState promise) {}

            @Override
            public void append(long index, LogEntry entry) {}

            @Override
            public void truncateFrom(long from) {}

            @Override
            public void writeSnapshot(Snapshot snapshot) {}

            @Override
            public void sync() {}
        };
    }

    @Test
    public void piecesOfDifferentMessagesMix() {
        Set<String> rules =
                broken(
                        new SafetyRules() {
                            @Override
                            boolean isSameMessage(MessageFragment held, MessageFragment other) {
                                return held.count() == other.count();
                            }

                            @Override
                            boolean isIntact(MessageFragment held, byte[] message) {
                                return true;
                            }
                        },
                        200,
                        "A1");
        assertTrue(rules.contains("A1"), rules.toString());
    }

    @Test
    public void aNewGroupUsesNumbersAgain() {
        Set<String> rules =
                broken(
                        new SafetyRules() {
                            @Override
                            VoterGroup nextGroup(VoterGroup known, Voter founder) {
                                return new VoterGroup(known.era() + 1, 0, 0);
                            }
                        },
                        200,
                        "A1",
                        "A2");
        assertTrue(rules.contains("A1") || rules.contains("A2"), rules.toString());
    }

    /**
     * Figure 8 of the paper: an entry of an earlier term, counted on a majority, is overwritten
     * after all.
     */
    @Test
    public void anEntryOfAnEarlierTermIsCommittedByCounting() {
        assertEquals(figureEight(new SafetyRules()), Set.of());
        Set<String> rules =
                figureEight(
                        new SafetyRules() {
                            @Override
                            boolean mayCommitByCounting(long entryTerm, long term) {
                                return true;
                            }
                        });
        assertTrue(rules.contains("A1"), rules.toString());
    }

    private static Set<String> figureEight(SafetyRules conduct) {
        List<HistoryEvent> events = new ArrayList<>();
        ConsensusSimulation copies = started(5, true, conduct, events);
        int first = copies.leader();
        int second = (first + 1) % 5;
        apart(copies, first, second);
        // As large as a batch: the entry after it goes in another message.
        assertNotNull(copies.propose(first, new byte[LogReplication.MAX_BATCH_BYTES]));
        copies.play(700 * MILLI);
        copies.kill(first);
        copies.kill(second);
        copies.heal();
        long before = copies.now();
        while (copies.leadsSince() < before) {
            copies.play(MILLI);
        }
        int third = copies.leader();
        apart(copies, third, third);
        copies.kill(third);
        // What it sent is lost with the links.
        copies.play(30 * MILLI);
        copies.heal();
        copies.restart(first);
        copies.restart(second);
        before = copies.now();
        while (copies.leadsSince() < before) {
            copies.play(MILLI);
        }
        int leads = copies.leader();
        long loaded = copies.view(leads).appliedPosition().index();
        for (int i = 0; i < 1_000 && copies.view(leads).appliedPosition().index() == loaded; i++) {
            copies.play(MILLI);
        }
        apart(copies, first, second);
        copies.restart(third);
        copies.play(8 * SECOND);
        if (copies.leader() >= 0) {
            copies.propose(copies.leader(), new byte[9]);
        }
        copies.play(2 * SECOND);
        copies.heal();
        copies.play(8 * SECOND);
        copies.propose(copies.leader(), new byte[10]);
        copies.play(4 * SECOND);
        return judged(copies, events);
    }

    /** Nothing passes between these two and the others. */
    private static void apart(ConsensusSimulation copies, int one, int other) {
        for (int i = 0; i < copies.size(); i++) {
            for (int inside : new int[] {one, other}) {
                if (i != one && i != other) {
                    copies.cut(i, inside, true);
                    copies.cut(inside, i, true);
                }
            }
        }
    }

    /** Terms that pass while one voter is cut off for 3 s each 6 s; each deposes a leader. */
    @Test
    public void withoutAskingAheadACutOffVoterDisturbs() {
        long with = termsOfACutOffVoter(new SafetyRules());
        long without =
                termsOfACutOffVoter(
                        new SafetyRules() {
                            @Override
                            boolean requiresPreVote() {
                                return false;
                            }
                        });
        assertEquals(with, 0);
        assertTrue(without >= 10, "terms " + without);
    }

    private static long termsOfACutOffVoter(SafetyRules conduct) {
        ConsensusSimulation copies = started(5, false, conduct, new ArrayList<>());
        long term = copies.view(copies.leader()).term();
        for (int round = 0; round < 5; round++) {
            int voter = (copies.leader() + 1) % 5;
            apart(copies, voter, voter);
            copies.play(3 * SECOND);
            copies.heal();
            copies.play(3 * SECOND);
        }
        return copies.view(copies.leader()).term() - term;
    }

    /** A leader that speaks and hears nobody: it has to go, or nothing is ever committed. */
    @Test
    public void withoutStepDownADeafLeaderStopsAll() {
        assertTrue(commitsPastADeafLeader(new SafetyRules()));
        assertTrue(
                !commitsPastADeafLeader(
                        new SafetyRules() {
                            @Override
                            boolean hasLostQuorum(long sinceMajority, long max) {
                                return false;
                            }
                        }));
    }

    private static boolean commitsPastADeafLeader(SafetyRules conduct) {
        ConsensusSimulation copies = started(5, false, conduct, new ArrayList<>());
        int deaf = copies.leader();
        IntStream.range(0, 5).forEach(i -> copies.cut(i, deaf, i != deaf));
        copies.play(4 * SECOND);
        LogPosition number = copies.propose(copies.leader(), new byte[8]);
        copies.play(4 * SECOND);
        return IntStream.range(0, 5)
                .filter(i -> i != deaf)
                .allMatch(i -> copies.view(i).appliedPosition().compareTo(number) >= 0);
    }

    private static ConsensusSimulation started(
            int size, boolean disks, SafetyRules conduct, List<HistoryEvent> events) {
        ConsensusSimulation copies =
                new ConsensusSimulation(
                        size,
                        CALM,
                        ConsensusSettings.DEFAULT,
                        disks,
                        8,
                        1,
                        with(conduct),
                        events::add);
        copies.form(0);
        copies.play(12 * SECOND);
        assertEquals(copies.view(copies.leader()).voters().size(), 5);
        return copies;
    }

    private static Set<String> judged(ConsensusSimulation copies, List<HistoryEvent> events) {
        Set<String> rules = new HashSet<>();
        History.judged(
                        events,
                        copies.now(),
                        List.of(new SingleTable(), new SingleLeader(), new LeaderContactBound()))
                .forEach(breach -> rules.add(breach.rule()));
        return rules;
    }
}
