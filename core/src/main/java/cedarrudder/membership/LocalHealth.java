package cedarrudder.membership;

/**
 * The local health score of this instance (Lifeguard's local health multiplier): 0 if healthy,
 * higher if it is slow itself. It multiplies the instance's timeouts, so that a slow instance does
 * not declare the others dead.
 */
final class LocalHealth {
    private final int max;
    private int value;

    LocalHealth(int max) {
        this.max = max;
    }

    int value() {
        return value;
    }

    /** Returns the factor for timeouts: 1 if this instance is healthy. */
    int multiplier() {
        return value + 1;
    }

    /** Records that a probe was answered. */
    void improve() {
        value = Math.max(0, value - 1);
    }

    /** Records that this instance missed a message or an action that was due. */
    void worsen() {
        value = Math.min(max, value + 1);
    }
}
