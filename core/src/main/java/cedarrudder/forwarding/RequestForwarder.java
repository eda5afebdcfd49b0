package cedarrudder.forwarding;

import cedarrudder.balancer.LoadBalancer;
import cedarrudder.balancer.LoadBalancer.Endpoint;
import cedarrudder.balancer.LoadBalancer.EndpointListKind;
import cedarrudder.balancer.LoadBalancer.LoadReport;
import cedarrudder.balancer.LoadBalancer.Outcome;
import cedarrudder.balancer.LoadBalancer.ZoneTrafficShare;
import cedarrudder.budget.Budgets;
import cedarrudder.budget.DownstreamFeedback;
import cedarrudder.budget.RequestBudget;
import cedarrudder.failover.ZoneTrafficCounter;
import cedarrudder.logging.Logger;
import cedarrudder.metrics.RequestMetrics;
import cedarrudder.metrics.RequestMetrics.End;
import cedarrudder.metrics.Violation;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

/**
 * Passes events to the balancer, one at a time, and carries out its actions. The balancer makes all
 * decisions.
 *
 * <p>An action never re-enters the balancer: an event that it causes, such as a connection that is
 * refused at once, waits in {@link SerialEventQueue} until the current event has been handled, as
 * it would on the simulator's wire.
 *
 * <p>Not thread-safe; used on the event loop only.
 *
 * @param <Q> the content that is forwarded to an endpoint
 * @param <A> an endpoint's response
 */
public final class RequestForwarder<Q, A> {

    /** The time after its client has left within which an attempt may still begin. */
    private static final long MAX_START_AFTER_CLIENT_LEFT_NANOS = 100_000_000L;

    private final TimerService timers;
    private final RequestLog requestLog;
    private final LoadBalancer balancer;
    private final Budgets budgets;
    private final RequestAccounting accounting;
    private final RequestDeadlines<Q, A> deadlines;
    private final SerialEventQueue events;
    private final BalancerActions<Q, A> actions;
    private final AttemptGate<Q, A> gate;
    private final Map<Long, Exchange<Q, A>> exchanges = new HashMap<>();
    private AttemptTransport<Q, A> transport;
    private final ZoneShareLease zoneShares = new ZoneShareLease();
    private RepeatGuard<Q> repeatGuard = RepeatGuard.none();

    /** Creates a forwarder without budgets and metrics. */
    public RequestForwarder(
            Function<LoadBalancer.Actions, LoadBalancer> newBalancer,
            int maxAttempts,
            TimerService timers,
            Logger log) {
        this(newBalancer, maxAttempts, timers, log, null, null);
    }

    /**
     * Creates a forwarder whose wiring {@link #attach} completes.
     *
     * @param newBalancer creates the balancer with the actions that it invokes
     * @param maxAttempts the maximum number of attempts of one request
     * @param budgets consulted before each attempt that the balancer starts; null if there are none
     * @param metrics counts the requests; null if they are not counted
     */
    public RequestForwarder(
            Function<LoadBalancer.Actions, LoadBalancer> newBalancer,
            int maxAttempts,
            TimerService timers,
            Logger log,
            Budgets budgets,
            RequestMetrics metrics) {
        this.accounting = new RequestAccounting(metrics);
        this.timers = timers;
        this.requestLog = new RequestLog(timers, log);
        this.deadlines = new RequestDeadlines<>(this, accounting, timers, log);
        this.budgets = budgets;
        this.events = new SerialEventQueue(log, this::expireZoneShares);
        this.actions = new BalancerActions<>(this, accounting, budgets, zoneShares, timers, log);
        this.balancer = newBalancer.apply(actions);
        this.gate = new AttemptGate<>(maxAttempts, budgets, balancer, timers, log);
    }

    /** Sets the transports; called once, before the first event. */
    public void attach(
            AttemptTransport<Q, A> attemptTransport,
            EndpointDiscovery endpointDiscovery,
            PeerTransport peerTransport) {
        transport = attemptTransport;
        actions.attach(attemptTransport, endpointDiscovery, peerTransport);
        gate.attach(attemptTransport);
    }

    /** Sets the guard against repeated requests; called before the first event. */
    public void setRepeatGuard(RepeatGuard<Q> guard) {
        repeatGuard = guard;
    }

