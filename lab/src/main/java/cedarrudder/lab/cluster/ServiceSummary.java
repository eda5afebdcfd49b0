package cedarrudder.lab.cluster;

import cedarrudder.lab.checker.HistoryEvent;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What clients got, and how long removals took.
 *
 * @param refused answers that say that a repeat does no harm
 * @param failed other answers than a node's, and connections that broke
 * @param late answers that came later than {@link #GOAL}
 * @param removals that were done
 * @param removalSeconds all of them together
 */
public record ServiceSummary(
        long refused, long failed, long late, long removals, double removalSeconds) {

    /** The time that the site's first class of requests is to be answered in, in nanoseconds. */
    private static final long GOAL = 300_000_000L;

    private static final double SECOND = 1e9;

    static ServiceSummary of(List<HistoryEvent> events) {
        Map<String, Long> askedAt = new HashMap<>();
        long refused = 0;
        long failed = 0;
        long late = 0;
        long removals = 0;
        long took = 0;
        for (HistoryEvent event : events) {
            switch (event.what()) {
                case "asked" -> askedAt.put(event.text("rpc"), event.at());
                case "broke" -> failed++;
                case "answered" -> {
                    String status = event.text("status");
                    refused += status.equals("503") || status.equals("429") ? 1 : 0;
                    failed +=
                            status.equals("503") || status.equals("429") || status.equals("200")
                                    ? 0
                                    : 1;
                    late +=
                            event.at() - askedAt.getOrDefault(event.text("rpc"), event.at()) > GOAL
                                    ? 1
                                    : 0;
                }
                case "removed" -> {
                    removals++;
                    took += event.number("took");
                }
                default -> {}
            }
        }
        return new ServiceSummary(refused, failed, late, removals, took / SECOND);
    }
}
