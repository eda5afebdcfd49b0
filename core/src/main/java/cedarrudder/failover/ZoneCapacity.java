package cedarrudder.failover;

import java.util.Arrays;

/** What the endpoints of each zone can serve, learned from what they served under load. */
final class ZoneCapacity {

    /** The load is smoothed by this weight of the newest. */
    private static final double NEWEST_WEIGHT = 0.25;

    /** What a zone can do is learned by this weight, and by this one where it rejects. */
    private static final double LEARN_WEIGHT = 0.1;

    private static final double FALL_WEIGHT = 0.6;

    /** Below this load of a zone, and this rate, nothing is learned of its capacity. */
    private static final double MIN_LOAD = 0.15;

    private static final double MIN_RATE = 5;

    /** Requests a second that one warm endpoint of weight 1 serves; 0: not known. */
    private final double[] ratePerWeight;

    /** The smoothed load of zones; NaN: not known. */
    private final double[] load;

    ZoneCapacity(int zones) {
        this.ratePerWeight = new double[zones];
        this.load = new double[zones];
        Arrays.fill(load, Double.NaN);
    }

    /** The smoothed load of a zone; NaN: not known. */
    double load(int zone) {
        return load[zone];
    }

    /** Requests a second that a zone serves whose ready endpoints weigh this much. */
    double of(int zone, double weight) {
        return ratePerWeight[zone] * weight;
    }

    /** A newer load of a zone; NaN: none was reported. */
    void onLoad(int zone, double newest) {
        load[zone] =
                Double.isNaN(newest) || Double.isNaN(load[zone])
                        ? newest
                        : load[zone] + NEWEST_WEIGHT * (newest - load[zone]);
    }

    /**
     * Learns from what a healthy zone serves.
     *
     * @param weight of its ready endpoints
     * @param served requests a second
     * @param reported its load; NaN: none was reported
     * @param strained whether it serves no more than that
     */
    void learn(int zone, double weight, double served, double reported, boolean strained) {
        if (weight > 0 && served >= MIN_RATE) {
            learn(zone, served / weight, reported, strained);
        }
    }

    private void learn(int zone, double rate, double reported, boolean strained) {
        double known = ratePerWeight[zone];
        if (Double.isNaN(reported)) {
            // Without load reports: a zone that is full serves what it can, another can do no less
            // than it does.
            ratePerWeight[zone] =
                    strained ? known + FALL_WEIGHT * (rate - known) : Math.max(known, rate);
        } else if (reported >= MIN_LOAD) {
            double sample = rate / Math.min(1, reported);
            double weight = strained && sample < known ? FALL_WEIGHT : LEARN_WEIGHT;
            ratePerWeight[zone] += known == 0 ? sample : weight * (sample - known);
        } else {
            // This avoids a zone that is nearly idle being taken for one that can serve nothing.
            ratePerWeight[zone] = Math.max(known, rate / MIN_LOAD);
        }
    }
}