    /** Sets the counter of requests by zone; called before the first event. */
    public void countByZone(ZoneTrafficCounter counter) {
        accounting.countByZone(counter);
    }

    // ---- requests

    /** Accepts a request. Its reply is called exactly once unless the client disconnects. */
    public void accept(Exchange<Q, A> exchange) {
        exchanges.put(exchange.request().id(), exchange);
        accounting.onAccepted(exchange);
        deadlines.start(exchange);
        events.post(() -> deliverRequest(exchange));
    }

    private void deliverRequest(Exchange<Q, A> exchange) {
        long now = timers.now();
        if (budgets == null) {
            balancer.onRequest(now, exchange.request());
            return;
        }
        RequestBudget budget =
                budgets.onRequest(now, exchange.request(), exchange.receivedBudget());
        exchange.budget(budget);
        balancer.onRequest(timers.now(), exchange.request(), budget.admissionHint());
    }

    /**
     * Records that the last byte of a request's body was decoded, which fixes its deadline.
     *
     * @param lastByteAt when that byte was received
     */
    public void uploadComplete(Exchange<Q, A> exchange, long lastByteAt) {
        if (exchange.isOver() || !exchange.isUpload()) {
            return;
        }
        deadlines.restartAfterUpload(exchange, lastByteAt);
        events.post(() -> balancer.onUploadComplete(timers.now(), exchange.request().id()));
    }

    /** Records that the client has disconnected: nothing more is sent for its request. */
    public void clientLeft(Exchange<Q, A> exchange) {
        exchange.abandon();
        RequestAttempt<Q, A> streaming = exchange.streamingAttempt();
        if (exchange.endStreaming()) {
            accounting.onEnded(exchange, End.CLIENT_LEFT);
            giveUp(streaming, Outcome.CANCELLED);
        }
        endWithoutBalancer(exchange, End.CLIENT_LEFT);
    }

    /** Ends an exchange that the balancer has not ended, and notifies the balancer. */
    void endWithoutBalancer(Exchange<Q, A> exchange, End end) {
        if (exchange.isOver()) {
            return;
        }
        end(exchange, end);
        forgetIfDone(exchange);
        if (exchange.budget() != null) {
            budgets.onClientLeft(timers.now(), exchange.budget());
        }
        events.post(() -> balancer.onClientLeft(timers.now(), exchange.request().id()));
    }

    /** Ends an exchange; only {@link #responseStarted} ends one in another way. */
    private void end(Exchange<Q, A> exchange, End end) {
        exchange.end();
        requestLog.requestEnded(exchange, end);
        accounting.onEnded(exchange, end);
        dropWaitingAttempts(exchange);
    }

    /**
     * Gives up the attempts that still wait for their connection as their request ends, whatever
     * the settings for cancellation: no client would receive their responses.
     */
    private void dropWaitingAttempts(Exchange<Q, A> exchange) {
        for (int i = 0; i < exchange.attempts().size(); i++) { // further ones may be added
            if (exchange.attempts().get(i).isWaiting()) {
                giveUp(exchange.attempts().get(i), Outcome.NOT_STARTED);
            }
        }
    }

    /** Returns the exchange of a request; null if there is none or it has been removed. */
    Exchange<Q, A> exchange(long requestId) {
        return exchanges.get(requestId);
    }

    /** Ends an exchange by the balancer's decision. */
    void endAndForget(Exchange<Q, A> exchange, End end) {
        end(exchange, end);
        forgetIfDone(exchange);
    }

    private void forgetIfDone(Exchange<Q, A> exchange) {
        if (exchange.isDone()) {
            exchange.cancelDeadline();
            exchanges.remove(exchange.request().id());
            if (exchange.forgetsId()) {
                repeatGuard.forget(exchange.content());
            } else if (exchange.answeredId()) {
                repeatGuard.answered(exchange.content());
            }
        }
    }

    // ---- the start of an attempt

