package cedarrudder.budget;

import cedarrudder.balancer.BalancerSettings;
import cedarrudder.balancer.LoadBalancer.AdmissionHint;
import cedarrudder.balancer.LoadBalancer.Outcome;
import cedarrudder.balancer.LoadBalancer.Request;
import cedarrudder.budget.DownstreamFeedback.UnservedReason;
import java.util.Arrays;
import java.util.random.RandomGenerator;

/**
 * The budgets of one proxy: determines the budget of a received request, whether a further attempt
 * may be sent, and the budget that is propagated with each attempt. It performs no I/O: the
 * forwarder reports events and queries it.
 *
 * <p>All instants are readings of the forwarder's clock, in nanoseconds. Not thread-safe. Each call
 * costs a few additions, and a scan of at most 96 counts if it needs a quantile.
 */
public final class Budgets {

    /** The quantile of probe latencies that is taken as the network latency. */
    private static final double NETWORK_LATENCY_QUANTILE = 0.9;

    /** The network latency that is assumed without any probe, in nanoseconds. */
    private static final long DEFAULT_NETWORK_LATENCY_NANOS = 1_000_000L;

    /**
     * The maximum network latency as a fraction of the remaining time: a slow probe must not use up
     * the time of a quick request.
     */
    private static final double MAX_NETWORK_LATENCY_FRACTION = 0.25;

    /** The remaining time is too short if it is below this quantile of the class's latencies. */
    private static final double QUICK_RESPONSE_QUANTILE = 0.05;

    /** The minimum number of latencies for this check. */
    private static final int MIN_LATENCY_SAMPLES = 50;

    /**
     * How long after the last response its class's latencies are valid, in nanoseconds. Otherwise
     * all requests could be rejected for good.
     */
    private static final long LATENCY_VALIDITY_NANOS = 5_000_000_000L;

    private static final long MIN_REMAINING_NANOS = 1_000_000L;
    private static final long MINUTE_NANOS = 60_000_000_000L;

    private final BudgetSettings settings;
    private final BalancerSettings site;
    private final RandomGenerator random;
    private final BudgetEvents events;
    private final RetryBudget retryBudget;
    private final SharedBudgets grants = new SharedBudgets();
    private final DefaultDeadline deadlines;
    private final PriorityScale priorityScale;
    private final PriorityAdmission priorityAdmission;
    private final LoopReporter loops = new LoopReporter();
    private final QuantileEstimator probeLatencies = new QuantileEstimator();
    private final QuantileEstimator[] responseLatencies;
    private final long[] lastResponseAt;

    // The counts of the current minute, which are logged at its end.
    private long nextSummaryAt = Long.MIN_VALUE;
    private long deniedByTree;
    private long deniedByShare;
    private final long[] admissionCounts = new long[AdmissionHint.values().length];

    /**
     * Creates the budgets of a proxy that has received no request yet.
     *
     * @param site the settings of the site
     * @param random generates the ids of grants; two proxies must not have the same sequence
     * @param events receives what is logged for the operator
     */
    public Budgets(
            BudgetSettings settings,
            BalancerSettings site,
            RandomGenerator random,
            BudgetEvents events) {
        this.settings = settings;
        this.site = site;
        this.random = random;
        this.events = events;
        retryBudget = new RetryBudget(settings.share(), settings.minPerSecond(), settings.window());
        deadlines = new DefaultDeadline(site);
        priorityScale = new PriorityScale(site);
        priorityAdmission = new PriorityAdmission(settings.minAdmitted());
        responseLatencies = new QuantileEstimator[site.classes().size()];
        lastResponseAt = new long[responseLatencies.length];
        for (int i = 0; i < responseLatencies.length; i++) {
            responseLatencies[i] = new QuantileEstimator();
        }
    }

    /** Returns how long a request of this class without a deadline may take, in nanoseconds. */
    public long defaultDeadline(int classIndex) {
        return deadlines.defaultFor(classIndex);
    }

