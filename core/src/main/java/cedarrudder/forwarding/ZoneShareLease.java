package cedarrudder.forwarding;

/**
 * The lease on the zone shares that were set last: how long they may be used. It is checked before
 * each event; otherwise a process that resumes after a stop would handle its first events by shares
 * that the replicas agreed on long ago.
 */
final class ZoneShareLease {

    private boolean areSet;
    private long validUntil = Long.MAX_VALUE;
    private Runnable onUsed = () -> {};

    /** Records whether the latest update set any shares. */
    void set(boolean any) {
        areSet = any;
    }

    /** Sets the instant from which on the shares that were set last must not be used. */
    void validUntil(long instant) {
        validUntil = instant;
    }

    /** Sets the listener that runs whenever an attempt starts while shares are set. */
    void onUsed(Runnable listener) {
        onUsed = listener;
    }

    /** Runs the listener for an attempt that starts, if shares are set. */
    void recordUse() {
        if (areSet) {
            onUsed.run();
        }
    }

    /** Unsets shares that are no longer valid; returns whether there were any. */
    boolean expire(long now) {
        if (!areSet || now < validUntil) {
            return false;
        }
        areSet = false;
        return true;
    }
}
