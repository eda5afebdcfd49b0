package cedarrudder.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.NavigableMap;
import java.util.TreeMap;

/** The suspected instances, how long each still is, and which one is pinged next. */
final class Suspicions {

    private final NavigableMap<Integer, Suspicion> byNumber = new TreeMap<>();
    private int lastProbed;

    /**
     * @param start the instance to begin with; each replica has another, so that not all ping the
     *     same one first
     */
    Suspicions(int start) {
        lastProbed = start;
    }

    void put(int number, Suspicion suspicion) {
        byNumber.put(number, suspicion);
    }

    void remove(int number) {
        byNumber.remove(number);
    }

    /** Another instance suspects it too; whether that is new, and to be passed on. */
    boolean confirm(int number, int accuser, long now) {
        return byNumber.get(number).addAccuser(accuser, now);
    }

    /** Another instance declares it dead. */
    void shorten(int number, long now) {
        byNumber.get(number).shorten(now);
    }

    boolean isEmpty() {
        return byNumber.isEmpty();
    }

    int size() {
        return byNumber.size();
    }

    /** When the first of them is to be declared dead. */
    long nextDeadline() {
        long due = Long.MAX_VALUE;
        for (Suspicion suspicion : byNumber.values()) {
            due = Math.min(due, suspicion.deadAt());
        }
        return due;
    }

    /** Those that are to be declared dead by now. */
    List<Integer> expired(long now) {
        List<Integer> over = new ArrayList<>();
        byNumber.forEach(
                (number, suspicion) -> {
                    if (now >= suspicion.deadAt()) {
                        over.add(number);
                    }
                });
        return over;
    }

    /** The next to be pinged; there must be one. */
    int nextToProbe() {
        Integer number = byNumber.higherKey(lastProbed);
        lastProbed = number != null ? number : byNumber.firstKey();
        return lastProbed;
    }

    /** All suspicions last this much longer: nothing could be received meanwhile. */
    void extend(long length) {
        byNumber.values().forEach(suspicion -> suspicion.extend(length));
    }
}
