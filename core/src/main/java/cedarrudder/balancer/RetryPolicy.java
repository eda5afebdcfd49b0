package cedarrudder.balancer;

import cedarrudder.balancer.BalancerParameters.Parameter;
import cedarrudder.balancer.BalancerSettings.Idempotency;
import cedarrudder.balancer.BalancerSettings.KeyScope;
import cedarrudder.balancer.BalancerSettings.RequestClass;
import cedarrudder.balancer.LoadBalancer.Endpoint;
import cedarrudder.balancer.LoadBalancer.Outcome;

/**
 * Which further attempts a request may have, by what its earlier attempts prove and by its class's
 * idempotency: no effect happens twice. Every attempt passes {@link #mayAttempt}, the first one and
 * the next.
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

    /** An admitted request adds to the retry budget. */
    void onRequest() {
        tokens.onRequest();
    }

    /** Whether a further attempt may go to some endpoint. */
    boolean mayAttempt(long now, RequestState request) {
        return hasAttemptLeft(now, request) && isSafeBeside(now, request, -1, null);
    }

    /** Whether a further attempt may go to this endpoint. */
    boolean mayAttempt(long now, RequestState request, EndpointState endpoint) {
        return hasAttemptLeft(now, request) && isSafeBeside(now, request, -1, endpoint);
    }

    private boolean hasAttemptLeft(long now, RequestState request) {
        return !request.isAnswered()
                && now < request.deadline()
                && request.hasAttemptsLeft()
                && (request.inFlight() == 0 || settings.limits().hedging());
    }

    /** Whether an attempt that was sent, and of which no byte has gone out, may still start. */
    boolean mayStart(long now, RequestState request, int attemptNumber) {
        return isSafeBeside(now, request, attemptNumber, request.attempt(attemptNumber).endpoint());
    }

    /**
     * Whether an attempt is safe beside all others that may have run.
     *
     * @param attemptNumber the attempt's own number; -1: it is not made yet
     * @param endpoint where it goes; null: to any
     */
    private boolean isSafeBeside(
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

    /** Whether two endpoints recognize each other's idempotency keys. */
    private static boolean sharesKeys(KeyScope scope, Endpoint one, Endpoint other) {
        return switch (scope) {
            case ALL -> true;
            case ZONE -> one.zone() == other.zone();
            case CELL -> one.cell() == other.cell();
        };
    }

    /** Whether a client may learn that trying again is harmless. */
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
     * Whether a request is retried after an attempt that failed, which the retry budget pays for
     * unless the first attempt is proven not to have run. Errors cost a token even so: an error of
     * a tier that calls another one has been retried below already, and retries multiply.
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
     * Whether a hedged request may go out beside the one attempt in flight.
     *
     * <p>A hedged request is a second attempt of a request whose answer is late for its work: the
     * connection may be dead or the endpoint slow, and nothing else would show it in time.
     */
    boolean mayHedge(long now, RequestState request) {
        return request.inFlight() == 1 && tokens.isAvailable() && mayAttempt(now, request);
    }

    void onHedged() {
        tokens.spend();
    }

    /** Whether a request of this kind is hedged at all. */
    boolean isHedged(RequestState request) {
        return !request.isUploading()
                && request.requestClass().idempotency() != Idempotency.UNSAFE
                && settings.limits().hedging();
    }
}
