package cedarrudder.balancer;

import cedarrudder.routetable.RouteTable;
import java.util.List;

/**
 * What one copy of the balancer is told, and what it may do: the whole interface of the balancer.
 *
 * <p>A replica is told of everything through the event methods below, each with the time at which
 * it happened. It answers through {@link Actions}. It keeps no clock, starts no thread and shares
 * nothing with other replicas. All times are nanoseconds; instants are readings of one clock that
 * never goes back and whose zero means nothing. An implementation is not thread-safe: call it from
 * one thread at a time.
 */
public interface LoadBalancer {

    /** How an attempt or a probe ended. */
    enum Outcome {
        /** Served. */
        OK(false),
        /** The endpoint answered with an error; the work may have run. */
        ERROR(false),
        /** Rejected unseen, the queue being full or the endpoint draining. */
        REJECTED(true),
        /** No answer in time; the work may have run or be running. */
        TIMEOUT(false),
        /** No connection could be made in time. */
        CONNECT_FAILED(true),
        /** The connection broke while the attempt was out. */
        RESET(false),
        /** Called off by this replica; the work may have run. */
        CANCELLED(false),
        /**
         * Never sent: its request was over, out of time or attempts, or there was no room for it
         * here.
         */
        NOT_STARTED(true);

        private final boolean provesNotRun;

        Outcome(boolean provesNotRun) {
            this.provesNotRun = provesNotRun;
        }

        /** Whether this outcome proves that the attempt never ran. */
        public boolean provesNotRun() {
            return provesNotRun;
        }
    }

    /** How far the requests of a class may be repeated once one attempt may have run. */
    enum Idempotency {
        SAFE,
        KEYED,
        UNSAFE
    }

    /** Which endpoints drop the repeats of a keyed request. */
    enum KeyScope {
        ALL,
        ZONE,
        CELL
    }

    /** What the tiers above and below let know of a request, before work goes into it. */
    enum AdmissionHint {
        /** Nothing speaks against it. */
        ADMIT,
        /** It has come here before: the tiers send to one another in a circle. */
        LOOP,
        /** Its time can't suffice. */
        DEADLINE_TOO_SHORT,
        /** The tier below has too much work, and others are worth more for theirs. */
        OVERLOADED
    }

    /** What the list of endpoints says of one of them. */
    enum EndpointStatus {
        READY,
        DRAINING,
        REMOVED
    }

    /** Whether a list replaces what was known or changes it. */
    enum EndpointListKind {
        FULL,
        DELTA,
        CACHED
    }

    /**
     * One class of requests.
     *
     * @param latencyObjectiveNanos answers within this time of arrival earn the full worth
     * @param deadlineNanos the longest a client waits, over all its tries
     * @param lateWeight the share of the worth that a later answer still earns
     * @param keyWindowNanos how long endpoints remember a key, from the send of the first attempt
     *     that may have run
     * @param streaming whether answers are streamed
     */
    record RequestClass(
            String name,
            Idempotency idempotency,
            KeyScope keyScope,
            long latencyObjectiveNanos,
            long deadlineNanos,
            double priorityWeight,
            double lateWeight,
            long keyWindowNanos,
            boolean streaming) {}

    /**
     * One tenant: its share of the service, and that share in requests a second over all replicas
     * (0: none).
     */
    record Tenant(String name, double quotaShare, double quotaPerSecond) {}

    /** What the site permits. {@code maxAttempts} counts all attempts of one request. */
    record Limits(
            boolean probing,
            boolean cancellation,
            boolean hedging,
            boolean retryAfterAdvice,
            int maxAttempts,
            long maxRetryAfterNanos,
            long connectTimeoutNanos,
            long connectionIdleNanos) {}

    /**
     * The figures of the rules.
     *
     * @param drainGraceNanos sends to a draining or gone endpoint stop within this time of being
     *     told
     * @param coldCapacityShare an endpoint starts with at least this share of its capacity
     * @param slowStartNanos and is warm within this time
     * @param overloadMultiple sent more than this multiple of what it can do ...
     * @param overloadWindowNanos ... for this long, a cold endpoint falls over
     * @param pollIntervalNanos where the list must be asked for: how long a replica may go without
     *     asking
     */
    record SafetyRules(
            long drainGraceNanos,
            double coldCapacityShare,
            long slowStartNanos,
            double overloadMultiple,
            long overloadWindowNanos,
            long pollIntervalNanos) {}

