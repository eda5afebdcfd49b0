package cedarrudder.agreement;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertTrue;

import cedarrudder.lab.agreement.Copies;
import cedarrudder.lab.agreement.Storm;
import cedarrudder.lab.judge.Event;
import cedarrudder.lab.judge.History;
import cedarrudder.lab.judge.OneLeader;
import cedarrudder.lab.judge.OneTable;
import cedarrudder.lab.judge.SureContact;
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
public class BrokenTest {

    private static final long SECOND = 1_000_000_000L;
    private static final long MILLI = 1_000_000L;
    private static final Copies.Network CALM = new Copies.Network(0, 0, 0, 2 * MILLI, 21 * MILLI);

    private static Copies.Maker with(Conduct conduct) {
        return (zones, self, life, settings, store, random, outlet, now) ->
                new Agreement(zones, self, life, settings, store, random, outlet, now, conduct);
    }

    /** The rules that seeds break, up to the first seed that breaks one of these. */
    private static Set<String> broken(Conduct conduct, int seeds, String... wanted) {
        Set<String> rules = new HashSet<>();
        for (long seed = 1; seed <= seeds && Collections.disjoint(rules, List.of(wanted)); seed++) {
            Storm.play(seed, with(conduct)).breaches().forEach(breach -> rules.add(breach.rule()));
        }
        return rules;
    }

