package cedarrudder.balancer;

import cedarrudder.balancer.BalancerParameters.Parameter;
import cedarrudder.balancer.LoadBalancer.Actions;
import java.util.HashMap;
import java.util.Map;

/**
 * The requests that are open or have attempts in flight, and the only place where requests are
 * ended.
 */
final class OpenRequests {

    /** The attempt number that means no attempt. */
    static final int NO_ATTEMPT = -1;

    private final BalancerSettings.Limits limits;
    private final BalancerParameters parameters;
    private final Actions actions;
    private final ServiceTimes serviceTimes;
    private final TrafficStatistics traffic;
    private final Map<Long, RequestState> requests = new HashMap<>();

    OpenRequests(
            BalancerSettings settings,
            BalancerParameters parameters,
            Actions actions,
            ServiceTimes serviceTimes,
            TrafficStatistics traffic) {
        this.limits = settings.limits();
        this.parameters = parameters;
        this.actions = actions;
        this.serviceTimes = serviceTimes;
        this.traffic = traffic;
    }

    void add(RequestState request) {
        requests.put(request.id(), request);
    }

    /** Returns the request with this id, or null if it is over and has no attempts in flight. */
    RequestState get(long requestId) {
        return requests.get(requestId);
    }

    /**
     * Rejects or fails a request unless it is over already. This is the only method by which this
     * replica ends a request.
     */
    void end(RequestState request, boolean reject) {
        if (!request.isAnswered()) {
            if (reject) {
                actions.reject(request.id(), retryAfterNanos());
            } else {
                actions.fail(request.id());
            }
        }
        close(request, NO_ATTEMPT);
    }

    /**
     * Returns the advice to a rejected client when to retry, in nanoseconds: approximately the time
     * in which one of the attempts in flight ends and frees capacity; 0: none. Longer advice would
     * exceed the latency objective.
     */
    long retryAfterNanos() {
        if (!limits.retryAfterAdvice()) {
            return 0;
        }
        double exponent = parameters.get(Parameter.RETRY_AFTER_EXPONENT);
        double expectedWait =
                serviceTimes.overallMean() / Math.pow(Math.max(1, traffic.inFlight()), exponent);
        return (long) Math.min(limits.maxRetryAfterNanos(), expectedWait);
    }

    /**
     * Marks a request as over: cancels its attempts in flight except one, and removes the request
     * if no attempt is in flight.
     *
     * @param exceptNumber the attempt that continues, or {@link #NO_ATTEMPT}
     */
    void close(RequestState request, int exceptNumber) {
        if (limits.cancellation() && !request.isAnswered()) {
            for (int i = 0; i < request.attemptCount(); i++) {
                if (i != exceptNumber && request.attempt(i).isInFlight()) {
                    actions.cancelAttempt(request.id(), i);
                }
            }
        }
        request.close();
        if (request.inFlight() == 0) {
            requests.remove(request.id());
        }
    }
}
