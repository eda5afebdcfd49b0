package cedarrudder.lab.baselines;

import cedarrudder.balancer.BalancerSettings;
import cedarrudder.balancer.BalancerSettings.Idempotency;
import cedarrudder.balancer.BalancerSettings.KeyScope;
import cedarrudder.balancer.BalancerSettings.RequestClass;
import cedarrudder.balancer.LoadBalancer;
import cedarrudder.balancer.PrequalBalancer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.random.RandomGenerator;

/**
 * The balancer with one thing broken on purpose, so that it can be seen that the referee finds it.
 * Each fault takes some requests away from the balancer and treats them wrongly; the others are
 * served as ever. No fault waits for chance: a fault whose requests, drains or cold starts come
 * shows each time.
 */
final class BrokenPolicies implements LoadBalancer {

    /** What is broken. */
    enum Fault {
        /** Some requests get no answer. */
        LOST(1),
        /** Some are refused twice. */
        ANSWERED_TWICE(1),
        /** Some are answered long after their deadline. */
        ANSWERED_LATE(1),
        /** Some are sent though they have been refused. */
        SENT_AFTER_END(1),
        /** Unsafe ones are sent to a second node while the first may work on them. */
        RESENT_UNSAFE(2),
        /** Keyed ones are sent to a node outside the group of the first. */
        KEYED_OUTSIDE_GROUP(2),
        /** Keyed ones are sent again when nodes have forgotten the key. */
        KEYED_AFTER_WINDOW(2),
        /** Unsafe ones that timed out are refused, as if they hadn't run. */
        REFUSED_AFTER_RUN(2),
        /** Safe ones are sent to two nodes at once, though that isn't allowed. */
        TWO_OUT(2),
        /** A node gets something after the grace since it was told to drain or to be gone. */
        SENT_TO_DRAINED(3),
        /** A node that has just started gets everything. */
        COLD_PUSHED_OVER(4);

        /** The number of the rule that it breaks. */
        final int rule;

        Fault(int rule) {
            this.rule = rule;
        }

        /** Its name as a policy. */
        String policy() {
            return "broken-" + name().toLowerCase(Locale.ROOT).replace('_', '-');
        }
    }

    /** Of the requests that a fault can treat wrongly, one in this many. */
    private static final int EVERY = 5;

    /** An attempt that is to time out at once gets so long. */
    private static final long AT_ONCE = 1_000_000L;

    /** The wrong step follows the first after this long. */
    private static final long SOON = 2_000_000L;

    /** And a late answer follows its deadline after this long. */
    private static final long LATE = 1_000_000_000L;

    /** A request that was taken from the balancer. */
    private static final class Mine {
        final Request request;
        final RequestClass kind;
        int out;
        boolean over;
        Endpoint first;

        /** Whether the wrong step is still to come. */
        boolean waits;

        Mine(Request request, RequestClass kind) {
            this.request = request;
            this.kind = kind;
        }
    }

    private final Fault fault;
    private final BalancerSettings settings;
    private final Actions actions;
    private final LoadBalancer sound;
    private final Map<Long, Mine> mine = new HashMap<>();
    private final Map<Long, Endpoint> listed = new TreeMap<>();
    private final Map<Long, Long> leavingSince = new TreeMap<>();
    private int met;

    BrokenPolicies(
            Fault fault, BalancerSettings settings, RandomGenerator random, Actions actions) {
        this.fault = fault;
        this.settings = settings;
        this.actions = actions;
        this.sound = new PrequalBalancer(settings, random, actions);
    }

