package cedarrudder.balancer;

import cedarrudder.admission.AdaptiveConcurrencyLimit;
import cedarrudder.admission.ClassPriority;
import cedarrudder.admission.TenantQuotas;
import cedarrudder.admission.ZoneTrafficSplit;
import cedarrudder.balancer.BalancerParameters.Parameter;
import cedarrudder.balancer.BalancerSettings.RequestClass;
import cedarrudder.balancer.BalancerSettings.ServiceGoal;
import cedarrudder.balancer.BalancerSettings.Tenant;
import cedarrudder.balancer.LoadBalancer.Outcome;
import cedarrudder.balancer.LoadBalancer.ZoneTrafficShare;
import cedarrudder.routetable.RouteTable;
import java.util.List;
import java.util.random.RandomGenerator;
import java.util.stream.IntStream;

/**
 * Which requests are let in, and in what order they are served: tenants' quotas, the concurrency
 * limit of this replica, the priority of classes, and the traffic split over zones.
 */
final class AdmissionControl {

    /** Requests over their tenant's quota find at least this part of the limit. */
    private static final double MIN_OVER_QUOTA_SHARE = 0.5;

    /**
     * The weight of a request for each nanosecond of work is of this order where work is unknown.
     */
    private static final double DEFAULT_WORK_NANOS = 1e8;

    private final BalancerSettings settings;
    private final BalancerParameters parameters;
    private final RandomGenerator random;
    private final ServiceTimes serviceTimes;
    private final TrafficStatistics traffic;
    private final TenantQuotas quotas;
    private final AdaptiveConcurrencyLimit limit;
    private final ClassPriority priority;

    /** Which zone each request goes to; null while zones have no shares. */
    private ZoneTrafficSplit zoneSplit;

    AdmissionControl(
            BalancerSettings settings,
            BalancerParameters parameters,
            RandomGenerator random,
            ServiceTimes serviceTimes,
            TrafficStatistics traffic) {
        this.settings = settings;
        this.parameters = parameters;
        this.random = random;
        this.serviceTimes = serviceTimes;
        this.traffic = traffic;
        ServiceGoal goal = settings.goal();
        this.priority =
                new ClassPriority(
                        settings.classes().size(),
                        goal.overallWeight(),
                        goal.worstClassWeight(),
                        goal.overQuotaWeight());
        for (int i = 0; i < settings.classes().size(); i++) {
            priority.weightPerWork(i, settings.classes().get(i).priorityWeight());
        }
        double[] quotaPerSecond =
                settings.tenants().stream().mapToDouble(Tenant::quotaPerSecond).toArray();
        this.quotas = new TenantQuotas(quotaPerSecond, settings.replicas());
        this.limit =
                new AdaptiveConcurrencyLimit(
                        parameters.get(Parameter.LIMIT_DECREASE),
                        parameters.get(Parameter.LIMIT_INCREASE),
                        parameters.get(Parameter.LIMIT_CUT_FACTOR));
    }

    /** Counts a request of a tenant; whether it exceeds the tenant's quota. */
    boolean isOverQuota(long now, int tenant) {
        return quotas.isOverQuota(now, tenant);
    }

    /** Tenants' quotas are divided by the replicas that live. */
    void onLiveReplicas(int live) {
        quotas.onLiveReplicas(live);
    }

    /**
     * Whether a request that has arrived is let in; sets its share of limits and its zone. The
     * concurrency limit counts at the first tier alone: further down, work has gone into a request
     * already.
     */
    boolean admit(long now, RequestState request) {
        if (!request.isOverQuota()) {
            priority.onRequest(now, request.classIndex(), weight(request));
        }
        request.setLimitShare(limitShare(request));
        boolean withinLimit =
                settings.tier() > 0 || limit.tryAdmit(traffic.inFlight(), request.limitShare());
        if (zoneSplit == null) {
            request.assignZone(settings.zone());
        } else {
            request.assignZone(zoneSplit.assignZone(now, request.limitShare(), withinLimit));
        }
        return withinLimit && request.assignedZone() != ZoneTrafficSplit.NO_ZONE;
    }

