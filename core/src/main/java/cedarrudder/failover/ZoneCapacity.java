package cedarrudder.failover;

import java.util.Arrays;

/** The capacity of each zone's endpoints, learned from the rates that they served under load. */
final class ZoneCapacity {

    /** Weight of the newest value in the smoothed load. */
    private static final double NEWEST_WEIGHT = 0.25;

    /**
     * Weight of a new sample of the capacity, and its weight if the zone is strained and the
     * capacity falls.
     */
    private static final double LEARN_WEIGHT = 0.1;

    private static final double FALL_WEIGHT = 0.6;

    /** Load of a zone and requests per second below which nothing is learned of its capacity. */
    private static final double MIN_LOAD = 0.15;

    private static final double MIN_RATE = 5;

    /** Requests per second that one warm endpoint of weight 1 serves; 0 if not known. */
    private final double[] ratePerWeight;

    /** The smoothed load of the zones; NaN if not known. */
    private final double[] load;

    ZoneCapacity(int zones) {
        this.ratePerWeight = new double[zones];
        this.load = new double[zones];
        Arrays.fill(load, Double.NaN);
    }

    /** Returns the smoothed load of a zone; NaN if not known. */
    double load(int zone) {
        return load[zone];
    }

    /**
     * Returns the requests per second that a zone can serve with ready endpoints of this total
     * weight.
     */
    double of(int zone, double weight) {
        return ratePerWeight[zone] * weight;
    }

    /** Updates the load of a zone; NaN if none was reported. */
    void onLoad(int zone, double newest) {
        load[zone] =
                Double.isNaN(newest) || Double.isNaN(load[zone])
                        ? newest
                        : load[zone] + NEWEST_WEIGHT * (newest - load[zone]);
    }

    /**
     * Learns from the rate that a healthy zone serves.
     *
     * @param weight total weight of its ready endpoints
     * @param served requests per second
     * @param reported its load; NaN if none was reported
     * @param strained whether the zone is at its capacity
     */
    void learn(int zone, double weight, double served, double reported, boolean strained) {
        if (weight > 0 && served >= MIN_RATE) {
            learn(zone, served / weight, reported, strained);
        }
    }

    private void learn(int zone, double rate, double reported, boolean strained) {
        double known = ratePerWeight[zone];
        if (Double.isNaN(reported)) {
            // Without load reports: a strained zone serves at its capacity; the capacity of any
            // other zone is at least the rate that it serves.
            ratePerWeight[zone] =
                    strained ? known + FALL_WEIGHT * (rate - known) : Math.max(known, rate);
        } else if (reported >= MIN_LOAD) {
            double sample = rate / Math.min(1, reported);
            double weight = strained && sample < known ? FALL_WEIGHT : LEARN_WEIGHT;
            ratePerWeight[zone] += known == 0 ? sample : weight * (sample - known);
        } else {
            // A nearly idle zone must not appear to have no capacity.
            ratePerWeight[zone] = Math.max(known, rate / MIN_LOAD);
        }
    }
}
