package cedarrudder.balancer;

import cedarrudder.balancer.LoadBalancer.Outcome;
import cedarrudder.balancer.LoadBalancer.Request;
import cedarrudder.balancer.LoadBalancer.RequestClass;

/** A request this copy has taken, with its attempts in the order sent. */
final class RequestState {
    final long id;
    final RequestClass kind;
    final int classIndex;
    long arrived;
    final long deadline;
    final long work;
    final boolean overShare;
    final EndpointState[] to;
    final long[] sentAt;
    final Outcome[] ended;
    int attempts;
    int out;
    boolean answered;
    boolean uploading;
    boolean held;

    /** What part of limits is open to it, by its worth; from 0 to 1. */
    double part;

    /** The zone that it was dealt to. */
    int zone;

    long holdUntil;

    RequestState(Request request, RequestClass kind, long now, boolean overShare, int maxAttempts) {
        this.id = request.id();
        this.kind = kind;
        this.classIndex = request.classIndex();
        this.arrived = now;
        this.deadline = request.deadline();
        this.work = request.work();
        this.overShare = overShare;
        this.uploading = request.uploading();
        this.to = new EndpointState[maxAttempts];
        this.sentAt = new long[maxAttempts];
        this.ended = new Outcome[maxAttempts];
    }

    /**
     * All of it has come: its time counts from here on, and what is out counts at the endpoints.
     */
    void whole(long now) {
        uploading = false;
        arrived = now;
        for (int i = 0; i < attempts; i++) {
            to[i].uploads -= ended[i] == null ? 1 : 0;
        }
    }

    /** The first attempt but this one (-1: of all) that may have run or may be running, or -1. */
    int mayHaveRun(int but) {
        for (int i = 0; i < attempts; i++) {
            if (i != but && (ended[i] == null || !ended[i].provesNotRun())) {
                return i;
            }
        }
        return -1;
    }

    boolean tried(EndpointState server) {
        for (int i = 0; i < attempts; i++) {
            if (to[i] == server) {
                return true;
            }
        }
        return false;
    }
}