    /**
     * Returns whether the first byte of an attempt may be sent now. The transport calls this once
     * for every attempt, right before its first byte. The balancer may have started the attempt
     * long ago, if its connection was established late. Since then its client may have left, or may
     * have left without this being detectable, its deadline may have passed, its endpoint may have
     * been removed, be draining or have restarted, or the window of its idempotency key may have
     * passed. An attempt that may not start ends within this call, so it is proven not to have run.
     */
    public boolean mayStart(RequestAttempt<Q, A> attempt) {
        Exchange<Q, A> exchange = attempt.exchange();
        if (!exchange.isOver() && !exchange.reply().isClientWaiting()) {
            clientLeft(exchange); // which ends the attempt, too
        }
        boolean canDetectDisconnect = exchange.isOver() || exchange.reply().canDetectDisconnect();
        endIfDenied(attempt, canDetectDisconnect);
        if (!attempt.hasEnded() && !mayStartWithItsId(exchange)) {
            failRepeat(exchange);
        }
        if (attempt.hasEnded()) {
            return false;
        }
        checkStart(attempt);
        attempt.startWriting();
        requestLog.attemptStarted(attempt);
        return true;
    }

    /** Checks what must hold as an attempt begins, independently of what has permitted it. */
    private void checkStart(RequestAttempt<Q, A> attempt) {
        Exchange<Q, A> exchange = attempt.exchange();
        if (exchange.reply().nanosWithoutSignOfClient() > MAX_START_AFTER_CLIENT_LEFT_NANOS) {
            violated(Violation.LATE_START, 1);
        }
        if (exchange.mayStillRun() && !repeatGuard.mayRunTwice(exchange.request())) {
            violated(Violation.REPEATED, 1);
        }
    }

    /** Records that something happened to so many requests that must never happen. */
    public void violated(Violation violation, int requests) {
        requestLog.violated(violation, requests);
        accounting.onViolation(violation, requests);
    }

    private boolean mayStartWithItsId(Exchange<Q, A> exchange) {
        if (exchange.startPermission() == null) {
            exchange.startPermission(repeatGuard.start(exchange.request(), exchange.content()));
        }
        return exchange.startPermission() != RepeatGuard.Permission.DENIED;
    }

    /** Fails a request whose id may have run before, which ends its attempts. */
    private void failRepeat(Exchange<Q, A> exchange) {
        requestLog.repeatDenied(exchange);
        exchange.reply().failed();
        endWithoutBalancer(exchange, End.FAILED);
    }

    /**
     * Returns the outcome with which a new attempt ends at once; null if it may be passed to the
     * transport.
     */
    Outcome refusal(RequestAttempt<Q, A> attempt, long now) {
        return gate.refusal(attempt, now);
    }

    /**
     * Ends an attempt that waits for its connection if it may no longer start.
     *
     * @param canDetectDisconnect whether a disconnect of its client would be detected
     */
    private void endIfDenied(RequestAttempt<Q, A> attempt, boolean canDetectDisconnect) {
        if (!attempt.isWaiting()) {
            return;
        }
        StartDenial denial = gate.startDenial(attempt, canDetectDisconnect);
        if (denial != null) {
            requestLog.attemptDenied(attempt, denial);
            // Its endpoint was not contacted, so the outcome must not count for its zone.
            accounting.onAttemptEnded(timers.now(), attempt, Outcome.NOT_STARTED, null);
            attempt.excludeFromZone();
            transport.abandonAttempt(attempt);
            attemptEnded(attempt, denial.outcome(), null);
        }
    }

    // ---- the end of an attempt

    /**
     * Records that an endpoint's response has begun which is too large to be buffered, or may be.
     * It streams to the client from now on. Its end is reported by {@link #attemptEnded}.
     *
     * <p>To the balancer the attempt is reported as served now; otherwise clients that read slowly
     * would make endpoints count as full or unresponsive. If the response is aborted later, the
     * balancer is notified again.
     *
     * @param response what is received of the response, which the transport keeps current
     */
    public void responseStarted(
            RequestAttempt<Q, A> attempt, A answer, LoadReport load, StreamedResponse response) {
        events.post(() -> deliverResponseStart(attempt, answer, load, response));
    }

    /**
     * Records that the response of an attempt has begun, that none of it was passed on yet, and
     * that nothing more of it was received for some time. The attempt goes on.
     */
    public void responsePaused(RequestAttempt<Q, A> attempt) {
        events.post(
                () -> {
                    if (!attempt.hasEnded() && !attempt.exchange().isOver()) {
                        requestLog.responsePaused(attempt);
                        balancer.onResponsePaused(
                                timers.now(), attempt.exchange().request().id(), attempt.number());
                    }
                });
    }

