package cedarrudder.balancer;

import cedarrudder.balancer.BalancerSettings.Idempotency;
import cedarrudder.balancer.BalancerSettings.KeyScope;
import cedarrudder.balancer.BalancerSettings.RequestClass;
import cedarrudder.balancer.BalancerSettings.SafetyRules;
import cedarrudder.balancer.LoadBalancer.EndpointStatus;
import cedarrudder.balancer.LoadBalancer.Outcome;
import java.util.ArrayList;
import java.util.List;

/**
 * The rules of PROTOCOL and WIRE section 10, as plainly as they can be said. It keeps all that has
 * happened as a list, and judges each step by reading that list from its start: slow, and without
 * any state of its own that could be wrong. It shares nothing with what it judges, and knows of
 * decisions only what the rules say.
 */
final class RulesModel {

    enum Answer {
        SERVED,
        REFUSED,
        FAILED
    }

    /** A rule is broken; the message begins with its name. */
    static final class Broken extends AssertionError {
        private static final long serialVersionUID = 1;

        Broken(String rule, String what) {
            super(rule + ": " + what);
        }
    }

    private interface Event {
        long at();
    }

    private record Taken(long at, long request, RequestClass kind) implements Event {}

    /** The last byte of the request came; its client waits until then. */
    private record Whole(long at, long request, long answerBy) implements Event {}

    private record Sent(long at, long request, int attempt, String node) implements Event {}

    private record Ended(long at, long request, int attempt, Outcome outcome) implements Event {}

    private record Answered(long at, long request) implements Event {}

    private record Left(long at, long request) implements Event {}

    private record Told(
            long at, String node, EndpointStatus state, int zone, int cell, long startedAt)
            implements Event {}

    private record Barred(long at, String node, boolean barred) implements Event {}

    private record Killed(long at) implements Event {}

    /**
     * The rule has some slack for chance. The budget is one of work, which the decisions can only
     * judge by how long answers take; here all work is the same and times differ by chance alone.
     */
    private static final double FOR_CHANCE = 1.3;

    private final List<Event> history = new ArrayList<>();
    private final int maxAttempts;
    private final boolean copies;
    private final SafetyRules safety;
    private final double capacity;
    private final long slack;

    /**
     * @param copies whether two attempts of a request may be out at once
     * @param capacity requests a second that a warm endpoint bears
     * @param slack how much later than it should be an answer still counts
     */
    RulesModel(int maxAttempts, boolean copies, SafetyRules safety, double capacity, long slack) {
        this.maxAttempts = maxAttempts;
        this.copies = copies;
        this.safety = safety;
        this.capacity = capacity;
        this.slack = slack;
    }

    int size() {
        return history.size();
    }

    // ---- what happens ----

    void taken(long now, long request, RequestClass kind) {
        history.add(new Taken(now, request, kind));
    }

    void whole(long now, long request, long answerBy) {
        history.add(new Whole(now, request, answerBy));
    }

    /** The first that is known of an attempt's end. */
    void ended(long now, long request, int attempt, Outcome outcome) {
        history.add(new Ended(now, request, attempt, outcome));
    }

    void left(long now, long request) {
        history.add(new Left(now, request));
    }

    void told(long now, String node, EndpointStatus state, int zone, int cell, long startedAt) {
        history.add(new Told(now, node, state, zone, cell, startedAt));
    }

    /** Operators have disabled an endpoint, or put it back. */
    void barred(long now, String node, boolean barred) {
        history.add(new Barred(now, node, barred));
    }

    /** The instance is killed: what it had taken is lost, and what it was told. Bans are kept. */
    void killed(long now) {
        history.add(new Killed(now));
    }

    // ---- what is judged ----

    /** The decisions want an attempt, whether it is carried out or not. */
    void wanted(long now, long request) {
        check(open(request), "sent after the end", "rpc " + request);
    }

    /** An attempt goes out. */
    void sent(long now, long request, int attempt, String node) {
        check(open(request), "begun after the end", "rpc " + request);
        List<Sent> before = attempts(request);
        check(before.size() < maxAttempts, "too many attempts", "rpc " + request);
        Told told = told(node);
        check(told != null, "sent to a node that was never listed", node);
        long offLimits = offLimitsSince(node);
        check(
                offLimits >= now - safety.drainGraceNanos(),
                "sent to a node that drains or is gone",
                node + " is so since " + (now - offLimits) + " ns");
        for (Sent earlier : before) {
            check(
                    copies || ended(earlier) != null,
                    "a second copy where none may be",
                    "rpc " + request);
        }
        RequestClass kind = kind(request);
        Sent ran = mayHaveRun(before);
        if (ran != null && kind.idempotency() != Idempotency.SAFE) {
            check(
                    kind.idempotency() == Idempotency.KEYED,
                    "single-send sent twice",
                    "rpc " + request);
            check(
                    now < ran.at() + kind.keyWindowNanos(),
                    "sent again after its key is forgotten",
                    "rpc " + request);
            Told then = toldAt(ran);
            check(
                    kind.keyScope() == KeyScope.ALL
                            || kind.keyScope() == KeyScope.ZONE && then.zone() == told.zone()
                            || kind.keyScope() == KeyScope.CELL && then.cell() == told.cell(),
                    "sent again outside its group",
                    "rpc " + request);
        }
        history.add(new Sent(now, request, attempt, node));
        checkCold(now, told);
    }

