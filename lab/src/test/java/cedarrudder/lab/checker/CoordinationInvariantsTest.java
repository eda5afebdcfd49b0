package cedarrudder.lab.checker;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.testng.annotations.Test;

/**
 * F1 to F3, D1, D2, M1 and 'one table' on histories written by hand: for each wrong that a rule is
 * there for one history that has it, and one that only just has not. Times are in milliseconds.
 */
public class CoordinationInvariantsTest {

    private static final long MILLI = 1_000_000L;
    private static final long SECOND = 1_000;

    /** Six replicas, two in each of three zones; the life of replica 3 is 13. */
    private static final List<HistoryEvent> START = new ArrayList<>();

    static {
        for (int replica = 0; replica < 6; replica++) {
            START.add(event(0, replica, "started"));
            START.add(event(0, replica, "placed", "zone", replica / 2));
            START.add(event(0, replica, "speaks"));
        }
    }

    private static HistoryEvent event(long at, int replica, String what, Object... fields) {
        Map<String, String> all = new HashMap<>();
        for (int i = 0; i < fields.length; i += 2) {
            all.put((String) fields[i], String.valueOf(fields[i + 1]));
        }
        return new HistoryEvent(at * MILLI, replica, replica + 10, what, all);
    }

    private static HistoryEvent table(long at, int replica, long number, String shares) {
        return event(
                at, replica, "table", "number", number, "lease", 5_000 * MILLI, "shares", shares);
    }

    private static HistoryEvent saw(long at, int replica, int zone, int served, int failed) {
        return event(
                at,
                replica,
                "saw",
                "zone",
                zone,
                "served",
                served,
                "failed",
                failed,
                "silent",
                0,
                "span",
                500 * MILLI);
    }

    /**
     * Judges the start and these, up to this many milliseconds; gives what is wrong, without
     * numbers.
     */
    private static List<String> judged(Invariant rule, long until, List<HistoryEvent> events) {
        List<HistoryEvent> all = new ArrayList<>(START);
        all.addAll(events);
        all.sort(Comparator.comparingLong(HistoryEvent::at));
        return History.judged(all, until * MILLI, List.of(rule)).stream()
                .map(Violation::rule)
                .toList();
    }

    private static List<String> judged(Invariant rule, long until, HistoryEvent... events) {
        return judged(rule, until, List.of(events));
    }

    // ---- F1 ----

    /**
     * Replicas that see zone 1 fail, the others that are served there, and then a table that leaves
     * it.
     */
    private static List<String> left(
            long seenAt, int[] failing, int[] served, HistoryEvent... more) {
        List<HistoryEvent> events = new ArrayList<>(List.of(more));
        for (int replica : failing) {
            events.add(saw(seenAt, replica, 1, 2, 3));
        }
        for (int replica : served) {
            events.add(saw(seenAt, replica, 1, 3, 2));
        }
        events.add(table(10_000, 0, 1, "1>1:near:10000:0"));
        events.add(table(20_000, 0, 2, "1>1:near:5000:0,1>2:moved:5000:0"));
        events.add(table(20_001, 1, 2, "1>1:near:5000:0,1>2:moved:5000:0"));
        return judged(new ZoneEvacuation(5 * SECOND * MILLI), 30_000, events);
    }

