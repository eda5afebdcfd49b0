package cedarrudder.membership;

import java.util.HashSet;
import java.util.Set;

/**
 * The time that an instance is suspected before it is declared dead: long at first, shorter with
 * each further instance that confirms the suspicion (Lifeguard, "LHA-Suspicion"). The long initial
 * time keeps an instance that receives no messages from declaring all others dead.
 */
final class Suspicion {

    private final double min;
    private final double max;
    private final int confirmations;
    private final Set<Integer> accusers = new HashSet<>();
    private long startedAt;
    private long deadAt = Long.MAX_VALUE;

    /**
     * Starts a suspicion.
     *
     * @param accuser the first instance that suspects, which counts as no confirmation
     * @param min the suspicion's length with all confirmations, in nanoseconds
     * @param max its length with no confirmation, in nanoseconds
     * @param confirmations how many confirmations shorten the suspicion to the minimum
     */
    Suspicion(long now, int accuser, double min, double max, int confirmations) {
        this.startedAt = now;
        this.min = min;
        this.max = max;
        this.confirmations = confirmations;
        addAccuser(accuser, now);
    }

    /** Adds a further accuser; returns whether the confirmation is new and has to be passed on. */
    boolean addAccuser(int accuser, long now) {
        if (accusers.size() > confirmations || !accusers.add(accuser)) {
            return false;
        }
        double confirmedFraction = Math.log(accusers.size()) / Math.log(confirmations + 1.0);
        long until = startedAt + (long) Math.max(min, max - (max - min) * confirmedFraction);
        deadAt = Math.min(deadAt, Math.max(now, until));
        return true;
    }

    /**
     * Shortens the suspicion to its length with all confirmations, since another instance has
     * waited that long and declares the suspect dead.
     */
    void shorten(long now) {
        deadAt = Math.min(deadAt, Math.max(now, startedAt + (long) min));
    }

    /** Extends the suspicion by a length of time. */
    void extend(long length) {
        startedAt += length;
        deadAt += length;
    }

    /** Returns when the instance is to be declared dead. */
    long deadAt() {
        return deadAt;
    }
}
