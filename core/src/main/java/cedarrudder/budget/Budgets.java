package cedarrudder.budget;

import cedarrudder.balancer.BalancerSettings;
import cedarrudder.balancer.LoadBalancer.AdmissionHint;
import cedarrudder.balancer.LoadBalancer.Outcome;
import cedarrudder.balancer.LoadBalancer.Request;
import cedarrudder.budget.DownstreamFeedback.Why;
import java.util.Arrays;
import java.util.random.RandomGenerator;

/**
 * The budgets of one proxy: what a request that comes may cost, whether a further attempt may go
 * out, and what goes down with each. It decides and does nothing itself: the driver tells it what
 * happens and asks.
 *
 * <p>All instants are readings of the driver's clock, in nanoseconds. Not thread-safe: call it from
 * one thread. Each call costs a few additions, and a walk over at most 96 counts where a quantile
 * is asked for.
 */
public final class Budgets {

    /** The way is taken to be as long as this share of the probes took at most. */
    private static final double WAY = 0.9;

    /** Without any probe the way is taken to be this long. */
    private static final long WAY_UNKNOWN = 1_000_000L;

    /** And at most this share of what is left: a slow probe must not eat a quick request's time. */
    private static final double MAX_WAY = 0.25;

    /**
     * Time can't suffice when it is less than what this share of the class's answers has needed ...
     */
    private static final double QUICKEST = 0.05;

    /** ... of at least this many answers ... */
    private static final int NEEDS_KNOWN = 50;

    /** ... the last of which came no longer ago than this: this avoids refusing all for good. */
    private static final long NEEDS_COUNT = 5_000_000_000L;

    private static final long MIN_LEFT = 1_000_000L;
    private static final long MINUTE = 60_000_000_000L;

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
    private final QuantileEstimator way = new QuantileEstimator();
    private final QuantileEstimator[] needs;
    private final long[] neededAt;

    // What is logged once a minute.
    private long minuteEnds = Long.MIN_VALUE;
    private long byTree;
    private long byShare;
    private final long[] stood = new long[AdmissionHint.values().length];

    /**
     * @param site what the balancer knows of the site
     * @param random names what is handed down; two proxies must not have the same numbers
     * @param events what is logged for the operator
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
        needs = new QuantileEstimator[site.classes().size()];
        neededAt = new long[needs.length];
        for (int i = 0; i < needs.length; i++) {
            needs[i] = new QuantileEstimator();
        }
    }

    /** How long a call of this class that doesn't say may take, in nanoseconds. */
    public long defaultDeadline(int classIndex) {
        return deadlines.of(classIndex);
    }

    // ---- what happens ----

    /** A request has come, with its deadline and what its client said. */
    public RequestBudget onRequest(long now, Request request, PropagatedBudget carried) {
        if (carried.hasClientDeadline()) {
            deadlines.onWaited(request.classIndex(), request.deadline() - now);
        }
        boolean repeat = carried.repeat() || request.repeat();
        double own = priorityScale.of(now, request.classIndex(), request.tenant(), repeat);
        double weight = Double.isNaN(carried.priority()) ? own : Math.min(carried.priority(), own);
        AdmissionHint standing = standing(now, request, carried, weight);
        if (standing == AdmissionHint.ADMIT) {
            if (repeat) {
                retryBudget.spend(now);
            } else {
                retryBudget.first(now);
            }
        }
        tell(now, standing, carried);
        return new RequestBudget(
                request,
                carried,
                now,
                standing,
                weight,
                repeat,
                attempts(now, request, carried),
                standing == AdmissionHint.LOOP
                        ? carried.path().plus(settings.hop())
                        : HopPath.EMPTY);
    }

    private AdmissionHint standing(
            long now, Request request, PropagatedBudget carried, double weight) {
        HopPath path = carried.path();
        if (path.has(settings.hop()) || path.hops().size() >= settings.maxHops()) {
            return AdmissionHint.LOOP;
        }
        QuantileEstimator needed = needs[request.classIndex()];
        if (now - neededAt[request.classIndex()] > NEEDS_COUNT) {
            needed.clear();
        }
        if (needed.count() >= NEEDS_KNOWN && request.deadline() - now < needed.atLeast(QUICKEST)) {
            return AdmissionHint.DEADLINE_TOO_SHORT;
        }
        return priorityAdmission.admits(now, weight)
                ? AdmissionHint.ADMIT
                : AdmissionHint.OVERLOADED;
    }

