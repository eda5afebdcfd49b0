package cedarrudder.transport;

import cedarrudder.balancer.LoadBalancer.LoadReport;
import cedarrudder.balancer.LoadBalancer.Outcome;
import cedarrudder.budget.DownstreamFeedback;
import cedarrudder.budget.PropagatedBudget;
import cedarrudder.forwarding.RequestAttempt;
import cedarrudder.protocol.BodyRemainder;
import cedarrudder.protocol.BudgetHeaders;
import cedarrudder.protocol.HttpEncoder;
import cedarrudder.protocol.HttpMessage;
import cedarrudder.protocol.LoadReportParser;
import cedarrudder.protocol.MessageHead;
import cedarrudder.protocol.SiteSettings;
import io.netty.buffer.ByteBuf;

/** An attempt at a request, on its way to an endpoint and back. */
final class AttemptCall extends EndpointCall {

    private static final int OK_STATUS = 200;
    private static final long NANOS_PER_MILLI = 1_000_000L;

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

    /** An endpoint that was removed may have left its address to another one. */
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
    void responseStarted(HttpMessage answer) {
        pool.forwarder().responseStarted(attempt, answer, load(answer));
    }

    /** The load that an answer reports; null where it reports none. */
    private LoadReport load(HttpMessage answer) {
        return pool.reports() == SiteSettings.Reports.ANSWERS
                ? LoadReportParser.parse(answer.head().fields().get("srv-load"))
                : null;
    }

    @Override
    void onAnswer(HttpMessage answer) {
        pool.forget(attempt);
        endpoint().onAnswer();
        LoadReport load = load(answer);
        DownstreamFeedback feedback =
                attempt.propagatedBudget() == null
                        ? DownstreamFeedback.NOTHING
                        : BudgetHeaders.result(answer);
        if (answer.head().status() == OK_STATUS) {
            // Where it was streamed the exchange is over, and this only reports the end.
            pool.forwarder().served(attempt, answer, load, feedback);
        } else {
            Outcome outcome = isDeclined(answer) ? Outcome.REJECTED : Outcome.ERROR;
            pool.forwarder().attemptEnded(attempt, outcome, load, feedback);
        }
    }

    @Override
    void onFailure(Outcome outcome) {
        pool.forget(attempt);
        if (outcome != Outcome.NOT_STARTED) {
            endpoint().onFailure();
        }
        pool.forwarder().attemptEnded(attempt, outcome, null);
    }
}
