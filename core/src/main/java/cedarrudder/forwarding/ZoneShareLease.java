package cedarrudder.forwarding;

/**
 * How long the zone shares that were set last may be used. It is looked at before each event, since
 * a process that was stopped would go on in its first moment by what replicas agreed on long ago.
 */
final class ZoneShareLease {

    private boolean areSet;
    private long validUntil = Long.MAX_VALUE;
    private Runnable onUsed = () -> {};

    /** New shares, or none. */
    void set(boolean any) {
        areSet = any;
    }

    /** From that instant on the shares that were set last must not be used. */
    void validUntil(long instant) {
        validUntil = instant;
    }

    /** Runs this whenever an attempt starts while shares are set. */
    void onUsed(Runnable listener) {
        onUsed = listener;
    }

    /** An attempt starts. */
    void recordUse() {
        if (areSet) {
            onUsed.run();
        }
    }

    /** Whether shares are set that are no longer valid; they count as not set from here on. */
    boolean expire(long now) {
        if (!areSet || now < validUntil) {
            return false;
        }
        areSet = false;
        return true;
    }
}
