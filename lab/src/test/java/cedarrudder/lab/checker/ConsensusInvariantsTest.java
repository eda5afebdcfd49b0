package cedarrudder.lab.checker;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.testng.annotations.Test;

/** A1 and A2 on histories written by hand: a good one, and one thing wrong in each other. */
public class ConsensusInvariantsTest {

    private static HistoryEvent event(
            int replica, long incarnation, String what, String... fields) {
        Map<String, String> all = new HashMap<>();
        for (int i = 0; i < fields.length; i += 2) {
            all.put(fields[i], fields[i + 1]);
        }
        return new HistoryEvent(0, replica, incarnation, what, all);
    }

    private static HistoryEvent stored(int replica, long as, long index, String sum) {
        return event(
                replica,
                as,
                "stored",
                "group",
                "1",
                "as",
                "" + as,
                "index",
                "" + index,
                "sum",
                sum);
    }

    private static HistoryEvent loaded(int replica, long index, String sum, String state) {
        return event(
                replica,
                1,
                "loaded",
                "group",
                "1",
                "index",
                "" + index,
                "sum",
                sum,
                "state",
                state);
    }

    private static HistoryEvent voted(int replica, long incarnation, long as, String by) {
        return event(
                replica, incarnation, "voted", "group", "1", "term", "4", "as", "" + as, "for", by);
    }

    private static final HistoryEvent SEATED =
            event(0, 1, "seated", "group", "1", "index", "1", "voters", "0:1,1:1,2:1");
    private static final List<HistoryEvent> GOOD =
            List.of(
                    event(0, 1, "started", "kept", "0"),
                    SEATED,
                    stored(0, 1, 2, "a"),
                    stored(1, 1, 2, "a"),
                    loaded(0, 2, "a", "s"),
                    loaded(3, 2, "a", "s"),
                    voted(0, 1, 1, "0:1"),
                    voted(0, 1, 1, "0:1"),
                    event(0, 1, "leads", "group", "1", "term", "4", "as", "1"));

    private static List<String> judged(HistoryEvent... more) {
        return judged(new SingleTable(), more);
    }

    private static List<String> judged(SingleTable table, HistoryEvent... more) {
        List<HistoryEvent> events = new ArrayList<>(GOOD);
        events.addAll(List.of(more));
        return History.judged(events, 1, List.of(table, new SingleLeader())).stream()
                .map(Violation::rule)
                .toList();
    }

    /**
     * A process that is killed takes its last lines along; what it may have done by then is no
     * breach.
     */
    @Test
    public void whatAKilledProcessDidNotWriteIsAllowedFor() {
        for (long killedAt : new long[] {0, 10, 11}) {
            HistoryEvent killed = new HistoryEvent(killedAt, 1, 1, "doomed", Map.of());
            assertEquals(
                    judged(
                            new SingleTable(10),
                            stored(0, 1, 3, "b"),
                            killed,
                            loaded(0, 3, "b", "t")),
                    killedAt > 10 ? List.of("A1") : List.of());
            assertEquals(
                    judged(stored(0, 1, 3, "b"), killed, loaded(0, 3, "b", "t")), List.of("A1"));
        }
    }

    @Test
    public void eachWrongIsSeenAndNothingElse() {
        assertEquals(judged(), List.of());
        assertEquals(judged(loaded(4, 2, "a", "other")), List.of("A1"));
        assertEquals(
                judged(loaded(0, 2, "a", "s")), List.of("A1"), "the same number again in one life");
        assertEquals(
                judged(stored(0, 1, 3, "b"), loaded(0, 3, "b", "t")),
                List.of("A1"),
                "one of three");
        assertEquals(
                judged(stored(0, 1, 3, "b"), stored(1, 2, 3, "b"), loaded(0, 3, "b", "t")),
                List.of("A1"),
                "a life that is no voter does not count");
        assertEquals(
                judged(stored(0, 1, 3, "b"), stored(2, 1, 3, "b"), loaded(0, 3, "b", "t")),
                List.of());
        assertEquals(
                judged(event(1, 1, "leads", "group", "1", "term", "4", "as", "1")), List.of("A2"));
        assertEquals(judged(voted(0, 1, 1, "1:1")), List.of("A2"), "twice in a term");
        assertEquals(judged(voted(3, 1, 1, "0:1")), List.of("A2"), "no voter");
        assertEquals(
                judged(event(0, 2, "started", "kept", "0"), voted(0, 2, 1, "0:1")),
                List.of("A2"),
                "forgot");
        assertEquals(
                judged(event(0, 2, "started", "kept", "1"), voted(0, 2, 1, "0:1")),
                List.of(),
                "remembers");
        assertEquals(
                judged(
                        event(0, 2, "joins", "kept", "0"),
                        event(0, 3, "joins", "kept", "1"),
                        voted(0, 3, 1, "0:1")),
                List.of("A2"),
                "remembers only what the life that forgot had stored");
    }
}
