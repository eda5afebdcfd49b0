package cedarrudder.balancer;

import cedarrudder.balancer.BalancerParameters.Parameter;
import cedarrudder.balancer.BalancerSettings.Idempotency;
import cedarrudder.balancer.BalancerSettings.KeyScope;
import cedarrudder.balancer.BalancerSettings.RequestClass;
import cedarrudder.balancer.LoadBalancer.Endpoint;
import cedarrudder.balancer.LoadBalancer.Outcome;

/**
 * Decides which further attempts a request may have, from what its earlier attempts prove and from
 * the idempotency of its class, so that no effect happens twice. Every attempt, the first one
 * included, has to pass {@link #mayAttempt}.
 */
final class RetryPolicy {

    private final BalancerSettings settings;
    private final RetryTokens tokens;

    RetryPolicy(BalancerSettings settings, BalancerParameters parameters) {
        this.settings = settings;
        this.tokens =
                new RetryTokens(
                        parameters.get(Parameter.RETRY_BUDGET_PER_REQUEST),
                        parameters.get(Parameter.RETRY_BUDGET_MAX));
    }

    /** Adds the contribution of an admitted request to the retry budget. */
    void onRequest() {
        tokens.onRequest();
    }

    /** Returns whether a further attempt is allowed, whatever its endpoint. */
    boolean mayAttempt(long now, RequestState request) {
        return hasAttemptLeft(now, request) && isSafeWithOtherAttempts(now, request, -1, null);
    }

    /** Returns whether a further attempt may be sent to this endpoint. */
    boolean mayAttempt(long now, RequestState request, EndpointState endpoint) {
        return hasAttemptLeft(now, request) && isSafeWithOtherAttempts(now, request, -1, endpoint);
    }

    private boolean hasAttemptLeft(long now, RequestState request) {
        return !request.isAnswered()
                && now < request.deadline()
                && request.hasAttemptsLeft()
                && (request.inFlight() == 0 || settings.limits().hedging());
    }

    /**
     * Returns whether an attempt that was recorded as sent, but of which no byte was written yet,
     * may still start.
     */
    boolean mayStart(long now, RequestState request, int attemptNumber) {
        return isSafeWithOtherAttempts(
                now, request, attemptNumber, request.attempt(attemptNumber).endpoint());
    }

    /**
     * Returns whether an attempt is safe given all other attempts of the request that may have run.
     *
     * @param attemptNumber the attempt's own number; -1 if the attempt does not exist yet
     * @param endpoint the endpoint of the attempt; null for any endpoint
     */
    private boolean isSafeWithOtherAttempts(
            long now, RequestState request, int attemptNumber, EndpointState endpoint) {
        RequestState.Attempt earlier = request.firstThatMayHaveRun(attemptNumber);
        RequestClass requestClass = request.requestClass();
        if (earlier == null || requestClass.idempotency() == Idempotency.SAFE) {
            return true;
        }
        if (requestClass.idempotency() == Idempotency.UNSAFE
                || now >= earlier.sentAt() + requestClass.keyWindowNanos()) {
            return false;
        }
        return endpoint == null
                || sharesKeys(
                        requestClass.keyScope(),
                        earlier.endpoint().endpoint(),
                        endpoint.endpoint());
    }

    /** Returns whether two endpoints recognize each other's idempotency keys. */
    private static boolean sharesKeys(KeyScope scope, Endpoint one, Endpoint other) {
        return switch (scope) {
            case ALL -> true;
            case ZONE -> one.zone() == other.zone();
            case CELL -> one.cell() == other.cell();
        };
    }

    /** Returns whether a client may be informed that a retry is harmless. */
    boolean mayReject(RequestState request) {
        if (!request.mayHaveRun()) {
            return true;
        }
        RequestClass requestClass = request.requestClass();
        return requestClass.idempotency() == Idempotency.SAFE
                || requestClass.idempotency() == Idempotency.KEYED
                        && requestClass.keyScope() == KeyScope.ALL;
    }

    /**
     * Returns whether a request is retried after a failed attempt, and spends a token of the retry
     * budget for the retry unless the first attempt is proven not to have run and is the only one.
     * An error costs a token as well: if its tier sends requests to another tier, the error has
     * already been retried there, and retries multiply.
     */
    boolean tryRetry(long now, RequestState request, Outcome lastOutcome) {
        if (lastOutcome == Outcome.NOT_STARTED || !mayAttempt(now, request)) {
            return false;
        }
        boolean costsToken = !lastOutcome.provesNotRun() || request.attemptCount() > 1;
        if (!costsToken) {
            return true;
        }
        if (!tokens.isAvailable()) {
            return false;
        }
        tokens.spend();
        return true;
    }

    /**
     * Returns whether a hedged request may be sent in addition to the one attempt in flight.
     *
     * <p>A hedged request is a second attempt of a request whose response is late for its expected
     * work: the connection may be dead or the endpoint slow, and nothing else would reveal that in
     * time.
     */
    boolean mayHedge(long now, RequestState request) {
        return request.inFlight() == 1 && tokens.isAvailable() && mayAttempt(now, request);
    }

    void onHedged() {
        tokens.spend();
    }

    /** Returns whether requests of this kind are hedged at all. */
    boolean isHedged(RequestState request) {
        return !request.isUploading()
                && request.requestClass().idempotency() != Idempotency.UNSAFE
                && settings.limits().hedging();
    }
}
