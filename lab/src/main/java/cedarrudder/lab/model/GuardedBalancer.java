package cedarrudder.lab.model;

import cedarrudder.balancer.BalancerSettings;
import cedarrudder.balancer.LoadBalancer;
import java.util.List;
import java.util.function.Function;

/**
 * A balancer under watch: what it throws, and what it does past the bounds, ends the run with a
 * finding. Stands between the driver and the balancer, and counts outcomes there.
 */
final class GuardedBalancer implements LoadBalancer {

    /** Leaves a balancer that does too much; the run is over. */
    private static final class Enough extends RuntimeException {
        private static final long serialVersionUID = 1;

        Enough(String what) {
            super(what, null, false, false);
        }
    }

    private final Run run;
    private final int proxy;
    private final Guard guard;
    private final Ledger.OfTier counts;
    private final long startedAt;
    private BalancerSettings settings;
    private LoadBalancer balancer;
    private long taken;
    private long actions;
    private int now;

    GuardedBalancer(Run run, int proxy, Guard guard, Ledger.OfTier counts) {
        this.run = run;
        this.proxy = proxy;
        this.guard = guard;
        this.counts = counts;
        this.startedAt = run.agenda.now();
    }

    /** Makes the balancer, with actions that are watched. */
    LoadBalancer around(
            BalancerSettings delivered, Actions hands, Function<Actions, LoadBalancer> making) {
        settings = delivered;
        try {
            balancer = making.apply(new Limited(hands));
        } catch (RuntimeException | Error fault) {
            fault(fault);
        }
        return this;
    }

    /** A request was taken. */
    void taken() {
        taken++;
    }

    private void event(Runnable event) {
        if (run.ended()) {
            return;
        }
        now = 0;
        long before = guard.timed() ? System.nanoTime() : 0;
        try {
            event.run();
        } catch (RuntimeException | Error fault) {
            fault(fault);
        }
        if (guard.timed()) {
            run.decisionNanos += System.nanoTime() - before;
        }
    }

    private void fault(Throwable fault) {
        if (fault instanceof OutOfMemoryError none) {
            throw none; // nobody can tell whose it is
        }
        if (!(fault instanceof Enough)) {
            StackTraceElement[] trace = fault.getStackTrace();
            run.end(
                    "the balancer of proxy "
                            + proxy
                            + " threw "
                            + fault
                            + (trace.length > 0 ? " at " + trace[0] : ""));
        }
    }

    // ---- events ----

    @Override
    public void onEndpoints(long at, EndpointListKind kind, List<Endpoint> entries) {
        event(() -> balancer.onEndpoints(at, kind, entries));
    }

    @Override
    public void onEndpointsUnavailable(long at) {
        event(() -> balancer.onEndpointsUnavailable(at));
    }

    @Override
    public void onRequest(long at, Request request) {
        event(() -> balancer.onRequest(at, request));
    }

    @Override
    public void onRequest(long at, Request request, AdmissionHint standing) {
        event(() -> balancer.onRequest(at, request, standing));
    }

    @Override
    public void onResponsePaused(long at, long request, int attempt) {
        event(() -> balancer.onResponsePaused(at, request, attempt));
    }

    @Override
    public void onResponseStreamed(long at, long request, int attempt) {
        event(() -> balancer.onResponseStreamed(at, request, attempt));
    }

    @Override
    public void onFirstByte(long at, long request, int attempt, long endpoint, long latency) {
        event(() -> balancer.onFirstByte(at, request, attempt, endpoint, latency));
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
        counts.outcomes[outcome.ordinal()]++;
        if (outcome != Outcome.OK) {
            run.trace.ended(at, proxy, request, attempt, outcome);
        }
        event(
                () ->
                        balancer.onAttemptEnded(
                                at, request, attempt, endpoint, outcome, latency, settled, load));
    }

    @Override
    public Outcome startDenial(long at, long request, int attempt) {
        return run.ended() ? null : balancer.startDenial(at, request, attempt);
    }

    @Override
    public void onClientLeft(long at, long request) {
        event(() -> balancer.onClientLeft(at, request));
    }

    @Override
    public void onTimer(long at, long token) {
        event(() -> balancer.onTimer(at, token));
    }

    @Override
    public void onProbeEnded(
            long at, long endpoint, Outcome outcome, long latency, LoadReport load) {
        event(() -> balancer.onProbeEnded(at, endpoint, outcome, latency, load));
    }

    @Override
    public void onLiveReplicas(long at, int live) {
        event(() -> balancer.onLiveReplicas(at, live));
    }

    @Override
    public void onZoneShares(long at, List<ZoneTrafficShare> shares) {
        event(() -> balancer.onZoneShares(at, shares));
    }

    @Override
    public void onPeerMessage(long at, int from, byte[] message) {
        event(() -> balancer.onPeerMessage(at, from, message));
    }

    /** Counts each action, and turns down those past the bounds or not allowed. */
    private final class Limited implements Actions {
        private final Actions hands;

        Limited(Actions hands) {
            this.hands = hands;
        }

        private void count() {
            actions++;
            if (++now > guard.atOnce()) {
                over("loops: over " + guard.atOnce() + " actions on one event");
            }
            double seconds = (run.agenda.now() - startedAt) / 1e9;
            if (actions > guard.free() + guard.perSecond() * seconds + guard.perRequest() * taken) {
                over("floods: " + actions + " actions for " + taken + " RPCs");
            }
        }

        private void over(String what) {
            String finding = "the balancer of proxy " + proxy + " " + what;
            run.end(finding);
            throw new Enough(finding);
        }

        private void allowed(boolean permitted, String what) {
            if (!permitted) {
                over("used " + what + ", which the scenario doesn't allow");
            }
        }

        @Override
        public void startAttempt(long request, long endpoint, long timeout) {
            count();
            hands.startAttempt(request, endpoint, timeout);
        }

        @Override
        public void reject(long request, long retryAfter) {
            count();
            hands.reject(request, retryAfter);
        }

        @Override
        public void fail(long request) {
            count();
            hands.fail(request);
        }

        @Override
        public void cancelAttempt(long request, int attempt) {
            count();
            allowed(settings.limits().cancellation(), "cancel");
            hands.cancelAttempt(request, attempt);
        }

        @Override
        public void sendProbe(long endpoint) {
            count();
            allowed(settings.limits().probing(), "probes");
            hands.sendProbe(endpoint);
        }

        @Override
        public void closeIdleConnections(long endpoint) {
            count();
            hands.closeIdleConnections(endpoint);
        }

        @Override
        public void scheduleTimer(long at, long token) {
            count();
            hands.scheduleTimer(at, token);
        }

        @Override
        public void watchEndpoints(boolean on) {
            count();
            hands.watchEndpoints(on);
        }

        @Override
        public void fetchEndpoints() {
            count();
            hands.fetchEndpoints();
        }

        @Override
        public void sendToPeers(int replica, byte[] message) {
            count();
            allowed(run.scenario.allowed().peers(), "messages between proxies");
            hands.sendToPeers(replica, message);
        }

        @Override
        public void log(String line) {
            count();
            hands.log(line);
        }
    }
}
