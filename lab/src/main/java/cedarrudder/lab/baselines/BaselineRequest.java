package cedarrudder.lab.baselines;

import cedarrudder.balancer.BalancerSettings.RequestClass;
import cedarrudder.balancer.LoadBalancer.Outcome;
import cedarrudder.balancer.LoadBalancer.Request;

/** A request that a rival has taken, with its attempts in the order sent. */
final class BaselineRequest {
    final Request request;
    final RequestClass kind;
    final long arrived;
    final EndpointView<?>[] to;
    final long[] sentAt;
    final Outcome[] ended;
    int attempts;
    int out;
    boolean answered;
    boolean held;

    BaselineRequest(Request request, RequestClass kind, long arrived, int maxAttempts) {
        this.request = request;
        this.kind = kind;
        this.arrived = arrived;
        this.to = new EndpointView<?>[maxAttempts];
        this.sentAt = new long[maxAttempts];
        this.ended = new Outcome[maxAttempts];
    }

    /** The first attempt that may have run or may be running, or -1. */
    int mayHaveRun() {
        for (int i = 0; i < attempts; i++) {
            if (ended[i] == null || !ended[i].provesNotRun()) {
                return i;
            }
        }
        return -1;
    }

    boolean tried(EndpointView<?> member) {
        for (int i = 0; i < attempts; i++) {
            if (to[i] == member) {
                return true;
            }
        }
        return false;
    }
}
