package cedarrudder.membership;

import java.util.HashSet;
import java.util.Set;

/**
 * How long one instance is suspected before it counts as dead: long at first, shorter with each
 * other instance that says the same (Lifeguard, "LHA-Suspicion"). This avoids one instance that
 * hears nothing itself declaring all others dead.
 */
final class Suspicion {

    private final double min;
    private final double max;
    private final int confirmations;
    private final Set<Integer> accusers = new HashSet<>();
    private long since;
    private long deadAt = Long.MAX_VALUE;

    /**
     * @param accuser the first instance that said so, which confirms nothing
     */
    Suspicion(long now, int accuser, double min, double max, int confirmations) {
        this.since = now;
        this.min = min;
        this.max = max;
        this.confirmations = confirmations;
        addAccuser(accuser, now);
    }

    /** Another one says so too; whether that is news which is worth telling. */
    boolean addAccuser(int accuser, long now) {
        if (accusers.size() > confirmations || !accusers.add(accuser)) {
            return false;
        }
        double share = Math.log(accusers.size()) / Math.log(confirmations + 1.0);
        long until = since + (long) Math.max(min, max - (max - min) * share);
        deadAt = Math.min(deadAt, Math.max(now, until));
        return true;
    }

    /**
     * Another one has waited for as long as it takes: it lasts no longer than with all
     * confirmations.
     */
    void shorten(long now) {
        deadAt = Math.min(deadAt, Math.max(now, since + (long) min));
    }

    /** It lasts this much longer. */
    void extend(long length) {
        since += length;
        deadAt += length;
    }

    /** When it counts as dead. */
    long deadAt() {
        return deadAt;
    }
}
