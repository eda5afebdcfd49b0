package cedarrudder.lab.baselines;

import cedarrudder.balancer.BalancerSettings;
import cedarrudder.balancer.BalancerSettings.Idempotency;
import cedarrudder.balancer.BalancerSettings.KeyScope;
import cedarrudder.balancer.BalancerSettings.RequestClass;
import cedarrudder.balancer.LoadBalancer;
import cedarrudder.lab.policy.GroundTruth;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * All that the rivals have in common: the life of a request, one further attempt where the rules
 * allow it, the gates of the four rules, and the list of nodes. What is left to the {@link Pick} is
 * which node gets an attempt, so that two rivals in one scenario differ in nothing else. None sends
 * a hedged request while a first is out, and none sets a node aside because its calls fail.
 *
 * @param <S> what the pick notes of a node
 */
final class BaselineBalancer<S> implements LoadBalancer {

    /** A request that no node may take now is looked at again after this long. */
    private static final long HOLD = 20_000_000L;

    /**
     * Tries to draw at random a node that may take an attempt, before all are looked at in turn.
     */
    private static final int DRAWS = 16;

    /** Weight of the newest in the means of work and of latency. */
    private static final double WEIGHT = 0.05;

    /** Time over which the rate of calls is smoothed. */
    private static final double RATE_NANOS = 2e9;

    /** First call for the list: spread over this share of the time in which one must have asked. */
    private static final double ASK_SPREAD = 0.4;

    /**
     * First wait after a failed call for the list; it doubles with each failure, up to 8 times
     * this.
     */
    private static final long ASK_AGAIN = 1_000_000_000L;

    private static final long TOKEN_KIND = 1L << 56;
    private static final long TOKEN_TICK = 0;
    private static final long TOKEN_HELD = 1;
    private static final long TOKEN_ASK = 2;

    private final BalancerSettings settings;
    private final BaselineParameters habits;
    private final RandomGenerator random;
    private final Actions actions;
    private final Pick<S> pick;
    private final Map<Long, EndpointView<S>> members = new HashMap<>();
    private final List<EndpointView<S>> ready = new ArrayList<>();
    private final Map<Long, BaselineRequest> calls = new HashMap<>();
    private final Options options = new Options();

    private double meanWork;
    private double further;
    private long furtherAt;
    private double callRate;
    private long callRateAt;
    private int askFailures;
    private boolean started;

    BaselineBalancer(
            BalancerSettings settings,
            BaselineParameters habits,
            RandomGenerator random,
            Actions actions,
            GroundTruth truth,
            Pick.Maker<S> maker) {
        this.settings = settings;
        this.habits = habits;
        this.random = random;
        this.actions = actions;
        this.further = habits.saved() / 2;
        this.pick = maker.make(settings, random, truth);
    }

    // ---- the list of nodes ----

    @Override
    public void onEndpoints(long now, EndpointListKind kind, List<Endpoint> entries) {
        if (kind != EndpointListKind.DELTA) {
            Set<Long> named = new HashSet<>();
            for (Endpoint entry : entries) {
                named.add(entry.id());
            }
            for (EndpointView<S> member : List.copyOf(ready)) {
                if (!named.contains(member.id)) {
                    drop(member);
                }
            }
            members.keySet().retainAll(named);
        }
        for (Endpoint entry : entries) {
            list(now, entry);
        }
        pick.changed(ready);
        if (!started) {
            started = true;
            if (pick.period() > 0) {
                actions.scheduleTimer(
                        now + 1 + (long) (random.nextDouble() * pick.period()), TOKEN_TICK);
            }
            if (settings.pollsEndpoints()) {
                // This avoids all replicas asking at once a service that takes seconds to serve
                // them all.
                ask(
                        now
                                + (long)
                                        (random.nextDouble()
                                                * ASK_SPREAD
                                                * settings.safety().pollIntervalNanos()));
            }
        } else if (kind != EndpointListKind.CACHED) {
            askFailures = 0;
        }
    }

    private void list(long now, Endpoint entry) {
        EndpointView<S> member = members.get(entry.id());
        if (entry.status() == EndpointStatus.REMOVED) {
            if (member != null) {
                drop(member);
            }
            return;
        }
        boolean fresh = member == null || member.listed.startedAt() != entry.startedAt();
        if (member == null) {
            member = new EndpointView<>(entry);
            members.put(member.id, member);
        }
        member.listed = entry;
        if (fresh) {
            member.notes = pick.fresh(now);
            member.startCold(now, random.nextDouble());
        }
        if (!member.ready()) {
            remove(member);
        } else if (!member.inReady) {
            // Anywhere: this avoids all replicas going through the nodes in step.
            ready.add(random.nextInt(ready.size() + 1), member);
            member.inReady = true;
        }
    }

