package cedarrudder.forwarding;

import cedarrudder.balancer.LoadBalancer.Outcome;
import cedarrudder.logging.Logger;
import cedarrudder.metrics.RequestMetrics.End;
import cedarrudder.metrics.Violation;

/**
 * Logs what happens to each request and why, so that a refusal, a retry or a cut-off response can
 * be explained afterwards. Most events are logged only at the level for finding faults.
 */
final class RequestLog {

    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final TimerService clock;
    private final Logger log;

    RequestLog(TimerService clock, Logger log) {
        this.clock = clock;
        this.log = log;
    }

    void attemptStarted(RequestAttempt<?, ?> attempt) {
        log.debug("attempt.started")
                .with("request", attempt.exchange().request().id())
                .with("attempt", attempt.number())
                .with("endpoint", attempt.endpoint())
                .with("left_ms", attempt.exchange().remainingNanos(clock.now()) / NANOS_PER_MILLI)
                .write();
    }

    void attemptDenied(RequestAttempt<?, ?> attempt, StartDenial denial) {
        log.debug("attempt.denied")
                .with("request", attempt.exchange().request().id())
                .with("attempt", attempt.number())
                .with("endpoint", attempt.endpoint())
                .with("why", denial.reason())
                .write();
    }

    void responsePaused(RequestAttempt<?, ?> attempt) {
        log.debug("attempt.response_paused")
                .with("request", attempt.exchange().request().id())
                .with("attempt", attempt.number())
                .with("endpoint", attempt.endpoint())
                .write();
    }

    void attemptEnded(RequestAttempt<?, ?> attempt, Outcome outcome, long latencyNanos) {
        log.debug("attempt.ended")
                .with("request", attempt.exchange().request().id())
                .with("attempt", attempt.number())
                .with("endpoint", attempt.endpoint())
                .with("outcome", outcome)
                .with("ms", latencyNanos / NANOS_PER_MILLI)
                .write();
    }

    /** Logs the end of a request, with what tells the reasons of a refusal apart. */
    void requestEnded(Exchange<?, ?> exchange, End end) {
        log.debug("request.ended")
                .with("request", exchange.request().id())
                .with("outcome", end)
                .with("attempts", exchange.attempts().size())
                .with("left_ms", exchange.remainingNanos(clock.now()) / NANOS_PER_MILLI)
                .write();
    }

    void violated(Violation violation, int requests) {
        log.warn("invariant.violated")
                .with("violation", violation)
                .with("requests", requests)
                .write();
    }

    void repeatDenied(Exchange<?, ?> exchange) {
        log.warn("request.repeat_denied").with("request", exchange.request().id()).write();
    }
}
