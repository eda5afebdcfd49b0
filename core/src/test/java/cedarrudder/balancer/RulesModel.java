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
 * The rules of PROTOCOL and WIRE section 10, in their simplest form. The model records every event
 * in a list and judges each step by reading that list from its start: this is slow, but there is no
 * derived state that could be wrong. The model shares no code with what it judges, and knows of the
 * decisions only what the rules state.
 */
final class RulesModel {

    enum Answer {
        SERVED,
        REFUSED,
        FAILED
    }

    /** Thrown when a rule is broken; the message begins with the name of the rule. */
    static final class RuleViolation extends AssertionError {
        private static final long serialVersionUID = 1;

        RuleViolation(String rule, String details) {
            super(rule + ": " + details);
        }
    }

    private interface Event {
        long at();
    }

    private record Accepted(long at, long request, RequestClass requestClass) implements Event {}

    /**
     * The last byte of the request arrived; from then on its client waits until {@code answerBy}.
     */
    private record UploadCompleted(long at, long request, long answerBy) implements Event {}

    private record Sent(long at, long request, int attempt, String endpoint) implements Event {}

    private record Ended(long at, long request, int attempt, Outcome outcome) implements Event {}

    private record Answered(long at, long request) implements Event {}

    private record ClientLeft(long at, long request) implements Event {}

    private record Listed(
            long at, String endpoint, EndpointStatus state, int zone, int cell, long startedAt)
            implements Event {}

    private record AdminOverride(long at, String endpoint, boolean disabled) implements Event {}

    private record Killed(long at) implements Event {}

    /**
     * Factor that allows for chance. The budget is one of work, which the decisions can only
     * estimate from response times; here all work is the same and times differ by chance alone.
     */
    private static final double CHANCE_ALLOWANCE = 1.3;

    private final List<Event> history = new ArrayList<>();
    private final int maxAttempts;
    private final boolean hedging;
    private final SafetyRules safety;
    private final double capacity;
    private final long slack;

    /**
     * @param hedging whether two attempts of a request may be in flight at once
     * @param capacity requests per second that a warm endpoint can serve
     * @param slack how much later than its deadline an answer is still accepted, in nanoseconds
     */
    RulesModel(int maxAttempts, boolean hedging, SafetyRules safety, double capacity, long slack) {
        this.maxAttempts = maxAttempts;
        this.hedging = hedging;
        this.safety = safety;
        this.capacity = capacity;
        this.slack = slack;
    }

    int size() {
        return history.size();
    }

    // ---- recording events ----

    void accepted(long now, long request, RequestClass requestClass) {
        history.add(new Accepted(now, request, requestClass));
    }

    void uploadCompleted(long now, long request, long answerBy) {
        history.add(new UploadCompleted(now, request, answerBy));
    }

    /** Records the first known end of an attempt. */
    void ended(long now, long request, int attempt, Outcome outcome) {
        history.add(new Ended(now, request, attempt, outcome));
    }

    void clientLeft(long now, long request) {
        history.add(new ClientLeft(now, request));
    }

    void listed(
            long now, String endpoint, EndpointStatus state, int zone, int cell, long startedAt) {
        history.add(new Listed(now, endpoint, state, zone, cell, startedAt));
    }

    /** Records that operators disabled an endpoint or enabled it again. */
    void disabled(long now, String endpoint, boolean disabled) {
        history.add(new AdminOverride(now, endpoint, disabled));
    }

    /**
     * Records that the instance was killed: the requests that it had accepted and the endpoint
     * lists that it had received are lost. Endpoints disabled by operators stay disabled.
     */
    void killed(long now) {
        history.add(new Killed(now));
    }

    // ---- checking the rules ----

    /** Checks an attempt that the decisions request, whether or not it is carried out. */
    void attemptRequested(long now, long request) {
        check(open(request), "attempt requested after the request ended", "request " + request);
    }

    /** Checks and records an attempt that is sent to an endpoint. */
    void sent(long now, long request, int attempt, String endpoint) {
        check(open(request), "attempt started after the request ended", "request " + request);
        List<Sent> before = attempts(request);
        check(before.size() < maxAttempts, "too many attempts", "request " + request);
        Listed listed = listed(endpoint);
        check(listed != null, "sent to an endpoint that was never listed", endpoint);
        long offLimits = offLimitsSince(endpoint);
        check(
                offLimits >= now - safety.drainGraceNanos(),
                "sent to an endpoint that is draining, removed or disabled",
                endpoint + " has been so for " + (now - offLimits) + " ns");
        for (Sent earlier : before) {
            check(
                    hedging || ended(earlier) != null,
                    "hedged request where hedging is off",
                    "request " + request);
        }
        RequestClass requestClass = requestClass(request);
        Sent ran = mayHaveRun(before);
        if (ran != null && requestClass.idempotency() != Idempotency.SAFE) {
            check(
                    requestClass.idempotency() == Idempotency.KEYED,
                    "unsafe request sent twice",
                    "request " + request);
            check(
                    now < ran.at() + requestClass.keyWindowNanos(),
                    "sent again after its key window",
                    "request " + request);
            Listed then = listedWhenSent(ran);
            check(
                    requestClass.keyScope() == KeyScope.ALL
                            || requestClass.keyScope() == KeyScope.ZONE
                                    && then.zone() == listed.zone()
                            || requestClass.keyScope() == KeyScope.CELL
                                    && then.cell() == listed.cell(),
                    "sent again outside its key scope",
                    "request " + request);
        }
        history.add(new Sent(now, request, attempt, endpoint));
        checkColdStartLimit(now, listed);
    }

