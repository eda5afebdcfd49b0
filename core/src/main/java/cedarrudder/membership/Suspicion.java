package cedarrudder.membership;

import java.util.HashSet;
import java.util.Set;

/**
 * How long an instance is suspected before it is declared dead: long at first, shorter with each
 * other instance that confirms it (Lifeguard, "LHA-Suspicion"). This avoids an instance that hears
 * nothing declaring all others dead.
 */
final class Suspicion {

    private final double min;
    private final double max;
    private final int confirmations;
    private final Set<Integer> accusers = new HashSet<>();
    private long startedAt;
    private long deadAt = Long.MAX_VALUE;

    /**
     * @param accuser the first instance that suspects it, which confirms nothing
     */
    Suspicion(long now, int accuser, double min, double max, int confirmations) {
        this.startedAt = now;
        this.min = min;
        this.max = max;
        this.confirmations = confirmations;
        addAccuser(accuser, now);
    }

    /** Another instance suspects it too; whether that is new, and to be passed on. */
    boolean addAccuser(int accuser, long now) {
        if (accusers.size() > confirmations || !accusers.add(accuser)) {
            return false;
        }
        double share = Math.log(accusers.size()) / Math.log(confirmations + 1.0);
        long until = startedAt + (long) Math.max(min, max - (max - min) * share);
        deadAt = Math.min(deadAt, Math.max(now, until));
        return true;
    }

    /**
     * Another instance has waited as long as it takes and declares it dead: the suspicion lasts no
     * longer than with all confirmations.
     */
    void shorten(long now) {
        deadAt = Math.min(deadAt, Math.max(now, startedAt + (long) min));
    }

    /** The suspicion lasts this much longer. */
    void extend(long length) {
        startedAt += length;
        deadAt += length;
    }

    /** When the instance is to be declared dead. */
    long deadAt() {
        return deadAt;
    }
}
