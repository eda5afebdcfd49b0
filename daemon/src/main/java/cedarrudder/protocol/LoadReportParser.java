package cedarrudder.protocol;

import cedarrudder.balancer.LoadBalancer.LoadReport;
import java.util.HashMap;
import java.util.Map;
import java.util.StringTokenizer;

/** Load reports as endpoints write them: {@code TEXT inflight=7, queue=2, util=0.61}. */
public final class LoadReportParser {

    /** No endpoint has more of anything. */
    private static final double MAX = 1e6;

    private LoadReportParser() {}

    /**
     * Reads a report; null where there is none. Figures that can't be read count as not reported.
     */
    public static LoadReport parse(String text) {
        if (text == null) {
            return null;
        }
        Map<String, Double> figures = new HashMap<>();
        StringTokenizer parts = new StringTokenizer(text, ", \t\r\n");
        while (parts.hasMoreTokens()) {
            String part = parts.nextToken();
            int equals = part.indexOf('='); // the word TEXT before the figures has none
            if (equals > 0) {
                try {
                    double figure = Double.parseDouble(part.substring(equals + 1));
                    // This avoids nonsense that is a number: it would outweigh all other endpoints'
                    // reports.
                    if (figure >= 0 && figure <= MAX) {
                        figures.put(part.substring(0, equals), figure);
                    }
                } catch (NumberFormatException e) {
                    // a figure that can't be read is one that was not reported
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