    private void deliverResponseStart(
            RequestAttempt<Q, A> attempt, A answer, LoadReport load, StreamedResponse response) {
        Exchange<Q, A> exchange = attempt.exchange();
        if (attempt.hasEnded()) {
            return;
        }
        if (exchange.isOver()) {
            giveUp(attempt, Outcome.CANCELLED);
            return;
        }
        attempt.responseStarted(response);
        accounting.onAttemptEnded(timers.now(), attempt, Outcome.OK, load);
        exchange.startStreaming(attempt);
        dropWaitingAttempts(exchange);
        exchange.feedback(budgets == null ? null : exchange.budget().servedFeedback());
        exchange.reply().served(answer);
        balancer.onResponseStreamed(timers.now(), exchange.request().id(), attempt.number());
        reportOutcome(attempt, Outcome.OK, attempt.latencyNanos(timers.now()), true, load);
    }

    /**
     * Returns whether a streamed response that is complete may be passed on as complete. One that
     * is too late for any answer may not: its attempt ends within this call.
     */
    public boolean mayComplete(RequestAttempt<Q, A> attempt) {
        return !deadlines.endIfTooLate(attempt);
    }

    /** Records that an endpoint served an attempt. */
    public void served(RequestAttempt<Q, A> attempt, A answer, LoadReport load) {
        served(attempt, answer, load, DownstreamFeedback.NOTHING);
    }

    /** Records that an endpoint served an attempt, with the budget feedback of its response. */
    public void served(
            RequestAttempt<Q, A> attempt, A answer, LoadReport load, DownstreamFeedback feedback) {
        attemptEnded(attempt, Outcome.OK, answer, load, feedback);
    }

    /** Records that an attempt ended in any other way than served. */
    public void attemptEnded(RequestAttempt<Q, A> attempt, Outcome outcome, LoadReport load) {
        attemptEnded(attempt, outcome, load, DownstreamFeedback.NOTHING);
    }

    /** Records that an attempt ended, with the budget feedback of its response. */
    public void attemptEnded(
            RequestAttempt<Q, A> attempt,
            Outcome outcome,
            LoadReport load,
            DownstreamFeedback feedback) {
        attemptEnded(attempt, outcome, null, load, feedback);
    }

    private void attemptEnded(
            RequestAttempt<Q, A> attempt,
            Outcome outcome,
            A answer,
            LoadReport load,
            DownstreamFeedback feedback) {
        if (attempt.end()) {
            long latency = attempt.latencyNanos(timers.now());
            events.post(() -> deliverAttemptEnd(attempt, outcome, answer, latency, load, feedback));
        }
    }

    private void deliverAttemptEnd(
            RequestAttempt<Q, A> attempt,
            Outcome outcome,
            A answer,
            long latency,
            LoadReport load,
            DownstreamFeedback feedback) {
        Exchange<Q, A> exchange = attempt.exchange();
        exchange.attemptEnded(outcome);
        requestLog.attemptEnded(attempt, outcome, latency);
        if (attempt.propagatedBudget() != null) {
            budgets.onAttemptEnded(
                    timers.now(),
                    exchange.budget(),
                    attempt.propagatedBudget(),
                    outcome,
                    latency,
                    feedback);
        }
        if (attempt.isStreaming() && exchange.endStreaming()) {
            accounting.onEnded(exchange, outcome == Outcome.OK ? End.SERVED : End.FAILED);
        }
        if (outcome == Outcome.OK && !exchange.isOver()) {
            end(exchange, End.SERVED);
            exchange.feedback(budgets == null ? null : exchange.budget().servedFeedback());
            exchange.reply().served(answer);
        }
        forgetIfDone(exchange);
        if (!attempt.isStreaming()) {
            accounting.onAttemptEnded(timers.now(), attempt, outcome, load);
            reportOutcome(attempt, outcome, latency, exchange.isOver(), load);
        } else if (outcome != Outcome.OK && outcome != Outcome.CANCELLED) {
            balancer.onResponseAborted(timers.now(), attempt.endpoint(), attempt.startedAt());
        }
    }

    private void reportOutcome(
            RequestAttempt<Q, A> attempt,
            Outcome outcome,
            long latency,
            boolean settled,
            LoadReport load) {
        balancer.onAttemptEnded(
                timers.now(),
                attempt.exchange().request().id(),
                attempt.number(),
                attempt.endpoint(),
                outcome,
                latency,
                settled,
                load);
    }

