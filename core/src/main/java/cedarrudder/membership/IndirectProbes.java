package cedarrudder.membership;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Those that did not answer, while nobody is told yet: each is asked again, by turns, until it is
 * heard or has been silent too often for the losses that are seen. This avoids news of a suspicion,
 * and news of its contradiction, for each answer that is lost: with the instances these grow, and
 * the room for them does not.
 */
final class IndirectProbes {

    /**
     * More are not held at one time. This avoids each taking long where half have died; whom one
     * passes over another asks.
     */
    private static final int MAX = 3;

    /** How often each was asked without an answer; the one whose turn it is comes first. */
    private final Map<Integer, Integer> silences = new LinkedHashMap<>();

    /** One did not answer. */
    void add(int number, int silent) {
        if (silences.size() < MAX) {
            silences.putIfAbsent(number, silent);
        }
    }

    /** One lives, or is asked no more; whether it was doubted. */
    boolean remove(int number) {
        return silences.remove(number) != null;
    }

    /** What was not heard says nothing: this instance stood still. */
    void clear() {
        silences.clear();
    }

    boolean isEmpty() {
        return silences.isEmpty();
    }

    /** The one whose turn it is; there must be one. */
    int first() {
        return silences.keySet().iterator().next();
    }

    /** How often the first was silent. */
    int onSilence() {
        return silences.values().iterator().next();
    }

    /** The first is asked, and goes to the end. */
    void onAsked() {
        Iterator<Map.Entry<Integer, Integer>> each = silences.entrySet().iterator();
        Map.Entry<Integer, Integer> first = each.next();
        int number = first.getKey();
        int silent = first.getValue() + 1;
        each.remove();
        silences.put(number, silent);
    }
}
