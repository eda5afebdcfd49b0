package cedarrudder.balancer;

import cedarrudder.routetable.RouteTable;
import java.util.List;

/**
 * Makes the decisions of one replica of the proxy: events in, actions out. This is the complete
 * interface of the balancer.
 *
 * <p>A balancer is notified of everything through the event methods below, each with the instant at
 * which the event happened, and responds through {@link Actions}. It has no clock, starts no thread
 * and shares no state with other replicas. Instants are nanoseconds of one monotonic clock with an
 * arbitrary origin. An implementation is not thread-safe: only one thread at a time may call it.
 */
public interface LoadBalancer {

    /** The outcome of an attempt or a probe. */
    enum Outcome {
        /** Served. */
        OK(false),
        /** The endpoint responded with an error; the work may have run. */
        ERROR(false),
        /**
         * Rejected without being executed: the endpoint's queue is full, or the endpoint is
         * draining.
         */
        REJECTED(true),
        /** No response in time; the work may have run or be running. */
        TIMEOUT(false),
        /** No connection could be established in time. */
        CONNECT_FAILED(true),
        /** The connection broke while the attempt was in flight. */
        RESET(false),
        /** Cancelled by this replica; the work may have run. */
        CANCELLED(false),
        /**
         * Never sent: the request was over, or had no time or attempts left, or buffers were full.
         */
        NOT_STARTED(true);

        private final boolean provesNotRun;

        Outcome(boolean provesNotRun) {
            this.provesNotRun = provesNotRun;
        }

        /** Returns whether this outcome proves that the attempt was never executed. */
        public boolean provesNotRun() {
            return provesNotRun;
        }
    }

    /** What the tiers above and below know about a request before work is spent on it. */
    enum AdmissionHint {
        /** No objection is known. */
        ADMIT,
        /**
         * The request has passed this replica's tier before: the tiers send requests to each other
         * in a loop.
         */
        LOOP,
        /** The time left to the request cannot suffice. */
        DEADLINE_TOO_SHORT,
        /** The tier below is overloaded, and other requests have a higher priority. */
        OVERLOADED
    }

    /** The status of an endpoint in the endpoint list. */
    enum EndpointStatus {
        /** Accepts requests. */
        READY,
        /** Accepts no new requests and will end soon. */
        DRAINING,
        /** No longer listed. */
        REMOVED
    }

    /** How a received endpoint list relates to the known one. */
    enum EndpointListKind {
        /** A complete list, which replaces the known one. */
        FULL,
        /** Changes to the known list. */
        DELTA,
        /** The complete list as last known, from the configuration. */
        CACHED
    }

