package cedarrudder.operator;

import cedarrudder.toml.ConfigTable;

/** Keys that more than one table has, in the units that their names state. */
final class CommonKeys {

    private static final long NANOS_A_MILLI = 1_000_000;
    private static final int MIN_HEAD = 1024;
    private static final int MAX_HEAD = 256 * 1024;
    private static final int MAX_BODY = 1024 * 1024 * 1024;
    private static final double MIN_SHARE = 0.05;

    static final String SHARE = "descriptors_share";

    /**
     * What clients and channels to endpoints may have together; discovery and the process's files
     * need some.
     */
    static final double MAX_SHARES = 0.9;

    private CommonKeys() {}

    /** A time in whole milliseconds; in nanoseconds from here on. */
    static long millis(ConfigTable table, String key, long min, long max, long otherwiseNanos) {
        return NANOS_A_MILLI * table.integer(key, min, max, otherwiseNanos / NANOS_A_MILLI);
    }

    static int headBytes(ConfigTable table, int otherwise) {
        return (int) table.integer("head_bytes", MIN_HEAD, MAX_HEAD, otherwise);
    }

    static int bodyBytes(ConfigTable table, int otherwise) {
        return (int) table.integer("body_bytes", 0, MAX_BODY, otherwise);
    }

    static double descriptorsShare(ConfigTable table, double otherwise) {
        return table.number(SHARE, MIN_SHARE, MAX_SHARES - MIN_SHARE, otherwise);
    }
}
