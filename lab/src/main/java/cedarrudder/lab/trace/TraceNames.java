package cedarrudder.lab.trace;

import cedarrudder.balancer.LoadBalancer.EndpointStatus;
import cedarrudder.balancer.LoadBalancer.Outcome;
import java.util.Arrays;
import java.util.function.Function;
import java.util.stream.Collectors;

/** The names that traces write for outcomes and endpoint states; they outlast the Java names. */
final class TraceNames {

    private TraceNames() {}

    static String of(Outcome outcome) {
        return switch (outcome) {
            case OK -> "OK";
            case ERROR -> "ERROR";
            case REJECTED -> "FULL";
            case TIMEOUT -> "TIMEOUT";
            case CONNECT_FAILED -> "CONNECT_FAILED";
            case RESET -> "RESET";
            case CANCELLED -> "CANCELLED";
            case NOT_STARTED -> "MOOT";
        };
    }

    static String of(EndpointStatus status) {
        return switch (status) {
            case READY -> "READY";
            case DRAINING -> "DRAINING";
            case REMOVED -> "GONE";
        };
    }

    /**
     * The outcome of a written name.
     *
     * @throws IllegalArgumentException where there is none
     */
    static Outcome outcome(String name) {
        return find(Outcome.values(), TraceNames::of, "outcome", name);
    }

    /**
     * The endpoint state of a written name.
     *
     * @throws IllegalArgumentException where there is none
     */
    static EndpointStatus status(String name) {
        return find(EndpointStatus.values(), TraceNames::of, "state", name);
    }

    private static <T> T find(T[] all, Function<T, String> nameOf, String field, String name) {
        return Arrays.stream(all)
                .filter(each -> nameOf.apply(each).equals(name))
                .findFirst()
                .orElseThrow(
                        () ->
                                new IllegalArgumentException(
                                        field
                                                + ": found "
                                                + name
                                                + "; allowed: "
                                                + Arrays.stream(all)
                                                        .map(nameOf)
                                                        .collect(Collectors.joining(", "))));
    }
}
