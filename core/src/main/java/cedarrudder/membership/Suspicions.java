package cedarrudder.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.NavigableMap;
import java.util.TreeMap;

/** Those that are suspected, how long each still is, and whose turn it is to be asked. */
final class Suspicions {

    private final NavigableMap<Integer, Suspicion> byNumber = new TreeMap<>();
    private int asked;

    /**
     * @param start where to begin to ask; another one for each, so that not all ask the same first
     */
    Suspicions(int start) {
        asked = start;
    }

    void put(int number, Suspicion suspicion) {
        byNumber.put(number, suspicion);
    }

    void remove(int number) {
        byNumber.remove(number);
    }

    /** Another one says so too; whether that is news which is worth telling. */
    boolean confirmed(int number, int accuser, long now) {
        return byNumber.get(number).addAccuser(accuser, now);
    }

    /** Another one holds it as dead. */
    void shorten(int number, long now) {
        byNumber.get(number).shorten(now);
    }

    boolean isEmpty() {
        return byNumber.isEmpty();
    }

    int size() {
        return byNumber.size();
    }

    /** When the first of them counts as dead. */
    long due() {
        long due = Long.MAX_VALUE;
        for (Suspicion suspicion : byNumber.values()) {
            due = Math.min(due, suspicion.deadAt());
        }
        return due;
    }

    /** Those that count as dead by now. */
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

    /** The next to be asked; there must be one. */
    int next() {
        Integer number = byNumber.higherKey(asked);
        asked = number != null ? number : byNumber.firstKey();
        return asked;
    }

    /** All of them last this much longer: nothing could be heard meanwhile. */
    void extend(long length) {
        byNumber.values().forEach(suspicion -> suspicion.extend(length));
    }
}