    // ---- events ----

    /** Records a request that was received with this budget, and returns its state. */
    public RequestBudget onRequest(long now, Request request, PropagatedBudget received) {
        if (received.hasClientDeadline()) {
            deadlines.onWaited(request.classIndex(), request.deadline() - now);
        }
        boolean repeat = received.repeat() || request.repeat();
        double ownPriority =
                priorityScale.priority(now, request.classIndex(), request.tenant(), repeat);
        double priority =
                Double.isNaN(received.priority())
                        ? ownPriority
                        : Math.min(received.priority(), ownPriority);
        AdmissionHint admissionHint = admissionHint(now, request, received, priority);
        if (admissionHint == AdmissionHint.ADMIT) {
            if (repeat) {
                retryBudget.spend(now);
            } else {
                retryBudget.recordFirstAttempt(now);
            }
        }
        countAdmission(now, admissionHint, received);
        return new RequestBudget(
                request,
                received,
                now,
                admissionHint,
                priority,
                repeat,
                attemptBudget(now, request, received),
                admissionHint == AdmissionHint.LOOP
                        ? received.path().withHop(settings.hop())
                        : HopPath.EMPTY);
    }

    private AdmissionHint admissionHint(
            long now, Request request, PropagatedBudget received, double priority) {
        HopPath path = received.path();
        if (path.containsHop(settings.hop()) || path.hops().size() >= settings.maxHops()) {
            return AdmissionHint.LOOP;
        }
        QuantileEstimator classLatencies = responseLatencies[request.classIndex()];
        if (now - lastResponseAt[request.classIndex()] > LATENCY_VALIDITY_NANOS) {
            classLatencies.clear();
        }
        if (classLatencies.count() >= MIN_LATENCY_SAMPLES
                && request.deadline() - now < classLatencies.lowerBound(QUICK_RESPONSE_QUANTILE)) {
            return AdmissionHint.DEADLINE_TOO_SHORT;
        }
        return priorityAdmission.admits(now, priority)
                ? AdmissionHint.ADMIT
                : AdmissionHint.OVERLOADED;
    }

    /** Returns the minimum of the received budget and what this tier allows. */
    private AttemptBudget attemptBudget(long now, Request request, PropagatedBudget received) {
        int defaultAttempts = site.tier() == 0 ? settings.tries() : settings.triesWithoutFields();
        int initialAttempts =
                received.attempts() < 0
                        ? defaultAttempts
                        : Math.min(received.attempts(), settings.tries());
        return received.grant() == 0
                ? new AttemptBudget(initialAttempts)
                : grants.budgetFor(
                        now,
                        received.grant(),
                        initialAttempts,
                        Math.max(
                                request.deadline(),
                                now + site.classes().get(request.classIndex()).deadlineNanos()));
    }

    /** Records that the client disconnected before it received a response. */
    public void onClientLeft(long now, RequestBudget budget) {
        if (!budget.received.hasClientDeadline()) {
            deadlines.onWaited(budget.request.classIndex(), now - budget.arrivedAt);
        }
    }

    /** Records the round-trip time of a probe, in nanoseconds. */
    public void onProbeAnswered(long latency) {
        probeLatencies.add(latency);
    }

    /**
     * Records that an attempt ended.
     *
     * @param propagated the budget that {@link #propagate} returned for it
     * @param feedback the feedback of its response
     */
    public void onAttemptEnded(
            long now,
            RequestBudget budget,
            PropagatedBudget propagated,
            Outcome outcome,
            long latency,
            DownstreamFeedback feedback) {
        if (outcome.provesNotRun()) {
            budget.attempts.refund(propagated.attempts(), 0);
        } else if (feedback.attemptsSpent() >= 0) {
            budget.attempts.refund(propagated.attempts(), feedback.attemptsSpent());
        }
        boolean overload = feedback.reason() == UnservedReason.OVERLOAD;
        if (overload || feedback.reason() == UnservedReason.LOOP) {
            budget.retriesStopped = true;
            budget.downstreamReason = feedback.reason();
            budget.loop = feedback.path();
        } else if (outcome == Outcome.REJECTED) {
            budget.downstreamReason = UnservedReason.OVERLOAD;
        }
        if (outcome == Outcome.OK) {
            int classIndex = budget.request.classIndex();
            priorityScale.onServed(classIndex, latency);
            responseLatencies[classIndex].add(latency);
            lastResponseAt[classIndex] = now;
        }
        if (outcome == Outcome.OK || outcome == Outcome.ERROR) {
            priorityAdmission.onResponse(now, overload);
        }
    }

