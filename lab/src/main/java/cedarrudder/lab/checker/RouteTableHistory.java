package cedarrudder.lab.checker;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** The route tables in the order of their numbers, each as the first replica tells it. */
final class RouteTableHistory {

    /** What a table gives of one zone's calls to another; {@code parts} of 10,000. */
    record Part(int from, int to, String way, int parts) {}

    private static final int WHOLE = 10_000;

    /** Parts that a zone may get fewer by rounding, and is not left. */
    private static final int NOISE = 100;

    private long newest;
    private List<Part> parts = List.of();
    private List<Part> before = List.of();

    /** Whether this is the first word of a table later than all that were told. */
    boolean took(HistoryEvent event) {
        if (!event.what().equals("table") || event.number("number") <= newest) {
            return false;
        }
        newest = event.number("number");
        before = parts;
        parts = read(event.text("shares"));
        return true;
    }

    /** Reads {@code from>to:way:parts:per_s} with commas between. */
    private static List<Part> read(String text) {
        List<Part> all = new ArrayList<>();
        for (String each : text.isEmpty() ? new String[0] : text.split(",")) {
            String[] part = each.split("[>:]");
            if (part.length != 5) {
                throw new IllegalArgumentException(
                        "shares: found \"" + each + "\"; allowed: from>to:way:parts:per_s");
            }
            all.add(
                    new Part(
                            Integer.parseInt(part[0]),
                            Integer.parseInt(part[1]),
                            part[2],
                            Integer.parseInt(part[3])));
        }
        return all;
    }

    /**
     * Zones of clients that the newest table moves away: they get this much less of their own
     * calls.
     */
    Set<Integer> left() {
        Set<Integer> left = new HashSet<>();
        for (Part part : parts) {
            if (moved(parts, part.from) > 0
                    && near(before, part.from) - near(parts, part.from) > NOISE) {
                left.add(part.from);
            }
        }
        return left;
    }

    /** What a zone gets of its own calls: all of them where nothing is said of them. */
    private static int near(List<Part> of, int from) {
        List<Part> own = of.stream().filter(part -> part.from == from).toList();
        return own.isEmpty()
                ? WHOLE
                : own.stream().filter(part -> part.to == from).mapToInt(Part::parts).sum();
    }

    private static int moved(List<Part> of, int from) {
        return of.stream()
                .filter(part -> part.from == from && part.way.equals("moved"))
                .mapToInt(Part::parts)
                .sum();
    }

    /** Zones of clients to which the newest table gives other shares than the one before did. */
    Set<Integer> changed() {
        Set<Integer> changed = new HashSet<>();
        Set<Part> old = new HashSet<>(before);
        Set<Part> now = new HashSet<>(parts);
        old.stream().filter(part -> !now.contains(part)).forEach(part -> changed.add(part.from));
        now.stream().filter(part -> !old.contains(part)).forEach(part -> changed.add(part.from));
        return changed;
    }

    long newest() {
        return newest;
    }
}