    @Test
    public void aZoneIsNotLeftOnTheWordOfOne() {
        int[] zoneZero = {0, 1};
        assertEquals(left(19_000, zoneZero, new int[] {2, 3, 4}), List.of("F1"));
        assertEquals(
                left(19_000, zoneZero, new int[] {2, 3}),
                List.of(),
                "two of four others are not most");
        assertEquals(
                left(19_000, new int[] {0, 2}, new int[] {3, 4, 5}), List.of(), "two zones say so");
        assertEquals(
                left(19_000, new int[0], new int[] {0, 1, 2, 3, 4, 5}),
                List.of("F1"),
                "nobody says so");
        assertEquals(
                left(15_000, zoneZero, new int[] {2, 3, 4}),
                List.of("F1"),
                "just within the window");
        assertEquals(
                left(14_999, zoneZero, new int[] {2, 3, 4}), List.of(), "nobody knows anything");
        assertEquals(
                left(19_000, zoneZero, new int[] {2, 3, 4}, event(1, 0, "evacuated", "zone", 1)),
                List.of(),
                "an operator wants it");
        assertEquals(
                left(
                        19_000,
                        zoneZero,
                        new int[] {2, 3, 4},
                        event(1, 0, "evacuated", "zone", 1),
                        event(2, 0, "reopened", "zone", 1)),
                List.of("F1"),
                "and no longer");
        assertEquals(
                left(19_000, zoneZero, new int[] {2, 3, 4}, event(2, 4, "ended")),
                List.of("F1"),
                "two of the three others that run");
        assertEquals(
                left(
                        19_000,
                        zoneZero,
                        new int[] {2, 3, 4},
                        saw(18_000, 2, 1, 0, 1),
                        saw(18_000, 4, 1, 0, 1)),
                List.of(),
                "others were not served a moment ago");
        assertEquals(
                judged(
                        new ZoneEvacuation(SECOND * MILLI),
                        9,
                        saw(5, 2, 1, 9, 0),
                        saw(5, 3, 1, 9, 0),
                        saw(5, 4, 1, 9, 0),
                        saw(5, 5, 1, 9, 0),
                        table(6, 0, 1, "1>1:near:9000:0,1>2:spilled:1000:0")),
                List.of(),
                "what spills over leaves no zone");
    }

    // ---- F2 ----

    private static List<String> loaded(int max, int others, long until, HistoryEvent... more) {
        List<HistoryEvent> events = new ArrayList<>(List.of(more));
        events.add(event(1, -1, "capacity", "zone", 0, "per_s", 100));
        events.add(event(1, -1, "capacity", "zone", 1, "per_s", 100));
        for (long at = 500; at <= until; at += 500) {
            events.add(saw(at, 0, 0, max / 2, 0)); // in half a second
            events.add(saw(at, 2, 1, others / 2, 0));
        }
        return judged(
                new ZoneLoad(new ZoneLoad.Bounds(0.8, 0.05, 3 * SECOND * MILLI, 2)), until, events);
    }

    @Test
    public void noZoneGetsTooMuchWhileAnotherHasRoom() {
        assertEquals(loaded(90, 20, 3_500), List.of(), "3 s and no more");
        assertEquals(loaded(90, 20, 4_000), List.of("F2"));
        assertEquals(loaded(84, 20, 9_000), List.of(), "within the tolerance");
        assertEquals(loaded(90, 80, 9_000), List.of(), "no other has room");
        assertEquals(
                loaded(90, 20, 4_000, event(1_200, -1, "capacity", "zone", 1, "per_s", 90)),
                List.of(),
                "the time begins again when a capacity changes");
        assertEquals(
                loaded(90, 20, 4_500, event(1_200, -1, "capacity", "zone", 1, "per_s", 90)),
                List.of("F2"));
        assertEquals(
                loaded(90, 0, 9_000, event(1_200, -1, "capacity", "zone", 1, "per_s", 0)),
                List.of(),
                "a zone that is lost has no room");
        assertEquals(loaded(20, 20, 4_000, event(2_000, 0, "stopped")), List.of());
    }

    @Test
    public void callersMoveNoOftenerThanStated() {
        String near = "0>0:near:10000:0,1>1:near:10000:0";
        String away = "0>1:moved:10000:0,1>1:near:10000:0";
        List<HistoryEvent> moves =
                new ArrayList<>(
                        List.of(
                                table(1_000, 0, 1, near),
                                table(2_000, 0, 2, away),
                                table(2_001, 1, 2, away),
                                table(3_000, 0, 3, away),
                                table(3_100, 1, 1, near)));
        assertEquals(judged(bounded(), 70_000, moves), List.of(), "what is told again is no move");
        moves.add(table(60_999, 0, 4, near));
        assertEquals(judged(bounded(), 70_000, moves), List.of("F2"), "the third within a minute");
        moves.set(5, table(61_000, 0, 4, near));
        assertEquals(judged(bounded(), 70_000, moves), List.of(), "a minute later");
    }

    private static ZoneLoad bounded() {
        return new ZoneLoad(new ZoneLoad.Bounds(0.8, 0.05, 3 * SECOND * MILLI, 2));
    }

    // ---- F3 ----

    private static List<String> used(HistoryEvent... events) {
        List<HistoryEvent> all = new ArrayList<>(List.of(events));
        all.add(event(0, 0, "seated", "group", "1", "index", 1, "voters", "0:1,2:1,4:1"));
        return judged(new LeaseSafety(500 * MILLI), 60_000, all);
    }

