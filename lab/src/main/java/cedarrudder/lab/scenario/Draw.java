package cedarrudder.lab.scenario;

import java.util.random.RandomGenerator;

/**
 * A figure of a scenario: fixed, or drawn anew for each run, evenly between two ends. Times are
 * nanoseconds.
 *
 * @param low the least, inclusive
 * @param high the most; equal to {@code low} for a fixed figure
 */
public record Draw(double low, double high) {

    /** A figure that is the same in each run. */
    public static Draw fixed(double value) {
        return new Draw(value, value);
    }

    /** The figure of one run. One random number is taken in any case, so that runs stay paired. */
    public double draw(RandomGenerator random) {
        return low + (high - low) * random.nextDouble();
    }

    /** The middle, for estimates. */
    public double middle() {
        return (low + high) / 2;
    }
}
