package cedarrudder.lab.scenario;

import cedarrudder.toml.ConfigTable;

/** Reads figures whose unit is the end of their key, into nanoseconds where they are times. */
final class Figures {

    private static final double MICRO = 1e3;
    private static final double MILLI = 1e6;
    private static final double SECOND = 1e9;

    private Figures() {}

    /**
     * What one unit of the key is: {@code _us}, {@code _ms} and {@code _s} are times, others count.
     */
    static double unit(String key) {
        if (key.endsWith("_us")) {
            return MICRO;
        }
        if (key.endsWith("_ms")) {
            return MILLI;
        }
        return key.endsWith("_s") && !key.endsWith("_per_s") ? SECOND : 1;
    }

    /**
     * A figure, fixed or to be drawn; bounds and defaults in the key's unit.
     *
     * @param otherwise one number or two; none: the key must be there
     */
    static Draw draw(ConfigTable table, String key, double min, double max, double... otherwise) {
        return scaled(
                key,
                table.range(
                        key,
                        min,
                        max,
                        otherwise.length == 0
                                ? null
                                : new double[] {otherwise[0], otherwise[otherwise.length - 1]}));
    }

    /** A figure that may be left out; null where it is. */
    static Draw drawOrNull(ConfigTable table, String key, double min, double max) {
        double[] ends = table.rangeOrNull(key, min, max);
        return ends == null ? null : scaled(key, ends);
    }

    private static Draw scaled(String key, double[] ends) {
        double unit = unit(key);
        return new Draw(ends[0] * unit, ends[1] * unit);
    }

    /** A fixed time that must be there. */
    static long time(ConfigTable table, String key, double min, double max) {
        return Math.round(table.number(key, min, max) * unit(key));
    }

    /** A fixed time that may be left out. */
    static long time(ConfigTable table, String key, double min, double max, double otherwise) {
        return Math.round(table.number(key, min, max, otherwise) * unit(key));
    }

    /** A figure in its key's unit, as problems show it: at most three digits behind the point. */
    static String shown(String key, double value) {
        return shown(value / unit(key));
    }

    /** A number without needless digits, at most three behind the point. */
    static String shown(double value) {
        double rounded = Math.rint(value * 1000) / 1000;
        return rounded == Math.rint(rounded) && Math.abs(rounded) < 1e15
                ? Long.toString((long) rounded)
                : Double.toString(rounded);
    }
}
