package cedarrudder.lab.report;

import cedarrudder.lab.experiment.Bootstrap;
import cedarrudder.lab.experiment.Summary;
import java.util.Locale;

/** How figures are written: four digits below 1, fewer above, since no run tells more than that. */
final class Numbers {

    /** Stands where there is no figure. */
    static final String NONE = "-";

    private static final double TEN = 10;
    private static final double HUNDRED = 100;

    private Numbers() {}

    static String of(double value) {
        double size = Math.abs(value);
        String digits =
                value == Math.rint(value) || size >= HUNDRED
                        ? "%.0f"
                        : size < TEN ? "%.4f" : "%.1f";
        return Double.isNaN(value) ? NONE : String.format(Locale.ROOT, digits, value);
    }

    static String signed(double value) {
        return value > 0 ? "+" + of(value) : of(value);
    }

    static String interval(Bootstrap.Interval interval) {
        return Double.isNaN(interval.low())
                ? NONE
                : signed(interval.low()) + " to " + signed(interval.high());
    }

    /** A worst value and the seed that had it. */
    static String worst(Summary summary) {
        return summary.seeds() == 0 ? NONE : of(summary.worst()) + " (" + summary.worstSeed() + ")";
    }
}