    /**
     * An entry of the endpoint list.
     *
     * @param startedAt the instant at which the endpoint was last started; 0: long ago. A different
     *     instant means a different incarnation
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
     * @param deadline the instant after which a response is of no use
     * @param repeat whether the client marked the request as a repeat
     * @param expectedWorkNanos the work that the request is declared to need; 0: not known
     * @param uploading whether the request's body is still being received, until {@link
     *     #onUploadComplete}; no endpoint executes the request before that
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

        /** Creates a request that was received completely. */
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
     * The share of a replica's requests that one zone may get, by the route table that replicas
     * agree on.
     *
     * @param zone the zone's number in the endpoint list
     * @param parts the share in parts of {@link RouteTable#TOTAL_WEIGHT}; from 1
     * @param maxPerSecond the maximum number of requests per second from this replica; 0: no limit
     */
    record ZoneTrafficShare(int zone, int parts, int maxPerSecond) {

        /**
         * Checks the ranges, which are those of the route table.
         *
         * @throws IllegalArgumentException if a value is out of its range
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

    /** An endpoint's report of its own load. A value that the endpoint does not report is NaN. */
    record LoadReport(
            double inFlight,
            double queued,
            double utilization,
            double latencyMillis,
            double requestsPerSecond,
            double errorsPerSecond) {}

    /**
     * The actions of a balancer. They take effect in order, at the instant of the current event.
     */
    interface Actions {
        /**
         * Starts an attempt; the attempts of a request are numbered from 0 in the order in which
         * they are started.
         *
         * @param timeout in nanoseconds; 0: the request's deadline
         */
        void startAttempt(long request, long endpoint, long timeout);

        /**
         * Rejects a request: it was not executed and a retry is harmless.
         *
         * @param retryAfter advice when to retry, in nanoseconds; 0: none
         */
        void reject(long request, long retryAfter);

        /** Fails a request, without any guarantee whether it was executed. */
        void fail(long request);

        /** Cancels an attempt that is in flight. */
        void cancelAttempt(long request, int attempt);

        /** Sends a probe for the load of an endpoint. */
        void sendProbe(long endpoint);

        /** Closes the idle connections to an endpoint. */
        void closeIdleConnections(long endpoint);

        /**
         * Schedules a call of {@link #onTimer} with this token, at an instant or soon after it but
         * never immediately.
         */
        void scheduleTimer(long at, long token);

        /**
         * Starts the watch on the endpoint list, resuming after the last known changes, or ends it.
         */
        void watchEndpoints(boolean on);

        /** Fetches the complete endpoint list once. */
        void fetchEndpoints();

        /** Sends a short message to one replica of this tier, or to all of them (-1). */
        void sendToPeers(int replica, byte[] message);

        /** Logs a line for the operator. */
        void log(String line);
    }

    /** Handles a received endpoint list, or changes to the known one. */
    void onEndpoints(long now, EndpointListKind kind, List<Endpoint> entries);

    /** Handles a failed discovery request or a broken watch; the known list remains in effect. */
    void onEndpointsUnavailable(long now);

    /**
     * Handles the arrival of a request, to which the balancer must give exactly one final response.
     */
    void onRequest(long now, Request request);

    /**
     * Handles the arrival of a request with a hint. A request with any hint but {@link
     * AdmissionHint#ADMIT} should be rejected. By default the hint is ignored.
     */
    default void onRequest(long now, Request request, AdmissionHint hint) {
        onRequest(now, request);
    }

    /**
     * Handles the start of a streamed response; from here on, the response of this attempt is
     * forwarded to the client.
     */
    void onFirstByte(long now, long request, int attempt, long endpoint, long latency);

    /**
     * Handles the end of an attempt.
     *
     * @param settled whether the request is over, by this attempt or an earlier one
     * @param load null if no load was reported
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
     * Returns the outcome with which an attempt ends instead of being sent now, or null if it may
     * be sent. The attempt was started, but no byte of it was sent yet. {@link
     * Outcome#CONNECT_FAILED} means that another endpoint may serve the request, {@link
     * Outcome#NOT_STARTED} that nothing more may be sent for it. This is a query and changes
     * nothing; the outcome is reported like any other. By default every attempt may be sent.
     */
    default Outcome startDenial(long now, long request, int attempt) {
        return null;
    }

    /**
     * Handles the complete upload of a request's body: the client's waiting time is measured from
     * now on.
     */
    default void onUploadComplete(long now, long request) {}

    /**
     * Handles a pause in the response of an attempt in flight: the response has begun, nothing more
     * of it was received for some time, and none of it was forwarded to the client. The attempt
     * goes on; another one may be sent beside it. Reported again as long as the pause lasts.
     */
    default void onResponsePaused(long now, long request, int attempt) {}

    /**
     * Handles the start of a response that is forwarded while it is being received. The end of its
     * attempt follows at once, with the latency of the first byte, which may be some time ago.
     */
    default void onResponseStreamed(long now, long request, int attempt) {}

    /** Handles the disconnection of the client; the request is over. */
    void onClientLeft(long now, long request);

    /** Handles the expiry of a timer of {@link Actions#scheduleTimer}. */
    void onTimer(long now, long token);

    /**
     * Handles the end of a probe.
     *
     * @param latency the time since the probe was sent, in nanoseconds
     * @param load null unless the endpoint responded with a report
     */
    void onProbeEnded(long now, long endpoint, Outcome outcome, long latency, LoadReport load);

    /**
     * Handles the abort of a streamed response whose attempt was already reported as served.
     *
     * @param sentAt the instant at which the attempt was sent
     */
    default void onResponseAborted(long now, long endpoint, long sentAt) {}

    /**
     * Handles an operator's command to enable an endpoint again; the endpoint should get requests
     * soon.
     */
    default void onEndpointReenabled(long now, long endpoint) {}

    /**
     * Handles a change of the number of live replicas, this one included, from 1 to {@link
     * BalancerSettings#replicas}; until the first such event all are considered live.
     */
    default void onLiveReplicas(long now, int live) {}

    /**
     * Handles a change of the shares of this replica's requests that zones may get from now on.
     * Zones substitute for one another in the order of this list, after the replica's own zone. If
     * the list is empty, as at the start, the balancer chooses zones itself.
     *
     * @throws IllegalArgumentException if a zone is listed twice, or the parts sum up to more than
     *     a whole; the earlier shares then remain in effect
     */
    default void onZoneShares(long now, List<ZoneTrafficShare> shares) {}

    /**
     * Returns how many of the listed endpoints are avoided now because they are draining, failing
     * or unresponsive. This is a query and changes nothing.
     */
    default int avoidedEndpoints(long now) {
        return 0;
    }

    /** Handles a message from another replica of this tier. */
    void onPeerMessage(long now, int from, byte[] message);
}
