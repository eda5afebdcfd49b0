package cedarrudder.forwarding;

import cedarrudder.balancer.LoadBalancer;
import cedarrudder.balancer.LoadBalancer.Outcome;
import cedarrudder.budget.Budgets;
import cedarrudder.logging.Logger;

/**
 * Decides whether an attempt may be sent: when the balancer starts it, and again right before its
 * first byte.
 */
final class AttemptGate<Q, A> {

    private final int maxAttempts;
    private final Budgets budgets;
    private final LoadBalancer balancer;
    private final TimerService timers;
    private final Logger log;
    private AttemptTransport<Q, A> transport;

    /**
     * Creates a gate whose wiring {@link #attach} completes.
     *
     * @param maxAttempts the maximum number of attempts of one request
     * @param budgets consulted before each attempt; null if there are no budgets
     */
    AttemptGate(
            int maxAttempts,
            Budgets budgets,
            LoadBalancer balancer,
            TimerService timers,
            Logger log) {
        this.maxAttempts = maxAttempts;
        this.budgets = budgets;
        this.balancer = balancer;
        this.timers = timers;
        this.log = log;
    }

    /** Sets the transport; called once, before the first attempt. */
    void attach(AttemptTransport<Q, A> attemptTransport) {
        transport = attemptTransport;
    }

    /**
     * Returns the outcome with which an attempt ends as soon as the balancer starts it; null if it
     * may be passed to the transport.
     */
    Outcome refusal(RequestAttempt<Q, A> attempt, long now) {
        Exchange<Q, A> exchange = attempt.exchange();
        if (!mayAttempt(exchange, now) || attempt.number() >= maxAttempts) {
            return Outcome.NOT_STARTED;
        }
        if (!transport.knowsEndpoint(attempt.endpoint())) {
            return Outcome.CONNECT_FAILED; // another endpoint may be reachable
        }
        boolean withinBudget = budgets == null || budgets.tryAttempt(now, exchange.budget());
        return withinBudget ? null : Outcome.NOT_STARTED;
    }

    /**
     * Returns why an attempt ends instead of sending its first byte now; null if it may start.
     *
     * @param canDetectDisconnect whether a disconnect of its client would be detected
     */
    StartDenial startDenial(RequestAttempt<Q, A> attempt, boolean canDetectDisconnect) {
        Exchange<Q, A> exchange = attempt.exchange();
        long now = timers.now();
        if (!canDetectDisconnect) {
            return new StartDenial(StartDenial.Reason.CLIENT_UNKNOWN, Outcome.NOT_STARTED);
        }
        if (!mayAttempt(exchange, now)) {
            return new StartDenial(StartDenial.Reason.REQUEST_OVER, Outcome.NOT_STARTED);
        }
        if (!transport.knowsEndpoint(attempt.endpoint())) {
            return new StartDenial(StartDenial.Reason.ENDPOINT_GONE, Outcome.CONNECT_FAILED);
        }
        Outcome denial = balancerDenial(exchange, attempt, now);
        return denial == null ? null : new StartDenial(StartDenial.Reason.BALANCER, denial);
    }

    private Outcome balancerDenial(
            Exchange<Q, A> exchange, RequestAttempt<Q, A> attempt, long now) {
        try {
            return balancer.startDenial(now, exchange.request().id(), attempt.number());
        } catch (RuntimeException | VirtualMachineError | LinkageError e) {
            // As for events: an exception in the balancer must not keep its client waiting.
            log.fault("balancer.failed", e).write();
            return Outcome.NOT_STARTED;
        }
    }

    /** Returns whether anything more may be sent for a request. */
    private static boolean mayAttempt(Exchange<?, ?> exchange, long now) {
        return !exchange.isOver() && !exchange.contentDiscarded() && !exchange.isExpired(now);
    }
}
