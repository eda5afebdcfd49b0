package cedarrudder.transport;

import cedarrudder.balancer.LoadBalancer.LoadReport;
import cedarrudder.balancer.LoadBalancer.Outcome;
import cedarrudder.budget.DownstreamFeedback;
import cedarrudder.budget.PropagatedBudget;
import cedarrudder.forwarding.RequestAttempt;
import cedarrudder.forwarding.StreamedResponse;
import cedarrudder.protocol.BodyRemainder;
import cedarrudder.protocol.BudgetHeaders;
import cedarrudder.protocol.HttpEncoder;
import cedarrudder.protocol.HttpMessage;
import cedarrudder.protocol.LoadReportParser;
import cedarrudder.protocol.MessageHead;
import cedarrudder.protocol.SiteSettings;
import io.netty.buffer.ByteBuf;

/** An attempt at a request, sent to an endpoint. */
final class AttemptCall extends EndpointCall {

    private static final int OK_STATUS = 200;
    private static final long NANOS_PER_MILLI = 1_000_000L;

    /**
     * The maximum time for which the first bytes of a response that may be a long one are held back
     * in favour of a second attempt.
     */
    private static final long MAX_HOLD_NANOS = 600_000_000L;

    /** The first bytes of a long response are due at the deadline. */
    private static final long PASS_ON_BEFORE_DEADLINE_NANOS = 50_000_000L;

    /** By how much a later attempt waits longer than the one before, whose rest is due first. */
    private static final long PASS_ON_SPACING_NANOS = 15_000_000L;

    private final EndpointConnectionPool pool;
    private final RequestAttempt<HttpMessage, HttpMessage> attempt;

    AttemptCall(
            EndpointConnectionPool pool,
            RequestAttempt<HttpMessage, HttpMessage> attempt,
            UpstreamEndpoint endpoint) {
        super(endpoint);
        this.pool = pool;
        this.attempt = attempt;
    }

    @Override
    long requestNumber() {
        return attempt.exchange().request().id();
    }

    /**
     * Returns whether the attempt may start; fails it if the endpoint was removed, since its
     * address may belong to another endpoint now.
     */
    @Override
    boolean mayStart() {
        if (endpoint().isRemoved()) {
            connectionFailed();
        }
        return !hasEnded() && pool.forwarder().mayStart(attempt);
    }

    @Override
    ByteBuf encode() {
        long now = pool.loop().now();
        PropagatedBudget budget = attempt.propagatedBudget();
        return HttpEncoder.request(
                pool.loop().buffers(),
                attempt.exchange().content(),
                Math.max(1, attempt.exchange().remainingNanos(now) / NANOS_PER_MILLI),
                budget == null ? null : budget.after(now - attempt.startedAt()));
    }

    @Override
    void writeComplete() {
        super.writeComplete();
        attempt.writeComplete(pool.loop().now());
        pool.metrics().onForwarded(attempt.exchange().request().classIndex());
    }

    @Override
    BodyRemainder rest() {
        return attempt.exchange().content().rest();
    }

    @Override
    void discardContent() {
        attempt.exchange().discardContent();
    }

    @Override
    boolean mayStream(MessageHead head) {
        return head.status() == OK_STATUS;
    }

    @Override
    long passOnBy(long begunAt) {
        long expiry = attempt.exchange().expiry(pool.loop().now());
        long beforeDeadline =
                PASS_ON_BEFORE_DEADLINE_NANOS - attempt.number() * PASS_ON_SPACING_NANOS;
        return Math.min(begunAt + MAX_HOLD_NANOS, expiry - Math.max(0, beforeDeadline));
    }

    @Override
    void responsePaused() {
        pool.forwarder().responsePaused(attempt);
    }

    @Override
    void responseStarted(HttpMessage answer, StreamedResponse response) {
        pool.forwarder().responseStarted(attempt, answer, load(answer), response);
    }

    @Override
    boolean mayComplete() {
        return pool.forwarder().mayComplete(attempt);
    }

    /** Returns the load that a response reports; null if it reports none. */
    private LoadReport load(HttpMessage answer) {
        return pool.reports() == SiteSettings.Reports.ANSWERS
                ? LoadReportParser.parse(answer.head().fields().get("srv-load"))
                : null;
    }

    @Override
    void onAnswer(HttpMessage answer) {
        pool.onAttemptEnded(attempt);
        endpoint().onAnswer();
        LoadReport load = load(answer);
        DownstreamFeedback feedback =
                attempt.propagatedBudget() == null
                        ? DownstreamFeedback.NOTHING
                        : BudgetHeaders.result(answer);
        if (answer.head().status() == OK_STATUS) {
            // If the response was streamed, the exchange has ended, and this only reports the
            // end.
            pool.forwarder().served(attempt, answer, load, feedback);
        } else {
            Outcome outcome = isDeclined(answer) ? Outcome.REJECTED : Outcome.ERROR;
            pool.forwarder().attemptEnded(attempt, outcome, load, feedback);
        }
    }

    @Override
    void onFailure(Outcome outcome) {
        pool.onAttemptEnded(attempt);
        if (outcome != Outcome.NOT_STARTED) {
            endpoint().onFailure();
        }
        pool.forwarder().attemptEnded(attempt, outcome, null);
    }
}
