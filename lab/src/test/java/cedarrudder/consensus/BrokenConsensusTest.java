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
 * Variants of the consensus algorithm that each lack one safety rule: an invariant check or a
 * measurement has to show the fault. Seeds are fixed, so the results are reproducible.
 */
public class BrokenConsensusTest {

    private static final long SECOND = 1_000_000_000L;
    private static final long MILLI = 1_000_000L;
    private static final ConsensusSimulation.Network CALM =
            new ConsensusSimulation.Network(0, 0, 0, 2 * MILLI, 21 * MILLI);

    private static ConsensusSimulation.NodeFactory with(SafetyRules safetyRules) {
        return (zones, self, incarnation, settings, store, random, actions, now) ->
                new RaftNode(
                        zones,
                        self,
                        incarnation,
                        settings,
                        store,
                        random,
                        actions,
                        now,
                        safetyRules);
    }

    /**
     * Returns the invariants that the seeds violate, up to the first seed that violates one of
     * those in {@code wanted}.
     */
    private static Set<String> violatedRules(SafetyRules safetyRules, int seeds, String... wanted) {
        Set<String> rules = new HashSet<>();
        for (long seed = 1; seed <= seeds && Collections.disjoint(rules, List.of(wanted)); seed++) {
            FaultStorm.play(seed, with(safetyRules))
                    .breaches()
                    .forEach(breach -> rules.add(breach.rule()));
        }
        return rules;
    }

    @Test
    public void withoutTheVoteRuleARestartedVoterBreaksSafety() {
        Set<String> rules =
                violatedRules(
                        new SafetyRules() {
                            @Override
                            boolean mayVote(boolean admitted, boolean inVoterSet) {
                                return true;
                            }
                        },
                        20,
                        "A2");
        assertTrue(rules.contains("A2"), rules.toString());
    }