    private void remove(EndpointView<S> member) {
        if (member.inReady) {
            ready.remove(member);
            member.inReady = false;
        }
    }

    private void drop(EndpointView<S> member) {
        Endpoint was = member.listed;
        member.listed =
                new Endpoint(
                        was.id(),
                        was.zone(),
                        was.kind(),
                        was.cell(),
                        EndpointStatus.REMOVED,
                        was.weight(),
                        was.startedAt());
        remove(member);
        members.remove(member.id);
    }

    @Override
    public void onEndpointsUnavailable(long now) {
        long wait = ASK_AGAIN << Math.min(askFailures++, 3);
        ask(now + wait / 2 + (long) (random.nextDouble() * wait));
    }

    private void ask(long at) {
        actions.scheduleTimer(at + 1, TOKEN_ASK * TOKEN_KIND);
    }

    // ---- the life of a request ----

    @Override
    public void onRequest(long now, Request request) {
        RequestClass kind = settings.classes().get(request.classIndex());
        BaselineRequest call =
                new BaselineRequest(
                        request, kind, now, Math.max(1, settings.limits().maxAttempts()));
        calls.put(request.id(), call);
        if (request.expectedWorkNanos() > 0) {
            meanWork += (meanWork == 0 ? 1 : WEIGHT) * (request.expectedWorkNanos() - meanWork);
        }
        further =
                Math.min(
                        habits.saved(),
                        further + habits.perCall() + habits.perSecond() * (now - furtherAt) / 1e9);
        furtherAt = now;
        options.of(now, call);
        if (!pick.admits(now, call, options)) {
            end(call);
            return;
        }
        double kept = StrictMath.exp(-(now - callRateAt) / RATE_NANOS);
        callRate = callRate * kept + cost(call) * 1e9 / RATE_NANOS;
        callRateAt = now;
        place(now, call);
    }

    /** What a request costs, in mean requests, as far as its hint tells. */
    private double cost(BaselineRequest call) {
        return call.request.expectedWorkNanos() > 0
                ? call.request.expectedWorkNanos() / meanWork
                : 1;
    }

    /** Sends a request on its way, or holds it until a node may take it. */
    private void place(long now, BaselineRequest call) {
        if (now >= call.request.deadline()) {
            end(call);
            return;
        }
        options.of(now, call);
        EndpointView<S> member = pick.choose(now, call, options);
        if (member != null) {
            int attempt = call.attempts++;
            call.to[attempt] = member;
            call.sentAt[attempt] = now;
            call.out++;
            call.held = false;
            member.sent(cost(call));
            pick.sent(now, call, member);
            actions.startAttempt(call.request.id(), member.id, 0);
        } else if (now - call.arrived < habits.holdShare() * call.kind.latencyObjectiveNanos()
                && now + HOLD < call.request.deadline()) {
            call.held = true;
            actions.scheduleTimer(now + HOLD, TOKEN_HELD * TOKEN_KIND + call.request.id());
        } else {
            end(call);
        }
    }

    @Override
    public void onAttemptEnded(
            long now,
            long request,
            int attempt,
            long endpoint,
            Outcome outcome,
            long latency,
            boolean settled,
            LoadReport load) {
        BaselineRequest call = calls.get(request);
        if (call == null || attempt >= call.attempts || call.ended[attempt] != null) {
            return;
        }
        call.ended[attempt] = outcome;
        call.out--;
        EndpointView<S> member = member(call, attempt);
        member.inFlight--;
        pick.ended(now, call, member, latency);
        if (load != null) {
            pick.reported(now, member, load);
        }
        if (settled) {
            call.answered = true;
        } else if (!call.answered) {
            next(now, call);
        }
        forgetIfDone(call);
    }

    @SuppressWarnings("unchecked") // a call's attempts go to members of this replica only
    private EndpointView<S> member(BaselineRequest call, int attempt) {
        return (EndpointView<S>) call.to[attempt];
    }

    /** After an attempt failed: a further one, or the final answer. */
    private void next(long now, BaselineRequest call) {
        if (call.attempts <= habits.retries()
                && further >= 1
                && now < call.request.deadline()
                && mayAttempt(now, call, null)) {
            further--;
            place(now, call);
        } else {
            end(call);
        }
    }

    /** The one place where a request is ended: refused where the rules allow that, else failed. */
    private void end(BaselineRequest call) {
        call.answered = true;
        if (mayRefuse(call)) {
            actions.reject(call.request.id(), 0);
        } else {
            actions.fail(call.request.id());
        }
        forgetIfDone(call);
    }

