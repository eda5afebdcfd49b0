package cedarrudder.balancer;

import cedarrudder.balancer.BalancerParameters.Parameter;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Collectors;

/** {@link BalancerParameters} in writing: {@code max-age-ms=1500}. */
public final class BalancerParametersParser {

    private BalancerParametersParser() {}

    /**
     * The defaults with some parameters set, later ones over earlier ones.
     *
     * @param assignments each such as {@code probes-per-call=1}
     * @throws IllegalArgumentException when no parameter has that name, or its value is no number
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
                .filter(parameter -> parameter.writtenName().equals(name))
                .findAny()
                .orElseThrow(
                        () ->
                                new IllegalArgumentException(
                                        "no figure is named '"
                                                + name
                                                + "'; known are "
                                                + knownNames()));
    }

    private static String knownNames() {
        return Arrays.stream(Parameter.values())
                .map(Parameter::writtenName)
                .collect(Collectors.joining(", "));
    }

    /**
     * The parameters that differ from the defaults, as written, with blanks between; empty where
     * none does.
     */
    public static String differences(BalancerParameters parameters) {
        return Arrays.stream(Parameter.values())
                .filter(parameter -> parameters.get(parameter) != parameter.defaultValue())
                .map(parameter -> parameter.writtenName() + "=" + number(parameters.get(parameter)))
                .collect(Collectors.joining(" "));
    }

    static IllegalArgumentException notAllowed(Parameter parameter, Object found) {
        return new IllegalArgumentException(
                parameter.writtenName()
                        + ": found "
                        + found
                        + ", allowed is a number from "
                        + number(parameter.min())
                        + " to "
                        + number(parameter.max()));
    }

    /** A number without a fraction where it has none. */
    private static String number(double value) {
        return value == Math.rint(value) ? Long.toString((long) value) : Double.toString(value);
    }
}
