package cedarrudder.transport;

/**
 * A clock for trials of many replicas, on which time passes a little faster or slower than it does.
 */
public final class SkewedClock {

    private static final double MILLION = 1e6;

    private final long begun = System.nanoTime();
    private final double rate;

    /**
     * @param millionths time passes this much faster than it does; negative: slower
     */
    public SkewedClock(int millionths) {
        this.rate = 1 + millionths / MILLION;
    }

    long now() {
        return at(System.nanoTime());
    }

    /** What it says when the machine's clock says this. */
    long at(long machine) {
        return begun + (long) ((machine - begun) * rate);
    }

    /**
     * This much time of the machine's clock takes that much of this one, or a little more;
     * nanoseconds.
     */
    long real(long nanos) {
        return (long) Math.ceil(nanos / rate) + 1;
    }
}