    // ---- decisions on attempts ----

    /**
     * Returns whether an attempt may be sent now, and charges it if so. The first attempt of a
     * request is free and always allowed, unless it closes a loop.
     */
    public boolean tryAttempt(long now, RequestBudget budget) {
        if (budget.admissionHint == AdmissionHint.LOOP) {
            return false;
        }
        if (budget.attemptsSent > 0) {
            boolean withinTree = !budget.retriesStopped && budget.attempts.hasRemaining();
            if (!withinTree || !retryBudget.hasRemaining(now)) {
                budget.retryDenied = true;
                deniedByTree += withinTree ? 0 : 1;
                deniedByShare += withinTree ? 1 : 0;
                return false;
            }
            budget.attempts.spend();
            retryBudget.spend(now);
        }
        budget.attemptsSent++;
        return true;
    }

    /** Returns the budget to propagate with the attempt that was just allowed. */
    public PropagatedBudget propagate(long now, RequestBudget budget) {
        long remaining = budget.request.deadline() - now;
        long networkLatency =
                Math.min(
                        probeLatencies.count() == 0
                                ? DEFAULT_NETWORK_LATENCY_NANOS
                                : probeLatencies.upperBound(NETWORK_LATENCY_QUANTILE),
                        (long) (MAX_NETWORK_LATENCY_FRACTION * remaining));
        boolean last = site.tier() >= site.tierCount() - 1;
        return new PropagatedBudget(
                true,
                true,
                Math.max(MIN_REMAINING_NANOS, remaining - networkLatency),
                last ? 0 : budget.attempts.propagate(settings.keep()),
                Math.max(1, random.nextLong() >>> 1),
                budget.priority,
                budget.repeat || budget.attemptsSent > 1,
                budget.received.path().withHop(settings.hop()));
    }

    // ---- log events ----

    private void countAdmission(long now, AdmissionHint admissionHint, PropagatedBudget received) {
        admissionCounts[admissionHint.ordinal()]++;
        if (admissionHint == AdmissionHint.LOOP) {
            long more = loops.suppressedIfDue(now, received.path().loopFrom(settings.hop()));
            if (more >= 0) {
                events.loopRejected(received.path().withHop(settings.hop()), more);
            }
        }
        if (nextSummaryAt == Long.MIN_VALUE) {
            nextSummaryAt = now + MINUTE_NANOS;
        } else if (now >= nextSummaryAt) {
            nextSummaryAt = now + MINUTE_NANOS;
            logSummary();
        }
    }

    private void logSummary() {
        long overload = admissionCounts[AdmissionHint.OVERLOADED.ordinal()];
        long noTime = admissionCounts[AdmissionHint.DEADLINE_TOO_SHORT.ordinal()];
        if (overload + noTime + deniedByTree + deniedByShare > 0) {
            events.summarized(
                    new BudgetEvents.MinuteSummary(
                            admissionCounts[AdmissionHint.ADMIT.ordinal()] + overload + noTime,
                            deniedByTree,
                            deniedByShare,
                            overload,
                            noTime,
                            Math.round(100 * priorityAdmission.admittedFraction())));
        }
        deniedByTree = 0;
        deniedByShare = 0;
        Arrays.fill(admissionCounts, 0);
    }
}
