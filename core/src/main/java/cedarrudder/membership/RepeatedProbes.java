package cedarrudder.membership;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The instances that did not answer their probe and are not suspected yet: each is pinged again, by
 * turns, until it answers or has been silent more often than loss explains. This avoids a suspicion
 * and its refutation for each lost ack: the number of these would grow with the tier, and the space
 * for gossip does not.
 */
final class RepeatedProbes {

    /**
     * At one time. This avoids each taking long where half of the tier has died; an instance that
     * is passed over here is probed by another.
     */
    private static final int MAX_INSTANCES = 3;

    /** How often each was silent; the one whose turn it is comes first. */
    private final Map<Integer, Integer> silences = new LinkedHashMap<>();

    /** An instance did not answer, so many times by now. */
    void add(int number, int silent) {
        if (silences.size() < MAX_INSTANCES) {
            silences.putIfAbsent(number, silent);
        }
    }

    /** An instance answered, or needs no more probes; whether it was one of these. */
    boolean remove(int number) {
        return silences.remove(number) != null;
    }

    /** This instance was stopped: that it received nothing proves nothing. */
    void clear() {
        silences.clear();
    }

    boolean isEmpty() {
        return silences.isEmpty();
    }

    /** The instance whose turn it is; there must be one. */
    int first() {
        return silences.keySet().iterator().next();
    }

    /** How often the first was silent. */
    int silencesOfFirst() {
        return silences.values().iterator().next();
    }

    /** The first is pinged, and goes to the end. */
    void onFirstProbed() {
        Iterator<Map.Entry<Integer, Integer>> entries = silences.entrySet().iterator();
        Map.Entry<Integer, Integer> first = entries.next();
        int number = first.getKey();
        int silent = first.getValue() + 1;
        entries.remove();
        silences.put(number, silent);
    }
}