    /**
     * A proposal that is forwarded again, since the answer of the leader was lost, would take
     * effect twice.
     */
    @Test
    public void withoutDeduplicationAProposalForwardedTwiceTakesEffectTwice() {
        Set<String> rules =
                violatedRules(
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
     * Datagrams that wait while a replica is paused would make a leader contact seem younger, by as
     * long as they waited.
     */
    @Test
    public void aLeaderContactCountedFromArrivalIsTooYoung() {
        Set<String> rules =
                violatedRules(
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

    /**
     * Clock rates differ by 2 in 1,000, and the same leader contact stays the last one for 40
     * minutes.
     */
    @Test
    public void withoutTheDriftAllowanceARelayedLeaderContactIsTooYoung() {
        assertEquals(violationsWhenAContactIsRelayedForMinutes(new SafetyRules()), Set.of());
        assertEquals(
                violationsWhenAContactIsRelayedForMinutes(
                        new SafetyRules() {
                            @Override
                            long withClockDrift(long nanos) {
                                return nanos;
                            }
                        }),
                Set.of("contact"));
    }

    private static Set<String> violationsWhenAContactIsRelayedForMinutes(SafetyRules safetyRules) {
        List<HistoryEvent> events = new ArrayList<>();
        ConsensusSimulation simulation = started(10, false, safetyRules, events);
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
        return violations(simulation, events);
    }

    /**
     * A forged datagram with a peer's address that names a higher group or a later incarnation of
     * that peer.
     */
    @Test
    public void aForgedDatagramChangesNoGroupAndNoIncarnation() {
        assertTrue(commitsInTheSameGroupAfterForgeries(new SafetyRules()));
        assertTrue(
                !commitsInTheSameGroupAfterForgeries(
                        new SafetyRules() {
                            @Override
                            boolean acceptsHigherGroupOrIncarnation(boolean answered) {
                                return true;
                            }
                        }));
    }

    private static boolean commitsInTheSameGroupAfterForgeries(SafetyRules safetyRules) {
        ConsensusSimulation simulation = started(5, false, safetyRules, new ArrayList<>());
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
     * Raft as in the paper, but without a disk: the replica claims its former incarnation, and has
     * lost its vote and its entries.
     */
    @Test
    public void aVoterThatLostItsStateButClaimsItsOldIncarnationBreaksSafety() {
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
                    voter.replica(), voter.incarnation(), storageClaiming(group, voter, voters));
        }
        simulation.play(5 * SECOND);
        assertTrue(violations(simulation, events).contains("A2"), events.toString());
    }

    static StableStorage storageClaiming(VoterGroup group, Voter voter, VoterSet voters) {
        return new StableStorage() {
            @Override
            public Recovered recovered() {
                return new Recovered(
                        new HardState(group, voter.incarnation(), 1, null, true),
                        new Snapshot(1, 1, voters, new AppliedProposals().encodeWith(new byte[8])),
                        List.of());
            }

            @Override
            public void writeHardState(HardState next) {}

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
    public void withoutTheFragmentChecksFragmentsOfDifferentMessagesMix() {
        Set<String> rules =
                violatedRules(
                        new SafetyRules() {
                            @Override
                            boolean isSameMessage(MessageFragment buffered, MessageFragment other) {
                                return buffered.count() == other.count();
                            }

                            @Override
                            boolean isIntact(MessageFragment buffered, byte[] message) {
                                return true;
                            }
                        },
                        200,
                        "A1");
        assertTrue(rules.contains("A1"), rules.toString());
    }

    @Test
    public void withoutUniqueGroupsANewGroupBreaksSafety() {
        Set<String> rules =
                violatedRules(
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
     * Figure 8 of the Raft paper: an entry of an earlier term that is stored on a majority is
     * overwritten later.
     */
    @Test
    public void committingAnEntryOfAnEarlierTermByCountingBreaksSafety() {
        assertEquals(violationsInFigureEight(new SafetyRules()), Set.of());
        Set<String> rules =
                violationsInFigureEight(
                        new SafetyRules() {
                            @Override
                            boolean mayCommitByCounting(long entryTerm, long term) {
                                return true;
                            }
                        });
        assertTrue(rules.contains("A1"), rules.toString());
    }

    private static Set<String> violationsInFigureEight(SafetyRules safetyRules) {
        List<HistoryEvent> events = new ArrayList<>();
        ConsensusSimulation simulation = started(5, true, safetyRules, events);
        int first = simulation.leader();
        int second = (first + 1) % 5;
        isolate(simulation, first, second);
        // As large as a batch, so that the entry after it is sent in another message.
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
        isolate(simulation, third, third);
        simulation.kill(third);
        // The datagrams in flight from it are lost, since its links are cut.
        simulation.play(30 * MILLI);
        simulation.heal();
        simulation.restart(first);
        simulation.restart(second);
        before = simulation.now();
        while (simulation.leadsSince() < before) {
            simulation.play(MILLI);
        }
        int newLeader = simulation.leader();
        long appliedIndex = simulation.view(newLeader).appliedPosition().index();
        for (int i = 0;
                i < 1_000 && simulation.view(newLeader).appliedPosition().index() == appliedIndex;
                i++) {
            simulation.play(MILLI);
        }
        isolate(simulation, first, second);
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
        return violations(simulation, events);
    }

    /** Cuts all links between these two replicas and the others. */
    private static void isolate(ConsensusSimulation simulation, int one, int other) {
        for (int i = 0; i < simulation.size(); i++) {
            for (int inside : new int[] {one, other}) {
                if (i != one && i != other) {
                    simulation.cut(i, inside, true);
                    simulation.cut(inside, i, true);
                }
            }
        }
    }

    /**
     * Counts the terms while one voter is cut off for 3 s in every 6 s; each new term deposes a
     * leader.
     */
    @Test
    public void withoutPreVoteAVoterThatIsCutOffDeposesLeaders() {
        long with = termsWhileAVoterIsCutOffRepeatedly(new SafetyRules());
        long without =
                termsWhileAVoterIsCutOffRepeatedly(
                        new SafetyRules() {
                            @Override
                            boolean requiresPreVote() {
                                return false;
                            }
                        });
        assertEquals(with, 0);
        assertTrue(without >= 10, "terms " + without);
    }

    private static long termsWhileAVoterIsCutOffRepeatedly(SafetyRules safetyRules) {
        ConsensusSimulation simulation = started(5, false, safetyRules, new ArrayList<>());
        long term = simulation.view(simulation.leader()).term();
        for (int round = 0; round < 5; round++) {
            int voter = (simulation.leader() + 1) % 5;
            isolate(simulation, voter, voter);
            simulation.play(3 * SECOND);
            simulation.heal();
            simulation.play(3 * SECOND);
        }
        return simulation.view(simulation.leader()).term() - term;
    }

    /**
     * A leader whose datagrams arrive but that receives none has to step down, or nothing is ever
     * committed.
     */
    @Test
    public void withoutStepDownALeaderThatReceivesNothingBlocksCommits() {
        assertTrue(commitsAfterTheLeaderReceivesNothing(new SafetyRules()));
        assertTrue(
                !commitsAfterTheLeaderReceivesNothing(
                        new SafetyRules() {
                            @Override
                            boolean hasLostQuorum(long sinceMajority, long max) {
                                return false;
                            }
                        }));
    }

    private static boolean commitsAfterTheLeaderReceivesNothing(SafetyRules safetyRules) {
        ConsensusSimulation simulation = started(5, false, safetyRules, new ArrayList<>());
        int isolatedLeader = simulation.leader();
        IntStream.range(0, 5).forEach(i -> simulation.cut(i, isolatedLeader, i != isolatedLeader));
        simulation.play(4 * SECOND);
        LogPosition number = simulation.propose(simulation.leader(), new byte[8]);
        simulation.play(4 * SECOND);
        return IntStream.range(0, 5)
                .filter(i -> i != isolatedLeader)
                .allMatch(i -> simulation.view(i).appliedPosition().compareTo(number) >= 0);
    }

    private static ConsensusSimulation started(
            int size, boolean disks, SafetyRules safetyRules, List<HistoryEvent> events) {
        ConsensusSimulation simulation =
                new ConsensusSimulation(
                        size,
                        CALM,
                        ConsensusSettings.DEFAULT,
                        disks,
                        8,
                        1,
                        with(safetyRules),
                        events::add);
        simulation.form(0);
        simulation.play(12 * SECOND);
        assertEquals(simulation.view(simulation.leader()).voters().size(), 5);
        return simulation;
    }

    private static Set<String> violations(
            ConsensusSimulation simulation, List<HistoryEvent> events) {
        Set<String> rules = new HashSet<>();
        History.judged(
                        events,
                        simulation.now(),
                        List.of(new SingleTable(), new SingleLeader(), new LeaderContactBound()))
                .forEach(breach -> rules.add(breach.rule()));
        return rules;
    }
}
