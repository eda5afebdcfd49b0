package cedarrudder.balancer;

import cedarrudder.balancer.BalancerSettings.RequestClass;
import cedarrudder.balancer.LoadBalancer.Outcome;
import cedarrudder.balancer.LoadBalancer.Request;

/**
 * A request that this replica has accepted, with its attempts in the order in which they were sent.
 *
 * <p>A request is open from its arrival to its final response. Its state is retained until its last
 * attempt has ended, so that late outcomes are still recorded for the endpoints.
 */
final class RequestState {

    /** An attempt at one endpoint. */
    static final class Attempt {
        private final EndpointState endpoint;
        private final long sentAt;
        private Outcome outcome;
        private boolean paused;
        private boolean streamed;

        private Attempt(EndpointState endpoint, long sentAt) {
            this.endpoint = endpoint;
            this.sentAt = sentAt;
        }

        /** Returns the endpoint incarnation that the attempt was sent to. */
        EndpointState endpoint() {
            return endpoint;
        }

        /** Returns the instant at which the attempt was sent. */
        long sentAt() {
            return sentAt;
        }

        /** Records that the response has begun and pauses. */
        void markPaused() {
            paused = true;
        }

        /** Returns whether the response has paused. */
        boolean isPaused() {
            return paused;
        }

        /** Records that the response is forwarded while it is being received. */
        void markStreamed() {
            streamed = true;
        }

        boolean isStreamed() {
            return streamed;
        }

        /** Returns whether the attempt has no outcome yet. */
        boolean isInFlight() {
            return outcome == null;
        }

        /**
         * Returns whether the endpoint may have executed the attempt, as no outcome proves the
         * opposite.
         */
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
    private double limitFraction;
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

    /** Returns the instant after which a response is of no use. */
    long deadline() {
        return deadline;
    }

    /** Returns the work that the request is declared to need, in nanoseconds; 0 if unknown. */
    long expectedWorkNanos() {
        return expectedWorkNanos;
    }

    boolean hasExpectedWork() {
        return expectedWorkNanos > 0;
    }

    /** Returns whether the request exceeds its tenant's quota. */
    boolean isOverQuota() {
        return overQuota;
    }

    /**
     * Returns the instant from which latency is measured: the request's arrival, or the end of its
     * upload.
     */
    long arrivedAt() {
        return arrivedAt;
    }

    /** Returns whether the request's body is still being received. */
    boolean isUploading() {
        return uploading;
    }

    /** Returns whether the request has its final response, or its client has disconnected. */
    boolean isAnswered() {
        return answered;
    }

    /** Returns whether the request is queued until an endpoint may receive it. */
    boolean isQueued() {
        return queued;
    }

    /** Returns the instant at which the request is rejected if it is still queued. */
    long queueDeadline() {
        return queueDeadline;
    }

    /**
     * Returns the fraction of concurrency limits and rates that is open to the request's priority,
     * from 0 to 1.
     */
    double limitFraction() {
        return limitFraction;
    }

    void setLimitFraction(double share) {
        limitFraction = share;
    }

    /** Returns the zone that the request was assigned to. */
    int assignedZone() {
        return assignedZone;
    }

    void assignZone(int zone) {
        assignedZone = zone;
    }

    int attemptCount() {
        return attemptCount;
    }

    /** Returns the number of attempts without an outcome. */
    int inFlight() {
        return inFlight;
    }

    boolean hasAttemptsLeft() {
        return attemptCount < attempts.length;
    }

    /** Returns the attempt with this number, or null if there is none. */
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

    /** Marks the request as over; attempts in flight may still end after that. */
    void close() {
        answered = true;
        queued = false;
    }

    /**
     * Records the end of the upload: latency is measured from now on, and endpoints execute the
     * attempts in flight.
     */
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
     * Returns the first attempt that may have been executed, or may be executing; null if all are
     * proven not to have run.
     *
     * @param exceptNumber the number of an attempt to ignore; -1: none
     */
    Attempt firstThatMayHaveRun(int exceptNumber) {
        for (int i = 0; i < attemptCount; i++) {
            if (i != exceptNumber && attempts[i].mayHaveRun()) {
                return attempts[i];
            }
        }
        return null;
    }

    /** Returns whether any attempt may have been executed. */
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
