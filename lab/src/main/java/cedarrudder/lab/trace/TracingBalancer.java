package cedarrudder.lab.trace;

import cedarrudder.balancer.BalancerSettings;
import cedarrudder.balancer.BalancerSettings.RequestClass;
import cedarrudder.balancer.LoadBalancer;
import cedarrudder.lab.trace.Trace.Final;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.function.IntSupplier;
import java.util.function.LongToDoubleFunction;

/**
 * Stands between a balancer and whatever feeds it, passes everything on, and writes down what went
 * by. So a run is judged by what its balancers did, even where a driver around them mends it: an
 * request that a balancer loses is lost, though the driver answers for it in the end.
 *
 * <p>It writes the events of one proxy that the balancer takes part in. That proxies start and die,
 * what reaches nodes and how these start and end is for the one who plays the nodes to write.
 */
public final class TracingBalancer implements LoadBalancer {

    /** What is known of a request that is open or has attempts out. */
    private static final class Open {
        int attempts;
        int out;
        boolean over;
    }

    private final Trace trace;
    private final IntSupplier proxy;
    private final List<RequestClass> classes;
    private final LongToDoubleFunction work;
    private final LoadBalancer balancer;
    private final Map<Long, Open> requests = new HashMap<>();
    private long now;

    /**
     * Makes a balancer and stands before it.
     *
     * @param proxy the number of the proxy in the trace; asked for with each event, and not before
     *     the first
     * @param work the work of a request, by its id, on a core of speed 1 at the tier of this
     *     balancer
     * @param actions carries out what the balancer does
     * @param make makes the balancer, given the actions that it is to use
     */
    public TracingBalancer(
            Trace trace,
            IntSupplier proxy,
            BalancerSettings settings,
            LongToDoubleFunction work,
            Actions actions,
            Function<Actions, LoadBalancer> make) {
        this.trace = trace;
        this.proxy = proxy;
        this.classes = settings.classes();
        this.work = work;
        this.balancer = make.apply(new Hands(actions));
    }

    @Override
    public void onEndpoints(long at, EndpointListKind kind, List<Endpoint> entries) {
        now = at;
        if (kind != EndpointListKind.DELTA) {
            trace.toldWhole(at, proxy.getAsInt());
        }
        for (Endpoint entry : entries) {
            trace.told(
                    at,
                    proxy.getAsInt(),
                    entry.id(),
                    entry.cell(),
                    entry.zone(),
                    entry.status(),
                    entry.startedAt());
        }
        balancer.onEndpoints(at, kind, entries);
    }

    @Override
    public void onEndpointsUnavailable(long at) {
        now = at;
        balancer.onEndpointsUnavailable(at);
    }

    @Override
    public void onRequest(long at, Request request) {
        taken(at, request);
        balancer.onRequest(at, request);
    }

    @Override
    public void onRequest(long at, Request request, AdmissionHint standing) {
        taken(at, request);
        balancer.onRequest(at, request, standing);
    }

    private void taken(long at, Request request) {
        now = at;
        requests.put(request.id(), new Open());
        RequestClass kind = classes.get(request.classIndex());
        trace.taken(
                at,
                proxy.getAsInt(),
                request.id(),
                kind.idempotency(),
                kind.keyScope(),
                kind.keyWindowNanos(),
                request.deadline());
    }

    @Override
    public void onResponsePaused(long at, long request, int attempt) {
        now = at;
        balancer.onResponsePaused(at, request, attempt);
    }

    @Override
    public void onResponseStreamed(long at, long request, int attempt) {
        now = at;
        balancer.onResponseStreamed(at, request, attempt);
    }

    @Override
    public void onFirstByte(long at, long request, int attempt, long endpoint, long latency) {
        now = at;
        balancer.onFirstByte(at, request, attempt, endpoint, latency);
    }

    @Override
    public void onAttemptEnded(
            long at,
            long request,
            int attempt,
            long endpoint,
            Outcome outcome,
            long latency,
            boolean settled,
            LoadReport load) {
        now = at;
        trace.ended(at, proxy.getAsInt(), request, attempt, outcome);
        Open open = requests.get(request);
        if (open != null) {
            open.out--;
            if (outcome == Outcome.OK && settled && !open.over) {
                trace.answered(at, proxy.getAsInt(), request, Final.SERVED, attempt);
                open.over = true;
            }
            forgetIfDone(request, open);
        }
        balancer.onAttemptEnded(at, request, attempt, endpoint, outcome, latency, settled, load);
    }

    @Override
    public Outcome startDenial(long at, long request, int attempt) {
        return balancer.startDenial(at, request, attempt);
    }

    @Override
    public void onClientLeft(long at, long request) {
        now = at;
        trace.callerLeft(at, proxy.getAsInt(), request);
        end(request);
        balancer.onClientLeft(at, request);
    }

    @Override
    public void onTimer(long at, long token) {
        now = at;
        balancer.onTimer(at, token);
    }

    @Override
    public void onProbeEnded(
            long at, long endpoint, Outcome outcome, long latency, LoadReport load) {
        now = at;
        balancer.onProbeEnded(at, endpoint, outcome, latency, load);
    }

    @Override
    public void onLiveReplicas(long at, int live) {
        now = at;
        balancer.onLiveReplicas(at, live);
    }

    @Override
    public void onZoneShares(long at, List<ZoneTrafficShare> shares) {
        now = at;
        balancer.onZoneShares(at, shares);
    }

    @Override
    public void onPeerMessage(long at, int from, byte[] message) {
        now = at;
        balancer.onPeerMessage(at, from, message);
    }

    private void end(long request) {
        Open open = requests.get(request);
        if (open != null) {
            open.over = true;
            forgetIfDone(request, open);
        }
    }

    private void forgetIfDone(long request, Open open) {
        if (open.over && open.out == 0) {
            requests.remove(request);
        }
    }

    /** Writes down what the balancer does, and passes it on. */
    private final class Hands implements Actions {
        private final Actions to;

        Hands(Actions to) {
            this.to = to;
        }

        @Override
        public void startAttempt(long request, long endpoint, long timeout) {
            Open open = requests.get(request);
            int attempt = 0;
            if (open != null) {
                attempt = open.attempts++;
                open.out++;
            }
            trace.sent(
                    now, proxy.getAsInt(), request, attempt, endpoint, work.applyAsDouble(request));
            to.startAttempt(request, endpoint, timeout);
        }

        @Override
        public void reject(long request, long retryAfter) {
            trace.answered(now, proxy.getAsInt(), request, Final.REFUSED, -1);
            end(request);
            to.reject(request, retryAfter);
        }

        @Override
        public void fail(long request) {
            trace.answered(now, proxy.getAsInt(), request, Final.FAILED, -1);
            end(request);
            to.fail(request);
        }

        @Override
        public void cancelAttempt(long request, int attempt) {
            to.cancelAttempt(request, attempt);
        }

        @Override
        public void sendProbe(long endpoint) {
            to.sendProbe(endpoint);
        }

        @Override
        public void closeIdleConnections(long endpoint) {
            to.closeIdleConnections(endpoint);
        }

        @Override
        public void scheduleTimer(long at, long token) {
            to.scheduleTimer(at, token);
        }

        @Override
        public void watchEndpoints(boolean on) {
            to.watchEndpoints(on);
        }

        @Override
        public void fetchEndpoints() {
            to.fetchEndpoints();
        }

        @Override
        public void sendToPeers(int replica, byte[] message) {
            to.sendToPeers(replica, message);
        }

        @Override
        public void log(String line) {
            to.log(line);
        }
    }
}