    /** The same for copy 0, whose lease of table 7 began after a second. */
    private static List<String> leased(HistoryEvent... events) {
        List<HistoryEvent> all =
                new ArrayList<>(List.of(renewed(1_000, 0, 0), table(1_000, 0, 7, "")));
        all.addAll(List.of(events));
        return used(all.toArray(HistoryEvent[]::new));
    }

    private static HistoryEvent used(long at, int replica, long number) {
        return event(at, replica, "used", "number", number);
    }

    private static HistoryEvent lapsed(long at, int replica, long number) {
        return event(at, replica, "lapsed", "number", number);
    }

    private static HistoryEvent renewed(long at, int replica, long age) {
        return event(at, replica, "renewed", "age", age * MILLI);
    }

    @Test
    public void noTableIsUsedPastItsLease() {
        assertEquals(leased(used(6_000, 0, 7)), List.of());
        assertEquals(leased(used(6_001, 0, 7)), List.of("F3"));
        assertEquals(leased(renewed(5_000, 0, 100), used(9_900, 0, 7)), List.of());
        assertEquals(leased(renewed(5_000, 0, 100), used(9_901, 0, 7)), List.of("F3"));
        assertEquals(
                leased(renewed(5_000, 0, 0), renewed(5_100, 0, 3_000), used(9_900, 0, 7)),
                List.of(),
                "an older word takes nothing away");
        assertEquals(
                leased(
                        event(2_000, 0, "stopped"),
                        event(7_000, 0, "continued"),
                        used(7_000, 0, 7),
                        renewed(7_001, 0, 0),
                        used(7_002, 0, 7)),
                List.of("F3"),
                "the first use after a wake counts");
        assertEquals(
                leased(
                        event(2_000, 0, "stopped"),
                        event(7_000, 0, "continued"),
                        renewed(7_001, 0, 0),
                        used(7_002, 0, 7)),
                List.of());
        assertEquals(leased(lapsed(2_000, 0, 7), used(2_001, 0, 7)), List.of("F3"), "given up");
        assertEquals(leased(used(2_001, 0, 6)), List.of("F3"), "not held");
        assertEquals(used(used(2_001, 0, 7)), List.of("F3"), "never held");
    }

    /**
     * Whatever a replica says of its lease: cut off from two of three voters it can hear of none.
     */
    @Test
    public void aLeaseEndsWithoutAMajority() {
        List<HistoryEvent> cut =
                new ArrayList<>(List.of(table(1_000, 0, 7, ""), renewed(5_000, 0, 0)));
        for (int other = 2; other < 6; other++) {
            for (int side = 0; side < 2; side++) {
                cut.add(event(2_000, side, "cut", "to", other));
                cut.add(event(2_000, other, "cut", "to", side));
            }
        }
        assertEquals(used(with(cut, used(7_500, 0, 7))), List.of());
        assertEquals(used(with(cut, used(7_501, 0, 7))), List.of("F3"));
        assertEquals(
                used(
                        with(
                                cut,
                                event(4_000, 0, "healed", "to", 2),
                                event(4_100, 0, "cut", "to", 2),
                                used(9_600, 0, 7))),
                List.of(),
                "one way is contact");
        assertEquals(
                used(
                        with(
                                cut,
                                event(4_000, 1, "healed", "to", 2),
                                event(4_100, 1, "cut", "to", 2),
                                used(9_600, 0, 7),
                                used(9_601, 0, 7))),
                List.of("F3"),
                "so is one through another");
        assertEquals(
                used(with(cut, event(4_000, 5, "healed", "to", 0), used(9_900, 0, 7))),
                List.of(),
                "the other way too");
    }

    private static HistoryEvent[] with(List<HistoryEvent> events, HistoryEvent... more) {
        List<HistoryEvent> all = new ArrayList<>(events);
        all.addAll(List.of(more));
        return all.toArray(HistoryEvent[]::new);
    }

    // ---- D1 ----

    private static HistoryEvent leaving(long at, int replica, String nodes) {
        return event(at, replica, "leaving", "nodes", nodes);
    }

    private static HistoryEvent drain(long at, int replica, int wave, String node, String what) {
        return event(
                at,
                replica,
                "drain",
                "wave",
                wave,
                "node",
                node,
                "event",
                what,
                "within",
                5_000 * MILLI);
    }

