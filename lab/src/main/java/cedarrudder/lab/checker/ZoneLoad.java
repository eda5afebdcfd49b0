package cedarrudder.lab.checker;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * F2: no zone gets more than its stated part of what it can serve while another has room, for
 * longer than a stated time; and the shares of one zone's clients change no more often in a minute
 * than stated.
 *
 * <p>It reads {@code capacity}, {@code saw}, {@code table}, and which replicas run. A zone gets
 * what replicas last said that they saw of it, until they say something else. A zone of which the
 * world tells no capacity is not looked at.
 */
public final class ZoneLoad implements Invariant {

    /**
     * What is allowed.
     *
     * @param part a zone may get this part of its capacity, such as 0.9
     * @param tolerance by which figures of one period may be off, as a share
     * @param within it is over by then, from when it began or a capacity changed last; nanoseconds
     * @param moves of one zone's clients in a minute at most
     */
    public record Bounds(double part, double tolerance, long within, int moves) {}

    private static final long SECOND = 1_000_000_000L;
    private static final long MINUTE = 60 * SECOND;

    private final Bounds bounds;
    private final RouteTableHistory plans = new RouteTableHistory();
    private final Map<Integer, Double> capacity = new HashMap<>();
    private final Map<Integer, Map<Integer, Double>> sends = new HashMap<>();
    private final Map<Integer, Double> gets = new HashMap<>();
    private final Map<Integer, Long> overSince = new HashMap<>();
    private final Map<Integer, Deque<Long>> moves = new HashMap<>();
    private final List<Violation> breaches = new ArrayList<>();

    public ZoneLoad(Bounds bounds) {
        this.bounds = bounds;
    }

    @Override
    public void took(HistoryEvent event) {
        switch (event.what()) {
            case "capacity" -> {
                double next = event.number("per_s");
                if (!Objects.equals(capacity.put((int) event.number("zone"), next), next)) {
                    overSince.clear(); // each has to find its share anew
                    look(event.at());
                }
            }
            case "saw" -> {
                sends(
                        event.replica(),
                        (int) event.number("zone"),
                        (event.number("served") + event.number("failed") + event.number("silent"))
                                * 1e9
                                / Math.max(1, event.number("span")));
                look(event.at());
            }
            case "ended", "stopped" -> {
                List.copyOf(sends.getOrDefault(event.replica(), Map.of()).keySet())
                        .forEach(zone -> sends(event.replica(), zone, 0));
                look(event.at());
            }
            case "table" -> {
                if (plans.took(event)) {
                    plans.changed().forEach(zone -> moved(event, zone));
                }
            }
            default -> {}
        }
    }

    private void sends(int replica, int zone, double rate) {
        Double before = sends.computeIfAbsent(replica, c -> new HashMap<>()).put(zone, rate);
        gets.merge(zone, rate - (before == null ? 0 : before), Double::sum);
    }

    /** Looks at what is so from now on, and at what was so until now. */
    private void look(long now) {
        for (int zone : capacity.keySet()) {
            Long since = overSince.get(zone);
            if (since != null && now - since > bounds.within) {
                breaches.add(
                        new Violation(
                                "F2",
                                now,
                                "zone "
                                        + zone
                                        + " got "
                                        + Math.round(gets.get(zone))
                                        + " calls a second of "
                                        + Math.round(capacity.get(zone))
                                        + " that it can serve, while another had room, for "
                                        + (now - since) / 1_000_000
                                        + " ms"));
                overSince.put(zone, now); // once for each such time
            }
            boolean over =
                    load(zone) > 1 + bounds.tolerance
                            && capacity.keySet().stream()
                                    .anyMatch(
                                            other ->
                                                    other != zone
                                                            && load(other) < 1 - bounds.tolerance);
            if (over) {
                overSince.putIfAbsent(zone, now);
            } else {
                overSince.remove(zone);
            }
        }
    }

    /** What a zone gets, of its part; one that can serve nothing has no room. */
    private double load(int zone) {
        double max = capacity.get(zone) * bounds.part;
        double now = gets.getOrDefault(zone, 0.0);
        return max > 0 ? now / max : now > 0 ? Double.MAX_VALUE : 1;
    }

    private void moved(HistoryEvent event, int zone) {
        Deque<Long> last = moves.computeIfAbsent(zone, z -> new ArrayDeque<>());
        last.add(event.at());
        while (last.peek() <= event.at() - MINUTE) {
            last.remove();
        }
        if (last.size() > bounds.moves) {
            breaches.add(
                    new Violation(
                            "F2",
                            event.at(),
                            "table "
                                    + plans.newest()
                                    + " moves the callers of "
                                    + "zone "
                                    + zone
                                    + ": "
                                    + last.size()
                                    + " times in a minute"));
        }
    }

    @Override
    public void ended(long at) {
        look(at);
    }

    @Override
    public List<Violation> breaches() {
        return breaches;
    }
}