    /**
     * What service is worth to the site: the weights of its goal, and the worth of a request over
     * its share.
     *
     * @param weightByWork whether a request's worth is its class's for each unit of its work, and
     *     not the same for all requests of the class
     */
    record ServiceGoal(
            double overallWeight,
            double worstWindowWeight,
            double worstClassWeight,
            double worstTenantWeight,
            double overQuotaWeight,
            boolean weightByWork) {
        /** Requests of a class are worth the same, whatever their work. */
        public ServiceGoal(
                double whole,
                double worstWindow,
                double worstClass,
                double worstTenant,
                double overShareWorth) {
            this(whole, worstWindow, worstClass, worstTenant, overShareWorth, false);
        }
    }

    /**
     * What the site charges, in parts of the goal: for a probe and for a new connection, each for a
     * first try.
     */
    record ServicePrices(double probe, double handshake) {}

    /**
     * All that a replica is told when it starts.
     *
     * @param replicas how many replicas send to this tier
     * @param self the number of this replica among them, from 0
     * @param zone the zone of this replica
     * @param tier the tier this replica sends to, from 0
     * @param tierCount how many tiers there are
     * @param pollsEndpoints whether the list of endpoints comes only when asked for
     */
    record BalancerSettings(
            int replicas,
            int self,
            int zone,
            int tier,
            int tierCount,
            boolean pollsEndpoints,
            List<RequestClass> classes,
            List<Tenant> tenants,
            Limits limits,
            SafetyRules safety,
            ServiceGoal goal,
            ServicePrices prices) {}

