package cedarrudder.protocol;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.LongSupplier;

/**
 * Converts times of the wall clocks of other machines to spans of the program's own clock. The
 * machine's wall clock may be set at any time, and a reported time may be from before or after
 * that, or of a machine whose clock was not set. So a span is measured against all settings of the
 * clock that were seen, and the shortest possible one counts.
 */
final class WallClock {

    private static final double NANOS_PER_MILLI = 1e6;

    /** A smaller difference of the clocks is their drift. */
    private static final double MIN_STEP_MILLIS = 100;

    /** The number of settings that are remembered. */
    private static final int MAX_SETTINGS = 16;

    private final LongSupplier clock;
    private final LongSupplier unixMillis;

    /** The differences between both clocks, in milliseconds, the newest last. */
    private final Deque<Double> settings = new ArrayDeque<>();

    /**
     * @param clock the program's clock, in nanoseconds
     * @param unixMillis the machine's wall clock, in milliseconds
     */
    WallClock(LongSupplier clock, LongSupplier unixMillis) {
        this.clock = clock;
        this.unixMillis = unixMillis;
        observe();
    }

    private double difference() {
        return unixMillis.getAsLong() - clock.getAsLong() / NANOS_PER_MILLI;
    }

    /** Remembers the present setting of the clock. */
    void observe() {
        double now = difference();
        if (settings.stream().noneMatch(known -> Math.abs(known - now) < MIN_STEP_MILLIS)) {
            if (settings.size() == MAX_SETTINGS) {
                settings.removeFirst();
            }
            settings.addLast(now);
        }
    }

    /** Returns how long ago a time was, in nanoseconds: the shortest possible span, or 0. */
    long nanosSince(double millis) {
        observe();
        double ownMillis = clock.getAsLong() / NANOS_PER_MILLI;
        double shortest = difference() + ownMillis - millis;
        for (double setting : settings) {
            double span = setting + ownMillis - millis;
            if (span >= 0 && (shortest < 0 || span < shortest)) {
                shortest = span;
            }
        }
        return (long) (Math.max(0, shortest) * NANOS_PER_MILLI);
    }
}
