package cedarrudder.balancer;

import cedarrudder.admission.AdaptiveConcurrencyLimit;
import cedarrudder.admission.AdmissionQueue;
import cedarrudder.admission.AdmissionQueue.Offer;
import cedarrudder.admission.ClassPriority;
import cedarrudder.admission.MovingAverage;
import cedarrudder.admission.TenantQuotas;
import cedarrudder.admission.ZoneTrafficSplit;
import cedarrudder.balancer.BalancerParameters.Parameter;
import cedarrudder.routetable.RouteTable;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * The decisions of one copy: the life of a request from its arrival to its final answer.
 *
 * <p>The interface is Balancer.java. Read that first, then this file from the top, then
 * ProbePool.java (the mechanism that decides where an ordinary request goes), then Server.java
 * (what is known of one endpoint).
 *
 * <p>Where each rule is kept:
 *
 * <ul>
 *   <li>no request is lost: {@link #end} alone ends a request; {@link #outcome} answers at the
 *       deadline;
 *   <li>no effect happens twice: {@link #mayAttempt} and {@link #mayRefuse};
 *   <li>drains are kept: {@link #eligible}, and {@link #endpoints} empties the pool at once;
 *   <li>a cold endpoint is not pushed over: {@link EndpointState#withinColdBudget}, asked in {@link
 *       #eligible}.
 * </ul>
 */
public final class PrequalBalancer implements LoadBalancer {

    /** How often a copy looks after itself with nothing coming in. */
    private static final long TICK = 250_000_000L;

    /** Connections are looked over once in this many ticks. */
    private static final int TRIM_TICKS = 8;

    /** A copy keeps no idle connection for this long after an endpoint took none. */
    private static final long THRIFT = 3_000_000_000L;

    /** A request that no endpoint may take now is looked at again after this long. */
    private static final long HOLD = 20_000_000L;

    /**
     * A request that has been tried in vain counts this many times in line: time has gone into it.
     */
    private static final double TRIED_BEFORE = 2;

    /** Tries to find an endpoint at random that may take a request, before it is held. */
    private static final int RANDOM_DRAWS = 16;

    /**
     * Work below this counts as this much: the way and the queue take their time whatever the work.
     */
    private static final long MIN_WORK = 20_000_000L;

    /** Answers after which it is known how long they take. */
    private static final int STRETCH_KNOWN = 20;

    /** And this is the shortest silence that counts. */
    private static final long MIN_SILENT = 100_000_000L;

    /** Time over which rates are smoothed. */
    private static final double RATE_NANOS = 2e9;

    /** First call for the list: spread over this share of the time in which one must have asked. */
    private static final double ASK_SPREAD = 0.4;

    /** First wait after a failed call for the list; it doubles with each failure. */
    private static final long ASK_AGAIN = 1_000_000_000L;

    private static final long TOKEN_KIND = 1L << 56;
    private static final long TOKEN_TICK = 0;
    private static final long TOKEN_LINE = TOKEN_KIND;
    private static final long TOKEN_ASK = 2 * TOKEN_KIND;
    private static final long TOKEN_LATE = 3 * TOKEN_KIND;

    private final BalancerSettings settings;
    private final BalancerParameters tuning;
    private final RandomGenerator random;
    private final Actions actions;
    private final ProbePool pool;
    private final Map<Long, EndpointState> servers = new HashMap<>();
    private final Map<Long, RequestState> calls = new HashMap<>();
    private final MovingAverage[] byClass;
    private final MovingAverage overall;

    /** The longest that a core takes for a mean request: see {@link #warmRate}; nanoseconds. */
    private final MovingAverage coreTime;

    /** How much longer an answer takes than the work it was said to be. */
    private final MovingAverage stretch;

    private final TenantQuotas shares;
    private final AdaptiveConcurrencyLimit limit;
    private final ClassPriority worth;
    private final AdmissionQueue<RequestState> line;
    private boolean lineWatched;

    /** Which zone each call goes to; null while no zone has a share. */
    private ZoneTrafficSplit deal;

    /** Further attempts that may be made now. */
    private double extra;

    private double callsOut;
    private double maxOut;
    private double callRate;
    private double warmAnswers;
    private long callRateAt;
    private int out;
    private boolean ticking;
    private int ticks;
    private long thriftyUntil = Long.MIN_VALUE;
    private int askFailures;

    public PrequalBalancer(BalancerSettings settings, RandomGenerator random, Actions actions) {
        this(settings, BalancerParameters.DEFAULTS, random, actions);
    }

    public PrequalBalancer(
            BalancerSettings settings,
            BalancerParameters tuning,
            RandomGenerator random,
            Actions actions) {
        this.settings = settings;
        this.tuning = tuning;
        this.random = random;
        this.actions = actions;
        this.pool = new ProbePool(settings, tuning, random, actions);
        this.extra = tuning.get(Parameter.EXTRA_MOST) / 2;
        this.overall = new MovingAverage(tuning.get(Parameter.LATENCY_WEIGHT));
        this.coreTime = new MovingAverage(tuning.get(Parameter.LATENCY_WEIGHT));
        this.stretch = new MovingAverage(tuning.get(Parameter.LATENCY_WEIGHT));
        this.byClass = new MovingAverage[settings.classes().size()];
        this.worth =
                new ClassPriority(
                        byClass.length,
                        settings.goal().whole(),
                        settings.goal().worstClass(),
                        settings.goal().overShareWorth());
        for (int i = 0; i < byClass.length; i++) {
            byClass[i] = new MovingAverage(tuning.get(Parameter.LATENCY_WEIGHT));
            worth.perWork(i, settings.classes().get(i).worth());
        }
        double[] quotas = settings.tenants().stream().mapToDouble(Tenant::quotaPerSecond).toArray();
        this.shares = new TenantQuotas(quotas, settings.replicas());
        this.limit =
                new AdaptiveConcurrencyLimit(
                        tuning.get(Parameter.LIMIT_LESS),
                        tuning.get(Parameter.LIMIT_MORE),
                        tuning.get(Parameter.LIMIT_CUT));
        this.line = new AdmissionQueue<>(4 * byClass.length);
    }

    // ---- the list of endpoints ----

    @Override
    public void endpoints(long now, EndpointListKind kind, List<Endpoint> entries) {
        if (kind != EndpointListKind.CHANGES) {
            var named = entries.stream().map(Endpoint::id).collect(Collectors.toSet());
            servers.values().stream()
                    .filter(s -> !named.contains(s.id))
                    .toList()
                    .forEach(this::drop);
        }
        entries.forEach(entry -> list(now, entry));
        if (!ticking) {
            ticking = true;
            actions.schedule(now + (long) (random.nextDouble() * TICK) + 1, TOKEN_TICK);
            if (settings.askForEndpoints()) {
                // Guards against all copies asking at once a service that takes seconds to serve
                // them all.
                double spread = ASK_SPREAD * settings.safety().askWithin();
                actions.schedule(now + 1 + (long) (random.nextDouble() * spread), TOKEN_ASK);
            }
        } else if (kind != EndpointListKind.CACHED) {
            askFailures = 0;
        }
    }

    private void list(long now, Endpoint entry) {
        EndpointState known = servers.get(entry.id());
        // Guards against anything known of a former life being taken for this one's.
        if (known != null
                && (entry.state() == EndpointStatus.GONE
                        || known.listed.startedAt() != entry.startedAt()
                        || known.listed.zone() != entry.zone()
                        || known.listed.cell() != entry.cell())) {
            drop(known);
        }
        if (entry.state() != EndpointStatus.GONE) {
            EndpointState server =
                    servers.computeIfAbsent(
                            entry.id(),
                            id ->
                                    new EndpointState(
                                            entry,
                                            now,
                                            tuning.get(Parameter.HELD_START),
                                            random.nextDouble()));
            server.listed = entry;
            pool.listed(server, server.ready());
        }
    }

    private void drop(EndpointState server) {
        pool.listed(server, false);
        servers.remove(server.id);
    }

    @Override
    public void endpointsFailed(long now) {
        long wait = ASK_AGAIN << Math.min(askFailures++, 3);
        actions.schedule(now + 1 + wait / 2 + (long) (random.nextDouble() * wait), TOKEN_ASK);
    }

    // ---- a request comes in ----

    @Override
    public void request(long now, Request request) {
        RequestClass kind = settings.classes().get(request.classIndex());
        boolean overShare = shares.past(now, request.tenant());
        RequestState call =
                new RequestState(
                        request,
                        kind,
                        now,
                        overShare,
                        Math.max(1, settings.limits().maxAttempts()));
        calls.put(call.id, call);
        if (!overShare) {
            worth.asked(now, call.classIndex, worthOf(call));
        }
        call.part = part(call);
        boolean room = settings.tier() > 0 || limit.room(out, call.part);
        call.zone = deal == null ? settings.zone() : deal.next(now, call.part, room);
        if (!room || call.zone == ZoneTrafficSplit.NOWHERE) {
            end(call, mayRefuse(call));
            return;
        }
        countCall(now);
        pool.resize(callsOut);
        pool.call(now);
        extra =
                Math.min(
                        tuning.get(Parameter.EXTRA_MOST),
                        extra + tuning.get(Parameter.EXTRA_PER_CALL));
        if (call.work > 0 || coreTime.count() == 0) {
            coreTime.add(call.work > 0 ? 2 * call.work : call.kind.aim());
        }
        place(now, call);
        callRate +=
                cost(call)
                        * 1e9
                        / RATE_NANOS; // after: a rate is too high by itself as a call comes
    }

    /**
     * Guards against work that other tiers know to be in vain: nothing has run yet, so any may be
     * refused.
     */
    @Override
    public void request(long now, Request request, AdmissionHint standing) {
        if (standing == AdmissionHint.WANTED) {
            request(now, request);
        } else {
            actions.refuse(request.id(), standing == AdmissionHint.OVERLOAD ? comeBack() : 0);
        }
    }

    /**
     * What part of the limit of calls out is open to a request, at the tier that clients enter by:
     * further down, work has gone into it already. Requests worth less for their work, or over
     * their tenant's share, find it lower; and so with what zones may get, at each tier.
     */
    private double part(RequestState call) {
        double best =
                IntStream.range(0, byClass.length)
                        .mapToDouble(
                                i ->
                                        settings.classes().get(i).worth()
                                                / Math.max(1, byClass[i].mean()))
                        .max()
                        .orElse(0);
        double relative = call.kind.worth() / Math.max(1, byClass[call.classIndex].mean()) / best;
        ServiceGoal goal = settings.goal();
        // A goal that looks at the worst class leaves less room for preferring the best.
        double preference = goal.whole() / (goal.whole() + goal.worstClass());
        double part = 1 - tuning.get(Parameter.KEPT_FROM_LEAST) * preference * (1 - relative);
        return call.overShare ? part * Math.max(0.5, goal.overShareWorth()) : part;
    }

    /**
     * Sends a request on its way, or lets it wait in line until an endpoint may take it. It waits
     * where it can be given up for one that is worth more, and not in an endpoint that it would
     * drive past its limit.
     */
    private void place(long now, RequestState call) {
        if (now >= call.deadline
                || deal != null && deal.order(now, call.zone, call.part).length == 0) {
            end(call, mayRefuse(call));
            return;
        }
        double wait = tuning.get(Parameter.HOLD_SHARE) * call.kind.aim();
        call.holdUntil = Math.min(call.arrived + (long) wait, call.deadline - 2 * HOLD);
        call.held = true;
        int first = call.attempts > 0 ? 2 * byClass.length : 0;
        line.add(first + 2 * call.classIndex + (call.overShare ? 1 : 0), call);
        release(now);
        if (call.held && now >= call.holdUntil) {
            giveUpHeld(now);
        } else if (call.held && !lineWatched) {
            lineWatched = true;
            actions.schedule(now + HOLD, TOKEN_LINE);
        }
    }

    /** Gives those that wait their turn, by worth for their work. */
    private void release(long now) {
        double byWorth = tuning.get(Parameter.LINE_BY_WORTH);
        line.release(
                lane ->
                        Math.pow(
                                worth.next(lane / 2 % byClass.length, lane % 2 > 0)
                                        * (lane < 2 * byClass.length ? 1 : TRIED_BEFORE),
                                byWorth),
                call -> offer(now, call));
    }

    private Offer offer(long now, RequestState call) {
        EndpointState server = call.held ? pick(now, call) : null;
        if (server != null) {
            send(now, call, server);
        } else if (call.held && now >= call.holdUntil) {
            end(
                    call,
                    mayRefuse(call)); // has waited so long that to be told so is worth more than to
            // wait on
        }
        return !call.held ? Offer.TAKEN : call.attempts > 0 ? Offer.NONE_FOR_IT : Offer.NONE;
    }

    /** Turns away all who have waited too long, wherever they are in line. */
    private void giveUpHeld(long now) {
        line.remove(c -> !c.held || now >= c.holdUntil).forEach(call -> end(call, mayRefuse(call)));
    }

    /**
     * The hot-cold rule over the pool; else an endpoint of the roster at random; else any at
     * random. Where zones have shares, first that in the zone dealt, then in those that stand in
     * for it. While the roster has a sound one there, however busy, only they are sent to: guards
     * against overload that spreads. Where it has none, the shares are behind what this copy sees,
     * and guard nothing.
     */
    private EndpointState pick(long now, RequestState call) {
        Predicate<EndpointState> may =
                s ->
                        eligible(now, s)
                                && mayAttempt(now, call, s)
                                && !call.tried(s)
                                && (deal == null || deal.room(now, s.listed.zone(), call.part));
        for (int zone : deal == null ? new int[0] : deal.order(now, call.zone, call.part)) {
            Predicate<EndpointState> away =
                    s -> s.listed.zone() != zone || suspect(now, s) || s.mute;
            List<EndpointState> there =
                    pool.roster().stream().filter(s -> s.listed.zone() == zone).toList();
            EndpointState server = pick(now, away.negate().and(may), away, there);
            if (server != null) {
                return server;
            }
        }
        boolean known =
                deal != null
                        && pool.roster().stream()
                                .anyMatch(
                                        s ->
                                                deal.has(s.listed.zone())
                                                        && !s.crowded(now)
                                                        && !suspect(now, s)
                                                        && !s.mute
                                                        && mayAttempt(now, call, s)
                                                        && !call.tried(s));
        EndpointState server =
                deal == null
                        ? pick(now, may, s -> suspect(now, s), pool.roster())
                        : draw(
                                pool.ring,
                                s ->
                                        deal.has(s.listed.zone()) == known
                                                && !suspect(now, s)
                                                && may.test(s));
        boolean few =
                call.attempts > 0 && call.kind.keyScope() != KeyScope.ALL; // chance may miss a cell
        return server != null || known
                ? server
                : draw(few ? pool.ring.stream().filter(may).toList() : pool.ring, may);
    }

    private EndpointState pick(
            long now,
            Predicate<EndpointState> may,
            Predicate<EndpointState> suspect,
            List<EndpointState> roster) {
        EndpointState server =
                pool.pick(
                        now,
                        tuning.get(Parameter.TURNOVER_LATENCIES) * Math.max(1e6, overall.mean()),
                        may,
                        suspect);
        return server != null ? server : draw(roster, may.and(suspect.negate()));
    }

    private EndpointState draw(List<EndpointState> from, Predicate<EndpointState> may) {
        return IntStream.range(0, from.isEmpty() ? 0 : RANDOM_DRAWS)
                .mapToObj(i -> from.get(random.nextInt(from.size())))
                .filter(may)
                .findFirst()
                .orElse(null);
    }

    private void send(long now, RequestState call, EndpointState server) {
        int attempt = call.attempts++;
        call.to[attempt] = server;
        call.sentAt[attempt] = now;
        call.out++;
        call.held = false;
        out += call.uploading ? 0 : 1;
        server.uploads += call.uploading ? 1 : 0;
        server.sent(now, cost(call));
        if (deal != null) {
            deal.sent(server.listed.zone());
        }
        actions.send(call.id, server.id, 0);
        long wait = lateAfter(call);
        if (attempt == 0 && wait > 0 && now + wait < call.arrived + call.kind.aim()) {
            actions.schedule(now + wait, TOKEN_LATE + call.id);
        }
    }

    /**
     * After how long an answer is so late that something must be wrong, by what the request was
     * said to cost; 0 where that is not known or no second copy may go out.
     */
    private long lateAfter(RequestState call) {
        boolean known = call.work > 0 && stretch.count() >= STRETCH_KNOWN;
        return known
                        && !call.uploading
                        && call.kind.effect() != Idempotency.UNSAFE
                        && settings.limits().parallelTries()
                ? (long)
                        (tuning.get(Parameter.LATE_STRETCH)
                                * stretch.mean()
                                * Math.max(MIN_WORK, call.work))
                : 0;
    }

    /**
     * A second copy of a request whose answer is late. Guards against waiting until the deadline on
     * a connection that fell silent, or on an endpoint turned slow: nothing else tells of it in
     * time. Measured against what the request costs, since a time-out by its class alone repeats
     * the heavy ones.
     */
    private void sendCopy(long now, RequestState call) {
        EndpointState server =
                call.out == 1 && extra >= 1 && mayAttempt(now, call, null) ? pick(now, call) : null;
        if (server != null && !suspect(now, server)) {
            extra--;
            send(now, call, server);
        }
    }

    // ---- the gates ----

    /**
     * Whether anything new may be sent to an endpoint at all: it is listed, ready, has taken
     * connections and is not being pushed over; and it holds no more than it can.
     */
    private boolean eligible(long now, EndpointState server) {
        return server.ready()
                && server.room(now, settings.replicas())
                && !server.crowded(now)
                && (!server.cold(now, settings.safety())
                        || server.withinColdBudget(
                                now, warmRate(now, server), tuning, settings.safety()));
    }

    /**
     * Whether a further attempt of this request may go to this endpoint (null: to any at all).
     * Every attempt passes here, the first and the next.
     */
    private boolean mayAttempt(long now, RequestState call, EndpointState server) {
        return !call.answered
                && now < call.deadline
                && call.attempts < call.to.length
                && (call.out == 0 || settings.limits().parallelTries())
                && mayJoin(now, call, -1, server);
    }

    /** The same by what the other attempts prove, for one not yet made (-1), or not yet begun. */
    private boolean mayJoin(long now, RequestState call, int attempt, EndpointState server) {
        int first = call.mayHaveRun(attempt);
        if (first < 0 || call.kind.effect() == Idempotency.SAFE) {
            return true;
        }
        if (call.kind.effect() == Idempotency.UNSAFE
                || now >= call.sentAt[first] + call.kind.repeatWindow()) {
            return false;
        }
        Endpoint then = call.to[first].listed;
        return server == null
                || switch (call.kind.keyScope()) {
                    case ALL -> true;
                    case ZONE -> then.zone() == server.listed.zone();
                    case CELL -> then.cell() == server.listed.cell();
                };
    }

    /** Whether the client may be told that trying again is harmless, by what the attempts prove. */
    private boolean mayRefuse(RequestState call) {
        return call.mayHaveRun(-1) < 0
                || call.kind.effect() == Idempotency.SAFE
                || call.kind.effect() == Idempotency.KEYED && call.kind.keyScope() == KeyScope.ALL;
    }

    /** Whether this life of an endpoint is listed, and ready. */
    private boolean stands(EndpointState server) {
        return server.ready() && servers.get(server.id) == server;
    }

    @Override
    public Outcome denial(long now, long request, int attempt) {
        RequestState call = calls.get(request);
        return call == null
                        || call.answered
                        || attempt >= call.attempts
                        || !mayJoin(now, call, attempt, call.to[attempt])
                ? Outcome.MOOT
                : stands(call.to[attempt]) ? null : Outcome.CONNECT_FAILED;
    }

    private boolean suspect(long now, EndpointState server) {
        return server.failing(now) || server.silent(now, patience());
    }

    // ---- how attempts end ----

    @Override
    public void firstByte(long now, long request, int attempt, long endpoint, long latency) {
        Optional.ofNullable(calls.get(request))
                .filter(call -> !call.answered)
                .ifPresent(call -> close(call, attempt)); // the stream ends it, for good or ill
    }

    @Override
    public void outcome(
            long now,
            long request,
            int attempt,
            long endpoint,
            Outcome outcome,
            long latency,
            boolean settled,
            LoadReport load) {
        RequestState call = calls.get(request);
        if (call == null || attempt >= call.attempts || call.ended[attempt] != null) {
            return;
        }
        call.ended[attempt] = outcome;
        call.out--;
        out -= call.uploading ? 0 : 1;
        call.to[attempt].uploads -= call.uploading ? 1 : 0;
        boolean full =
                outcome == Outcome.CONNECT_FAILED
                        && now < call.deadline
                        && stands(call.to[attempt]);
        thriftyUntil = full ? now + THRIFT : thriftyUntil;
        if (outcome == Outcome.OK) {
            call.to[attempt].answered(now, settings.replicas(), latency, call.work);
            byClass[call.classIndex].add(latency);
            overall.add(latency);
            double warm =
                    pool.roster().stream()
                            .mapToDouble(s -> s.capacity(now, settings.safety()))
                            .sum();
            warmAnswers += warm > 0 ? cost(call) * 1e9 / RATE_NANOS / warm : 0;
            if (!settings.goal().worthByWork()) {
                worth.perWork(call.classIndex, call.kind.worth() / byClass[call.classIndex].mean());
            }
            if (!call.overShare && now - call.arrived <= call.kind.aim()) {
                worth.served(now, call.classIndex, worthOf(call));
            }
            (call.work > 0 ? stretch : coreTime)
                    .add(
                            call.work > 0
                                    ? latency / (double) Math.max(MIN_WORK, call.work)
                                    : latency);
        }
        if (outcome == Outcome.OK || outcome == Outcome.TIMEOUT || outcome == Outcome.FULL) {
            // Full counts, against overload that shows as quick refusals. Errors and broken or
            // refused
            // connections do not: they are no sign of too much work, and turning more away mends
            // nothing.
            double aim = tuning.get(Parameter.SLOW_SHARE) * call.kind.aim();
            limit.answered(
                    now - call.arrived > aim || outcome == Outcome.FULL,
                    out,
                    maxOut,
                    tuning.get(Parameter.HELD_START) * pool.ring.size() / settings.replicas());
        }
        call.to[attempt].ended(now, outcome);
        pool.ended(outcome);
        closeUnused(now, call.to[attempt]);
        if (settled || call.answered) {
            close(call, attempt);
        } else {
            next(now, call, outcome);
        }
        release(now);
    }

    /** After an attempt failed: another one, patience with those still out, or the final answer. */
    private void next(long now, RequestState call, Outcome outcome) {
        if (call.out == 0 && !call.held) {
            // An error from a tier that calls another has been retried below already: retries
            // multiply.
            boolean pays = !outcome.provesNotRun() || call.attempts > 1;
            // Moot: nothing more may be sent for it. Guards against holding it for an endpoint all
            // the same.
            boolean more = mayAttempt(now, call, null) && outcome != Outcome.MOOT;
            if (!more || pays && extra < 1) {
                // At the deadline only what never ran is refused; where more are out, the last one
                // tells.
                end(call, now < call.deadline ? mayRefuse(call) : call.mayHaveRun(-1) < 0);
                return;
            }
            extra -= pays ? 1 : 0;
            place(now, call);
        }
    }

    /** The one place where this copy ends a request. */
    private void end(RequestState call, boolean refuse) {
        if (refuse && !call.answered) {
            actions.refuse(call.id, comeBack());
        } else if (!call.answered) {
            actions.fail(call.id);
        }
        close(call, -1);
    }

    /**
     * When a client that was turned away should come back: after about the time in which one of the
     * calls out ends and makes room. Guards against advice that outlasts the aim of what it is
     * given for.
     */
    private long comeBack() {
        double turn =
                overall.mean() / Math.pow(Math.max(1, out), tuning.get(Parameter.COME_BACK_TURN));
        return settings.limits().retryAfter()
                ? (long) Math.min(settings.limits().maxRetryAfter(), turn)
                : 0;
    }

    /** A request is over: cancels what is out but one attempt, and forgets it after the last. */
    private void close(RequestState call, int except) {
        for (int i = 0; i < call.attempts && settings.limits().cancel() && !call.answered; i++) {
            if (i != except && call.ended[i] == null) {
                actions.cancel(call.id, i);
            }
        }
        call.answered = true;
        call.held = false;
        if (call.out == 0) {
            calls.remove(call.id);
        }
    }

    /**
     * Guards against connections piling up: at endpoints that this copy has no lasting business
     * with, and at all while endpoints turn connections away. The idle ones of one copy are those
     * that another lacks.
     */
    private void closeUnused(long now, EndpointState server) {
        if (now < thriftyUntil && !server.needsConnection()
                || server.inFlight == 0 && !server.inRoster) {
            pool.closeIdle(server);
        }
    }

    @Override
    public void whole(long now, long request) {
        RequestState call = calls.get(request);
        if (call != null && call.uploading) {
            out += call.out;
            call.whole(now);
        }
    }

    @Override
    public void clientLeft(long now, long request) {
        Optional.ofNullable(calls.get(request)).ifPresent(call -> close(call, -1));
    }

    @Override
    public void timer(long now, long token) {
        long kind = token - token % TOKEN_KIND;
        RequestState call = calls.get(token % TOKEN_KIND);
        if (kind == TOKEN_TICK) {
            actions.schedule(now + TICK, TOKEN_TICK); // first: guards against a fault ending it
            pool.idle(now);
            if (++ticks % TRIM_TICKS == 0) {
                pool.trim();
            }
        } else if (kind == TOKEN_ASK) {
            actions.subscribe(true);
        } else if (call != null && kind == TOKEN_LATE && !call.answered) {
            sendCopy(now, call);
        } else if (kind == TOKEN_LINE) {
            lineWatched = line.size() > 0;
            if (lineWatched) {
                actions.schedule(now + HOLD, TOKEN_LINE); // first, as above
            }
            release(now);
            giveUpHeld(now);
        }
    }

    @Override
    public void probed(long now, long endpoint, Outcome outcome, long latency, LoadReport load) {
        Optional.ofNullable(servers.get(endpoint))
                .ifPresent(server -> pool.probed(now, server, outcome, now - latency, load));
    }

    @Override
    public void returned(long now, long endpoint) {
        Optional.ofNullable(servers.get(endpoint))
                .filter(EndpointState::ready)
                .ifPresent(s -> pool.ask(now, s));
    }

    @Override
    public void brokeOff(long now, long endpoint, long sentAt) {
        Optional.ofNullable(servers.get(endpoint))
                .ifPresent(server -> server.brokeOff(now, sentAt));
    }

    /**
     * Tenants' shares are divided by those that live; what keeps a cold endpoint up still counts
     * all.
     */
    @Override
    public void replicas(long now, int live) {
        shares.replicas(live);
    }

    @Override
    public void shares(long now, List<ZoneTrafficShare> zones) {
        ZoneTrafficSplit next =
                deal != null || zones.isEmpty()
                        ? deal
                        : new ZoneTrafficSplit(settings.zone(), RouteTable.WHOLE, random);
        if (!zones.isEmpty()) {
            next.set(
                    zones.stream()
                            .map(z -> new ZoneTrafficSplit.Part(z.zone(), z.parts(), z.perSecond()))
                            .toList());
        }
        deal = zones.isEmpty() ? null : next;
        pool.shares(zones);
    }

    @Override
    public int avoided(long now) {
        return (int) servers.values().stream().filter(s -> !s.ready() || suspect(now, s)).count();
    }

    @Override
    public void message(long now, int from, byte[] message) {
        // This module sends no messages: each copy decides alone.
    }

    // ---- what is measured ----

    /** What a request is worth when it is served in time. */
    private double worthOf(RequestState call) {
        return call.kind.worth()
                * (settings.goal().worthByWork() && call.work > 0 ? call.work : 1e8);
    }

    /** What a request of this class costs, in mean requests. */
    private double cost(RequestState call) {
        double mean = byClass[call.classIndex].mean();
        return mean == 0 || overall.mean() == 0
                ? 1
                : Math.min(4, Math.max(0.25, mean / overall.mean()));
    }

    private void countCall(long now) {
        double kept = Math.min(1, Math.exp(-(now - callRateAt) / RATE_NANOS));
        callRate *= kept;
        warmAnswers *= kept;
        callRateAt = now;
        callsOut = callsOut * kept + out * (1 - kept);
        maxOut = Math.max(out, maxOut * Math.pow(kept, 0.2));
    }

    /**
     * What one warm endpoint does for this copy, in mean requests a second: by its answers, each
     * divided by what the roster could do as it came, and not by the calls, many as they are when
     * little can be done. Where more can't be known (all cold), by an even part of the calls, up to
     * what one core does: one in twice the work said (two processes of a copy live in an upgrade),
     * else in the time that answers take; before the first, in its aim. Guards against many copies
     * that know nothing and take calls for answers.
     */
    private double warmRate(long now, EndpointState server) {
        int roster = pool.roster().size();
        int ring = pool.ring.size();
        double kept = Math.min(1, Math.exp(-(now - callRateAt) / RATE_NANOS));
        double even = Math.min(callRate * kept, 1e9 / coreTime.mean() * ring / settings.replicas());
        return server.inRoster ? Math.max(even / roster, warmAnswers * kept) : even / ring;
    }

    private long patience() {
        double silent =
                tuning.get(Parameter.SILENT_LATENCIES) * (overall.mean() + overall.deviation());
        return Math.max(MIN_SILENT, (long) silent);
    }
}
