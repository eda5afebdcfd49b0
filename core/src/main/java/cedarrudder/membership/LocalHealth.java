package cedarrudder.membership;

/**
 * How badly this instance does itself, from 0 (Lifeguard's local health multiplier). It takes that
 * much longer over everything, so that a slow instance does not declare the others dead.
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

    /** Timeouts are multiplied by this: 1 where the instance does well. */
    int multiplier() {
        return value + 1;
    }

    /** A probe was answered. */
    void improve() {
        value = Math.max(0, value - 1);
    }

    /** This instance missed something that it should have received or done. */
    void worsen() {
        value = Math.min(max, value + 1);
    }
}
