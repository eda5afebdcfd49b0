package cedarrudder.lab.checker;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * What the world's events say of copies: which process of each runs, which stands still, which
 * links are cut, whether datagrams are lost. Words: {@code started}, {@code told} (SIGTERM), {@code
 * ended}, {@code stopped}, {@code continued} of a copy's process; {@code cut} and {@code healed} of
 * the way from a copy {@code to} another; {@code weather} with {@code calm}; {@code flooded} and
 * {@code drained} of a copy that gets forged datagrams; {@code over} when no more faults come.
 * Those of the copies ({@code speaks}, {@code silent}) tell which process speaks for a number.
 */
final class ProcessTimeline {

    private final Map<Integer, Set<Long>> running = new HashMap<>();
    private final Map<Integer, Set<Long>> speaking = new HashMap<>();
    private final Map<Integer, Long> disturbedAt = new HashMap<>();
    private final Set<Integer> stopped = new HashSet<>();
    private final Set<Integer> flooded = new HashSet<>();
    private final Set<Long> cuts = new HashSet<>();
    private final Set<Integer> copies = new HashSet<>();
    private boolean calm = true;
    private long calmSince = Long.MIN_VALUE / 2;
    private long lastDisturbance = Long.MIN_VALUE / 2;
    private long overAt = Long.MAX_VALUE;

    void took(HistoryEvent event) {
        int copy = event.copy();
        switch (event.what()) {
            case "started" -> {
                copies.add(copy);
                running.computeIfAbsent(copy, c -> new HashSet<>()).add(event.life());
            }
            case "speaks" -> {
                speaking.computeIfAbsent(copy, c -> new HashSet<>()).add(event.life());
                disturb(event);
            }
            case "silent" -> {
                speaking.computeIfAbsent(copy, c -> new HashSet<>()).remove(event.life());
                disturb(event);
            }
            case "ended" -> {
                running.computeIfAbsent(copy, c -> new HashSet<>()).remove(event.life());
                speaking.computeIfAbsent(copy, c -> new HashSet<>()).remove(event.life());
                stopped.remove(copy);
                disturb(event);
            }
            case "stopped" -> stopped.add(copy);
            case "continued" -> stopped.remove(copy);
            case "flooded" -> flooded.add(copy);
            case "drained" -> flooded.remove(copy);
            case "cut" -> cuts.add(way(copy, (int) event.number("to")));
            case "healed" -> cuts.remove(way(copy, (int) event.number("to")));
            case "weather" -> {
                calm = event.number("calm") == 1;
                calmSince = event.at();
            }
            case "over" -> overAt = event.at();
            default -> {}
        }
        switch (event.what()) {
            case "stopped", "continued", "flooded", "drained" -> disturb(event);
            case "cut", "healed" -> {
                disturb(event);
                disturbedAt.put((int) event.number("to"), event.at());
            }
            default -> {}
        }
    }

    private void disturb(HistoryEvent event) {
        disturbedAt.put(event.copy(), event.at());
        lastDisturbance = event.at();
    }

    private static long way(int from, int to) {
        return (long) from << 32 | to;
    }

    /** All copies that ever ran. */
    Set<Integer> copies() {
        return copies;
    }

    /** Whether a process of this number speaks, and does not stand still. */
    boolean speaks(int copy) {
        return !speaking.getOrDefault(copy, Set.of()).isEmpty() && !stopped.contains(copy);
    }

    /** The processes of this number, whether they speak or stand still. */
    Set<Long> running(int copy) {
        return running.getOrDefault(copy, Set.of());
    }

    /** The processes that speak for this number. */
    Set<Long> speaking(int copy) {
        return speaking.getOrDefault(copy, Set.of());
    }

    /** Whether the two can hear one another. */
    boolean whole(int one, int other) {
        return !cuts.contains(way(one, other)) && !cuts.contains(way(other, one));
    }

    /** Whether one of the two can hear the other. */
    boolean oneWay(int one, int other) {
        return !cuts.contains(way(one, other)) || !cuts.contains(way(other, one));
    }

    /** Whether the ways to most of the others that speak are not whole. */
    boolean apart(int copy) {
        long others = copies.stream().filter(other -> other != copy && speaks(other)).count();
        return others > 0
                && copies.stream()
                                        .filter(
                                                other ->
                                                        other != copy
                                                                && speaks(other)
                                                                && whole(copy, other))
                                        .count()
                                * 2
                        < others;
    }

    /** Whether this copy gets forged datagrams. */
    boolean forged(int copy) {
        return flooded.contains(copy);
    }

    /** When something happened to a copy last. */
    long disturbedAt(int copy) {
        return disturbedAt.getOrDefault(copy, Long.MIN_VALUE / 2);
    }

    /**
     * Since when nothing has happened to any, and nothing is lost, cut, forged or stands still;
     * Long.MAX_VALUE where not.
     */
    long peaceSince() {
        return !calm || !flooded.isEmpty() || !stopped.isEmpty() || !cuts.isEmpty()
                ? Long.MAX_VALUE
                : Math.max(calmSince, lastDisturbance);
    }

    /** Since when no more faults come; Long.MAX_VALUE while they do. */
    long overAt() {
        return overAt;
    }
}
