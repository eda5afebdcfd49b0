package cedarrudder.balancer;

import cedarrudder.routetable.RouteTable;
import java.util.List;

/**
 * The decisions of one replica of the proxy: events in, actions out. This is the whole interface of
 * the balancer.
 *
 * <p>A balancer learns of everything through the event methods below, each with the instant at
 * which it happened, and answers through {@link Actions}. It has no clock, starts no thread and
 * shares nothing with other replicas. Instants are nanoseconds of one clock that never goes back
 * and whose zero means nothing. An implementation is not thread-safe: call it from one thread at a
 * time.
 */
public interface LoadBalancer {

    /** How an attempt or a probe ended. */
    enum Outcome {
        /** Served. */
        OK(false),
        /** The endpoint answered with an error; the work may have run. */
        ERROR(false),
        /** Rejected without being executed: the endpoint's queue is full, or it drains. */
        REJECTED(true),
        /** No answer in time; the work may have run or be running. */
        TIMEOUT(false),
        /** No connection could be made in time. */
        CONNECT_FAILED(true),
        /** The connection broke while the attempt was in flight. */
        RESET(false),
        /** Cancelled by this replica; the work may have run. */
        CANCELLED(false),
        /** Never sent: its request was over, out of time or of attempts, or buffers were full. */
        NOT_STARTED(true);

        private final boolean provesNotRun;

        Outcome(boolean provesNotRun) {
            this.provesNotRun = provesNotRun;
        }

        /** Whether this outcome proves that the attempt was never executed. */
        public boolean provesNotRun() {
            return provesNotRun;
        }
    }

    /** What the tiers above and below know of a request before work goes into it. */
    enum AdmissionHint {
        /** Nothing speaks against it. */
        ADMIT,
        /** It has come here before: the tiers send to one another in a circle. */
        LOOP,
        /** Its time can't suffice. */
        DEADLINE_TOO_SHORT,
        /** The tier below has too much work, and other requests have a higher priority. */
        OVERLOADED
    }

    /** What the endpoint list says of an endpoint. */
    enum EndpointStatus {
        /** It takes requests. */
        READY,
        /** It takes no new requests and ends soon. */
        DRAINING,
        /** It is no longer listed. */
        REMOVED
    }

    /** Whether a list replaces what was known or changes it. */
    enum EndpointListKind {
        /** The whole list. */
        FULL,
        /** Changes to it. */
        DELTA,
        /** The whole list as it was last known, from the configuration. */
        CACHED
    }

    /**
     * One entry of the endpoint list.
     *
     * @param startedAt the instant of its last start; 0: long ago. Another one is another
     *     incarnation
     */
    record Endpoint(
            long id,
            int zone,
            int kind,
            int cell,
            EndpointStatus status,
            double weight,
            long startedAt) {}

    /**
     * A request.
     *
     * @param deadline the instant after which no answer is of use
     * @param repeat whether its client marked it as a repeat
     * @param expectedWorkNanos the work that it is said to need; 0: not known
     * @param uploading whether its body is still received, until {@link #onUploadComplete}; no
     *     endpoint executes it before
     */
    record Request(
            long id,
            int classIndex,
            int tenant,
            long deadline,
            long idempotencyKey,
            boolean repeat,
            boolean write,
            long expectedWorkNanos,
            boolean uploading) {

        /** A request that was received completely. */
        public Request(
                long id,
                int classIndex,
                int tenant,
                long deadline,
                long idempotencyKey,
                boolean repeat,
                boolean write,
                long expectedWorkNanos) {
            this(
                    id,
                    classIndex,
                    tenant,
                    deadline,
                    idempotencyKey,
                    repeat,
                    write,
                    expectedWorkNanos,
                    false);
        }
    }

    /**
     * What one zone may get of a replica's requests, by the route table that replicas agree on.
     *
     * @param zone as the endpoint list numbers it
     * @param parts this many of {@link RouteTable#TOTAL_WEIGHT}; from 1
     * @param maxPerSecond it gets no more requests a second from this replica; 0: no bound
     */
    record ZoneTrafficShare(int zone, int parts, int maxPerSecond) {

        /**
         * Checks the ranges, which are the table's.
         *
         * @throws IllegalArgumentException where a value is out of its range
         */
        public ZoneTrafficShare {
            check("zone", zone, 0, RouteTable.MAX_ZONES - 1);
            check("parts", parts, 1, RouteTable.TOTAL_WEIGHT);
            check("perSecond", maxPerSecond, 0, Integer.MAX_VALUE);
        }

        private static void check(String name, int found, int min, int max) {
            if (found < min || found > max) {
                throw new IllegalArgumentException(
                        "share." + name + ": found " + found + "; allowed: " + min + " to " + max);
            }
        }
    }