    /**
     * Abandons an attempt and ends it. If its last byte was never written, its outcome proves that
     * it did not run, for whatever reason it is abandoned, so that its client may retry.
     */
    void giveUp(RequestAttempt<Q, A> attempt, Outcome outcome) {
        if (attempt.hasEnded()) {
            return;
        }
        Outcome ifUnsent =
                outcome == Outcome.TIMEOUT ? Outcome.CONNECT_FAILED : Outcome.NOT_STARTED;
        Outcome proven = attempt.isExecuting() ? outcome : ifUnsent;
        transport.abandonAttempt(attempt);
        attemptEnded(attempt, proven, null);
    }

    /**
     * Expires a request at the latest now, since this process is about to end and the client would
     * otherwise get no answer at all. A long response that streams continues.
     */
    public void expireNow(Exchange<Q, A> exchange) {
        deadlines.expireNow(exchange);
    }

    // ---- endpoints, probes and other replicas

    /** Records that a probe ended; {@code load} is null unless its response had a load report. */
    public void probeEnded(long endpoint, Outcome outcome, long latency, LoadReport load) {
        accounting.onProbeEnded(timers.now(), endpoint, outcome, load);
        if (budgets != null && outcome == Outcome.OK) {
            budgets.onProbeAnswered(latency);
        }
        events.post(() -> balancer.onProbeEnded(timers.now(), endpoint, outcome, latency, load));
    }

    /** Passes the endpoint list, or changes to it, to the balancer. */
    public void endpointsUpdated(EndpointListKind kind, List<Endpoint> entries) {
        accounting.onEndpoints(kind, entries);
        events.post(
                () -> {
                    balancer.onEndpoints(timers.now(), kind, entries);
                    endDeniedAttempts();
                });
    }

    /**
     * Ends attempts that wait for a connection to an endpoint which may no longer receive requests:
     * another endpoint may serve them.
     */
    private void endDeniedAttempts() {
        for (Exchange<Q, A> exchange : List.copyOf(exchanges.values())) {
            for (RequestAttempt<Q, A> attempt : List.copyOf(exchange.attempts())) {
                endIfDenied(attempt, true);
            }
        }
    }

    /** Notifies the balancer of a timer that it had scheduled. */
    void timerFired(long token) {
        events.post(() -> balancer.onTimer(timers.now(), token));
    }

    /** Records that a call to discovery failed or the watch broke. */
    public void endpointsUnavailable() {
        events.post(() -> balancer.onEndpointsUnavailable(timers.now()));
    }

    /** Records that an operator has enabled an endpoint again. */
    public void endpointReenabled(long endpoint) {
        events.post(() -> balancer.onEndpointReenabled(timers.now(), endpoint));
    }

    /** Returns how many of the listed endpoints the balancer avoids now. */
    public int avoidedEndpoints() {
        return balancer.avoidedEndpoints(timers.now());
    }

    /** Sets the number of live replicas of the tier, this one included. */
    public void liveReplicas(int live) {
        events.post(() -> balancer.onLiveReplicas(timers.now(), live));
    }

    /** Passes a message from another replica of the tier to the balancer. */
    public void peerMessage(int from, byte[] message) {
        events.post(() -> balancer.onPeerMessage(timers.now(), from, message));
    }

    /**
     * Sets the fraction of the requests that each zone may get; if the list is empty, the balancer
     * decides.
     */
    public void zoneSharesUpdated(List<ZoneTrafficShare> shares) {
        events.post(
                () -> {
                    zoneShares.set(!shares.isEmpty());
                    balancer.onZoneShares(timers.now(), shares);
                });
    }

    /** Sets the instant from which on the zone shares that were set last must not be used. */
    public void zoneSharesValidUntil(long instant) {
        zoneShares.validUntil(instant);
    }

    /** Sets the listener that runs whenever an attempt starts while zone shares are set. */
    public void onZoneShareUsed(Runnable listener) {
        zoneShares.onUsed(listener);
    }

    private void expireZoneShares() {
        if (zoneShares.expire(timers.now())) {
            balancer.onZoneShares(timers.now(), List.of());
        }
    }
}