    @Override
    public void onEndpoints(long now, EndpointListKind kind, List<Endpoint> entries) {
        if (kind != EndpointListKind.DELTA) {
            for (Long id : listed.keySet()) {
                leavingSince.putIfAbsent(id, now);
            }
            for (Endpoint entry : entries) {
                leavingSince.remove(entry.id());
            }
            listed.clear();
        }
        for (Endpoint entry : entries) {
            if (entry.status() == EndpointStatus.READY) {
                listed.put(entry.id(), entry);
                leavingSince.remove(entry.id());
            } else {
                listed.remove(entry.id());
                leavingSince.putIfAbsent(entry.id(), now);
            }
        }
        sound.onEndpoints(now, kind, entries);
    }

    @Override
    public void onRequest(long now, Request request) {
        RequestClass kind = settings.classes().get(request.classIndex());
        if (!wants(now, kind, request.deadline())
                || ++met % EVERY != 0 && fault != Fault.COLD_PUSHED_OVER) {
            sound.onRequest(now, request);
            return;
        }
        Mine own = new Mine(request, kind);
        mine.put(request.id(), own);
        take(now, own);
    }

    /** Whether the fault can be shown now with a request of this class and deadline. */
    private boolean wants(long now, RequestClass kind, long deadline) {
        boolean scoped = kind.idempotency() == Idempotency.KEYED && kind.keyScope() != KeyScope.ALL;
        return switch (fault) {
            case LOST, ANSWERED_TWICE, ANSWERED_LATE -> true;
            case SENT_AFTER_END -> warm(now, null) != null;
            case TWO_OUT -> kind.idempotency() == Idempotency.SAFE && warm(now, null) != null;
            case RESENT_UNSAFE, REFUSED_AFTER_RUN ->
                    kind.idempotency() == Idempotency.UNSAFE && warm(now, null) != null;
            case KEYED_OUTSIDE_GROUP -> scoped && warm(now, null) != null;
            case KEYED_AFTER_WINDOW ->
                    kind.idempotency() == Idempotency.KEYED
                            && warm(now, null) != null
                            && now + kind.keyWindowNanos() + SOON < deadline;
            case SENT_TO_DRAINED -> drained(now) != null;
            case COLD_PUSHED_OVER -> newest(now) != null;
        };
    }

    private void take(long now, Mine own) {
        long id = own.request.id();
        switch (fault) {
            case LOST -> {}
            case ANSWERED_LATE -> later(own, own.request.deadline() + LATE);
            case ANSWERED_TWICE -> {
                actions.reject(id, 0);
                actions.reject(id, 0);
            }
            case SENT_AFTER_END -> {
                actions.reject(id, 0);
                send(own, warm(now, null), 0);
            }
            case SENT_TO_DRAINED -> send(own, drained(now), 0);
            case COLD_PUSHED_OVER -> send(own, newest(now), 0);
            case RESENT_UNSAFE, TWO_OUT, KEYED_OUTSIDE_GROUP -> {
                send(own, warm(now, null), 0);
                later(own, now + SOON);
            }
            case REFUSED_AFTER_RUN -> send(own, warm(now, null), AT_ONCE);
            case KEYED_AFTER_WINDOW -> {
                send(own, warm(now, null), AT_ONCE);
                later(own, now + own.kind.keyWindowNanos() + SOON);
            }
            default -> throw new IllegalStateException("unknown fault " + fault);
        }
    }

    private void send(Mine own, Endpoint to, long timeout) {
        own.first = own.first == null ? to : own.first;
        own.out++;
        actions.startAttempt(own.request.id(), to.id(), timeout);
    }

    /** Asks for the wrong step at an instant; the tokens of the balancer are never negative. */
    private void later(Mine own, long at) {
        own.waits = true;
        actions.scheduleTimer(at, -own.request.id() - 1);
    }

    @Override
    public void onTimer(long now, long token) {
        if (token >= 0) {
            sound.onTimer(now, token);
            return;
        }
        Mine own = mine.get(-token - 1);
        if (own == null || own.over) {
            return;
        }
        own.waits = false;
        if (fault == Fault.ANSWERED_LATE) {
            fail(own);
            return;
        }
        Endpoint next = fault == Fault.KEYED_AFTER_WINDOW ? own.first : warm(now, own);
        if (next != null && now < own.request.deadline()) {
            send(own, next, 0);
        } else if (own.out == 0) {
            fail(own);
        }
    }

