package cedarrudder.protocol;

import cedarrudder.balancer.LoadBalancer.LoadReport;
import java.util.List;
import java.util.function.IntToDoubleFunction;

/** Which value of a load report stands where. */
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

    /** The report of these values, by field. */
    public LoadReport load(IntToDoubleFunction value) {
        return new LoadReport(
                of(inFlight, value),
                of(queue, value),
                of(utilisation, value),
                of(latency, value),
                of(rate, value),
                of(errors, value));
    }

    private static double of(int place, IntToDoubleFunction value) {
        return place < 0 ? Double.NaN : value.applyAsDouble(place);
    }
}