    /**
     * One line of the list of endpoints. {@code startedAt} is the instant of its last start; 0:
     * long ago.
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
     * A request. {@code repeat}: its client marked it as a repeat. {@code expectedWorkNanos}: the
     * work expected, 0 if unknown. {@code uploading}: its body still comes, and {@link
     * LoadBalancer#onUploadComplete} tells of its end; until then no endpoint has begun it.
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
        /** One that is there whole. */
        public Request(
                long id,
                int classIndex,
                int tenant,
                long deadline,
                long key,
                boolean repeat,
                boolean write,
                long work) {
            this(id, classIndex, tenant, deadline, key, repeat, write, work, false);
        }
    }

    /**
     * What one zone may get of a replica's calls, by the table that the replicas agree on.
     *
     * @param zone as the list of endpoints numbers it
     * @param parts of {@link RouteTable#WHOLE}, this many; from 1
     * @param maxPerSecond it gets no more calls a second from this replica; 0: no bound
     */
    record ZoneTrafficShare(int zone, int parts, int maxPerSecond) {
        /**
         * Checks the ranges, which are the table's; what is wrong is an IllegalArgumentException.
         */
        public ZoneTrafficShare {
            check("zone", zone, 0, RouteTable.MAX_ZONES - 1);
            check("parts", parts, 1, RouteTable.WHOLE);
            check("perSecond", maxPerSecond, 0, Integer.MAX_VALUE);
        }

        private static void check(String name, int found, int min, int max) {
            if (found < min || found > max) {
                throw new IllegalArgumentException(
                        "share." + name + ": found " + found + "; allowed: " + min + " to " + max);
            }
        }
    }

    /** An endpoint's own report of its load. A figure that it does not report is NaN. */
    record LoadReport(
            double inFlight,
            double queued,
            double utilization,
            double latencyMillis,
            double requestsPerSecond,
            double errorsPerSecond) {}

    /**
     * What a replica may do. Everything takes effect at the time of the event being handled, in
     * order.
     */
    interface Actions {
        /**
         * Starts an attempt; the attempts of a request are numbered from 0 as sent. Time-out 0: the
         * deadline.
         */
        void startAttempt(long request, long endpoint, long timeout);

        /**
         * Ends a request: it was not done and may harmlessly be tried again, after a while (0: no
         * advice).
         */
        void reject(long request, long retryAfter);

        /** Ends a request: it failed, and nothing is promised. */
        void fail(long request);

        /** Stops waiting for one attempt. */
        void cancelAttempt(long request, int attempt);

        /** Asks one endpoint for its load. */
        void sendProbe(long endpoint);

        /** Closes the idle connections to one endpoint. */
        void closeIdleConnections(long endpoint);

        /**
         * Asks for {@link LoadBalancer#onTimer} with this token at this instant or soon after,
         * never at once.
         */
        void scheduleTimer(long at, long token);

        /**
         * Asks to be told of changes to the list from now on (and of those missed), or no longer.
         */
        void watchEndpoints(boolean on);

        /** Asks for the whole list once. */
        void fetchEndpoints();

        /** Sends a short message to one copy of this tier, or to all of them (-1). */
        void sendToPeers(int replica, byte[] message);

        /** Writes a line for the operator. */
        void log(String line);
    }

    /**
     * The list of endpoints, or changes to it. A ready endpoint with a new start time has
     * restarted.
     */
    void onEndpoints(long now, EndpointListKind kind, List<Endpoint> entries);

    /** A call for the list failed or a subscription broke; the old list stands. */
    void onEndpointsUnavailable(long now);

    /** A request has come in; the replica now owes it one final answer. */
    void onRequest(long now, Request request);

    /**
     * A request has come in, with how it stands; any but {@link AdmissionHint#ADMIT} should be
     * rejected. A module that doesn't listen takes it as any other.
     */
    default void onRequest(long now, Request request, AdmissionHint standing) {
        onRequest(now, request);
    }

    /** A streamed answer has begun; the attempt is the client's from here on. */
    void onFirstByte(long now, long request, int attempt, long endpoint, long latency);

    /**
     * An attempt ended. {@code settled}: the request is over, by this or earlier. {@code load} may
     * be null.
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
     * What an attempt that was sent, and of which no byte has gone out yet, ends with instead of
     * beginning now; null: it may begin. {@link Outcome#CONNECT_FAILED} where another endpoint may
     * take the request in its place, {@link Outcome#NOT_STARTED} where nothing more may be sent for
     * it. It is a question, and changes nothing; the outcome is told like any other. A module that
     * doesn't answer lets all begin.
     */
    default Outcome startDenial(long now, long request, int attempt) {
        return null;
    }

    /** The last byte of a request that was uploading has come: its client's wait begins now. */
    default void onUploadComplete(long now, long request) {}

    /** The client has gone; the request is over. */
    void onClientLeft(long now, long request);

    /** A scheduled time has come. */
    void onTimer(long now, long token);

    /**
     * The probe that was sent {@code latency} ago came back. {@code load} is null unless it was
     * answered with a report.
     */
    void onProbeEnded(long now, long endpoint, Outcome outcome, long latency, LoadReport load);

    /**
     * An answer that had begun, with which its attempt has been told as served, broke off. A module
     * that doesn't listen never hears of it.
     *
     * @param sentAt when the attempt was sent
     */
    default void onResponseAborted(long now, long endpoint, long sentAt) {}

    /**
     * An operator has put an endpoint back, which should get calls soon: nothing may be known of
     * it.
     */
    default void onEndpointReenabled(long now, long endpoint) {}

    /**
     * How many replicas live, this one with them, from 1 to {@link BalancerSettings#replicas};
     * until the first such event all do. A module that doesn't listen goes on with all.
     */
    default void onLiveReplicas(long now, int live) {}

    /**
     * Which part of this replica's calls each zone may get from now on, in place of what was said
     * before. Their order is that in which they stand in for one another, after the replica's own
     * zone. An empty list, as at the start: any zone may, as the balancer sees fit. A zone named
     * twice, or parts that sum up to more than a whole, are an IllegalArgumentException, and what
     * was said before stands. A module that doesn't listen goes on as it was.
     */
    default void onZoneShares(long now, List<ZoneTrafficShare> shares) {}

    /**
     * How many of the listed endpoints are avoided now: they drain, they fail, or they are silent.
     * It is a question, and changes nothing.
     */
    default int avoidedEndpoints(long now) {
        return 0;
    }

    /** A message from another copy of this tier. */
    void onPeerMessage(long now, int from, byte[] message);
}
