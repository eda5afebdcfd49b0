package cedarrudder.admission;

/** A mean and a mean deviation that follow what is measured. */
public final class MovingAverage {

    private final double weight;
    private double mean;
    private double deviation;
    private long count;

    /**
     * @param weight the weight of the newest value, from 0 to 1; the first ones weigh more
     */
    public MovingAverage(double weight) {
        this.weight = weight;
    }

    public void add(double value) {
        double part = Math.max(weight, 1.0 / ++count);
        deviation += part * (Math.abs(value - mean) - deviation);
        mean += part * (value - mean);
    }

    /** The mean, in the unit of the values; 0 before the first. */
    public double mean() {
        return mean;
    }

    /** How far values lie from the mean, on the average. */
    public double deviation() {
        return deviation;
    }

    /** How many values there were. */
    public long count() {
        return count;
    }
}
