package cedarrudder.balancer;

import cedarrudder.balancer.BalancerParameters.Parameter;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Collectors;

/** Reads and writes {@link BalancerParameters} as text, such as {@code max-age-ms=1500}. */
public final class BalancerParametersParser {

    private BalancerParametersParser() {}

    /**
     * Returns the defaults with some parameters set; later assignments override earlier ones.
     *
     * @param assignments each such as {@code probes-per-call=1}
     * @throws IllegalArgumentException if no parameter has that name, or its value is not a number
     *     in its range; the message says what was found and what is allowed
     */
    public static BalancerParameters parse(List<String> assignments) {
        BalancerParameters parameters = BalancerParameters.DEFAULTS;
        for (String assignment : assignments) {
            parameters = set(parameters, assignment);
        }
        return parameters;
    }

    private static BalancerParameters set(BalancerParameters parameters, String assignment) {
        int equals = assignment.indexOf('=');
        String name = equals < 0 ? assignment : assignment.substring(0, equals);
        String value = equals < 0 ? "" : assignment.substring(equals + 1);
        Parameter parameter = parameter(name);
        try {
            return parameters.with(parameter, Double.parseDouble(value));
        } catch (NumberFormatException e) {
            throw notAllowed(parameter, "'" + value + "'");
        }
    }

    private static Parameter parameter(String name) {
        return Arrays.stream(Parameter.values())
                .filter(parameter -> parameter.settingName().equals(name))
                .findAny()
                .orElseThrow(
                        () ->
                                new IllegalArgumentException(
                                        "unknown parameter '"
                                                + name
                                                + "'; known are "
                                                + knownNames()));
    }

    private static String knownNames() {
        return Arrays.stream(Parameter.values())
                .map(Parameter::settingName)
                .collect(Collectors.joining(", "));
    }

    /**
     * Returns the parameters that differ from the defaults, as assignments separated by blanks;
     * empty if none differs.
     */
    public static String differences(BalancerParameters parameters) {
        return Arrays.stream(Parameter.values())
                .filter(parameter -> parameters.get(parameter) != parameter.defaultValue())
                .map(parameter -> parameter.settingName() + "=" + number(parameters.get(parameter)))
                .collect(Collectors.joining(" "));
    }

    static IllegalArgumentException notAllowed(Parameter parameter, Object found) {
        return new IllegalArgumentException(
                parameter.settingName()
                        + ": found "
                        + found
                        + ", allowed is a number from "
                        + number(parameter.min())
                        + " to "
                        + number(parameter.max()));
    }

    /** Formats a number, without a fraction if it is an integer. */
    private static String number(double value) {
        return value == Math.rint(value) ? Long.toString((long) value) : Double.toString(value);
    }
}