    private static HistoryEvent node(long at, String node, String mood) {
        return event(at, -1, "node", "node", node, "zone", 0, "mood", mood);
    }

    private static List<String> out(HistoryEvent... events) {
        List<HistoryEvent> all = new ArrayList<>(List.of(events));
        all.add(event(0, -1, "bound", "name", "pod 1", "nodes", "a,b,c", "most", 2));
        all.add(event(0, -1, "bound", "name", "all", "nodes", "a,b,c,d,e,f", "most", 3));
        return judged(new ConcurrentDisruptions(SECOND * MILLI), 90_000, all);
    }

    @Test
    public void noMoreAreOutAtOnceThanMayBe() {
        assertEquals(out(leaving(1, 0, "a,b")), List.of());
        assertEquals(out(leaving(1, 0, "a,b,c")), List.of("D1"), "a wave of too many");
        assertEquals(
                out(leaving(1, 0, "a,b"), leaving(2, 1, "c")),
                List.of("D1"),
                "two copies together, though neither alone");
        assertEquals(out(leaving(1, 0, "a,b"), leaving(2, 0, "b,c")), List.of());
        assertEquals(
                out(leaving(1, 0, "a,b"), leaving(1, 1, "a,b"), leaving(2, 0, "b,c")),
                List.of("D1"),
                "copy 1 has not heard yet that a is back");
        assertEquals(
                out(
                        leaving(1, 0, "a,b"),
                        leaving(1, 1, "a,b"),
                        event(2, 1, "ended"),
                        leaving(3, 0, "b,c")),
                List.of());
        HistoryEvent[] two = {
            drain(1, 0, 1, "a", "begun"), drain(1, 0, 1, "b", "begun"), leaving(5, 1, "a,b")
        };
        assertEquals(out(with(List.of(two), drain(6, 0, 2, "c", "begun"))), List.of("D1"));
        assertEquals(
                out(two[0], two[1], drain(6, 0, 2, "c", "begun")),
                List.of("D1"),
                "nobody has heard yet");
        assertEquals(
                out(with(List.of(two), drain(6, 0, 1, "a", "empty"), drain(6, 0, 2, "c", "begun"))),
                List.of("D1"),
                "it is empty, and not back");
        assertEquals(
                out(
                        with(
                                List.of(two),
                                drain(6, 0, 1, "a", "gone"),
                                drain(7, 0, 2, "c", "begun"),
                                drain(8, 1, 1, "a", "begun"),
                                leaving(9, 1, "a,b,c"))),
                List.of(),
                "what is gone makes room, whatever one says that is behind");
        assertEquals(
                out(
                        with(
                                List.of(two),
                                drain(6, 0, 1, "a", "cancelled"),
                                drain(7, 0, 2, "c", "begun"))),
                List.of("D1"),
                "not back everywhere");
        assertEquals(
                out(
                        with(
                                List.of(two),
                                drain(6, 0, 1, "a", "cancelled"),
                                leaving(7, 1, "b"),
                                drain(8, 0, 2, "c", "begun"),
                                leaving(8, 2, "a,b"))),
                List.of(),
                "one that is behind takes nothing out");
    }

    @Test
    public void nodesThatAreDownCount() {
        assertEquals(
                out(node(1, "a", "dead"), node(1, "b", "silent"), leaving(1_002, 0, "c")),
                List.of("D1"));
        assertEquals(
                out(node(1, "a", "dead"), node(1, "b", "silent"), leaving(1_001, 0, "c")),
                List.of(),
                "nobody can know yet");
        assertEquals(
                out(node(1, "a", "dead"), node(1, "b", "slow"), leaving(9_000, 0, "c")), List.of());
        assertEquals(
                out(node(1, "a", "dead"), leaving(9_000, 0, "a,b")), List.of(), "one node, once");
        assertEquals(out(leaving(1, 0, "a,b"), node(2, "c", "dead")), List.of(), "a node may die");
        assertEquals(
                out(node(1, "d", "dead"), node(1, "e", "dead"), leaving(9_000, 0, "a,b")),
                List.of("D1"),
                "the strictest of two bounds");
    }

    // ---- D2 ----

    private static HistoryEvent at(long at, int replica, String what, String request) {
        return event(at, replica, what, "node", "a", "rpc", request);
    }

