package cedarrudder.lab.load;

import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Requests a second over time: parts that follow one another, each even or a ramp.
 *
 * @param parts at least one
 */
public record Rate(List<Part> parts) {

    private static final double MAX_PER_SECOND = 1_000_000;
    private static final double MAX_SECONDS = 86_400;
    private static final Pattern PART =
            Pattern.compile("(\\d+(?:\\.\\d+)?)(?::(\\d+(?:\\.\\d+)?))?@(\\d+(?:\\.\\d+)?)");

    /** From one rate evenly to another; rates in requests a second, a time in seconds. */
    public record Part(double from, double to, double seconds) {

        /** Requests that are to leave in the first this many seconds of it. */
        double sent(double after) {
            return from * after + (to - from) * after * after / (2 * seconds);
        }

        /** The time after which this many have left; no less than 0 and no more than its length. */
        double after(double count) {
            double slope = (to - from) / seconds;
            // The root of slope/2 t^2 + from t = count, in the form that doesn't cancel.
            double root = Math.sqrt(Math.max(0, from * from + 2 * slope * count));
            return root + from == 0 ? seconds : Math.min(seconds, 2 * count / (from + root));
        }
    }

    /**
     * Reads {@code 100:400@10,400@20}: from 100 to 400 a second over 10 s, then 400 a second for 20
     * s.
     */
    public static Rate parse(String text) {
        List<Part> parts = new ArrayList<>();
        for (String each : text.split(",", -1)) {
            Matcher found = PART.matcher(each.strip());
            if (!found.matches()) {
                throw wrong(each, "RATE@SECONDS or FROM:TO@SECONDS");
            }
            double from = Double.parseDouble(found.group(1));
            double to = found.group(2) == null ? from : Double.parseDouble(found.group(2));
            double seconds = Double.parseDouble(found.group(3));
            if (Math.max(from, to) > MAX_PER_SECOND || Math.max(from, to) == 0) {
                throw wrong(
                        each, "a rate over 0, and at most " + (long) MAX_PER_SECOND + " a second");
            }
            if (seconds <= 0 || seconds > MAX_SECONDS) {
                throw wrong(each, "a time over 0, and at most " + (long) MAX_SECONDS + " s");
            }
            parts.add(new Part(from, to, seconds));
        }
        return new Rate(List.copyOf(parts));
    }

    private static IllegalArgumentException wrong(String found, String allowed) {
        return new IllegalArgumentException("found \"" + found + "\"; allowed: " + allowed);
    }

    /** How long it lasts, in seconds. */
    public double seconds() {
        return parts.stream().mapToDouble(Part::seconds).sum();
    }
}
