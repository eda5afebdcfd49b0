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
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

/**
 * Feeds the balancer with events, one at a time, and carries out its actions. It decides nothing.
 *
 * <p>An action never re-enters the balancer: what it causes, such as a connection that is refused
 * at once, waits in {@link SerialEventQueue} until the event at hand has been handled, as it would
 * on the simulator's wire.
 *
 * <p>Not thread-safe: it belongs to the event loop.
 *
 * @param <Q> what is forwarded to an endpoint
 * @param <A> what an endpoint answers
 */
public final class RequestForwarder<Q, A> {

    /**
     * A request that the balancer has not ended this long after its deadline is ended for it. The
     * protocol allows ten times as much past any site's limits, and the deadline here is before the
     * client's.
     */
    private static final long OVERDUE_NANOS = 5_000_000L;

    private final TimerService timers;
    private final Logger log;
    private final LoadBalancer balancer;
    private final Budgets budgets;
    private final RequestAccounting accounting;
    private final SerialEventQueue events;
    private final BalancerActions<Q, A> actions;
    private final AttemptGate<Q, A> gate;
    private final Map<Long, Exchange<Q, A>> exchanges = new HashMap<>();
    private AttemptTransport<Q, A> transport;
    private final ZoneShareLease zoneShares = new ZoneShareLease();

    /** A forwarder without budgets and metrics. */
    public RequestForwarder(
            Function<LoadBalancer.Actions, LoadBalancer> newBalancer,
            int maxAttempts,
            TimerService timers,
            Logger log) {
        this(newBalancer, maxAttempts, timers, log, null, null);
    }

    /**
     * A forwarder, to be completed by {@link #attach}.
     *
     * @param newBalancer makes the balancer that acts through what it is given
     * @param maxAttempts attempts of one request beyond which none goes out
     * @param budgets asked before each further attempt that the balancer starts; null: none
     * @param metrics where requests are counted; null: nowhere
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
        this.log = log;
        this.budgets = budgets;
        this.events = new SerialEventQueue(log, this::expireZoneShares);
        this.actions = new BalancerActions<>(this, accounting, budgets, zoneShares, timers, log);
        this.balancer = newBalancer.apply(actions);
        this.gate = new AttemptGate<>(maxAttempts, budgets, balancer, timers, log);
    }

    /** Completes the wiring; to be called before the first event. */
    public void attach(
            AttemptTransport<Q, A> attemptTransport,
            EndpointDiscovery endpointDiscovery,
            PeerTransport peerTransport) {
        transport = attemptTransport;
        actions.attach(attemptTransport, endpointDiscovery, peerTransport);
        gate.attach(attemptTransport);
    }

    /** Counts requests by zones from now on; to be called before the first event. */
    public void countByZone(ZoneTrafficCounter counter) {
        accounting.countByZone(counter);
    }

    // ---- requests

    /** Accepts a request; its reply is called exactly once unless the client leaves. */
    public void accept(Exchange<Q, A> exchange) {
        exchanges.put(exchange.request().id(), exchange);
        accounting.onAccepted(exchange);
        exchange.deadlineTimer(timers.at(exchange.request().deadline(), () -> expire(exchange)));
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
        balancer.onRequest(timers.now(), exchange.request(), budget.standing());
    }

    /** The last byte of a request's body was received: its time starts. */
    public void uploadComplete(Exchange<Q, A> exchange) {
        if (exchange.isOver()) {
            return;
        }
        exchange.expiry(timers.now() + exchange.timeoutAfterUpload());
        exchange.cancelDeadline();
        exchange.deadlineTimer(timers.at(exchange.expiry(), () -> expire(exchange)));
        events.post(() -> balancer.onUploadComplete(timers.now(), exchange.request().id()));
    }

    /** The client has left: nothing more goes out for it. */
    public void clientLeft(Exchange<Q, A> exchange) {
        RequestAttempt<Q, A> streaming = exchange.streamingAttempt();
        if (exchange.endStreaming()) {
            accounting.onEnded(exchange, End.CLIENT_LEFT);
            giveUp(streaming, Outcome.CANCELLED);
        }
        endWithoutBalancer(exchange, End.CLIENT_LEFT);
    }

