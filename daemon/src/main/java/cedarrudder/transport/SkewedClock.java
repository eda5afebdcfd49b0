package cedarrudder.transport;

/**
 * A clock for trials of many replicas, on which time passes a little faster or slower than it does.
 */
public final class SkewedClock {

    private static final double PARTS_PER_MILLION = 1e6;

    private final long startedAt = System.nanoTime();
    private final double rate;

    /**
     * @param millionths time passes this much faster than it does; negative: slower
     */
    public SkewedClock(int millionths) {
        this.rate = 1 + millionths / PARTS_PER_MILLION;
    }

    long now() {
        return skewed(System.nanoTime());
    }

    /** What it says when the machine's clock says this. */
    long skewed(long machine) {
        return startedAt + (long) ((machine - startedAt) * rate);
    }

    /**
     * This much time of the machine's clock takes that much of this one, or a little more;
     * nanoseconds.
     */
    long toMachineNanos(long nanos) {
        return (long) Math.ceil(nanos / rate) + 1;
    }
}