    /**
     * The client gets its answer; {@code by} is the attempt whose answer it is, where it is served.
     */
    void answered(long now, long request, Answer how, int by) {
        check(open(request), "a second answer", "rpc " + request);
        Long answerBy = answerBy(request);
        check(answerBy == null || now <= answerBy + slack, "answered too late", "rpc " + request);
        List<Sent> attempts = attempts(request);
        if (how == Answer.SERVED) {
            check(
                    attempts.stream().anyMatch(s -> s.attempt() == by && ended(s) == Outcome.OK),
                    "served with what no node made",
                    "rpc " + request + " by attempt " + by);
        }
        RequestClass kind = kind(request);
        if (how == Answer.REFUSED) {
            check(
                    mayHaveRun(attempts) == null
                            || kind.idempotency() == Idempotency.SAFE
                            || kind.idempotency() == Idempotency.KEYED
                                    && kind.keyScope() == KeyScope.ALL,
                    "refused though it may have run",
                    "rpc " + request);
        }
        history.add(new Answered(now, request));
    }

    /** By now each request whose time is over has its answer. */
    void checkAllAnswered(long now) {
        for (Event event : sinceKill()) {
            if (event instanceof Whole whole && now > whole.answerBy() + slack) {
                check(!open(whole.request()), "no answer", "rpc " + whole.request());
            }
        }
    }

    // ---- reading the list ----

    private static void check(boolean holds, String rule, String what) {
        if (!holds) {
            throw new Broken(rule, what);
        }
    }

    private List<Event> sinceKill() {
        int from = 0;
        for (int i = 0; i < history.size(); i++) {
            from = history.get(i) instanceof Killed ? i + 1 : from;
        }
        return history.subList(from, history.size());
    }

    private boolean open(long request) {
        boolean open = false;
        for (Event event : sinceKill()) {
            open |= event instanceof Taken taken && taken.request() == request;
            open &=
                    !(event instanceof Answered answered && answered.request() == request)
                            && !(event instanceof Left left && left.request() == request);
        }
        return open;
    }

    private RequestClass kind(long request) {
        return history.stream()
                .filter(e -> e instanceof Taken taken && taken.request() == request)
                .map(e -> ((Taken) e).kind())
                .findFirst()
                .orElseThrow();
    }

    private Long answerBy(long request) {
        return history.stream()
                .filter(e -> e instanceof Whole whole && whole.request() == request)
                .map(e -> ((Whole) e).answerBy())
                .findFirst()
                .orElse(null);
    }

    private List<Sent> attempts(long request) {
        return history.stream()
                .filter(e -> e instanceof Sent sent && sent.request() == request)
                .map(e -> (Sent) e)
                .toList();
    }

    /** How an attempt ended; null while it is out. */
    private Outcome ended(Sent sent) {
        return history.stream()
                .filter(
                        e ->
                                e instanceof Ended ended
                                        && ended.request() == sent.request()
                                        && ended.attempt() == sent.attempt())
                .map(e -> ((Ended) e).outcome())
                .findFirst()
                .orElse(null);
    }

    private Sent mayHaveRun(List<Sent> attempts) {
        return attempts.stream()
                .filter(s -> ended(s) == null || !ended(s).provesNotRun())
                .findFirst()
                .orElse(null);
    }

    /** What was last told of an endpoint; null where it was never listed. */
    private Told told(String node) {
        Told last = null;
        for (Event event : sinceKill()) {
            last = event instanceof Told told && told.node().equals(node) ? told : last;
        }
        return last;
    }

    private Told toldAt(Sent sent) {
        Told last = null;
        for (Event event : history.subList(0, history.indexOf(sent))) {
            last = event instanceof Told told && told.node().equals(sent.node()) ? told : last;
        }
        return last;
    }

    /** Since when an endpoint may get nothing new; {@link Long#MAX_VALUE} where it may. */
    private long offLimitsSince(String node) {
        long listed = Long.MAX_VALUE;
        long barred = Long.MAX_VALUE;
        for (Event event : history) {
            if (event instanceof Killed) {
                listed = Long.MAX_VALUE; // the next instance is told anew
            } else if (event instanceof Told told && told.node().equals(node)) {
                listed =
                        told.state() == EndpointStatus.READY
                                ? Long.MAX_VALUE
                                : Math.min(listed, told.at());
            } else if (event instanceof Barred by && by.node().equals(node)) {
                barred = by.barred() ? Math.min(barred, by.at()) : Long.MAX_VALUE;
            }
        }
        return Math.min(listed, barred);
    }

    /**
     * An endpoint that started a short while ago has got no more within the window that ends now
     * than the budget allows for its capacity now. Each send ends a window, so every window is
     * looked at.
     */
    private void checkCold(long now, Told told) {
        long age = now - told.startedAt();
        if (told.startedAt() == 0 || age >= safety.slowStartNanos()) {
            return;
        }
        double part =
                safety.coldCapacityShare()
                        + (1 - safety.coldCapacityShare()) * age / safety.slowStartNanos();
        double max =
                FOR_CHANCE
                        * safety.overloadMultiple()
                        * part
                        * capacity
                        * safety.overloadWindowNanos()
                        / 1e9;
        long got =
                history.stream()
                        .filter(
                                e ->
                                        e instanceof Sent sent
                                                && sent.node().equals(told.node())
                                                && sent.at() > now - safety.overloadWindowNanos()
                                                && sent.at() >= told.startedAt())
                        .count();
        check(got <= max, "a cold node pushed over", told.node() + " got " + got + " of " + max);
    }
}
