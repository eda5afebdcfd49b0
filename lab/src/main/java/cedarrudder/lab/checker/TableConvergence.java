package cedarrudder.lab.checker;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * After the faults all live replicas hold one route table: they differ, or one has none, never for
 * longer than a stated time. And of A1: one number, one table, whoever holds it; numbers rise in
 * each life. Where no replica ever held a table there is none to hold.
 *
 * <p>It reads {@code table} with all its fields, {@code lapsed}, and which processes speak.
 */
public final class TableConvergence implements Invariant {

    private record Held(long number, String content) {}

    private final long within;
    private final ProcessTimeline world = new ProcessTimeline();
    private final Map<Long, Held> held = new HashMap<>();
    private final Map<Long, Long> highest = new HashMap<>();
    private final Map<Long, String> contents = new HashMap<>();
    private final List<Violation> breaches = new ArrayList<>();
    private long differSince = Long.MAX_VALUE;
    private String how = "";

    /**
     * @param within they are one again by then, from the end of the faults or the difference's
     *     beginning
     */
    public TableConvergence(long within) {
        this.within = within;
    }

    @Override
    public void took(HistoryEvent event) {
        world.took(event);
        if (event.what().equals("table")) {
            Held now = new Held(event.number("number"), event.fields().toString());
            held.put(event.incarnation(), now);
            numbers(event, now);
        } else if (event.what().equals("lapsed")) {
            held.remove(event.incarnation());
        }
        if (world.overAt() <= event.at()) {
            switch (event.what()) {
                case "table",
                        "lapsed",
                        "over",
                        "speaks",
                        "silent",
                        "ended",
                        "stopped",
                        "continued" ->
                        look(event.at());
                default -> {}
            }
        }
    }

    private void numbers(HistoryEvent event, Held now) {
        String other = contents.putIfAbsent(now.number, now.content);
        if (other != null && !other.equals(now.content)) {
            breaches.add(
                    new Violation(
                            "A1",
                            event.at(),
                            "copy "
                                    + event.replica()
                                    + " holds table "
                                    + now.number
                                    + " as "
                                    + now.content
                                    + ", which was "
                                    + other));
        }
        Long before = highest.put(event.incarnation(), now.number);
        if (before != null && before > now.number) {
            breaches.add(
                    new Violation(
                            "A1",
                            event.at(),
                            "copy "
                                    + event.replica()
                                    + " holds table "
                                    + now.number
                                    + " after "
                                    + before));
        }
    }

    private void look(long now) {
        check(now);
        String differs = difference();
        if (differs.isEmpty()) {
            differSince = Long.MAX_VALUE;
        } else {
            differSince = Math.min(differSince, now);
            how = differs;
        }
    }

    /** How the live replicas differ; empty where they don't. */
    private String difference() {
        Held one = null;
        int first = 0;
        for (int replica : world.replicas()) {
            for (long incarnation :
                    world.speaks(replica) ? world.speaking(replica) : List.<Long>of()) {
                Held its = held.get(incarnation);
                if (its == null) {
                    return "copy " + replica + " holds none";
                }
                if (one != null && !one.equals(its)) {
                    return "copy "
                            + first
                            + " holds "
                            + one.number
                            + ", copy "
                            + replica
                            + " "
                            + its.number;
                }
                one = its;
                first = replica;
            }
        }
        return "";
    }

    private void check(long now) {
        if (differSince != Long.MAX_VALUE && now - differSince > within && !contents.isEmpty()) {
            breaches.add(
                    new Violation(
                            "one table",
                            now,
                            "copies held no one table for "
                                    + (now - differSince) / 1_000_000
                                    + " ms: "
                                    + how));
            differSince = now; // once for each such time
        }
    }

    @Override
    public void ended(long at) {
        check(at);
        if (!contents.isEmpty() && (at < world.overAt() || at - world.overAt() < within)) {
            breaches.add(
                    new Violation(
                            "one table", at, "the history ends before copies have to hold one"));
        }
    }

    @Override
    public List<Violation> breaches() {
        return breaches;
    }
}
