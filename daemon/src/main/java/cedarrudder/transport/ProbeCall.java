package cedarrudder.transport;

import cedarrudder.balancer.LoadBalancer.LoadReport;
import cedarrudder.balancer.LoadBalancer.Outcome;
import cedarrudder.forwarding.TimerService;
import cedarrudder.protocol.HttpEncoder;
import cedarrudder.protocol.HttpMessage;
import cedarrudder.protocol.LoadReportParser;
import cedarrudder.protocol.SiteSettings;
import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;

/** A probe, sent to an endpoint. */
final class ProbeCall extends EndpointCall {

    private static final String REPORT_PATH = "/_load";
    private static final String PING_PATH = "/ping";
    private static final int OK_STATUS = 200;

    private final EndpointConnectionPool pool;
    private final long endpointId;
    private final long startedAt;
    private final TimerService.Timer timeout;

    ProbeCall(EndpointConnectionPool pool, long endpointId, UpstreamEndpoint endpoint) {
        super(endpoint);
        this.pool = pool;
        this.endpointId = endpointId;
        this.startedAt = pool.loop().now();
        this.timeout = pool.loop().at(startedAt + pool.limits().probeTimeout(), this::expire);
    }

    private void expire() {
        if (!hasEnded()) {
            abandon();
            onFailure(Outcome.TIMEOUT);
        }
    }

    /**
     * Returns whether the probe may start; ends it if the endpoint was removed, since it would
     * reveal nothing about the endpoint that is listed in its place.
     */
    @Override
    boolean mayStart() {
        if (endpoint().isRemoved()) {
            notStarted();
        }
        return !hasEnded();
    }

    @Override
    ByteBuf encode() {
        boolean reports = pool.reports() != SiteSettings.Reports.NONE;
        return HttpEncoder.get(
                pool.loop().buffers(),
                reports ? REPORT_PATH : PING_PATH,
                endpoint().address().getAddress().getHostAddress());
    }

    @Override
    void onAnswer(HttpMessage answer) {
        if (endpoint().isRemoved()) {
            onFailure(Outcome.CANCELLED); // the report applies to no listed endpoint
            return;
        }
        timeout.cancel();
        endpoint().onAnswer();
        if (answer.head().status() == OK_STATUS) {
            String text = new String(answer.body(), StandardCharsets.UTF_8);
            report(Outcome.OK, LoadReportParser.parse(text));
        } else {
            report(isDeclined(answer) ? Outcome.REJECTED : Outcome.ERROR, null);
        }
    }

    @Override
    void onFailure(Outcome outcome) {
        timeout.cancel();
        report(outcome, null);
    }

    private void report(Outcome outcome, LoadReport load) {
        long latency = pool.loop().now() - startedAt;
        pool.forwarder().probeEnded(endpointId, outcome, latency, load);
    }
}
