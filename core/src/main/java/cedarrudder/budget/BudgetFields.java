package cedarrudder.budget;

import cedarrudder.budget.DownstreamFeedback.UnservedReason;
import java.util.List;

/**
 * Reads and writes the values of the fields {@link #BUDGET} and {@link #PATH} of a request and of
 * the field {@link #RESULT} of a response. Independent of the protocol that transports them.
 *
 * <p>A value begins with its version, a whole number; keys follow, each after a semicolon. Reading
 * never fails: a value that is too long, negative, not a number or out of range counts as absent,
 * and unknown keys are ignored. A field without a valid version counts as absent.
 */
public final class BudgetFields {

    /** The request field with the budget of the request. */
    public static final String BUDGET = "Cedar-Budget";

    /** The request field with the tiers that the request has passed. */
    public static final String PATH = "Cedar-Path";

    /** The response field with the feedback on the budget. */
    public static final String RESULT = "Cedar-Result";

    private static final int VERSION = 1;
    private static final int MAX_VERSION = 9_999;
    private static final int MAX_LENGTH = 700;
    private static final int MAX_PATH_LENGTH = 600;
    private static final long MAX_MILLIS = 86_400_000L;
    private static final int MAX_TRIES = 1_000;
    private static final int MAX_DIGITS = 9;
    private static final int MAX_HEX_DIGITS = 16;
    private static final int MAX_FRACTION_LENGTH = 12;
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private BudgetFields() {}

    // ---- request fields ----

    /** Reads the fields of a request; a field that is absent or occurs twice is passed as null. */
    public static PropagatedBudget read(String budget, String path) {
        String[] keys = split(budget);
        long remainingNanos = NANOS_PER_MILLI * parseNumber(value(keys, "left"), MAX_MILLIS, 0);
        int attempts = (int) parseNumber(value(keys, "tries"), MAX_TRIES, -1);
        return new PropagatedBudget(
                keys != null,
                true,
                remainingNanos,
                attempts,
                parseHex(value(keys, "grant")),
                parseFraction(value(keys, "worth")),
                "1".equals(value(keys, "repeat")),
                readPath(path));
    }

    /**
     * Reads a path. One that is too long is cut to the maximum number of hops, so that it can't
     * hide a loop; one that is not a valid path is empty.
     */
    private static HopPath readPath(String path) {
        int semicolon = path == null ? -1 : path.indexOf(';');
        return semicolon < 0 || !isVersion(path.substring(0, semicolon))
                ? HopPath.EMPTY
                : hops(path.substring(semicolon + 1, Math.min(path.length(), MAX_PATH_LENGTH)));
    }

    private static HopPath hops(String text) {
        if (text == null) {
            return HopPath.EMPTY;
        }
        List<String> hops = List.of(text.split(",", HopPath.MAX_HOPS + 1));
        return HopPath.ofOrEmpty(hops.subList(0, Math.min(hops.size(), HopPath.MAX_HOPS)));
    }

    /** Returns the value of {@link #BUDGET} for a request. */
    public static String budget(PropagatedBudget propagated) {
        return VERSION
                + ";left="
                + Math.max(1, propagated.remainingNanos() / NANOS_PER_MILLI)
                + ";tries="
                + propagated.attempts()
                + ";grant="
                + Long.toHexString(propagated.grant())
                + ";worth="
                + thousandths(propagated.priority())
                + (propagated.repeat() ? ";repeat=1" : "");
    }

    /** Formats a number from 0 to 1 with three decimals, without the cost of a formatter. */
    private static String thousandths(double figure) {
        int thousandths = (int) Math.round(1_000 * figure);
        return thousandths / 1_000
                + "."
                + thousandths / 100 % 10
                + thousandths / 10 % 10
                + thousandths % 10;
    }

    /** Returns the value of {@link #PATH} for a request. */
    public static String path(PropagatedBudget propagated) {
        return VERSION + ";" + String.join(",", propagated.path().hops());
    }

    // ---- the response field ----

    /** Reads the field of a response; null if it is absent. */
    public static DownstreamFeedback readResult(String result) {
        String[] keys = split(result);
        if (keys == null) {
            return DownstreamFeedback.NOTHING;
        }
        String reason = value(keys, "why");
        return new DownstreamFeedback(
                (int) parseNumber(value(keys, "spent"), MAX_TRIES, -1),
                UnservedReason.fromWireName(reason),
                hops(value(keys, "path")));
    }

    /** Returns the value of {@link #RESULT} for a response. */
    public static String result(DownstreamFeedback result) {
        return VERSION
                + (result.attemptsSpent() < 0 ? "" : ";spent=" + result.attemptsSpent())
                + (result.reason() == UnservedReason.UNKNOWN
                        ? ""
                        : ";why=" + result.reason().wireName())
                + (result.path().hops().isEmpty()
                        ? ""
                        : ";path=" + String.join(",", result.path().hops()));
    }

    // ---- parsing ----

    /** Returns the parts of a value, the version first; null if there is no valid value. */
    private static String[] split(String text) {
        if (text == null || text.length() > MAX_LENGTH) {
            return null;
        }
        String[] parts = text.split(";");
        return parts.length > 0 && isVersion(parts[0]) ? parts : null;
    }

    private static boolean isVersion(String text) {
        return parseNumber(text.strip(), MAX_VERSION, 0) >= VERSION;
    }

    /**
     * Returns the value of a key; null if it is absent. If a key occurs twice, the first counts.
     */
    private static String value(String[] parts, String key) {
        for (int i = 1; parts != null && i < parts.length; i++) {
            String part = parts[i].strip();
            if (part.length() > key.length()
                    && part.charAt(key.length()) == '='
                    && part.startsWith(key)) {
                return part.substring(key.length() + 1);
            }
        }
        return null;
    }

    private static boolean isDigits(String text, int max) {
        if (text == null || text.isEmpty() || text.length() > max) {
            return false;
        }
        for (int i = 0; i < text.length(); i++) {
            if (text.charAt(i) < '0' || text.charAt(i) > '9') {
                return false;
            }
        }
        return true;
    }

    private static long parseNumber(String text, long max, long defaultValue) {
        long number = isDigits(text, MAX_DIGITS) ? Long.parseLong(text) : -1;
        return number < 0 || number > max ? defaultValue : number;
    }

    private static long parseHex(String text) {
        boolean hex = text != null && !text.isEmpty() && text.length() <= MAX_HEX_DIGITS;
        for (int i = 0; hex && i < text.length(); i++) {
            hex = text.charAt(i) < 128 && Character.digit(text.charAt(i), 16) >= 0;
        }
        return hex ? Long.parseUnsignedLong(text, 16) : 0;
    }

    private static double parseFraction(String text) {
        int point = text == null ? -1 : text.indexOf('.');
        boolean decimal =
                text != null
                        && text.length() <= MAX_FRACTION_LENGTH
                        && (point < 0
                                ? isDigits(text, 1)
                                : isDigits(text.substring(0, point), 1)
                                        && isDigits(
                                                text.substring(point + 1), MAX_FRACTION_LENGTH));
        return decimal ? Math.min(1, Double.parseDouble(text)) : Double.NaN;
    }
}
