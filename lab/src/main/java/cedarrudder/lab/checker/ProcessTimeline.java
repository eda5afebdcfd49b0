package cedarrudder.lab.checker;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * What the world's events say of replicas: which process of each runs, which stands still, which
 * links are cut, whether datagrams are lost. Words: {@code started}, {@code told} (SIGTERM), {@code
 * ended}, {@code stopped}, {@code continued} of a replica's process; {@code cut} and {@code healed}
 * of the way from a replica {@code to} another; {@code weather} with {@code calm}; {@code flooded}
 * and {@code drained} of a replica that gets forged datagrams; {@code over} when no more faults
 * come. Those of the replicas ({@code speaks}, {@code silent}) tell which process speaks for a
 * number.
 */
final class ProcessTimeline {

    private final Map<Integer, Set<Long>> running = new HashMap<>();
    private final Map<Integer, Set<Long>> speaking = new HashMap<>();
    private final Map<Integer, Long> disturbedAt = new HashMap<>();
    private final Set<Integer> stopped = new HashSet<>();
    private final Set<Integer> flooded = new HashSet<>();
    private final Set<Long> cuts = new HashSet<>();
    private final Set<Integer> replicas = new HashSet<>();
    private boolean calm = true;
    private long calmSince = Long.MIN_VALUE / 2;
    private long lastDisturbance = Long.MIN_VALUE / 2;
    private long overAt = Long.MAX_VALUE;

    void took(HistoryEvent event) {
        int replica = event.replica();
        switch (event.what()) {
            case "started" -> {
                replicas.add(replica);
                running.computeIfAbsent(replica, c -> new HashSet<>()).add(event.incarnation());
            }
            case "speaks" -> {
                speaking.computeIfAbsent(replica, c -> new HashSet<>()).add(event.incarnation());
                disturb(event);
            }
            case "silent" -> {
                speaking.computeIfAbsent(replica, c -> new HashSet<>()).remove(event.incarnation());
                disturb(event);
            }
            case "ended" -> {
                running.computeIfAbsent(replica, c -> new HashSet<>()).remove(event.incarnation());
                speaking.computeIfAbsent(replica, c -> new HashSet<>()).remove(event.incarnation());
                stopped.remove(replica);
                disturb(event);
            }
            case "stopped" -> stopped.add(replica);
            case "continued" -> stopped.remove(replica);
            case "flooded" -> flooded.add(replica);
            case "drained" -> flooded.remove(replica);
            case "cut" -> cuts.add(way(replica, (int) event.number("to")));
            case "healed" -> cuts.remove(way(replica, (int) event.number("to")));
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
        disturbedAt.put(event.replica(), event.at());
        lastDisturbance = event.at();
    }

    private static long way(int from, int to) {
        return (long) from << 32 | to;
    }

    /** All replicas that ever ran. */
    Set<Integer> replicas() {
        return replicas;
    }

    /** Whether a process of this number speaks, and does not stand still. */
    boolean speaks(int replica) {
        return !speaking.getOrDefault(replica, Set.of()).isEmpty() && !stopped.contains(replica);
    }

    /** The processes of this number, whether they speak or stand still. */
    Set<Long> running(int replica) {
        return running.getOrDefault(replica, Set.of());
    }

    /** The processes that speak for this number. */
    Set<Long> speaking(int replica) {
        return speaking.getOrDefault(replica, Set.of());
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
    boolean apart(int replica) {
        long others = replicas.stream().filter(other -> other != replica && speaks(other)).count();
        return others > 0
                && replicas.stream()
                                        .filter(
                                                other ->
                                                        other != replica
                                                                && speaks(other)
                                                                && whole(replica, other))
                                        .count()
                                * 2
                        < others;
    }

    /** Whether this replica gets forged datagrams. */
    boolean forged(int replica) {
        return flooded.contains(replica);
    }

    /** When something happened to a replica last. */
    long disturbedAt(int replica) {
        return disturbedAt.getOrDefault(replica, Long.MIN_VALUE / 2);
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
