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
        ConsensusSimulation simulation = started(10, false, conduct, events);
        for (Voter voter : simulation.view(simulation.leader()).voters().all()) {
            simulation.kill(voter.replica());
        }
        for (int round = 0; round < 4; round++) {
            for (int i = 0; i < 10; i++) {
                if (i % 2 == round % 2 && simulation.runs(i)) {
                    simulation.kill(i);
                    simulation.restart(i);
                }
            }
            simulation.play(600 * SECOND);
        }
        return judged(simulation, events);
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
        ConsensusSimulation simulation = started(5, false, conduct, new ArrayList<>());
        VoterGroup group = simulation.view(0).group();
        long incarnation = simulation.view(1).incarnation();
        for (int i = 0; i < 100; i++) {
            RaftMessage message =
                    i % 2 == 0
                            ? new RaftMessage.Digest(9, 9, 9, 1, 0, 0, i)
                            : new RaftMessage.DigestResponse(i, 0, 9);
            VoterGroup other = new VoterGroup(group.era() + i % 3, 1, incarnation);
            simulation.inject(
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
            simulation.play(20 * MILLI);
        }
        simulation.play(5 * SECOND);
        LogPosition number =
                simulation.leader() < 0
                        ? null
                        : simulation.propose(simulation.leader(), new byte[8]);
        simulation.play(2 * SECOND);
        return number != null && number.group().equals(group) && simulation.allLoaded(number);
    }

    /**
     * The plain paper without a disk: the replica says that it is who it was, and remembers no vote
     * and no entry.
     */
    @Test
    public void oneThatForgotVotesAsIfItRemembered() {
        List<HistoryEvent> events = new ArrayList<>();
        ConsensusSimulation simulation = started(5, false, new SafetyRules(), events);
        int leader = simulation.leader();
        VoterSet voters = simulation.view(leader).voters();
        VoterGroup group = simulation.view(leader).group();
        assertNotNull(simulation.propose(leader, new byte[8]));
        simulation.play(SECOND);
        for (Voter voter : voters.all()) {
            simulation.kill(voter.replica());
            simulation.pretend(
                    voter.replica(), voter.incarnation(), pretending(group, voter, voters));
        }
        simulation.play(5 * SECOND);
        assertTrue(judged(simulation, events).contains("A2"), events.toString());
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
        ConsensusSimulation simulation = started(5, true, conduct, events);
        int first = simulation.leader();
        int second = (first + 1) % 5;
        apart(simulation, first, second);
        // As large as a batch: the entry after it goes in another message.
        assertNotNull(simulation.propose(first, new byte[LogReplication.MAX_BATCH_BYTES]));
        simulation.play(700 * MILLI);
        simulation.kill(first);
        simulation.kill(second);
        simulation.heal();
        long before = simulation.now();
        while (simulation.leadsSince() < before) {
            simulation.play(MILLI);
        }
        int third = simulation.leader();
        apart(simulation, third, third);
        simulation.kill(third);
        // What it sent is lost with the links.
        simulation.play(30 * MILLI);
        simulation.heal();
        simulation.restart(first);
        simulation.restart(second);
        before = simulation.now();
        while (simulation.leadsSince() < before) {
            simulation.play(MILLI);
        }
        int leads = simulation.leader();
        long loaded = simulation.view(leads).appliedPosition().index();
        for (int i = 0;
                i < 1_000 && simulation.view(leads).appliedPosition().index() == loaded;
                i++) {
            simulation.play(MILLI);
        }
        apart(simulation, first, second);
        simulation.restart(third);
        simulation.play(8 * SECOND);
        if (simulation.leader() >= 0) {
            simulation.propose(simulation.leader(), new byte[9]);
        }
        simulation.play(2 * SECOND);
        simulation.heal();
        simulation.play(8 * SECOND);
        simulation.propose(simulation.leader(), new byte[10]);
        simulation.play(4 * SECOND);
        return judged(simulation, events);
    }

    /** Nothing passes between these two and the others. */
    private static void apart(ConsensusSimulation simulation, int one, int other) {
        for (int i = 0; i < simulation.size(); i++) {
            for (int inside : new int[] {one, other}) {
                if (i != one && i != other) {
                    simulation.cut(i, inside, true);
                    simulation.cut(inside, i, true);
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
        ConsensusSimulation simulation = started(5, false, conduct, new ArrayList<>());
        long term = simulation.view(simulation.leader()).term();
        for (int round = 0; round < 5; round++) {
            int voter = (simulation.leader() + 1) % 5;
            apart(simulation, voter, voter);
            simulation.play(3 * SECOND);
            simulation.heal();
            simulation.play(3 * SECOND);
        }
        return simulation.view(simulation.leader()).term() - term;
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
        ConsensusSimulation simulation = started(5, false, conduct, new ArrayList<>());
        int deaf = simulation.leader();
        IntStream.range(0, 5).forEach(i -> simulation.cut(i, deaf, i != deaf));
        simulation.play(4 * SECOND);
        LogPosition number = simulation.propose(simulation.leader(), new byte[8]);
        simulation.play(4 * SECOND);
        return IntStream.range(0, 5)
                .filter(i -> i != deaf)
                .allMatch(i -> simulation.view(i).appliedPosition().compareTo(number) >= 0);
    }

    private static ConsensusSimulation started(
            int size, boolean disks, SafetyRules conduct, List<HistoryEvent> events) {
        ConsensusSimulation simulation =
                new ConsensusSimulation(
                        size,
                        CALM,
                        ConsensusSettings.DEFAULT,
                        disks,
                        8,
                        1,
                        with(conduct),
                        events::add);
        simulation.form(0);
        simulation.play(12 * SECOND);
        assertEquals(simulation.view(simulation.leader()).voters().size(), 5);
        return simulation;
    }

    private static Set<String> judged(ConsensusSimulation simulation, List<HistoryEvent> events) {
        Set<String> rules = new HashSet<>();
        History.judged(
                        events,
                        simulation.now(),
                        List.of(new SingleTable(), new SingleLeader(), new LeaderContactBound()))
                .forEach(breach -> rules.add(breach.rule()));
        return rules;
    }
}