    /**
     * The share of limits that is open to a request: less for one of less weight for its work, and
     * for one over its tenant's quota. A goal that looks at the worst class leaves less room for
     * preferring the best.
     */
    private double limitShare(RequestState request) {
        double best =
                IntStream.range(0, settings.classes().size())
                        .mapToDouble(this::weightPerLatency)
                        .max()
                        .orElse(0);
        double relative = weightPerLatency(request.classIndex()) / best;
        ServiceGoal goal = settings.goal();
        double preference = goal.overallWeight() / (goal.overallWeight() + goal.worstClassWeight());
        double reserved = parameters.get(Parameter.LIMIT_RESERVED_SHARE);
        double share = 1 - reserved * preference * (1 - relative);
        return request.isOverQuota()
                ? share * Math.max(MIN_OVER_QUOTA_SHARE, goal.overQuotaWeight())
                : share;
    }

    private double weightPerLatency(int classIndex) {
        RequestClass requestClass = settings.classes().get(classIndex);
        return requestClass.priorityWeight() / Math.max(1, serviceTimes.classMean(classIndex));
    }

    /** What a request weighs in the goal when it is served in time. */
    private double weight(RequestState request) {
        boolean byWork = settings.goal().weightByWork() && request.hasExpectedWork();
        return request.requestClass().priorityWeight()
                * (byWork ? request.expectedWorkNanos() : DEFAULT_WORK_NANOS);
    }

    /** Takes a good answer, after the service times did. */
    void onServed(long now, RequestState request) {
        RequestClass requestClass = request.requestClass();
        int classIndex = request.classIndex();
        if (!settings.goal().weightByWork()) {
            priority.weightPerWork(
                    classIndex, requestClass.priorityWeight() / serviceTimes.classMean(classIndex));
        }
        boolean inTime = now - request.arrivedAt() <= requestClass.latencyObjectiveNanos();
        if (!request.isOverQuota() && inTime) {
            priority.onServed(now, classIndex, weight(request));
        }
    }

    /**
     * Adapts the concurrency limit to how an attempt ended. Rejections count as slow answers, since
     * some overload shows in nothing else. Errors and failed connections do not: they are no sign
     * of too much work, and shedding load mends nothing.
     *
     * @param readyEndpoints how many endpoints are ready
     */
    void onAttemptEnded(long now, RequestState request, Outcome outcome, int readyEndpoints) {
        boolean rejected = outcome == Outcome.REJECTED;
        if (outcome != Outcome.OK && outcome != Outcome.TIMEOUT && !rejected) {
            return;
        }
        double slowAfter =
                parameters.get(Parameter.SLOW_OBJECTIVE_SHARE)
                        * request.requestClass().latencyObjectiveNanos();
        boolean slow = now - request.arrivedAt() > slowAfter || rejected;
        double min =
                parameters.get(Parameter.INITIAL_ENDPOINT_LIMIT)
                        * readyEndpoints
                        / settings.replicas();
        limit.onResponse(slow, traffic.inFlight(), traffic.peakInFlight(), min);
    }

    /** The priority of serving a request of this class next. */
    double priority(int classIndex, boolean overQuota) {
        return priority.priority(classIndex, overQuota);
    }

    // ---- zones

    /** Sets which part of the requests each zone gets; empty: no zone has a share. */
    void setZoneShares(List<ZoneTrafficShare> shares) {
        if (shares.isEmpty()) {
            zoneSplit = null;
            return;
        }
        ZoneTrafficSplit split =
                zoneSplit != null
                        ? zoneSplit
                        : new ZoneTrafficSplit(settings.zone(), RouteTable.TOTAL_WEIGHT, random);
        split.update(
                shares.stream()
                        .map(
                                share ->
                                        new ZoneTrafficSplit.Part(
                                                share.zone(), share.parts(), share.maxPerSecond()))
                        .toList());
        zoneSplit = split;
    }

    /** Whether zones have shares of the traffic. */
    boolean hasZoneShares() {
        return zoneSplit != null;
    }

    /** Whether a zone has a share; only where {@link #hasZoneShares}. */
    boolean isServing(int zone) {
        return zoneSplit.isServing(zone);
    }

    /** Whether a zone's rate has room for this request; true where zones have no shares. */
    boolean zoneHasCapacity(long now, int zone, RequestState request) {
        return zoneSplit == null || zoneSplit.hasCapacity(now, zone, request.limitShare());
    }

    /** The zones that may serve a request, its own first; only where {@link #hasZoneShares}. */
    int[] candidateZones(long now, RequestState request) {
        return zoneSplit.candidates(now, request.assignedZone(), request.limitShare());
    }

    void onSent(int zone) {
        if (zoneSplit != null) {
            zoneSplit.onSent(zone);
        }
    }
}
