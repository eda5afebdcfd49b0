package cedarrudder.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.NavigableMap;
import java.util.TreeMap;

/** The suspected instances, the deadline of each suspicion, and which instance is pinged next. */
final class Suspicions {

    private final NavigableMap<Integer, Suspicion> byNumber = new TreeMap<>();
    private int lastProbed;

    /**
     * Creates an empty set of suspicions.
     *
     * @param start the instance to begin with; each replica draws it at random, so that not all
     *     ping the same suspect first
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

    /**
     * Adds an accuser to an existing suspicion; returns whether the confirmation is new and has to
     * be passed on.
     */
    boolean confirm(int number, int accuser, long now) {
        return byNumber.get(number).addAccuser(accuser, now);
    }

    /** Shortens the suspicion of an instance that another instance declares dead. */
    void shorten(int number, long now) {
        byNumber.get(number).shorten(now);
    }

    boolean isEmpty() {
        return byNumber.isEmpty();
    }

    int size() {
        return byNumber.size();
    }

    /** Returns the earliest deadline of a suspicion; {@link Long#MAX_VALUE} if there is none. */
    long nextDeadline() {
        long due = Long.MAX_VALUE;
        for (Suspicion suspicion : byNumber.values()) {
            due = Math.min(due, suspicion.deadAt());
        }
        return due;
    }

    /** Returns the instances whose suspicion has expired. */
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

    /** Returns the next suspect to ping; there must be one. */
    int nextToProbe() {
        Integer number = byNumber.higherKey(lastProbed);
        lastProbed = number != null ? number : byNumber.firstKey();
        return lastProbed;
    }

    /** Extends all suspicions by a time in which no refutation could be received. */
    void extend(long length) {
        byNumber.values().forEach(suspicion -> suspicion.extend(length));
    }
}
