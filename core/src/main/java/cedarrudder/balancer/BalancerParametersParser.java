package cedarrudder.balancer;

import cedarrudder.balancer.BalancerParameters.Parameter;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Collectors;

/** The figures of a {@link BalancerParameters} in writing: {@code max-age-ms=1500}. */
public final class BalancerParametersParser {

    private BalancerParametersParser() {}

    /** The name of a figure as written: small letters and hyphens. */
    public static String name(Parameter figure) {
        return figure.writtenName;
    }

    /**
     * The defaults with some figures set, later ones over earlier ones.
     *
     * @param assignments each such as {@code probes-per-call=1}
     * @throws IllegalArgumentException when no figure has that name, or its value is no number in
     *     its range; the message tells what was found and what is allowed
     */
    public static BalancerParameters read(List<String> assignments) {
        BalancerParameters tuning = BalancerParameters.DEFAULTS;
        for (String assignment : assignments) {
            tuning = set(tuning, assignment);
        }
        return tuning;
    }

    private static BalancerParameters set(BalancerParameters tuning, String assignment) {
        int equals = assignment.indexOf('=');
        String name = equals < 0 ? assignment : assignment.substring(0, equals);
        Parameter figure =
                Arrays.stream(Parameter.values())
                        .filter(f -> name(f).equals(name))
                        .findAny()
                        .orElseThrow(
                                () ->
                                        new IllegalArgumentException(
                                                "no figure is named '"
                                                        + name
                                                        + "'; known are "
                                                        + Arrays.stream(Parameter.values())
                                                                .map(BalancerParametersParser::name)
                                                                .collect(
                                                                        Collectors.joining(", "))));
        String value = equals < 0 ? "" : assignment.substring(equals + 1);
        try {
            return tuning.with(figure, Double.parseDouble(value));
        } catch (NumberFormatException e) {
            throw notAllowed(figure, "'" + value + "'");
        }
    }

    /**
     * The figures that differ from the defaults, as written, with blanks between; empty where none
     * does.
     */
    public static String differences(BalancerParameters tuning) {
        return Arrays.stream(Parameter.values())
                .filter(f -> tuning.get(f) != f.standard)
                .map(f -> name(f) + "=" + number(tuning.get(f)))
                .collect(Collectors.joining(" "));
    }

    static IllegalArgumentException notAllowed(Parameter figure, Object found) {
        return new IllegalArgumentException(
                name(figure)
                        + ": found "
                        + found
                        + ", allowed is a number from "
                        + number(figure.min)
                        + " to "
                        + number(figure.max));
    }

    /** Without a fraction where it has none. */
    private static String number(double value) {
        return value == Math.rint(value) ? Long.toString((long) value) : Double.toString(value);
    }
}
