package cedarrudder.forwarding;

import cedarrudder.balancer.LoadBalancer.Endpoint;
import cedarrudder.balancer.LoadBalancer.EndpointListKind;
import cedarrudder.balancer.LoadBalancer.LoadReport;
import cedarrudder.balancer.LoadBalancer.Outcome;
import cedarrudder.failover.ZoneTrafficCounter;
import cedarrudder.metrics.RequestMetrics;
import cedarrudder.metrics.RequestMetrics.End;
import cedarrudder.metrics.Violation;
import java.util.List;

/** Counts requests and attempts, for the metrics and by zone; either may be absent. */
final class RequestAccounting {

    /** The zone of an attempt that is not counted by zone. */
    static final int NO_ZONE = -1;

    private final RequestMetrics metrics;
    private ZoneTrafficCounter zones;

    /**
     * Creates an accounting that does not count by zone.
     *
     * @param metrics null if requests are not counted
     */
    RequestAccounting(RequestMetrics metrics) {
        this.metrics = metrics;
    }

    void countByZone(ZoneTrafficCounter counter) {
        zones = counter;
    }

    void onAccepted(Exchange<?, ?> exchange) {
        if (metrics != null) {
            metrics.onAccepted(exchange.request().classIndex());
        }
        if (zones != null) {
            zones.onRequest();
        }
    }

    void onEnded(Exchange<?, ?> exchange, End end) {
        if (metrics != null) {
            metrics.onEnded(exchange.request().classIndex(), end);
        }
        if (zones != null && (end == End.REJECTED || end == End.FAILED)) {
            zones.onUnserved();
        }
    }

    void onViolation(Violation violation, int requests) {
        if (metrics != null) {
            metrics.onViolation(violation, requests);
        }
    }

    void onDeadlineMissed() {
        if (metrics != null) {
            metrics.onDeadlineMissed();
        }
    }

    /** Counts an attempt to an endpoint and returns the zone that it is counted for. */
    int onAttemptSent(long now, long endpoint) {
        return zones == null ? NO_ZONE : zones.onAttemptSent(now, endpoint);
    }

    void onAttemptEnded(long now, RequestAttempt<?, ?> attempt, Outcome outcome, LoadReport load) {
        if (zones != null) {
            zones.onAttemptEnded(now, attempt.zone(), outcome, load);
        }
    }

    void onProbeEnded(long now, long endpoint, Outcome outcome, LoadReport load) {
        if (zones != null) {
            zones.onProbeEnded(now, endpoint, outcome, load);
        }
    }

    void onEndpoints(EndpointListKind kind, List<Endpoint> entries) {
        if (zones != null) {
            zones.onEndpoints(kind, entries);
        }
    }
}