    private void forgetIfDone(BaselineRequest call) {
        if (call.answered && call.out == 0) {
            calls.remove(call.request.id());
        }
    }

    @Override
    public void onFirstByte(long now, long request, int attempt, long endpoint, long latency) {
        BaselineRequest call = calls.get(request);
        if (call != null) {
            call.answered = true; // the stream ends it, for good or ill
        }
    }

    @Override
    public void onClientLeft(long now, long request) {
        BaselineRequest call = calls.get(request);
        if (call == null) {
            return;
        }
        call.answered = true;
        for (int i = 0; i < call.attempts && settings.limits().cancellation(); i++) {
            if (call.ended[i] == null) {
                actions.cancelAttempt(request, i);
            }
        }
        forgetIfDone(call);
    }

    @Override
    public void onTimer(long now, long token) {
        long kind = token / TOKEN_KIND;
        if (kind == TOKEN_TICK) {
            pick.tick(now, ready, actions);
            actions.scheduleTimer(now + pick.period(), TOKEN_TICK);
        } else if (kind == TOKEN_ASK) {
            actions.watchEndpoints(true);
        } else if (kind == TOKEN_HELD) {
            BaselineRequest call = calls.get(token % TOKEN_KIND);
            if (call != null && call.held && !call.answered) {
                place(now, call);
            }
        }
    }

    @Override
    public void onProbeEnded(
            long now, long endpoint, Outcome outcome, long latency, LoadReport load) {
        EndpointView<S> member = members.get(endpoint);
        if (member != null && outcome == Outcome.OK && load != null) {
            pick.reported(now, member, load);
        }
    }

    @Override
    public void onPeerMessage(long now, int from, byte[] message) {
        // Rivals send one another nothing.
    }

    // ---- the gates ----

    /** What the pick may choose from, for the attempt at hand. */
    private final class Options implements Candidates<S> {
        private long now;
        private BaselineRequest call;
        private double warmRate;

        void of(long at, BaselineRequest of) {
            now = at;
            call = of;
            warmRate = -1;
        }

        @Override
        public List<EndpointView<S>> ready() {
            return ready;
        }

        @Override
        public boolean may(EndpointView<S> member) {
            return member.ready()
                    && !call.tried(member)
                    && mayAttempt(now, call, member)
                    && (!member.cold(now, settings.safety())
                            || member.withinColdBudget(now, warmRate(), settings.safety()));
        }

        /** What a warm node gets from this replica, in mean requests a second. */
        private double warmRate() {
            if (warmRate < 0) {
                int warm = 0;
                for (EndpointView<S> member : ready) {
                    warm += member.cold(now, settings.safety()) ? 0 : 1;
                }
                warmRate = callRate / Math.max(1, warm == 0 ? ready.size() : warm);
            }
            return warmRate;
        }

        @Override
        public EndpointView<S> draw(EndpointView<S> except) {
            int count = ready.size();
            for (int i = 0; i < DRAWS && count > 0; i++) {
                EndpointView<S> member = ready.get(random.nextInt(count));
                if (member != except && may(member)) {
                    return member;
                }
            }
            int start = count == 0 ? 0 : random.nextInt(count);
            for (int i = 0; i < count; i++) {
                EndpointView<S> member = ready.get((start + i) % count);
                if (member != except && may(member)) {
                    return member;
                }
            }
            return null;
        }
    }

    /**
     * Whether an attempt may go to this node (null: to any at all), by what the earlier ones prove.
     */
    private boolean mayAttempt(long now, BaselineRequest call, EndpointView<S> member) {
        if (now >= call.request.deadline() || call.attempts >= call.to.length || call.out > 0) {
            return false;
        }
        int first = call.mayHaveRun();
        if (first < 0 || call.kind.idempotency() == Idempotency.SAFE) {
            return true;
        }
        if (call.kind.idempotency() == Idempotency.UNSAFE
                || now >= call.sentAt[first] + call.kind.keyWindowNanos()) {
            return false;
        }
        Endpoint then = call.to[first].listed;
        return member == null
                || switch (call.kind.keyScope()) {
                    case ALL -> true;
                    case ZONE -> then.zone() == member.listed.zone();
                    case CELL -> then.cell() == member.listed.cell();
                };
    }

    /** Whether the client may be told that trying again is harmless, by what the attempts prove. */
    private boolean mayRefuse(BaselineRequest call) {
        return call.mayHaveRun() < 0
                || call.kind.idempotency() == Idempotency.SAFE
                || call.kind.idempotency() == Idempotency.KEYED
                        && call.kind.keyScope() == KeyScope.ALL;
    }
}
