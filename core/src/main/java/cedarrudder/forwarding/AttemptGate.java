package cedarrudder.forwarding;

import cedarrudder.balancer.LoadBalancer;
import cedarrudder.balancer.LoadBalancer.Outcome;
import cedarrudder.budget.Budgets;
import cedarrudder.logging.Logger;

/**
 * Whether an attempt may go out: when the balancer starts it, and again right before its first
 * byte.
 */
final class AttemptGate<Q, A> {

    private final int maxAttempts;
    private final Budgets budgets;
    private final LoadBalancer balancer;
    private final TimerService timers;
    private final Logger log;
    private AttemptTransport<Q, A> transport;

    /**
     * A gate, to be completed by {@link #attach}.
     *
     * @param maxAttempts attempts of one request beyond which none goes out
     * @param budgets asked before each further attempt; null: none
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

    /** Completes the wiring. */
    void attach(AttemptTransport<Q, A> attemptTransport) {
        transport = attemptTransport;
    }

    /** What an attempt ends with at once; null where it may go to the transport. */
    Outcome refusal(RequestAttempt<Q, A> attempt, long now) {
        Exchange<Q, A> exchange = attempt.exchange();
        if (!mayAttempt(exchange, now) || attempt.number() >= maxAttempts) {
            return Outcome.NOT_STARTED;
        }
        if (!transport.knowsEndpoint(attempt.endpoint())) {
            return Outcome.CONNECT_FAILED; // another endpoint may well be there
        }
        boolean withinBudget = budgets == null || budgets.mayAttempt(now, exchange.budget());
        return withinBudget ? null : Outcome.NOT_STARTED;
    }

    /** What an attempt ends with instead of starting now; null where it may start. */
    Outcome startDenial(RequestAttempt<Q, A> attempt) {
        Exchange<Q, A> exchange = attempt.exchange();
        long now = timers.now();
        if (!mayAttempt(exchange, now)) {
            return Outcome.NOT_STARTED;
        }
        if (!transport.knowsEndpoint(attempt.endpoint())) {
            return Outcome.CONNECT_FAILED;
        }
        try {
            return balancer.startDenial(now, exchange.request().id(), attempt.number());
        } catch (RuntimeException | VirtualMachineError | LinkageError e) {
            // As for its events: a fault of the balancer must not hold its client up.
            log.fault("balancer.failed", e).write();
            return Outcome.NOT_STARTED;
        }
    }

    /** Whether anything more may be sent for a request at all. */
    private static boolean mayAttempt(Exchange<?, ?> exchange, long now) {
        return !exchange.isOver() && !exchange.contentDiscarded() && !exchange.isExpired(now);
    }
}