    private static List<String> drained(long until, HistoryEvent... events) {
        return judged(new DrainInvariants(2 * SECOND * MILLI, SECOND * MILLI), until, events);
    }

    @Test
    public void nothingNewComesToANodeThatLeaves() {
        HistoryEvent had = leaving(1_000, 0, "a");
        assertEquals(drained(9_000, had, at(3_000, 0, "reached", "r")), List.of());
        assertEquals(drained(9_000, had, at(3_001, 0, "reached", "r")), List.of("D2"));
        assertEquals(
                drained(9_000, had, at(3_001, 1, "reached", "r")),
                List.of(),
                "copy 1 has not heard");
        assertEquals(
                drained(9_000, had, leaving(2_000, 0, "a,b"), at(3_001, 0, "reached", "r")),
                List.of("D2"),
                "told again is no new word");
        assertEquals(
                drained(
                        9_000,
                        had,
                        leaving(2_000, 0, ""),
                        leaving(2_500, 0, "a"),
                        at(3_001, 0, "reached", "r")),
                List.of(),
                "back, and out again");
        assertEquals(
                drained(
                        9_000,
                        had,
                        new HistoryEvent(2_000 * MILLI, 0, 99, "started", Map.of()),
                        at(3_001, 0, "reached", "r")),
                List.of(),
                "a second process has not heard");
    }

    @Test
    public void aNodeIsEmptyWhenNobodyHasCallsThere() {
        HistoryEvent begun = drain(1_000, 0, 1, "a", "begun");
        HistoryEvent empty = drain(4_000, 0, 1, "a", "empty");
        HistoryEvent there = at(900, 2, "reached", "r");
        assertEquals(drained(9_000, begun, there, at(3_999, 2, "served", "r"), empty), List.of());
        assertEquals(
                drained(9_000, begun, there, at(4_001, 2, "served", "r"), empty), List.of("D2"));
        assertEquals(
                drained(9_000, begun, there, event(3_999, 2, "broke", "rpc", "r"), empty),
                List.of());
        assertEquals(
                drained(
                        9_000,
                        begun,
                        there,
                        event(3_999, 2, "answered", "rpc", "r"),
                        at(4_001, 2, "served", "r"),
                        empty),
                List.of(),
                "another attempt was answered");
        assertEquals(drained(9_000, begun, there, event(3_999, 2, "ended"), empty), List.of());
        assertEquals(drained(9_000, begun, there, event(3_999, 2, "stopped"), empty), List.of());
        assertEquals(
                drained(
                        9_000,
                        begun,
                        there,
                        event(3_999, 0, "dead", "about", 2, "number", 1),
                        empty),
                List.of(),
                "held as dead by who says it");
        assertEquals(
                drained(
                        9_000,
                        begun,
                        there,
                        event(3_999, 1, "dead", "about", 2, "number", 1),
                        empty),
                List.of("D2"),
                "but not by another");
        assertEquals(
                drained(
                        9_000,
                        begun,
                        there,
                        event(3_999, 2, "ended"),
                        new HistoryEvent(3_999 * MILLI, 2, 99, "started", Map.of()),
                        new HistoryEvent(3_999 * MILLI, 2, 99, "speaks", Map.of()),
                        empty),
                List.of(),
                "in another life");
        assertEquals(drained(9_000, begun, there, drain(4_000, 0, 1, "a", "let-go")), List.of());
    }

    @Test
    public void noRemovalIsOpenPastItsTime() {
        HistoryEvent begun = drain(1_000, 0, 1, "a", "begun");
        assertEquals(drained(7_000, begun), List.of());
        assertEquals(drained(7_001, begun), List.of("D2"));
        assertEquals(drained(9_000, begun, drain(7_000, 0, 1, "a", "alarmed")), List.of());
        assertEquals(drained(9_000, begun, drain(7_001, 0, 1, "a", "alarmed")), List.of("D2"));
        assertEquals(
                drained(
                        9_000,
                        begun,
                        drain(5_000, 1, 1, "a", "begun"),
                        drain(7_001, 1, 1, "a", "empty")),
                List.of("D2"),
                "its time counts from the first word of it");
        assertEquals(
                drained(
                        9_000,
                        begun,
                        drain(2_000, 0, 1, "a", "cancelled"),
                        drain(8_000, 0, 2, "a", "begun")),
                List.of(),
                "another wave");
    }