    /**
     * Checks and records the answer that the client receives; {@code answeringAttempt} is the
     * attempt that gave it, where the request was served.
     */
    void answered(long now, long request, Answer answer, int answeringAttempt) {
        check(open(request), "a second answer", "request " + request);
        Long answerBy = answerBy(request);
        check(
                answerBy == null || now <= answerBy + slack,
                "answered too late",
                "request " + request);
        List<Sent> attempts = attempts(request);
        if (answer == Answer.SERVED) {
            check(
                    attempts.stream()
                            .anyMatch(
                                    s -> s.attempt() == answeringAttempt && ended(s) == Outcome.OK),
                    "served an answer that no endpoint gave",
                    "request " + request + ", attempt " + answeringAttempt);
        }
        RequestClass requestClass = requestClass(request);
        if (answer == Answer.REFUSED) {
            check(
                    mayHaveRun(attempts) == null
                            || requestClass.idempotency() == Idempotency.SAFE
                            || requestClass.idempotency() == Idempotency.KEYED
                                    && requestClass.keyScope() == KeyScope.ALL,
                    "rejected though it may have run",
                    "request " + request);
        }
        history.add(new Answered(now, request));
    }

    /** Checks that each request whose deadline has passed has been answered. */
    void checkAllAnswered(long now) {
        for (Event event : sinceKill()) {
            if (event instanceof UploadCompleted uploadCompleted
                    && now > uploadCompleted.answerBy() + slack) {
                check(
                        !open(uploadCompleted.request()),
                        "no answer",
                        "request " + uploadCompleted.request());
            }
        }
    }

    // ---- reading the recorded events ----

    private static void check(boolean holds, String rule, String details) {
        if (!holds) {
            throw new RuleViolation(rule, details);
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
            open |= event instanceof Accepted accepted && accepted.request() == request;
            open &=
                    !(event instanceof Answered answered && answered.request() == request)
                            && !(event instanceof ClientLeft clientLeft
                                    && clientLeft.request() == request);
        }
        return open;
    }

    private RequestClass requestClass(long request) {
        return history.stream()
                .filter(e -> e instanceof Accepted accepted && accepted.request() == request)
                .map(e -> ((Accepted) e).requestClass())
                .findFirst()
                .orElseThrow();
    }

    private Long answerBy(long request) {
        return history.stream()
                .filter(
                        e ->
                                e instanceof UploadCompleted uploadCompleted
                                        && uploadCompleted.request() == request)
                .map(e -> ((UploadCompleted) e).answerBy())
                .findFirst()
                .orElse(null);
    }

    private List<Sent> attempts(long request) {
        return history.stream()
                .filter(e -> e instanceof Sent sent && sent.request() == request)
                .map(e -> (Sent) e)
                .toList();
    }

    /** Returns how an attempt ended, or null while it is in flight. */
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

    /** Returns the last listing of an endpoint, or null if it was never listed. */
    private Listed listed(String endpoint) {
        Listed last = null;
        for (Event event : sinceKill()) {
            last =
                    event instanceof Listed listed && listed.endpoint().equals(endpoint)
                            ? listed
                            : last;
        }
        return last;
    }

    private Listed listedWhenSent(Sent sent) {
        Listed last = null;
        for (Event event : history.subList(0, history.indexOf(sent))) {
            last =
                    event instanceof Listed listed && listed.endpoint().equals(sent.endpoint())
                            ? listed
                            : last;
        }
        return last;
    }

    /**
     * Returns the time since which an endpoint may receive nothing new, or {@link Long#MAX_VALUE}
     * if it may.
     */
    private long offLimitsSince(String endpoint) {
        long notReadySince = Long.MAX_VALUE;
        long disabledSince = Long.MAX_VALUE;
        for (Event event : history) {
            if (event instanceof Killed) {
                notReadySince = Long.MAX_VALUE; // the next instance receives a list of its own
            } else if (event instanceof Listed listed && listed.endpoint().equals(endpoint)) {
                notReadySince =
                        listed.state() == EndpointStatus.READY
                                ? Long.MAX_VALUE
                                : Math.min(notReadySince, listed.at());
            } else if (event instanceof AdminOverride override
                    && override.endpoint().equals(endpoint)) {
                disabledSince =
                        override.disabled()
                                ? Math.min(disabledSince, override.at())
                                : Long.MAX_VALUE;
            }
        }
        return Math.min(notReadySince, disabledSince);
    }

    /**
     * Checks that an endpoint that started a short while ago has received no more requests within
     * the window that ends now than the budget allows for its current capacity. Each send ends a
     * window, so every window is checked.
     */
    private void checkColdStartLimit(long now, Listed listed) {
        long age = now - listed.startedAt();
        if (listed.startedAt() == 0 || age >= safety.slowStartNanos()) {
            return;
        }
        double capacityShare =
                safety.coldCapacityShare()
                        + (1 - safety.coldCapacityShare()) * age / safety.slowStartNanos();
        double max =
                CHANCE_ALLOWANCE
                        * safety.overloadMultiple()
                        * capacityShare
                        * capacity
                        * safety.overloadWindowNanos()
                        / 1e9;
        long received =
                history.stream()
                        .filter(
                                e ->
                                        e instanceof Sent sent
                                                && sent.endpoint().equals(listed.endpoint())
                                                && sent.at() > now - safety.overloadWindowNanos()
                                                && sent.at() >= listed.startedAt())
                        .count();
        check(
                received <= max,
                "cold endpoint overloaded",
                listed.endpoint() + " received " + received + " requests, allowed: " + max);
    }
}
