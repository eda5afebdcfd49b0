package cedarrudder.balancer;

import cedarrudder.admission.AdmissionQueue;
import cedarrudder.admission.AdmissionQueue.Offer;
import cedarrudder.balancer.BalancerParameters.Parameter;
import cedarrudder.balancer.LoadBalancer.Actions;

/**
 * Requests that wait for an endpoint, those of most weight for their work first. They wait here,
 * where they can be given up for others, and not at an endpoint that they would drive past its
 * limit.
 */
final class RequestQueue {

    /** Sends queued requests. */
    interface Dispatcher {
        /** Sends a request if an endpoint may take it now; false where it still waits. */
        boolean trySend(long now, RequestState request);

        /** Ends a request that has waited too long. */
        void giveUp(RequestState request);
    }

    /** A request that no endpoint may take now is looked at again after this long. */
    private static final long RECHECK_NANOS = 20_000_000L;

    /** The priority of a request that has been tried in vain: time has gone into it. */
    private static final double RETRY_PRIORITY = 2;

    private final BalancerParameters parameters;
    private final Actions actions;
    private final AdmissionControl admission;
    private final Dispatcher dispatcher;
    private final int classes;
    private final AdmissionQueue<RequestState> queue;
    private boolean timerSet;

    RequestQueue(
            int classes,
            BalancerParameters parameters,
            Actions actions,
            AdmissionControl admission,
            Dispatcher dispatcher) {
        this.classes = classes;
        this.parameters = parameters;
        this.actions = actions;
        this.admission = admission;
        this.dispatcher = dispatcher;
        this.queue = new AdmissionQueue<>(4 * classes);
    }

    /** Adds a request and sends whatever may be sent now, it among others. */
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

    /** A request waits for a share of its latency objective; then a rejection is worth more. */
    private long queueDeadline(RequestState request) {
        double wait =
                parameters.get(Parameter.QUEUE_TIMEOUT_SHARE)
                        * request.requestClass().latencyObjectiveNanos();
        return Math.min(request.arrivedAt() + (long) wait, request.deadline() - 2 * RECHECK_NANOS);
    }

    /** Lanes stand by class, quota and whether the request is a retry. */
    private int lane(RequestState request) {
        int firstOfKind = request.attemptCount() > 0 ? 2 * classes : 0;
        return firstOfKind + 2 * request.classIndex() + (request.isOverQuota() ? 1 : 0);
    }

    private double priority(int lane) {
        int classIndex = lane / 2 % classes;
        boolean overQuota = lane % 2 > 0;
        boolean retry = lane >= 2 * classes;
        double priority = admission.priority(classIndex, overQuota) * (retry ? RETRY_PRIORITY : 1);
        return Math.pow(priority, parameters.get(Parameter.QUEUE_PRIORITY_EXPONENT));
    }

    /** Offers capacity to those that wait, by priority. */
    void dispatch(long now) {
        queue.dispatch(this::priority, request -> offer(now, request));
    }

    private Offer offer(long now, RequestState request) {
        if (!request.isQueued() || dispatcher.trySend(now, request)) {
            return Offer.TAKEN;
        }
        if (now >= request.queueDeadline()) {
            dispatcher.giveUp(request);
            return Offer.TAKEN;
        }
        // A retry may be bound to few endpoints, so others may still find capacity.
        return request.attemptCount() > 0 ? Offer.SKIPPED : Offer.NO_CAPACITY;
    }

    /** The timer of {@link TimerToken.Kind#QUEUE} has expired. */
    void onTimer(long now) {
        timerSet = queue.size() > 0;
        if (timerSet) {
            // First of all, so that a fault below does not end it.
            actions.scheduleTimer(now + RECHECK_NANOS, TimerToken.of(TimerToken.Kind.QUEUE));
        }
        dispatch(now);
        rejectExpired(now);
    }

    private void rejectExpired(long now) {
        queue.removeIf(request -> !request.isQueued() || now >= request.queueDeadline())
                .forEach(dispatcher::giveUp);
    }
}
