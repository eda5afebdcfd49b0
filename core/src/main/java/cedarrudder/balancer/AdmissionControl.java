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
 * Decides which requests are admitted and in what order they are served, by tenants' quotas, the
 * concurrency limit of this replica, the priority of classes and the traffic split between zones.
 */
final class AdmissionControl {

    /** Lower bound of the factor that reduces the limit for requests over their tenant's quota. */
    private static final double MIN_OVER_QUOTA_FRACTION = 0.5;

    /**
     * The work from which a request's weight is computed where its expected work is unknown or does
     * not count; an order of magnitude.
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

    /** Assigns requests to zones; null while zones have no shares of the traffic. */
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

    /** Counts a request of a tenant and returns whether it exceeds the tenant's quota. */
    boolean isOverQuota(long now, int tenant) {
        return quotas.isOverQuota(now, tenant);
    }

    /** Divides tenants' quotas by the number of live replicas. */
    void onLiveReplicas(int live) {
        quotas.onLiveReplicas(live);
    }

    /**
     * Returns whether an arrived request is admitted; sets its limit fraction and its zone. The
     * concurrency limit applies only at the first tier: at later tiers, work has already been spent
     * on the request.
     */
    boolean admit(long now, RequestState request) {
        if (!request.isOverQuota()) {
            priority.onRequest(now, request.classIndex(), weight(request));
        }
        request.setLimitFraction(limitFraction(request));
        boolean withinLimit =
                settings.tier() > 0 || limit.tryAdmit(traffic.inFlight(), request.limitFraction());
        if (zoneSplit == null) {
            request.assignZone(settings.zone());
        } else {
            request.assignZone(zoneSplit.assignZone(now, request.limitFraction(), withinLimit));
        }
        return withinLimit && request.assignedZone() != ZoneTrafficSplit.NO_ZONE;
    }

    /**
     * Returns the fraction of limits that is open to a request: smaller for a class with less
     * priority weight for its work, and for a request over its tenant's quota. A goal that includes
     * the worst class reduces the preference for the best.
     */
    private double limitFraction(RequestState request) {
        double highestWeight =
                IntStream.range(0, settings.classes().size())
                        .mapToDouble(this::weightPerLatency)
                        .max()
                        .orElse(0);
        double relativeWeight = weightPerLatency(request.classIndex()) / highestWeight;
        ServiceGoal goal = settings.goal();
        double preference = goal.overallWeight() / (goal.overallWeight() + goal.worstClassWeight());
        double reserved = parameters.get(Parameter.LIMIT_RESERVED_SHARE);
        double fraction = 1 - reserved * preference * (1 - relativeWeight);
        return request.isOverQuota()
                ? fraction * Math.max(MIN_OVER_QUOTA_FRACTION, goal.overQuotaWeight())
                : fraction;
    }

    private double weightPerLatency(int classIndex) {
        RequestClass requestClass = settings.classes().get(classIndex);
        return requestClass.priorityWeight() / Math.max(1, serviceTimes.classMean(classIndex));
    }

    /** Returns the weight that a request adds to the goal if it is served in time. */
    private double weight(RequestState request) {
        boolean byWork = settings.goal().weightByWork() && request.hasExpectedWork();
        return request.requestClass().priorityWeight()
                * (byWork ? request.expectedWorkNanos() : DEFAULT_WORK_NANOS);
    }

    /** Records a successful response, after the service times have recorded it. */
    void onServed(long now, RequestState request) {
        RequestClass requestClass = request.requestClass();
        int classIndex = request.classIndex();
        if (!settings.goal().weightByWork()) {
            priority.weightPerWork(
                    classIndex, requestClass.priorityWeight() / serviceTimes.classMean(classIndex));
        }
        boolean withinObjective = now - request.arrivedAt() <= requestClass.latencyObjectiveNanos();
        if (!request.isOverQuota() && withinObjective) {
            priority.onServed(now, classIndex, weight(request));
        }
    }

    /**
     * Adapts the concurrency limit after the end of an attempt. Rejections count as slow responses,
     * since some overload is not visible otherwise. Errors and failed connections do not: they do
     * not indicate too much work, and load shedding would not remedy them.
     *
     * @param readyEndpoints the number of ready endpoints
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

    /** Returns the priority of serving a request of this class next. */
    double priority(int classIndex, boolean overQuota) {
        return priority.priority(classIndex, overQuota);
    }

    // ---- zones

    /**
     * Sets the fraction of the requests that each zone gets; if the list is empty, no zone has a
     * share.
     */
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

    /** Returns whether zones have shares of the traffic. */
    boolean hasZoneShares() {
        return zoneSplit != null;
    }

    /** Returns whether a zone has a share of the traffic; valid only if {@link #hasZoneShares}. */
    boolean isServing(int zone) {
        return zoneSplit.isServing(zone);
    }

    /**
     * Returns whether the rate limit of a zone leaves capacity for this request; true if zones have
     * no shares.
     */
    boolean zoneHasCapacity(long now, int zone, RequestState request) {
        return zoneSplit == null || zoneSplit.hasCapacity(now, zone, request.limitFraction());
    }

    /**
     * Returns the zones that may serve a request, its assigned zone first; valid only if {@link
     * #hasZoneShares}.
     */
    int[] candidateZones(long now, RequestState request) {
        return zoneSplit.candidates(now, request.assignedZone(), request.limitFraction());
    }

    void onSent(int zone) {
        if (zoneSplit != null) {
            zoneSplit.onSent(zone);
        }
    }
}
