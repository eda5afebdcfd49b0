package cedarrudder.lab.benchmark;

import cedarrudder.Balancer;
import java.util.List;

/**
 * Sends to the next node and ends nothing but what is served: the least that a balancer can do,
 * beside which the cost of decisions is seen.
 */
final class NoDecision implements Balancer {

    private final Actions actions;
    private long[] nodes = {};
    private int next;

    NoDecision(Actions actions) {
        this.actions = actions;
    }

    @Override
    public void endpoints(long now, ListKind kind, List<Endpoint> entries) {
        if (kind == ListKind.FULL) {
            nodes = entries.stream().mapToLong(Endpoint::id).toArray();
        }
    }

    @Override
    public void request(long now, Request request) {
        next = (next + 1) % nodes.length;
        actions.send(request.id(), nodes[next], 0);
    }

    @Override
    public void outcome(
            long now,
            long request,
            int attempt,
            long endpoint,
            Outcome outcome,
            long latency,
            boolean settled,
            Load load) {
        if (!settled) {
            actions.fail(request);
        }
    }

    @Override
    public void endpointsFailed(long now) {}

    @Override
    public void firstByte(long now, long request, int attempt, long endpoint, long latency) {}

    @Override
    public void clientLeft(long now, long request) {}

    @Override
    public void timer(long now, long token) {}

    @Override
    public void probed(long now, long endpoint, Outcome outcome, long latency, Load load) {}

    @Override
    public void message(long now, int from, byte[] message) {}
}