    /** Takes the least of what the call says and what this tier allows. */
    private AttemptBudget attempts(long now, Request request, PropagatedBudget carried) {
        int unsaid = site.tier() == 0 ? settings.tries() : settings.triesWithoutFields();
        int tries =
                carried.attempts() < 0 ? unsaid : Math.min(carried.attempts(), settings.tries());
        return carried.grant() == 0
                ? new AttemptBudget(tries)
                : grants.of(
                        now,
                        carried.grant(),
                        tries,
                        Math.max(
                                request.deadline(),
                                now + site.classes().get(request.classIndex()).deadlineNanos()));
    }

    /** The client has gone before it was answered. */
    public void onClientLeft(long now, RequestBudget call) {
        if (!call.received.hasClientDeadline()) {
            deadlines.onWaited(call.request.classIndex(), now - call.arrivedAt);
        }
    }

    /** A probe took so long, there and back. */
    public void onProbeAnswered(long latency) {
        way.add(latency);
    }

    /**
     * An attempt ended.
     *
     * @param handed what {@link #propagate} gave it
     * @param below what its answer said
     */
    public void onAttemptEnded(
            long now,
            RequestBudget call,
            PropagatedBudget handed,
            Outcome outcome,
            long latency,
            DownstreamFeedback below) {
        if (outcome.provesNotRun()) {
            call.attempts.giveBack(handed.attempts(), 0);
        } else if (below.attemptsSpent() >= 0) {
            call.attempts.giveBack(handed.attempts(), below.attemptsSpent());
        }
        boolean overload = below.why() == Why.OVERLOAD;
        if (overload || below.why() == Why.LOOP) {
            call.closed = true;
            call.requestedDeadline = below.why();
            call.loop = below.path();
        } else if (outcome == Outcome.REJECTED) {
            call.requestedDeadline = Why.OVERLOAD;
        }
        if (outcome == Outcome.OK) {
            int kind = call.request.classIndex();
            priorityScale.served(kind, latency);
            needs[kind].add(latency);
            neededAt[kind] = now;
        }
        if (outcome == Outcome.OK || outcome == Outcome.ERROR) {
            priorityAdmission.onAnswer(now, overload);
        }
    }

    // ---- what may be done ----

    /**
     * Whether an attempt may go out now; if so it is paid for. The first one may, unless it closes
     * a loop.
     */
    public boolean mayAttempt(long now, RequestBudget call) {
        if (call.standing == AdmissionHint.LOOP) {
            return false;
        }
        if (call.sent > 0) {
            boolean tree = !call.closed && call.attempts.covers();
            if (!tree || !retryBudget.covers(now)) {
                call.denied = true;
                byTree += tree ? 0 : 1;
                byShare += tree ? 1 : 0;
                return false;
            }
            call.attempts.spend();
            retryBudget.spend(now);
        }
        call.sent++;
        return true;
    }

    /** What goes down with the attempt that was just allowed. */
    public PropagatedBudget propagate(long now, RequestBudget call) {
        long left = call.request.deadline() - now;
        long margin =
                Math.min(way.count() == 0 ? WAY_UNKNOWN : way.atMost(WAY), (long) (MAX_WAY * left));
        boolean last = site.tier() >= site.tierCount() - 1;
        return new PropagatedBudget(
                true,
                true,
                Math.max(MIN_LEFT, left - margin),
                last ? 0 : call.attempts.propagate(settings.keep()),
                Math.max(1, random.nextLong() >>> 1),
                call.priority,
                call.repeat || call.sent > 1,
                call.received.path().plus(settings.hop()));
    }

    // ---- what the operator reads ----

    private void tell(long now, AdmissionHint standing, PropagatedBudget carried) {
        stood[standing.ordinal()]++;
        if (standing == AdmissionHint.LOOP) {
            long more = loops.due(now, carried.path().from(settings.hop()));
            if (more >= 0) {
                events.loopRejected(carried.path().plus(settings.hop()), more);
            }
        }
        if (minuteEnds == Long.MIN_VALUE) {
            minuteEnds = now + MINUTE;
        } else if (now >= minuteEnds) {
            minuteEnds = now + MINUTE;
            minute();
        }
    }

    private void minute() {
        long overload = stood[AdmissionHint.OVERLOADED.ordinal()];
        long noTime = stood[AdmissionHint.DEADLINE_TOO_SHORT.ordinal()];
        if (overload + noTime + byTree + byShare > 0) {
            events.summarized(
                    new BudgetEvents.MinuteSummary(
                            stood[AdmissionHint.ADMIT.ordinal()] + overload + noTime,
                            byTree,
                            byShare,
                            overload,
                            noTime,
                            Math.round(100 * priorityAdmission.share())));
        }
        byTree = 0;
        byShare = 0;
        Arrays.fill(stood, 0);
    }
}