    /** An endpoint's own report of its load. A value that it does not report is NaN. */
    record LoadReport(
            double inFlight,
            double queued,
            double utilization,
            double latencyMillis,
            double requestsPerSecond,
            double errorsPerSecond) {}

    /** What a balancer may do. Actions take effect in order, at the time of the event at hand. */
    interface Actions {
        /**
         * Starts an attempt; the attempts of a request are numbered from 0 in the order started.
         *
         * @param timeout in nanoseconds; 0: the request's deadline
         */
        void startAttempt(long request, long endpoint, long timeout);

        /**
         * Ends a request: it was not executed and may harmlessly be retried.
         *
         * @param retryAfter advice when to retry, in nanoseconds; 0: none
         */
        void reject(long request, long retryAfter);

        /** Ends a request: it failed, and nothing is promised. */
        void fail(long request);

        /** Stops waiting for an attempt. */
        void cancelAttempt(long request, int attempt);

        /** Probes an endpoint for its load. */
        void sendProbe(long endpoint);

        /** Closes the idle connections to an endpoint. */
        void closeIdleConnections(long endpoint);

        /** Asks for {@link #onTimer} with this token at an instant or soon after, never at once. */
        void scheduleTimer(long at, long token);

        /** Opens the watch on the endpoint list, from the changes last known on, or ends it. */
        void watchEndpoints(boolean on);

        /** Asks for the whole endpoint list once. */
        void fetchEndpoints();

        /** Sends a short message to one replica of this tier, or to all of them (-1). */
        void sendToPeers(int replica, byte[] message);

        /** Writes a line for the operator. */
        void log(String line);
    }

    /** The endpoint list, or changes to it. */
    void onEndpoints(long now, EndpointListKind kind, List<Endpoint> entries);

    /** A call to discovery failed or a watch broke; the known list stands. */
    void onEndpointsUnavailable(long now);

    /** A request has arrived; the balancer now owes it one final answer. */
    void onRequest(long now, Request request);

    /**
     * A request has arrived with a hint; any but {@link AdmissionHint#ADMIT} should be rejected. A
     * balancer that does not override this takes it as any other.
     */
    default void onRequest(long now, Request request, AdmissionHint hint) {
        onRequest(now, request);
    }

    /** A streamed answer has begun; the attempt is the client's from here on. */
    void onFirstByte(long now, long request, int attempt, long endpoint, long latency);

    /**
     * An attempt ended.
     *
     * @param settled whether the request is over, by this or earlier
     * @param load null where none was reported
     */
    void onAttemptEnded(
            long now,
            long request,
            int attempt,
            long endpoint,
            Outcome outcome,
            long latency,
            boolean settled,
            LoadReport load);

    /**
     * What an attempt that was started, and of which no byte has gone out, ends with instead of
     * being sent now; null: it may be sent. {@link Outcome#CONNECT_FAILED} where another endpoint
     * may take the request, {@link Outcome#NOT_STARTED} where nothing more may be sent for it. This
     * is a question, and changes nothing; the outcome is reported like any other. A balancer that
     * does not override it lets all be sent.
     */
    default Outcome startDenial(long now, long request, int attempt) {
        return null;
    }

    /** The body of a request that was uploading is complete: its client's wait begins now. */
    default void onUploadComplete(long now, long request) {}

    /** The client has left; the request is over. */
    void onClientLeft(long now, long request);

    /** A timer of {@link Actions#scheduleTimer} has expired. */
    void onTimer(long now, long token);

    /**
     * A probe ended.
     *
     * @param latency how long ago it was sent
     * @param load null unless it was answered with a report
     */
    void onProbeEnded(long now, long endpoint, Outcome outcome, long latency, LoadReport load);

    /**
     * A streamed answer, with which its attempt was reported as served, was aborted.
     *
     * @param sentAt when the attempt was sent
     */
    default void onResponseAborted(long now, long endpoint, long sentAt) {}

    /** An operator has put an endpoint back, which should get requests soon. */
    default void onEndpointReenabled(long now, long endpoint) {}

    /**
     * How many replicas are alive, this one among them, from 1 to {@link
     * BalancerSettings#replicas}; until the first such event all are.
     */
    default void onLiveReplicas(long now, int live) {}

    /**
     * Which part of this replica's requests each zone may get from now on. Their order is that in
     * which they stand in for one another, after the replica's own zone. Empty, as at the start: as
     * the balancer sees fit.
     *
     * @throws IllegalArgumentException where a zone is named twice, or parts sum up to more than a
     *     whole; what counted before counts on
     */
    default void onZoneShares(long now, List<ZoneTrafficShare> shares) {}

    /**
     * How many of the listed endpoints are avoided now: they drain, fail, or are unresponsive. This
     * is a question, and changes nothing.
     */
    default int avoidedEndpoints(long now) {
        return 0;
    }

    /** A message from another replica of this tier. */
    void onPeerMessage(long now, int from, byte[] message);
}
