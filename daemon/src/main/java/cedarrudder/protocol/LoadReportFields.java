package cedarrudder.protocol;

import cedarrudder.balancer.LoadBalancer.LoadReport;
import java.util.List;
import java.util.function.IntToDoubleFunction;

/** The index of each value in a load report; -1 for a value that is not reported. */
public record LoadReportFields(
        int inFlight, int queue, int utilisation, int latency, int rate, int errors) {

    LoadReportFields(List<String> names) {
        this(
                names.indexOf("inflight"),
                names.indexOf("queue"),
                names.indexOf("util"),
                names.indexOf("latency_ms"),
                names.indexOf("qps"),
                names.indexOf("eps"));
    }

    /** Returns the load report with these values, which the function returns by index. */
    public LoadReport load(IntToDoubleFunction value) {
        return new LoadReport(
                of(inFlight, value),
                of(queue, value),
                of(utilisation, value),
                of(latency, value),
                of(rate, value),
                of(errors, value));
    }

    private static double of(int index, IntToDoubleFunction value) {
        return index < 0 ? Double.NaN : value.applyAsDouble(index);
    }
}
