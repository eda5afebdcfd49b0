package cedarrudder.lab.checker;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * F1: no zone is left on the word of replicas of one zone alone, while most others were served
 * there. A table leaves a zone when it moves more of its calls away than the table before. A
 * replica speaks against a zone where in some period of the window before that more of its calls
 * there failed or were silent than were served; it was served there where none was such.
 *
 * <p>It reads {@code placed}, {@code saw}, {@code table}, {@code evacuated}, {@code reopened}.
 */
public final class ZoneEvacuation implements Invariant {

    /** What a replica saw of a zone: when it last was served there, and when calls failed. */
    private static final class Seen {
        long servedAt = Long.MIN_VALUE;
        long failedAt = Long.MIN_VALUE;
    }

    private final long window;
    private final ProcessTimeline world = new ProcessTimeline();
    private final RouteTableHistory plans = new RouteTableHistory();
    private final Map<Integer, Integer> zones = new HashMap<>();
    private final Map<Integer, Map<Integer, Seen>> seen = new HashMap<>();
    private final Set<Integer> evacuated = new HashSet<>();
    private final List<Violation> breaches = new ArrayList<>();

    /**
     * @param window what was seen longer ago is no ground; nanoseconds
     */
    public ZoneEvacuation(long window) {
        this.window = window;
    }

    @Override
    public void took(HistoryEvent event) {
        world.took(event);
        switch (event.what()) {
            case "placed" -> zones.put(event.replica(), (int) event.number("zone"));
            case "evacuated" -> evacuated.add((int) event.number("zone"));
            case "reopened" -> evacuated.remove((int) event.number("zone"));
            case "saw" -> {
                Seen of =
                        seen.computeIfAbsent((int) event.number("zone"), z -> new HashMap<>())
                                .computeIfAbsent(event.replica(), c -> new Seen());
                if (event.number("failed") + event.number("silent") > event.number("served")) {
                    of.failedAt = event.at();
                } else if (event.number("served") > 0) {
                    of.servedAt = event.at();
                }
            }
            case "table" -> {
                if (plans.took(event)) {
                    plans.left().stream()
                            .filter(zone -> !evacuated.contains(zone))
                            .forEach(zone -> check(event, zone));
                }
            }
            default -> {}
        }
    }

    private void check(HistoryEvent event, int zone) {
        long since = event.at() - window;
        Set<Integer> against = new TreeSet<>();
        Set<Integer> served = new HashSet<>();
        seen.getOrDefault(zone, Map.of())
                .forEach(
                        (replica, of) -> {
                            if (of.failedAt >= since && zones.containsKey(replica)) {
                                against.add(zones.get(replica));
                            } else if (of.servedAt >= since) {
                                served.add(replica);
                            }
                        });
        if (against.size() > 1) {
            return;
        }
        List<Integer> others =
                zones.keySet().stream()
                        .filter(
                                replica ->
                                        world.speaks(replica)
                                                && !against.contains(zones.get(replica)))
                        .toList();
        long well = others.stream().filter(served::contains).count();
        if (well * 2 > others.size()) {
            breaches.add(
                    new Violation(
                            "F1",
                            event.at(),
                            "table "
                                    + plans.newest()
                                    + " leaves zone "
                                    + zone
                                    + " on the word of copies of zones "
                                    + against
                                    + ", while "
                                    + well
                                    + " of "
                                    + others.size()
                                    + " others were served there"));
        }
    }

    @Override
    public List<Violation> breaches() {
        return breaches;
    }
}
