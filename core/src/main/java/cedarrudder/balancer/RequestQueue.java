package cedarrudder.balancer;

import cedarrudder.admission.AdmissionQueue;
import cedarrudder.admission.AdmissionQueue.Offer;
import cedarrudder.balancer.BalancerParameters.Parameter;
import cedarrudder.balancer.LoadBalancer.Actions;

/**
 * The requests that wait for an endpoint, ordered by weight for their work, the highest first.
 * Requests wait here, where they can be dropped in favour of others, and not at an endpoint, whose
 * limit they would exceed.
 */
final class RequestQueue {

    /** Sends queued requests and ends those that have waited too long. */
    interface Dispatcher {
        /**
         * Sends a request if an endpoint may receive it now; returns false if the request has to
         * wait.
         */
        boolean trySend(long now, RequestState request);

        /** Ends a request that has waited too long. */
        void onQueueTimeout(RequestState request);
    }

    /** A request that no endpoint may receive now is checked again after this long. */
    private static final long RECHECK_NANOS = 20_000_000L;

    /**
     * Factor on the priority of a request that has had a failed attempt, since time has been spent
     * on it.
     */
    private static final double RETRY_PRIORITY = 2;

    private final BalancerParameters parameters;
    private final Actions actions;
    private final AdmissionControl admission;
    private final Dispatcher dispatcher;
    private final int classCount;
    private final AdmissionQueue<RequestState> queue;
    private boolean timerSet;

    RequestQueue(
            int classCount,
            BalancerParameters parameters,
            Actions actions,
            AdmissionControl admission,
            Dispatcher dispatcher) {
        this.classCount = classCount;
        this.parameters = parameters;
        this.actions = actions;
        this.admission = admission;
        this.dispatcher = dispatcher;
        this.queue = new AdmissionQueue<>(4 * classCount);
    }

    /**
     * Adds a request and sends whatever queued requests may be sent now, the added one included.
     */
    void add(long now, RequestState request) {
        request.enqueue(queueDeadline(request));
        queue.add(lane(request), request);
        dispatch(now);
        if (request.isQueued() && now >= request.queueDeadline()) {
            rejectExpired(now);
        } else if (request.isQueued() && !timerSet) {
            timerSet = true;
            actions.scheduleTimer(now + RECHECK_NANOS, TimerToken.of(TimerToken.Kind.QUEUE));
        }
    }

    /**
     * Returns the instant until which a request may be queued: a fraction of its latency objective
     * after its arrival. After that, a rejection is worth more than a later response.
     */
    private long queueDeadline(RequestState request) {
        double wait =
                parameters.get(Parameter.QUEUE_TIMEOUT_SHARE)
                        * request.requestClass().latencyObjectiveNanos();
        return Math.min(request.arrivedAt() + (long) wait, request.deadline() - 2 * RECHECK_NANOS);
    }

    /**
     * Returns the lane of a request, which depends on its class, whether it exceeds its tenant's
     * quota, and whether it is a retry.
     */
    private int lane(RequestState request) {
        int firstLane = request.attemptCount() > 0 ? 2 * classCount : 0;
        return firstLane + 2 * request.classIndex() + (request.isOverQuota() ? 1 : 0);
    }

    private double priority(int lane) {
        int classIndex = lane / 2 % classCount;
        boolean overQuota = lane % 2 > 0;
        boolean retry = lane >= 2 * classCount;
        double priority = admission.priority(classIndex, overQuota) * (retry ? RETRY_PRIORITY : 1);
        return Math.pow(priority, parameters.get(Parameter.QUEUE_PRIORITY_EXPONENT));
    }

    /** Offers capacity to the queued requests, by priority. */
    void dispatch(long now) {
        queue.dispatch(this::priority, request -> offer(now, request));
    }

    private Offer offer(long now, RequestState request) {
        if (!request.isQueued() || dispatcher.trySend(now, request)) {
            return Offer.TAKEN;
        }
        if (now >= request.queueDeadline()) {
            dispatcher.onQueueTimeout(request);
            return Offer.TAKEN;
        }
        // A retry may be restricted to few endpoints, so other requests may still find capacity.
        return request.attemptCount() > 0 ? Offer.SKIPPED : Offer.NO_CAPACITY;
    }

    /**
     * Sends or rejects queued requests after the timer of {@link TimerToken.Kind#QUEUE} has
     * expired.
     */
    void onTimer(long now) {
        timerSet = queue.size() > 0;
        if (timerSet) {
            // Scheduled first, so that an exception below does not stop the timer.
            actions.scheduleTimer(now + RECHECK_NANOS, TimerToken.of(TimerToken.Kind.QUEUE));
        }
        dispatch(now);
        rejectExpired(now);
    }

    private void rejectExpired(long now) {
        queue.removeIf(request -> !request.isQueued() || now >= request.queueDeadline())
                .forEach(dispatcher::onQueueTimeout);
    }
}
