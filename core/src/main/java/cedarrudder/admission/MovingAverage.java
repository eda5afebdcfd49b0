package cedarrudder.admission;

/** An exponentially weighted moving average, with the mean absolute deviation from it. */
public final class MovingAverage {

    private final double newestWeight;
    private double mean;
    private double deviation;
    private long count;

    /**
     * An average of no values.
     *
     * @param newestWeight the weight of the newest value, from 0 to 1; the first values weigh more
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

    /** The mean, in the unit of the values; 0 before the first. */
    public double mean() {
        return mean;
    }

    /** How far values lie from the mean, on average. */
    public double deviation() {
        return deviation;
    }

    /** How many values there were. */
    public long count() {
        return count;
    }
}
