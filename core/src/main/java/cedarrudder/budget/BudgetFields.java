package cedarrudder.budget;

import cedarrudder.budget.DownstreamFeedback.Why;
import java.util.List;

/**
 * What travels, as text: the values of the fields {@link #BUDGET} and {@link #PATH} of a call and
 * of the field {@link #RESULT} of an answer. It knows nothing of the protocol that carries them.
 *
 * <p>A value begins with its version, a whole number; keys follow, each after a semicolon. Reading
 * never fails: a value that is too long, negative, no number or out of range counts as not said, as
 * does a key that isn't known. A field without a version that can be read counts as none.
 */
public final class BudgetFields {

    /** The field with what one call may cost. */
    public static final String BUDGET = "Cedar-Budget";

    /** The field with the tiers that a call has passed. */
    public static final String PATH = "Cedar-Path";

    /** The field of an answer. */
    public static final String RESULT = "Cedar-Result";

    private static final int VERSION = 1;
    private static final int MAX_VERSION = 9_999;
    private static final int MAX_LENGTH = 700;
    private static final int MAX_PATH_LENGTH = 600;
    private static final long MAX_MILLIS = 86_400_000L;
    private static final int MAX_TRIES = 1_000;
    private static final int MAX_DIGITS = 9;
    private static final int MAX_HEX = 16;
    private static final int MAX_FRACTION = 12;
    private static final long MILLI = 1_000_000L;

    private BudgetFields() {}

    // ---- a call ----

    /** Reads what came with a call; a field that wasn't there, or was there twice, is null. */
    public static PropagatedBudget read(String budget, String path) {
        String[] keys = split(budget);
        long left = MILLI * number(value(keys, "left"), MAX_MILLIS, 0);
        int tries = (int) number(value(keys, "tries"), MAX_TRIES, -1);
        return new PropagatedBudget(
                keys != null,
                true,
                left,
                tries,
                hex(value(keys, "grant")),
                fraction(value(keys, "worth")),
                "1".equals(value(keys, "repeat")),
                readPath(path));
    }

    /**
     * A path too long to be read is full, so that what loops can't hide in it; one that is no path
     * is none.
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
        List<String> hops = List.of(text.split(",", HopPath.MAX + 1));
        return HopPath.read(hops.subList(0, Math.min(hops.size(), HopPath.MAX)));
    }

    /** The value of {@link #BUDGET} for a call. */
    public static String budget(PropagatedBudget carried) {
        return VERSION
                + ";left="
                + Math.max(1, carried.remainingNanos() / MILLI)
                + ";tries="
                + carried.attempts()
                + ";grant="
                + Long.toHexString(carried.grant())
                + ";worth="
                + thousandths(carried.priority())
                + (carried.repeat() ? ";repeat=1" : "");
    }

    /** A figure from 0 to 1 with three places, without the cost of a format. */
    private static String thousandths(double figure) {
        int thousandths = (int) Math.round(1_000 * figure);
        return thousandths / 1_000
                + "."
                + thousandths / 100 % 10
                + thousandths / 10 % 10
                + thousandths % 10;
    }

    /** The value of {@link #PATH} for a call. */
    public static String path(PropagatedBudget carried) {
        return VERSION + ";" + String.join(",", carried.path().hops());
    }

    // ---- an answer ----

    /** Reads what came with an answer; a field that wasn't there is null. */
    public static DownstreamFeedback readResult(String result) {
        String[] keys = split(result);
        if (keys == null) {
            return DownstreamFeedback.NOTHING;
        }
        String why = value(keys, "why");
        return new DownstreamFeedback(
                (int) number(value(keys, "spent"), MAX_TRIES, -1),
                Why.of(why),
                hops(value(keys, "path")));
    }

    /** The value of {@link #RESULT} for an answer. */
    public static String result(DownstreamFeedback result) {
        return VERSION
                + (result.attemptsSpent() < 0 ? "" : ";spent=" + result.attemptsSpent())
                + (result.why() == Why.UNKNOWN ? "" : ";why=" + result.why().word())
                + (result.path().hops().isEmpty()
                        ? ""
                        : ";path=" + String.join(",", result.path().hops()));
    }

    // ---- parts ----

    /** The parts of a value; null where there is none that can be read. */
    private static String[] split(String text) {
        if (text == null || text.length() > MAX_LENGTH) {
            return null;
        }
        String[] parts = text.split(";");
        return parts.length > 0 && isVersion(parts[0]) ? parts : null;
    }

    private static boolean isVersion(String text) {
        return number(text.strip(), MAX_VERSION, 0) >= VERSION;
    }

    /** The value of a key; null where it isn't there. Of two the first counts. */
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

    private static boolean digits(String text, int max) {
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

    private static long number(String text, long max, long otherwise) {
        long number = digits(text, MAX_DIGITS) ? Long.parseLong(text) : -1;
        return number < 0 || number > max ? otherwise : number;
    }

    private static long hex(String text) {
        boolean hex = text != null && !text.isEmpty() && text.length() <= MAX_HEX;
        for (int i = 0; hex && i < text.length(); i++) {
            hex = text.charAt(i) < 128 && Character.digit(text.charAt(i), 16) >= 0;
        }
        return hex ? Long.parseUnsignedLong(text, 16) : 0;
    }

    private static double fraction(String text) {
        int point = text == null ? -1 : text.indexOf('.');
        boolean decimal =
                text != null
                        && text.length() <= MAX_FRACTION
                        && (point < 0
                                ? digits(text, 1)
                                : digits(text.substring(0, point), 1)
                                        && digits(text.substring(point + 1), MAX_FRACTION));
        return decimal ? Math.min(1, Double.parseDouble(text)) : Double.NaN;
    }
}