    /** Ends an exchange that the balancer has not ended, and tells the balancer so. */
    private void endWithoutBalancer(Exchange<Q, A> exchange, End end) {
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

    /** The one place where an exchange ends, but for {@link #responseStarted}. */
    private void end(Exchange<Q, A> exchange, End end) {
        exchange.end();
        accounting.onEnded(exchange, end);
        dropWaitingAttempts(exchange);
    }

    /**
     * What still waits for its connection as its request ends never starts, whatever the settings
     * say of cancellation: it would go out for nobody.
     */
    private void dropWaitingAttempts(Exchange<Q, A> exchange) {
        for (int i = 0; i < exchange.attempts().size(); i++) { // more may come, which end at once
            if (exchange.attempts().get(i).isWaiting()) {
                giveUp(exchange.attempts().get(i), Outcome.NOT_STARTED);
            }
        }
    }

    /** The exchange of a request; null where there is none, or none any more. */
    Exchange<Q, A> exchange(long requestId) {
        return exchanges.get(requestId);
    }

    /** Ends an exchange as the balancer says. */
    void endAndForget(Exchange<Q, A> exchange, End end) {
        end(exchange, end);
        forgetIfDone(exchange);
    }

    private void forgetIfDone(Exchange<Q, A> exchange) {
        if (exchange.isDone()) {
            exchange.cancelDeadline();
            exchanges.remove(exchange.request().id());
        }
    }

    // ---- the start of an attempt

    /**
     * Whether the first byte of an attempt may go out now: the one gate of every attempt, to be
     * asked once, right before. The balancer may have started it long ago, where its connection
     * came up late. Since then its client may have left, or could have left unseen, its time may be
     * over, its endpoint may have been removed, drain or have restarted, or the window of its
     * idempotency key may be past. An attempt that may not start ends with this, so that it is
     * proven not to have run.
     */
    public boolean mayStart(RequestAttempt<Q, A> attempt) {
        Exchange<Q, A> exchange = attempt.exchange();
        if (!exchange.isOver() && !exchange.reply().isClientWaiting()) {
            clientLeft(exchange); // which ends the attempt, too
        }
        boolean canDetectDisconnect = exchange.isOver() || exchange.reply().canDetectDisconnect();
        endIfDenied(attempt, canDetectDisconnect);
        if (attempt.hasEnded()) {
            return false;
        }
        attempt.startWriting();
        return true;
    }

    /** What an attempt ends with at once; null where it may go to the transport. */
    Outcome refusal(RequestAttempt<Q, A> attempt, long now) {
        return gate.refusal(attempt, now);
    }

    /**
     * Ends an attempt that waits for its connection, and could not start any more.
     *
     * @param canDetectDisconnect whether it would be seen that its client has left
     */
    private void endIfDenied(RequestAttempt<Q, A> attempt, boolean canDetectDisconnect) {
        if (!attempt.isWaiting()) {
            return;
        }
        Outcome denial = canDetectDisconnect ? gate.startDenial(attempt) : Outcome.NOT_STARTED;
        if (denial != null) {
            // Its endpoint was not contacted, so this says nothing of its zone.
            accounting.onAttemptEnded(timers.now(), attempt, Outcome.NOT_STARTED, null);
            attempt.leaveZone();
            transport.abandonAttempt(attempt);
            attemptEnded(attempt, denial, null);
        }
    }

    // ---- the end of an attempt

    /**
     * An endpoint's response has begun, which is too large to be buffered: it is the client's from
     * here on, and no deadline cuts it. Its end is reported by {@link #attemptEnded}.
     *
     * <p>For the balancer the attempt is served with this, since endpoints would else count as full
     * or unresponsive by clients that read slowly. Of a response that is aborted later it hears
     * once more.
     */
    public void responseStarted(RequestAttempt<Q, A> attempt, A answer, LoadReport load) {
        events.post(() -> deliverResponseStart(attempt, answer, load));
    }

    private void deliverResponseStart(RequestAttempt<Q, A> attempt, A answer, LoadReport load) {
        Exchange<Q, A> exchange = attempt.exchange();
        if (attempt.hasEnded()) {
            return;
        }
        if (exchange.isOver()) {
            giveUp(attempt, Outcome.CANCELLED);
            return;
        }
        attempt.responseStarted(timers.now());
        accounting.onAttemptEnded(timers.now(), attempt, Outcome.OK, load);
        exchange.startStreaming(attempt);
        dropWaitingAttempts(exchange);
        exchange.cancelDeadline();
        exchange.feedback(budgets == null ? null : exchange.budget().servedFeedback());
        exchange.reply().served(answer);
        tellOutcome(attempt, Outcome.OK, attempt.latencyNanos(timers.now()), true, load);
    }

    /** An endpoint served an attempt. */
    public void served(RequestAttempt<Q, A> attempt, A answer, LoadReport load) {
        served(attempt, answer, load, DownstreamFeedback.NOTHING);
    }

    /** The same, with what the answer says of budgets. */
    public void served(
            RequestAttempt<Q, A> attempt, A answer, LoadReport load, DownstreamFeedback feedback) {
        attemptEnded(attempt, Outcome.OK, answer, load, feedback);
    }

    /** An attempt ended in any other way. */
    public void attemptEnded(RequestAttempt<Q, A> attempt, Outcome outcome, LoadReport load) {
        attemptEnded(attempt, outcome, load, DownstreamFeedback.NOTHING);
    }

    /** The same, with what the answer says of budgets. */
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
            tellOutcome(attempt, outcome, latency, exchange.isOver(), load);
        } else if (outcome != Outcome.OK && outcome != Outcome.CANCELLED) {
            balancer.onResponseAborted(timers.now(), attempt.endpoint(), attempt.startedAt());
        }
    }

    private void tellOutcome(
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
     * Ends an attempt from here. The outcome of one whose last byte was never written says that it
     * did not run, whatever it is ended for, so that its client may repeat it.
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

    // ---- the end of a request's time

    /**
     * The deadline of a request: its attempts in flight time out, and with the last of them the
     * balancer ends the request, since it then knows whether any may have run. Each request has
     * this timer of its own, so that none depends on its attempts, or on the balancer, for an
     * answer.
     */
    private void expire(Exchange<Q, A> exchange) {
        // Over a copy, since the balancer may start another attempt upon a timeout.
        for (RequestAttempt<Q, A> attempt : List.copyOf(exchange.attempts())) {
            giveUp(attempt, Outcome.TIMEOUT);
        }
        if (!exchange.isOver()) {
            accounting.onDeadlineMissed();
            timers.at(timers.now() + OVERDUE_NANOS, () -> endOverdue(exchange));
        }
    }

    /**
     * Ends a request before its time, since this process ends: its client would get no answer at
     * all.
     */
    public void expireNow(Exchange<Q, A> exchange) {
        if (!exchange.isOver()) {
            exchange.expiry(timers.now()); // first, so that no further attempt starts
            exchange.cancelDeadline();
            expire(exchange);
        }
    }

    /** Ends a request that the balancer did not end: rejects what is known not to have run. */
    private void endOverdue(Exchange<Q, A> exchange) {
        if (exchange.isOver()) {
            return;
        }
        log.warn("request.deadline_exceeded").with("request", exchange.request().id()).write();
        if (exchange.mayHaveRun()) {
            exchange.reply().failed();
            endWithoutBalancer(exchange, End.FAILED);
        } else {
            exchange.reply().rejected(0);
            endWithoutBalancer(exchange, End.REJECTED);
        }
    }

    // ---- endpoints, probes and other replicas

    /** A probe ended; {@code load} is null unless it brought a report. */
    public void probeEnded(long endpoint, Outcome outcome, long latency, LoadReport load) {
        accounting.onProbeEnded(timers.now(), endpoint, outcome, load);
        if (budgets != null && outcome == Outcome.OK) {
            budgets.onProbeAnswered(latency);
        }
        events.post(() -> balancer.onProbeEnded(timers.now(), endpoint, outcome, latency, load));
    }

    /** The endpoint list, or changes to it. */
    public void endpointsUpdated(EndpointListKind kind, List<Endpoint> entries) {
        accounting.onEndpoints(kind, entries);
        events.post(
                () -> {
                    balancer.onEndpoints(timers.now(), kind, entries);
                    endDeniedAttempts();
                });
    }

    /**
     * Attempts that wait for a connection to an endpoint which may no longer be sent to end now:
     * another endpoint may take their requests.
     */
    private void endDeniedAttempts() {
        for (Exchange<Q, A> exchange : List.copyOf(exchanges.values())) {
            for (RequestAttempt<Q, A> attempt : List.copyOf(exchange.attempts())) {
                endIfDenied(attempt, true);
            }
        }
    }

    /** A timer fired that the balancer had set. */
    void timerFired(long token) {
        events.post(() -> balancer.onTimer(timers.now(), token));
    }

    /** A call to discovery failed or the watch broke. */
    public void endpointsUnavailable() {
        events.post(() -> balancer.onEndpointsUnavailable(timers.now()));
    }

    /** An operator has put an endpoint back. */
    public void endpointReenabled(long endpoint) {
        events.post(() -> balancer.onEndpointReenabled(timers.now(), endpoint));
    }

    /** How many of the listed endpoints the balancer avoids now. */
    public int avoidedEndpoints() {
        return balancer.avoidedEndpoints(timers.now());
    }

    /** This many replicas of the tier are alive, this one among them. */
    public void liveReplicas(int live) {
        events.post(() -> balancer.onLiveReplicas(timers.now(), live));
    }

    /** A message came from another replica of the tier. */
    public void peerMessage(int from, byte[] message) {
        events.post(() -> balancer.onPeerMessage(timers.now(), from, message));
    }

    /** Each zone may get such a part of the requests; empty: as the balancer sees fit. */
    public void zoneSharesUpdated(List<ZoneTrafficShare> shares) {
        events.post(
                () -> {
                    zoneShares.set(!shares.isEmpty());
                    balancer.onZoneShares(timers.now(), shares);
                });
    }

    /** From that instant on the zone shares that were set last must not be used. */
    public void zoneSharesValidUntil(long instant) {
        zoneShares.validUntil(instant);
    }

    /** Runs this whenever a request is sent by zone shares that were set. */
    public void onZoneShareUsed(Runnable listener) {
        zoneShares.onUsed(listener);
    }

    private void expireZoneShares() {
        if (zoneShares.expire(timers.now())) {
            balancer.onZoneShares(timers.now(), List.of());
        }
    }
}
