package cedarrudder.protocol;

import cedarrudder.balancer.LoadBalancer.LoadReport;
import java.util.HashMap;
import java.util.Map;
import java.util.StringTokenizer;

/** Parser for load reports as endpoints write them: {@code TEXT inflight=7, queue=2, util=0.61}. */
public final class LoadReportParser {

    /** Limit on any reported figure; no endpoint has more of anything. */
    private static final double MAX_FIGURE = 1e6;

    private LoadReportParser() {}

    /**
     * Parses a report; returns null for a null text or one without a readable figure. A figure that
     * can't be read counts as not reported.
     */
    public static LoadReport parse(String text) {
        if (text == null) {
            return null;
        }
        Map<String, Double> figures = new HashMap<>();
        StringTokenizer parts = new StringTokenizer(text, ", \t\r\n");
        while (parts.hasMoreTokens()) {
            String part = parts.nextToken();
            int equals = part.indexOf('='); // the word TEXT before the figures contains none
            if (equals > 0) {
                try {
                    double figure = Double.parseDouble(part.substring(equals + 1));
                    // An absurd figure would outweigh the reports of all other endpoints.
                    if (figure >= 0 && figure <= MAX_FIGURE) {
                        figures.put(part.substring(0, equals), figure);
                    }
                } catch (NumberFormatException e) {
                    // a figure that can't be read counts as not reported
                }
            }
        }
        return figures.isEmpty()
                ? null
                : new LoadReport(
                        figure(figures, "inflight"),
                        figure(figures, "queue"),
                        figure(figures, "util"),
                        figure(figures, "latency_ms"),
                        figure(figures, "qps"),
                        figure(figures, "eps"));
    }

    private static double figure(Map<String, Double> figures, String name) {
        return figures.getOrDefault(name, Double.NaN);
    }
}
