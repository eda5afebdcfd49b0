package cedarrudder.forwarding;

import cedarrudder.balancer.LoadBalancer.Outcome;
import cedarrudder.logging.Logger;
import cedarrudder.metrics.RequestMetrics.End;
import java.util.List;

/**
 * The deadlines of all requests. Each request has a separate timer, so that no answer depends on
 * the attempts or on the balancer. Not thread-safe; used on the event loop only.
 *
 * @param <Q> the content that is forwarded to an endpoint
 * @param <A> an endpoint's response
 */
final class RequestDeadlines<Q, A> {

    /**
     * The time after its deadline at which a request is ended without the balancer. The protocol
     * allows ten times as much past any site's limits, and the deadline here is earlier than the
     * client's.
     */
    private static final long OVERDUE_NANOS = 5_000_000L;

    private final RequestForwarder<Q, A> forwarder;
    private final RequestAccounting accounting;
    private final TimerService timers;
    private final Logger log;

    RequestDeadlines(
            RequestForwarder<Q, A> forwarder,
            RequestAccounting accounting,
            TimerService timers,
            Logger log) {
        this.forwarder = forwarder;
        this.accounting = accounting;
        this.timers = timers;
        this.log = log;
    }

    /** Starts the timer of a new request. */
    void start(Exchange<Q, A> exchange) {
        schedule(exchange, exchange.expiry(timers.now()));
    }

    /**
     * Restarts the timer of a request whose content is complete, the last byte of it since then.
     */
    void restartAfterUpload(Exchange<Q, A> exchange, long lastByteAt) {
        exchange.completeUpload(lastByteAt, timers.now());
        exchange.cancelDeadline();
        start(exchange);
    }

    private void schedule(Exchange<Q, A> exchange, long instant) {
        exchange.deadlineTimer(timers.at(instant, () -> expire(exchange)));
    }

    /**
     * Expires a request at the latest now, since this process is about to end and the client would
     * otherwise get no answer at all. A response that streams continues if it may do so after its
     * deadline.
     */
    void expireNow(Exchange<Q, A> exchange) {
        if (!exchange.isOver() || exchange.streamingAttempt() != null) {
            exchange.expireBy(timers.now()); // set first, so that no further attempt starts
            exchange.cancelDeadline();
            expire(exchange);
        }
    }

    /**
     * Ends the attempts in flight of a request whose deadline has passed, except one whose response
     * streams and may continue. After the last of them the balancer ends the request, since it is
     * then known whether any may have run. The deadline of a request whose content is still being
     * received may have become later.
     */
    private void expire(Exchange<Q, A> exchange) {
        if (exchange.isUploading()) {
            exchange.reply().isClientWaiting(); // reads what the client has written by now
        }
        long now = timers.now();
        if (!exchange.isOver() && !exchange.isExpired(now)) {
            schedule(exchange, exchange.expiry(now));
            return;
        }
        // Iterates over a copy, since the balancer may start another attempt after a timeout.
        for (RequestAttempt<Q, A> attempt : List.copyOf(exchange.attempts())) {
            expire(exchange, attempt);
        }
        if (!exchange.isOver()) {
            accounting.onDeadlineMissed();
            timers.at(timers.now() + OVERDUE_NANOS, () -> endOverdue(exchange));
        }
    }

    private void expire(Exchange<Q, A> exchange, RequestAttempt<Q, A> attempt) {
        if (attempt.hasEnded()) {
            return;
        }
        long now = timers.now();
        long continuesUntil = attempt.mayContinueUntil(now);
        if (continuesUntil <= now) {
            endExpired(exchange, attempt);
        } else if (continuesUntil != StreamedResponse.NO_LIMIT) {
            schedule(exchange, continuesUntil);
        }
    }

    /**
     * Ends an attempt whose streamed response ends now if that is too late for any answer: its
     * client must be able to tell it from one in time.
     *
     * @return whether the attempt was ended
     */
    boolean endIfTooLate(RequestAttempt<Q, A> attempt) {
        if (!attempt.endsTooLate(timers.now())) {
            return false;
        }
        endExpired(attempt.exchange(), attempt);
        return true;
    }

    private void endExpired(Exchange<Q, A> exchange, RequestAttempt<Q, A> attempt) {
        if (exchange.streamingAttempt() == attempt) {
            accounting.onDeadlineMissed();
            log.warn("request.response_incomplete")
                    .with("request", exchange.request().id())
                    .write();
        }
        forwarder.giveUp(attempt, Outcome.TIMEOUT);
    }

    /** Ends a request that the balancer did not end: rejects it if it is known not to have run. */
    private void endOverdue(Exchange<Q, A> exchange) {
        if (exchange.isOver()) {
            return;
        }
        log.warn("request.deadline_exceeded").with("request", exchange.request().id()).write();
        if (exchange.mayHaveRun()) {
            exchange.reply().failed();
            forwarder.endWithoutBalancer(exchange, End.FAILED);
        } else {
            exchange.reply().rejected(0);
            forwarder.endWithoutBalancer(exchange, End.REJECTED);
        }
    }
}