    private void fail(Mine own) {
        own.over = true;
        actions.fail(own.request.id());
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
        Mine own = mine.get(request);
        if (own == null) {
            sound.onAttemptEnded(now, request, attempt, endpoint, outcome, latency, settled, load);
            return;
        }
        own.out--;
        own.over |= settled;
        if (!own.over && fault == Fault.REFUSED_AFTER_RUN && !outcome.provesNotRun()) {
            own.over = true;
            actions.reject(request, 0);
        }
        if (!own.over && own.out == 0 && (!own.waits || now >= own.request.deadline())) {
            fail(own);
        }
        if (own.over && own.out == 0) {
            mine.remove(request);
        }
    }

    // ---- whom to treat wrongly ----

    /**
     * A warm node; not the first of this request, and outside its group where the fault needs that.
     */
    private Endpoint warm(long now, Mine own) {
        List<Endpoint> fit = new ArrayList<>();
        for (Endpoint entry : listed.values()) {
            boolean warm =
                    entry.startedAt() == 0
                            || now - entry.startedAt() > settings.safety().slowStartNanos();
            boolean other =
                    own == null
                            || entry.id() != own.first.id()
                                    && (fault != Fault.KEYED_OUTSIDE_GROUP || outside(own, entry));
            if (warm && other) {
                fit.add(entry);
            }
        }
        return fit.isEmpty() ? null : fit.get(met / EVERY % fit.size());
    }

    private static boolean outside(Mine own, Endpoint entry) {
        return own.kind.keyScope() == KeyScope.CELL
                ? entry.cell() != own.first.cell()
                : entry.zone() != own.first.zone();
    }

    /** A node that was told to drain or to be gone longer ago than the grace. */
    private Endpoint drained(long now) {
        for (Map.Entry<Long, Long> each : leavingSince.entrySet()) {
            if (now - each.getValue() > settings.safety().drainGraceNanos()) {
                return new Endpoint(each.getKey(), 0, 0, 0, EndpointStatus.REMOVED, 1, 0);
            }
        }
        return null;
    }

    /** The node that was started last, while it is still cold. */
    private Endpoint newest(long now) {
        Endpoint newest = null;
        for (Endpoint entry : listed.values()) {
            boolean cold =
                    entry.startedAt() != 0
                            && now - entry.startedAt() < settings.safety().slowStartNanos();
            if (cold && (newest == null || entry.startedAt() > newest.startedAt())) {
                newest = entry;
            }
        }
        return newest;
    }

    // ---- what goes to the balancer as it is ----

    @Override
    public Outcome startDenial(long now, long request, int attempt) {
        return mine.containsKey(request) ? null : sound.startDenial(now, request, attempt);
    }

    @Override
    public void onClientLeft(long now, long request) {
        Mine own = mine.get(request);
        if (own == null) {
            sound.onClientLeft(now, request);
        } else if (fault != Fault.ANSWERED_LATE) {
            own.over = true;
            if (own.out == 0) {
                mine.remove(request);
            }
        }
    }

    @Override
    public void onEndpointsUnavailable(long now) {
        sound.onEndpointsUnavailable(now);
    }

    @Override
    public void onFirstByte(long now, long request, int attempt, long endpoint, long latency) {
        if (!mine.containsKey(request)) {
            sound.onFirstByte(now, request, attempt, endpoint, latency);
        }
    }

    @Override
    public void onProbeEnded(
            long now, long endpoint, Outcome outcome, long latency, LoadReport load) {
        sound.onProbeEnded(now, endpoint, outcome, latency, load);
    }

    @Override
    public void onPeerMessage(long now, int from, byte[] message) {
        sound.onPeerMessage(now, from, message);
    }
}
