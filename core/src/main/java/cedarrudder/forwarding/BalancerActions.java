package cedarrudder.forwarding;

import cedarrudder.balancer.LoadBalancer;
import cedarrudder.balancer.LoadBalancer.Outcome;
import cedarrudder.budget.Budgets;
import cedarrudder.logging.Logger;
import cedarrudder.metrics.RequestMetrics.End;

/** Carries out the balancer's actions. */
final class BalancerActions<Q, A> implements LoadBalancer.Actions {

    private final RequestForwarder<Q, A> forwarder;
    private final RequestAccounting accounting;
    private final Budgets budgets;
    private final ZoneShareLease zoneShares;
    private final TimerService timers;
    private final Logger log;
    private AttemptTransport<Q, A> transport;
    private EndpointDiscovery discovery;
    private PeerTransport peers;

    /**
     * Creates actions whose wiring {@link #attach} completes.
     *
     * @param forwarder owns the requests
     * @param budgets null if attempts carry no budget
     */
    BalancerActions(
            RequestForwarder<Q, A> forwarder,
            RequestAccounting accounting,
            Budgets budgets,
            ZoneShareLease zoneShares,
            TimerService timers,
            Logger log) {
        this.forwarder = forwarder;
        this.accounting = accounting;
        this.budgets = budgets;
        this.zoneShares = zoneShares;
        this.timers = timers;
        this.log = log;
    }

    /** Sets the transports; called once, before the first event. */
    void attach(
            AttemptTransport<Q, A> attemptTransport,
            EndpointDiscovery endpointDiscovery,
            PeerTransport peerTransport) {
        transport = attemptTransport;
        discovery = endpointDiscovery;
        peers = peerTransport;
    }

    @Override
    public void startAttempt(long requestId, long endpoint, long timeout) {
        Exchange<Q, A> exchange = forwarder.exchange(requestId);
        if (exchange == null) {
            log.warn("balancer.attempt_dropped").with("request", requestId).write();
            return;
        }
        long now = timers.now();
        int zone = accounting.onAttemptSent(now, endpoint);
        RequestAttempt<Q, A> attempt = exchange.newAttempt(endpoint, now, zone);
        Outcome refusal = forwarder.refusal(attempt, now);
        if (refusal != null) {
            forwarder.attemptEnded(attempt, refusal, null);
            return;
        }
        if (budgets != null) {
            attempt.propagate(budgets.propagate(now, exchange.budget()));
        }
        zoneShares.recordUse();
        if (timeout != 0) {
            timers.at(now + timeout, () -> forwarder.giveUp(attempt, Outcome.TIMEOUT));
        }
        transport.startAttempt(attempt);
    }

    @Override
    public void reject(long requestId, long retryAfter) {
        Exchange<Q, A> exchange = finish(requestId, End.REJECTED);
        if (exchange != null) {
            exchange.feedback(budgets == null ? null : exchange.budget().rejectedFeedback());
            exchange.reply().rejected(retryAfter);
        }
    }

    @Override
    public void fail(long requestId) {
        Exchange<Q, A> exchange = finish(requestId, End.FAILED);
        if (exchange != null) {
            exchange.feedback(budgets == null ? null : exchange.budget().failedFeedback());
            exchange.reply().failed();
        }
    }

    /** Ends a request and returns its exchange; null if it had ended already. */
    private Exchange<Q, A> finish(long requestId, End end) {
        Exchange<Q, A> exchange = forwarder.exchange(requestId);
        if (exchange == null || exchange.isOver()) {
            return null;
        }
        forwarder.endAndForget(exchange, end);
        return exchange;
    }

    @Override
    public void cancelAttempt(long requestId, int attempt) {
        Exchange<Q, A> exchange = forwarder.exchange(requestId);
        if (exchange != null && attempt < exchange.attempts().size()) {
            forwarder.giveUp(exchange.attempts().get(attempt), Outcome.CANCELLED);
        }
    }

    @Override
    public void sendProbe(long endpoint) {
        if (transport.knowsEndpoint(endpoint)) {
            transport.sendProbe(endpoint);
        } else {
            forwarder.probeEnded(endpoint, Outcome.NOT_STARTED, 0, null);
        }
    }

    @Override
    public void closeIdleConnections(long endpoint) {
        transport.closeIdleConnections(endpoint);
    }

    @Override
    public void scheduleTimer(long at, long token) {
        timers.at(at, () -> forwarder.timerFired(token));
    }

    @Override
    public void watchEndpoints(boolean on) {
        discovery.watch(on);
    }

    @Override
    public void fetchEndpoints() {
        discovery.fetchAll();
    }

    @Override
    public void sendToPeers(int replica, byte[] message) {
        peers.send(replica, message);
    }

    @Override
    public void log(String line) {
        log.info("balancer.message_logged").with("line", line).write();
    }
}
