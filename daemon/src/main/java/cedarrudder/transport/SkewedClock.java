package cedarrudder.transport;

/**
 * A clock for tests of many replicas that runs a little faster or slower than the machine's clock.
 */
public final class SkewedClock {

    private static final double PARTS_PER_MILLION = 1e6;

    private final long startedAt = System.nanoTime();
    private final double rate;

    /**
     * Creates a clock that starts at the present time of the machine's clock.
     *
     * @param millionths how much faster the clock runs, in millionths; negative: slower
     */
    public SkewedClock(int millionths) {
        this.rate = 1 + millionths / PARTS_PER_MILLION;
    }

    long now() {
        return skewed(System.nanoTime());
    }

    /** Returns the time of this clock at a time of the machine's clock. */
    long skewed(long machine) {
        return startedAt + (long) ((machine - startedAt) * rate);
    }

    /**
     * Converts a duration of this clock to one of the machine's clock, rounded up; in nanoseconds.
     */
    long toMachineNanos(long nanos) {
        return (long) Math.ceil(nanos / rate) + 1;
    }
}