    // ---- M1 ----

    private static HistoryEvent estimate(
            long at, int replica, String bound, int fits, long needed) {
        return event(
                at,
                replica,
                "estimate",
                "load",
                "table 7",
                "bound",
                bound,
                "fits",
                fits,
                "needed",
                needed);
    }

    @Test
    public void nothingIsLoadedThatWasRefusedNorEstimatedTooLow() {
        FootprintInvariants rule = new FootprintInvariants(0.03);
        assertEquals(
                judged(
                        rule,
                        9,
                        estimate(1, 0, "peak", 0, 100),
                        table(2, 1, 7, ""),
                        event(2, 0, "took", "load", "list 7"),
                        table(3, 0, 8, "")),
                List.of());
        assertEquals(
                judged(rule, 9, estimate(1, 0, "peak", 0, 100), table(2, 0, 7, "")), List.of("M1"));
        assertEquals(
                judged(
                        new FootprintInvariants(0.03),
                        9,
                        estimate(1, 0, "peak", 0, 9),
                        estimate(1, 0, "rest", 1, 9),
                        event(2, 0, "took", "load", "table 7")),
                List.of("M1"),
                "one bound is enough");
        assertEquals(
                judged(
                        new FootprintInvariants(0.03),
                        9,
                        estimate(1, 0, "peak", 0, 9),
                        estimate(2, 0, "peak", 1, 9),
                        table(2, 0, 7, "")),
                List.of(),
                "there is room now");
        for (int now : new int[] {1_030, 1_031}) {
            assertEquals(
                    judged(
                            new FootprintInvariants(0.03),
                            9,
                            estimate(1, 0, "peak", 1, 1_000),
                            event(2, 0, "held", "load", "table 7", "bound", "peak", "now", now),
                            event(2, 0, "held", "load", "table 7", "bound", "rest", "now", 9_999)),
                    now > 1_030 ? List.of("M1") : List.of());
        }
    }

    // ---- one table ----

    private static List<String> held(long until, HistoryEvent... events) {
        List<HistoryEvent> all = new ArrayList<>(List.of(events));
        for (int replica = 0; replica < 6; replica++) {
            all.add(table(1_000, replica, 7, ""));
        }
        all.add(event(5_000, -1, "over"));
        return judged(new TableConvergence(3 * SECOND * MILLI), until, all);
    }

    @Test
    public void allHoldOneTableInTheEnd() {
        assertEquals(held(8_000), List.of());
        assertEquals(held(7_999), List.of("one table"), "too short a history to know");
        assertEquals(held(8_000, table(2_000, 3, 8, "")), List.of(), "3 s and no more");
        assertEquals(held(8_001, table(2_000, 3, 8, "")), List.of("one table"));
        assertEquals(held(8_001, lapsed(2_000, 3, 7)), List.of("one table"), "one has none");
        assertEquals(
                held(8_001, table(2_000, 3, 8, ""), event(4_000, 3, "ended")),
                List.of(),
                "it is gone");
        assertEquals(
                held(
                        9_000,
                        event(4_000, 3, "stopped"),
                        table(6_000, 0, 8, ""),
                        table(6_000, 1, 8, ""),
                        table(6_000, 2, 8, ""),
                        table(6_000, 4, 8, ""),
                        table(6_000, 5, 8, "")),
                List.of());
        assertEquals(
                held(
                        12_000,
                        lapsed(6_000, 0, 7),
                        table(8_900, 0, 7, ""),
                        lapsed(9_000, 1, 7),
                        table(11_900, 1, 7, "")),
                List.of(),
                "each time counts anew");
        assertEquals(
                held(9_001, table(6_000, 0, 8, "")),
                List.of("one table"),
                "a later one must spread too");
        assertEquals(
                held(8_000, table(2_000, 3, 6, ""), table(2_001, 3, 7, "")), List.of("A1"), "back");
        assertEquals(
                held(8_000, lapsed(2_000, 3, 7), table(2_001, 3, 7, "")),
                List.of(),
                "the same again");
        assertEquals(
                held(8_000, table(2_000, 3, 7, "0>0:near:1:0"), table(2_001, 3, 7, "")),
                List.of("A1"));
        assertEquals(
                judged(new TableConvergence(1), 9, event(1, -1, "over")),
                List.of(),
                "none ever was");
    }
}
