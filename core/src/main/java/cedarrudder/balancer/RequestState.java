package cedarrudder.balancer;

import cedarrudder.balancer.BalancerSettings.RequestClass;
import cedarrudder.balancer.LoadBalancer.Outcome;
import cedarrudder.balancer.LoadBalancer.Request;

/**
 * One request that this replica has accepted, with its attempts in the order sent.
 *
 * <p>A request is open from its arrival to its final answer. It is kept until its last attempt has
 * ended, so that late outcomes still count for the endpoints.
 */
final class RequestState {

    /** One attempt at one endpoint. */
    static final class Attempt {
        private final EndpointState endpoint;
        private final long sentAt;
        private Outcome outcome;

        private Attempt(EndpointState endpoint, long sentAt) {
            this.endpoint = endpoint;
            this.sentAt = sentAt;
        }

        /** The endpoint incarnation that it was sent to. */
        EndpointState endpoint() {
            return endpoint;
        }

        /** The instant it was sent at. */
        long sentAt() {
            return sentAt;
        }

        /** Whether its outcome is still awaited. */
        boolean isInFlight() {
            return outcome == null;
        }

        /** Whether nothing proves that the endpoint never executed it. */
        boolean mayHaveRun() {
            return outcome == null || !outcome.provesNotRun();
        }
    }

    private final long id;
    private final RequestClass requestClass;
    private final int classIndex;
    private final long deadline;
    private final long expectedWorkNanos;
    private final boolean overQuota;
    private final Attempt[] attempts;
    private int attemptCount;
    private int inFlight;
    private long arrivedAt;
    private boolean uploading;
    private boolean answered;
    private boolean queued;
    private long queueDeadline;
    private double limitShare;
    private int assignedZone;

    RequestState(
            Request request,
            RequestClass requestClass,
            long now,
            boolean overQuota,
            int maxAttempts) {
        this.id = request.id();
        this.requestClass = requestClass;
        this.classIndex = request.classIndex();
        this.deadline = request.deadline();
        this.expectedWorkNanos = request.expectedWorkNanos();
        this.overQuota = overQuota;
        this.attempts = new Attempt[maxAttempts];
        this.arrivedAt = now;
        this.uploading = request.uploading();
    }

    long id() {
        return id;
    }

    RequestClass requestClass() {
        return requestClass;
    }

    int classIndex() {
        return classIndex;
    }

    /** The instant after which no answer is of use. */
    long deadline() {
        return deadline;
    }

    /** The work it was said to need, in nanoseconds; 0 where that is not known. */
    long expectedWorkNanos() {
        return expectedWorkNanos;
    }

    boolean hasExpectedWork() {
        return expectedWorkNanos > 0;
    }

    /** Whether it exceeds its tenant's quota. */
    boolean isOverQuota() {
        return overQuota;
    }

    /** The instant from which its latency counts: its arrival, or the end of its upload. */
    long arrivedAt() {
        return arrivedAt;
    }

    /** Whether its body is still being received. */
    boolean isUploading() {
        return uploading;
    }

    /** Whether it has its final answer, or its client has left. */
    boolean isAnswered() {
        return answered;
    }

    /** Whether it waits in the queue for an endpoint. */
    boolean isQueued() {
        return queued;
    }

    /** The instant at which it is rejected if it still waits. */
    long queueDeadline() {
        return queueDeadline;
    }

    /** The share of concurrency limits and rates that is open to its priority, from 0 to 1. */
    double limitShare() {
        return limitShare;
    }

    void setLimitShare(double share) {
        limitShare = share;
    }

    /** The zone that it was assigned to. */
    int assignedZone() {
        return assignedZone;
    }

    void assignZone(int zone) {
        assignedZone = zone;
    }

    int attemptCount() {
        return attemptCount;
    }

    /** Attempts without an outcome. */
    int inFlight() {
        return inFlight;
    }

    boolean hasAttemptsLeft() {
        return attemptCount < attempts.length;
    }

    /** The attempt of this number; null where there is none. */
    Attempt attempt(int number) {
        return number < attemptCount ? attempts[number] : null;
    }

    void enqueue(long rejectAt) {
        queueDeadline = rejectAt;
        queued = true;
    }

    /** Records a new attempt and returns its number. */
    int addAttempt(EndpointState endpoint, long now) {
        queued = false;
        inFlight++;
        attempts[attemptCount] = new Attempt(endpoint, now);
        return attemptCount++;
    }

    void endAttempt(Attempt attempt, Outcome outcome) {
        attempt.outcome = outcome;
        inFlight--;
    }

    /** Marks it as over; outcomes of attempts in flight still come. */
    void close() {
        answered = true;
        queued = false;
    }

    /** The upload is complete: latency counts from now on, and endpoints execute what they have. */
    void completeUpload(long now) {
        uploading = false;
        arrivedAt = now;
        for (int i = 0; i < attemptCount; i++) {
            if (attempts[i].isInFlight()) {
                attempts[i].endpoint.uploadEnded();
            }
        }
    }

    /**
     * The first attempt that may have been executed, or may be executing; null where all are proven
     * not to have run.
     *
     * @param exceptNumber an attempt to leave out; -1: none
     */
    Attempt firstThatMayHaveRun(int exceptNumber) {
        for (int i = 0; i < attemptCount; i++) {
            if (i != exceptNumber && attempts[i].mayHaveRun()) {
                return attempts[i];
            }
        }
        return null;
    }

    /** Whether any attempt may have been executed. */
    boolean mayHaveRun() {
        return firstThatMayHaveRun(-1) != null;
    }

    boolean hasTried(EndpointState endpoint) {
        for (int i = 0; i < attemptCount; i++) {
            if (attempts[i].endpoint == endpoint) {
                return true;
            }
        }
        return false;
    }
}
