package cedarrudder.operator;

import cedarrudder.toml.ConfigTable;

/** Reads keys that more than one table has, in the units that their names state. */
final class CommonKeys {

    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final int MIN_HEAD = 1024;
    private static final int MAX_HEAD = 256 * 1024;
    private static final int MAX_BODY = 1024 * 1024 * 1024;
    private static final double MIN_SHARE = 0.05;

    static final String SHARE = "descriptors_share";

    /**
     * The maximum sum of the fractions of descriptors for clients and for connections to endpoints;
     * discovery and the process's files need the rest.
     */
    static final double MAX_SHARES = 0.9;

    private CommonKeys() {}

    /** Reads a time in whole milliseconds and returns it in nanoseconds. */
    static long millis(ConfigTable table, String key, long min, long max, long defaultNanos) {
        return NANOS_PER_MILLI * table.integer(key, min, max, defaultNanos / NANOS_PER_MILLI);
    }

    static int headBytes(ConfigTable table, int defaultValue) {
        return (int) table.integer("head_bytes", MIN_HEAD, MAX_HEAD, defaultValue);
    }

    static int bodyBytes(ConfigTable table, int defaultValue) {
        return (int) table.integer("body_bytes", 0, MAX_BODY, defaultValue);
    }

    static double descriptorsShare(ConfigTable table, double defaultValue) {
        return table.number(SHARE, MIN_SHARE, MAX_SHARES - MIN_SHARE, defaultValue);
    }
}
