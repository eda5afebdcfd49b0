package cedarrudder.admission;

/** An exponentially weighted moving average, with the mean absolute deviation from it. */
public final class MovingAverage {

    private final double newestWeight;
    private double mean;
    private double deviation;
    private long count;

    /**
     * Creates an average without values.
     *
     * @param newestWeight the weight of the newest value, from 0 to 1; the first values count more
     */
    public MovingAverage(double newestWeight) {
        this.newestWeight = newestWeight;
    }

    /** Adds a value. */
    public void add(double value) {
        count++;
        double weight = Math.max(newestWeight, 1.0 / count);
        deviation += weight * (Math.abs(value - mean) - deviation);
        mean += weight * (value - mean);
    }

    /** Returns the mean, in the unit of the values; 0 before the first value. */
    public double mean() {
        return mean;
    }

    /** Returns the mean absolute deviation of the values from the mean. */
    public double deviation() {
        return deviation;
    }

    /** Returns the number of values added. */
    public long count() {
        return count;
    }
}