    @Test
    public void oneThatForgotVotesUnderItsNewLife() {
        Set<String> rules =
                broken(
                        new Conduct() {
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
                        new Conduct() {
                            @Override
                            boolean once(boolean isNew) {
                                return true;
                            }
                        },
                        100,
                        "A3");
        assertTrue(rules.contains("A3"), rules.toString());
    }

    /** What lay unread for as long as a copy stood still would make a contact as much younger. */
    @Test
    public void aContactThatCountsFromItsArrivalIsTooYoung() {
        Set<String> rules =
                broken(
                        new Conduct() {
                            @Override
                            long countsFrom(long askedAt, long answeredAt) {
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
        assertEquals(handedOnForMinutes(new Conduct()), Set.of());
        assertEquals(
                handedOnForMinutes(
                        new Conduct() {
                            @Override
                            long lengthened(long nanos) {
                                return nanos;
                            }
                        }),
                Set.of("contact"));
    }

    private static Set<String> handedOnForMinutes(Conduct conduct) {
        List<Event> events = new ArrayList<>();
        Copies copies = started(10, false, conduct, events);
        for (Voter voter : copies.view(copies.leader()).voters().all()) {
            copies.kill(voter.copy());
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
        assertTrue(staysAfterForgeries(new Conduct()));
        assertTrue(
                !staysAfterForgeries(
                        new Conduct() {
                            @Override
                            boolean believes(boolean answered) {
                                return true;
                            }
                        }));
    }

    private static boolean staysAfterForgeries(Conduct conduct) {
        Copies copies = started(5, false, conduct, new ArrayList<>());
        Group group = copies.view(0).group();
        long life = copies.view(1).life();
        for (int i = 0; i < 100; i++) {
            Message message =
                    i % 2 == 0
                            ? new Message.Digest(9, 9, 9, 1, 0, 0, i)
                            : new Message.Sure(i, 0, 9);
            Group other = new Group(group.era() + i % 3, 1, life);
            copies.inject(
                    0,
                    1,
                    new Piece(other, 9, 1, life + i % 5, i, 0, 1, 0, message.encode()).encode());
            copies.play(20 * MILLI);
        }
        copies.play(5 * SECOND);
        LogNumber number =
                copies.leader() < 0 ? null : copies.propose(copies.leader(), new byte[8]);
        copies.play(2 * SECOND);
        return number != null && number.group().equals(group) && copies.allLoaded(number);
    }

    /**
     * The plain paper without a disk: the copy says that it is who it was, and remembers no vote
     * and no entry.
     */
    @Test
    public void oneThatForgotVotesAsIfItRemembered() {
        List<Event> events = new ArrayList<>();
        Copies copies = started(5, false, new Conduct(), events);
        int leader = copies.leader();
        Voters voters = copies.view(leader).voters();
        Group group = copies.view(leader).group();
        assertNotNull(copies.propose(leader, new byte[8]));
        copies.play(SECOND);
        for (Voter voter : voters.all()) {
            copies.kill(voter.copy());
            copies.pretend(voter.copy(), voter.life(), pretending(group, voter, voters));
        }
        copies.play(5 * SECOND);
        assertTrue(judged(copies, events).contains("A2"), events.toString());
    }

    static Store pretending(Group group, Voter voter, Voters voters) {
        return new Store() {
            @Override
            public Kept kept() {
                return new Kept(
                        new Promise(group, voter.life(), 1, null, true),
                        new Snapshot(1, 1, voters, new Proposers().with(new byte[8])),
                        List.of());
            }

            @Override
            public void promise(Promise promise) {}

            @Override
            public void entry(long index, Entry entry) {}

            @Override
            public void cut(long from) {}

            @Override
            public void snapshot(Snapshot snapshot) {}

            @Override
            public void sync() {}
        };
    }

    @Test
    public void piecesOfDifferentMessagesMix() {
        Set<String> rules =
                broken(
                        new Conduct() {
                            @Override
                            boolean same(Piece held, Piece other) {
                                return held.count() == other.count();
                            }

                            @Override
                            boolean intact(Piece held, byte[] message) {
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
                        new Conduct() {
                            @Override
                            Group next(Group known, Voter founder) {
                                return new Group(known.era() + 1, 0, 0);
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
        assertEquals(figureEight(new Conduct()), Set.of());
        Set<String> rules =
                figureEight(
                        new Conduct() {
                            @Override
                            boolean counts(long entryTerm, long term) {
                                return true;
                            }
                        });
        assertTrue(rules.contains("A1"), rules.toString());
    }

    private static Set<String> figureEight(Conduct conduct) {
        List<Event> events = new ArrayList<>();
        Copies copies = started(5, true, conduct, events);
        int first = copies.leader();
        int second = (first + 1) % 5;
        apart(copies, first, second);
        // As large as a batch: the entry after it goes in another message.
        assertNotNull(copies.propose(first, new byte[Replication.MOST_BATCH]));
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
        long loaded = copies.view(leads).loaded().index();
        for (int i = 0; i < 1_000 && copies.view(leads).loaded().index() == loaded; i++) {
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
    private static void apart(Copies copies, int one, int other) {
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
        long with = termsOfACutOffVoter(new Conduct());
        long without =
                termsOfACutOffVoter(
                        new Conduct() {
                            @Override
                            boolean asksFirst() {
                                return false;
                            }
                        });
        assertEquals(with, 0);
        assertTrue(without >= 10, "terms " + without);
    }

    private static long termsOfACutOffVoter(Conduct conduct) {
        Copies copies = started(5, false, conduct, new ArrayList<>());
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
        assertTrue(commitsPastADeafLeader(new Conduct()));
        assertTrue(
                !commitsPastADeafLeader(
                        new Conduct() {
                            @Override
                            boolean lapsed(long sinceMajority, long most) {
                                return false;
                            }
                        }));
    }

    private static boolean commitsPastADeafLeader(Conduct conduct) {
        Copies copies = started(5, false, conduct, new ArrayList<>());
        int deaf = copies.leader();
        IntStream.range(0, 5).forEach(i -> copies.cut(i, deaf, i != deaf));
        copies.play(4 * SECOND);
        LogNumber number = copies.propose(copies.leader(), new byte[8]);
        copies.play(4 * SECOND);
        return IntStream.range(0, 5)
                .filter(i -> i != deaf)
                .allMatch(i -> copies.view(i).loaded().compareTo(number) >= 0);
    }

    private static Copies started(int size, boolean disks, Conduct conduct, List<Event> events) {
        Copies copies =
                new Copies(
                        size,
                        CALM,
                        AgreementSettings.DEFAULT,
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

    private static Set<String> judged(Copies copies, List<Event> events) {
        Set<String> rules = new HashSet<>();
        History.judged(
                        events,
                        copies.now(),
                        List.of(new OneTable(), new OneLeader(), new SureContact()))
                .forEach(breach -> rules.add(breach.rule()));
        return rules;
    }
}
