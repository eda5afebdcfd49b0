package cedarrudder.lab.benchmark;

import cedarrudder.balancer.LoadBalancer;
import java.util.List;

/**
 * Sends to the next node and ends nothing but what is served: the least that a balancer can do,
 * beside which the cost of decisions is seen.
 */
final class PassThroughBalancer implements LoadBalancer {

    private final Actions actions;
    private long[] nodes = {};
    private int next;

    PassThroughBalancer(Actions actions) {
        this.actions = actions;
    }

    @Override
    public void onEndpoints(long now, EndpointListKind kind, List<Endpoint> entries) {
        if (kind == EndpointListKind.FULL) {
            nodes = entries.stream().mapToLong(Endpoint::id).toArray();
        }
    }

    @Override
    public void onRequest(long now, Request request) {
        next = (next + 1) % nodes.length;
        actions.startAttempt(request.id(), nodes[next], 0);
    }

    @Override
    public void onAttemptEnded(
            long now,
            long request,
            int attempt,
            long endpoint,
            Outcome outcome,
            long latency,
            boolean settled,
            LoadReport load) {
        if (!settled) {
            actions.fail(request);
        }
    }

    @Override
    public void onEndpointsUnavailable(long now) {}

    @Override
    public void onFirstByte(long now, long request, int attempt, long endpoint, long latency) {}

    @Override
    public void onClientLeft(long now, long request) {}

    @Override
    public void onTimer(long now, long token) {}

    @Override
    public void onProbeEnded(
            long now, long endpoint, Outcome outcome, long latency, LoadReport load) {}

    @Override
    public void onPeerMessage(long now, int from, byte[] message) {}
}
