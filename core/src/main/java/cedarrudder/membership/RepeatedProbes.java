package cedarrudder.membership;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The instances that did not answer their probe and are not suspected yet. They are pinged again in
 * turn, each until it answers or has missed more pings than message loss explains. A suspicion and
 * its refutation for each lost ack would be too many: their number would grow with the tier, while
 * the space for gossip does not.
 */
final class RepeatedProbes {

    /**
     * Maximum number of instances at one time. With more, each would take long to be suspected when
     * half of the tier has died; an instance that is not added here is probed by another one.
     */
    private static final int MAX_INSTANCES = 3;

    /** Missed pings by instance; the next one to ping comes first. */
    private final Map<Integer, Integer> missedPings = new LinkedHashMap<>();

    /** Adds an instance that has missed this many pings, if there is capacity. */
    void add(int number, int missed) {
        if (missedPings.size() < MAX_INSTANCES) {
            missedPings.putIfAbsent(number, missed);
        }
    }

    /**
     * Removes an instance that answered or needs no more probes; returns whether it was present.
     */
    boolean remove(int number) {
        return missedPings.remove(number) != null;
    }

    /** Removes all instances: this process was suspended, so missing answers prove nothing. */
    void clear() {
        missedPings.clear();
    }

    boolean isEmpty() {
        return missedPings.isEmpty();
    }

    /** Returns the next instance to ping; there must be one. */
    int first() {
        return missedPings.keySet().iterator().next();
    }

    /** Returns how many pings the first instance has missed. */
    int missesOfFirst() {
        return missedPings.values().iterator().next();
    }

    /** Counts another ping of the first instance and moves it to the end. */
    void onFirstProbed() {
        Iterator<Map.Entry<Integer, Integer>> entries = missedPings.entrySet().iterator();
        Map.Entry<Integer, Integer> first = entries.next();
        int number = first.getKey();
        int missed = first.getValue() + 1;
        entries.remove();
        missedPings.put(number, missed);
    }
}
