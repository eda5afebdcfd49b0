package cedarrudder.forwarding;

import cedarrudder.balancer.LoadBalancer;
import cedarrudder.balancer.LoadBalancer.Endpoint;
import cedarrudder.balancer.LoadBalancer.EndpointListKind;
import cedarrudder.balancer.LoadBalancer.LoadReport;
import cedarrudder.balancer.LoadBalancer.Outcome;
import cedarrudder.balancer.LoadBalancer.ZoneTrafficShare;
import cedarrudder.budget.Budgets;
import cedarrudder.budget.DownstreamFeedback;
import cedarrudder.failover.ZoneTrafficCounter;
import cedarrudder.logging.Logger;
import cedarrudder.metrics.RequestMetrics;
import cedarrudder.metrics.RequestMetrics.End;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.function.Function;

/**
 * Feeds the decision module with events, one at a time, and carries out its actions. It decides
 * nothing.
 *
 * <p>An action never re-enters the module: what it causes (a connection refused at once, an attempt
 * that is moot) waits in the queue until the event at hand has been handled, as it would on the
 * simulator's wire.
 */
public final class RequestForwarder<Q, A> {

    /**
     * An RPC that the module has not ended this long after its deadline is ended for it. The
     * protocol allows ten times as much past any site's limits, and the deadline here is before the
     * client's.
     */
    private static final long OVERDUE = 5_000_000L;

    private final TimerService timers;
    private final Logger log;
    private final int maxAttempts;
    private final LoadBalancer balancer;
    private final Budgets budgets;
    private final RequestMetrics figures;
    private final Queue<Runnable> events = new ArrayDeque<>();
    private final Map<Long, Exchange<Q, A>> exchanges = new HashMap<>();
    private AttemptTransport<Q, A> client;
    private EndpointDiscovery resolver;
    private PeerTransport peers;
    private ZoneTrafficCounter tally;
    private boolean delivering;
    private boolean shared;
    private long sharesUntil = Long.MAX_VALUE;
    private Runnable byShares;

    public RequestForwarder(
            Function<LoadBalancer.Actions, LoadBalancer> module,
            int maxAttempts,
            TimerService timers,
            Logger log) {
        this(module, maxAttempts, timers, log, null, null);
    }

    /**
     * @param budgets asked before each further attempt that the module wants; null: none
     * @param figures where RPCs are counted; null: nowhere
     */
    public RequestForwarder(
            Function<LoadBalancer.Actions, LoadBalancer> module,
            int maxAttempts,
            TimerService timers,
            Logger log,
            Budgets budgets,
            RequestMetrics figures) {
        this.figures = figures;
        this.timers = timers;
        this.log = log;
        this.budgets = budgets;
        this.maxAttempts = maxAttempts;
        this.balancer = module.apply(new Hands());
    }

    /** Completes the wiring; to be called before the first event. */
    public void connect(
            AttemptTransport<Q, A> clientSide, EndpointDiscovery discovery, PeerTransport others) {
        client = clientSide;
        resolver = discovery;
        peers = others;
    }

    /**
     * Has what becomes of calls counted by zones from now on; to be called before the first event.
     */
    public void count(ZoneTrafficCounter byZones) {
        tally = byZones;
    }

    // ---- events ----

    /** Takes an RPC; its reply is called exactly once unless the caller leaves. */
    public void accept(Exchange<Q, A> exchange) {
        exchanges.put(exchange.request().id(), exchange);
        if (figures != null) {
            figures.taken(exchange.request().classIndex());
        }
        if (tally != null) {
            tally.came();
        }
        exchange.expiresBy(timers.at(exchange.request().deadline(), () -> expire(exchange)));
        post(
                () -> {
                    if (budgets == null) {
                        balancer.request(timers.now(), exchange.request());
                    } else {
                        exchange.budget(
                                budgets.arrived(
                                        timers.now(), exchange.request(), exchange.carried()));
                        balancer.request(
                                timers.now(), exchange.request(), exchange.budget().standing());
                    }
                });
    }

    /** The last byte of a request has been read whose first were taken before: its time starts. */
    public void whole(Exchange<Q, A> exchange) {
        if (!exchange.over()) {
            exchange.expiry(timers.now() + exchange.onceWhole());
            exchange.forget();
            exchange.expiresBy(timers.at(exchange.expiry(), () -> expire(exchange)));
            post(() -> balancer.whole(timers.now(), exchange.request().id()));
        }
    }

    /** The caller has gone. */
    public void left(Exchange<Q, A> exchange) {
        RequestAttempt<Q, A> flowing = exchange.flowing();
        if (exchange.endFlow()) {
            count(exchange, End.LEFT);
            giveUp(flowing, Outcome.CANCELLED);
        }
        leave(exchange, End.LEFT);
    }

    private void leave(Exchange<Q, A> exchange, End how) {
        if (exchange.over()) {
            return;
        }
        end(exchange, how);
        forgetIfDone(exchange);
        if (exchange.budget() != null) {
            budgets.left(timers.now(), exchange.budget());
        }
        post(() -> balancer.clientLeft(timers.now(), exchange.request().id()));
    }

    /** The one place where an exchange ends, but for {@link #began}. */
    private void end(Exchange<Q, A> exchange, End how) {
        exchange.end();
        count(exchange, how);
        dropUnbegun(exchange);
    }

    /**
     * Guards against a request that goes out for nobody: what still waits for its connection as its
     * RPC ends never begins, whatever may be called off by the settings.
     */
    private void dropUnbegun(Exchange<Q, A> exchange) {
        for (int i = 0;
                i < exchange.attempts().size();
                i++) { // more may come meanwhile, which end at once
            if (exchange.attempts().get(i).waits()) {
                giveUp(exchange.attempts().get(i), Outcome.MOOT);
            }
        }
    }

    /**
     * Whether the first byte of an attempt may go out now: the one gate of every attempt, to be
     * asked once, right before. Guards against what has changed since the module sent it, which may
     * be long ago where a connection came up late: its caller has left, or could have left unseen,
     * its time is over, its node has left the list, drains or has started anew, or the window of
     * its repeats is past. An attempt that may not begin ends with this, so as to prove that it did
     * not run.
     */
    public boolean begins(RequestAttempt<Q, A> attempt) {
        Exchange<Q, A> exchange = attempt.exchange();
        if (!exchange.over() && !exchange.reply().waits()) {
            left(exchange); // which ends the attempt, too
        }
        withdraw(attempt, exchange.over() || exchange.reply().seen());
        if (attempt.ended()) {
            return false;
        }
        attempt.begin();
        return true;
    }

    /**
     * Ends an attempt that waits for its connection, and could not begin any more.
     *
     * @param seen whether its caller would be seen to have gone
     */
    private void withdraw(RequestAttempt<Q, A> attempt, boolean seen) {
        Outcome denial =
                !attempt.waits() ? null : seen ? denial(attempt, attempt.exchange()) : Outcome.MOOT;
        if (denial != null) {
            told(
                    attempt,
                    Outcome.MOOT,
                    null); // its node was not asked: this says nothing of its zone
            attempt.zone(-1);
            client.abandon(attempt);
            ended(attempt, denial, null);
        }
    }

    private Outcome denial(RequestAttempt<Q, A> attempt, Exchange<Q, A> exchange) {
        long now = timers.now();
        if (exchange.over() || exchange.spent() || now >= exchange.expiry()) {
            return Outcome.MOOT;
        }
        if (!client.knows(attempt.endpoint())) {
            return Outcome.CONNECT_FAILED;
        }
        try {
            return balancer.denial(now, exchange.request().id(), attempt.number());
        } catch (RuntimeException | VirtualMachineError | LinkageError e) {
            log.fault("module.failed", e)
                    .write(); // as for its events: its caller must not wait for it
            return Outcome.MOOT;
        }
    }

    private void count(Exchange<Q, A> exchange, End how) {
        if (figures != null) {
            figures.ended(exchange.request().classIndex(), how);
        }
        if (tally != null && (how == End.THROTTLED || how == End.FAULTED)) {
            tally.unserved();
        }
    }

    /**
     * A node's answer has begun, which is too large to be held: it is the caller's from here on,
     * and no deadline cuts it. Its end is told by {@link #ended}.
     *
     * <p>For the module the attempt has been served with this. Guards against nodes being taken for
     * full, or silent, by answers that callers read slowly; of one that breaks off later it hears
     * once more.
     */
    public void began(RequestAttempt<Q, A> attempt, A answer, LoadReport load) {
        post(
                () -> {
                    Exchange<Q, A> exchange = attempt.exchange();
                    if (attempt.ended()) {
                        return;
                    }
                    if (exchange.over()) {
                        giveUp(attempt, Outcome.CANCELLED);
                        return;
                    }
                    attempt.answers(timers.now());
                    told(attempt, Outcome.OK, load);
                    exchange.begin(attempt);
                    dropUnbegun(exchange);
                    exchange.forget();
                    exchange.result(budgets == null ? null : exchange.budget().served());
                    exchange.reply().served(answer);
                    balancer.outcome(
                            timers.now(),
                            exchange.request().id(),
                            attempt.number(),
                            attempt.endpoint(),
                            Outcome.OK,
                            attempt.took(timers.now()),
                            true,
                            load);
                });
    }

    /** A node served an attempt. */
    public void served(RequestAttempt<Q, A> attempt, A answer, LoadReport load) {
        served(attempt, answer, load, DownstreamFeedback.NOTHING);
    }

    /** The same, with what the answer says of budgets. */
    public void served(
            RequestAttempt<Q, A> attempt, A answer, LoadReport load, DownstreamFeedback below) {
        ended(attempt, Outcome.OK, answer, load, below);
    }

    /** An attempt ended in any other way. */
    public void ended(RequestAttempt<Q, A> attempt, Outcome outcome, LoadReport load) {
        ended(attempt, outcome, load, DownstreamFeedback.NOTHING);
    }

    /** The same, with what the answer says of budgets. */
    public void ended(
            RequestAttempt<Q, A> attempt,
            Outcome outcome,
            LoadReport load,
            DownstreamFeedback below) {
        ended(attempt, outcome, null, load, below);
    }

    private void ended(
            RequestAttempt<Q, A> attempt,
            Outcome outcome,
            A answer,
            LoadReport load,
            DownstreamFeedback below) {
        if (!attempt.end()) {
            return;
        }
        long latency = attempt.took(timers.now());
        post(
                () -> {
                    Exchange<Q, A> exchange = attempt.exchange();
                    exchange.attemptEnded(outcome);
                    if (attempt.handed() != null) {
                        budgets.ended(
                                timers.now(),
                                exchange.budget(),
                                attempt.handed(),
                                outcome,
                                latency,
                                below);
                    }
                    if (attempt.answering() && exchange.endFlow()) {
                        count(exchange, outcome == Outcome.OK ? End.FULFILLED : End.FAULTED);
                    }
                    if (outcome == Outcome.OK && !exchange.over()) {
                        end(exchange, End.FULFILLED);
                        exchange.result(budgets == null ? null : exchange.budget().served());
                        exchange.reply().served(answer);
                    }
                    forgetIfDone(exchange);
                    if (!attempt.answering()) {
                        told(attempt, outcome, load);
                    } else {
                        if (outcome != Outcome.OK && outcome != Outcome.CANCELLED) {
                            balancer.brokeOff(
                                    timers.now(), attempt.endpoint(), attempt.startedAt());
                        }
                        return; // the module has heard of the rest
                    }
                    balancer.outcome(
                            timers.now(),
                            exchange.request().id(),
                            attempt.number(),
                            attempt.endpoint(),
                            outcome,
                            latency,
                            exchange.over(),
                            load);
                });
    }

    private void told(RequestAttempt<Q, A> attempt, Outcome outcome, LoadReport load) {
        if (tally != null) {
            tally.ended(timers.now(), attempt.zone(), outcome, load);
        }
    }

    /** A probe came back; {@code load} is null unless it brought a report. */
    public void probed(long endpoint, Outcome outcome, long latency, LoadReport load) {
        if (tally != null) {
            tally.probed(timers.now(), endpoint, outcome, load);
        }
        if (budgets != null && outcome == Outcome.OK) {
            budgets.probed(latency);
        }
        post(() -> balancer.probed(timers.now(), endpoint, outcome, latency, load));
    }

    /** A resolver result: the list of nodes, or changes to it. */
    public void resolved(EndpointListKind kind, List<Endpoint> entries) {
        if (tally != null) {
            tally.listed(kind, entries);
        }
        post(
                () -> {
                    balancer.endpoints(timers.now(), kind, entries);
                    // Guards against a wait for a connection to a node that has left: another may
                    // take it now.
                    for (Exchange<Q, A> exchange : List.copyOf(exchanges.values())) {
                        List.copyOf(exchange.attempts())
                                .forEach(attempt -> withdraw(attempt, true));
                    }
                });
    }

    /** A call to discovery failed or the watch broke. */
    public void unresolved() {
        post(() -> balancer.endpointsFailed(timers.now()));
    }

    /** So many proxies of the tier live, this one with them. */
    public void replicas(int live) {
        post(() -> balancer.replicas(timers.now(), live));
    }

    /** Each zone may get such a part of the RPCs; an empty list: as the module sees fit. */
    public void shares(List<ZoneTrafficShare> shares) {
        post(
                () -> {
                    shared = !shares.isEmpty();
                    balancer.shares(timers.now(), shares);
                });
    }

    /**
     * From that instant on the shares that were said last must not be used. It is looked at before
     * each event of the module. Guards against a process that stood still and goes on, in its first
     * moment, by what copies had agreed on long ago.
     */
    public void sharesUntil(long instant) {
        sharesUntil = instant;
    }

    /** Runs this whenever an RPC goes out by shares that were said; null: nobody wants to know. */
    public void onShared(Runnable hears) {
        byShares = hears;
    }

    /** An operator has put a node back. */
    public void returned(long endpoint) {
        post(() -> balancer.returned(timers.now(), endpoint));
    }

    /** How many of the listed nodes the module avoids now. */
    public int avoided() {
        return balancer.avoided(timers.now());
    }

    /** A message came from another proxy of the tier. */
    public void message(int from, byte[] message) {
        post(() -> balancer.message(timers.now(), from, message));
    }

    private void post(Runnable event) {
        events.add(event);
        if (delivering) {
            return;
        }
        delivering = true;
        try {
            for (Runnable next = events.poll(); next != null; next = events.poll()) {
                deliver(next);
            }
        } finally {
            delivering = false;
        }
    }

    private void deliver(Runnable event) {
        try {
            if (shared && timers.now() >= sharesUntil) {
                shared = false;
                balancer.shares(timers.now(), List.of());
            }
            event.run();
        } catch (RuntimeException | VirtualMachineError | LinkageError e) {
            // Guards against one bad event keeping those behind it; the RPC it concerns still has
            // its timer.
            log.fault("module.failed", e).write();
        }
    }

    // ---- the end of an RPC's time ----

    /**
     * The deadline of an RPC: what is still out has timed out, upon which the module ends the RPC:
     * with the last of them it knows whether any may have run. Each RPC has this timer of its own,
     * so that none depends on its attempts, or on the module, for an answer.
     */
    private void expire(Exchange<Q, A> exchange) {
        // A copy: guards against a module that sends again upon a time-out, and so adds to the
        // attempts.
        for (RequestAttempt<Q, A> attempt : List.copyOf(exchange.attempts())) {
            giveUp(attempt, Outcome.TIMEOUT);
        }
        if (!exchange.over() && figures != null) {
            figures.late();
        }
        if (!exchange.over()) {
            timers.at(timers.now() + OVERDUE, () -> overdue(exchange));
        }
    }

    /**
     * Ends an RPC before its time, since this process ends. Guards against callers that get no
     * answer at all, since their time was to be over later than this process.
     */
    public void cut(Exchange<Q, A> exchange) {
        if (!exchange.over()) {
            exchange.expiry(timers.now()); // first: guards against further attempts
            exchange.forget();
            expire(exchange);
        }
    }

    /**
     * What was never sent on, or is known not to have run, is refused: guards against no repeat of
     * it.
     */
    private void overdue(Exchange<Q, A> exchange) {
        if (exchange.over()) {
            return;
        }
        log.warn("rpc.overdue").with("rpc", exchange.request().id()).write();
        if (exchange.mayHaveRun()) {
            exchange.reply().failed();
            leave(exchange, End.FAULTED);
        } else {
            exchange.reply().refused(0);
            leave(exchange, End.THROTTLED);
        }
    }

    /**
     * Ends an attempt from here. Guards against the outcome of one whose last byte was never
     * written saying that it may have run: its caller would be told so, and might not repeat it.
     */
    private void giveUp(RequestAttempt<Q, A> attempt, Outcome outcome) {
        if (!attempt.ended()) {
            Outcome unsent = outcome == Outcome.TIMEOUT ? Outcome.CONNECT_FAILED : Outcome.MOOT;
            Outcome truth = attempt.mayRun() ? outcome : unsent;
            client.abandon(attempt);
            ended(attempt, truth, null);
        }
    }

    private void forgetIfDone(Exchange<Q, A> exchange) {
        if (exchange.forgettable()) {
            exchange.forget();
            exchanges.remove(exchange.request().id());
        }
    }

    // ---- actions ----

    private final class Hands implements LoadBalancer.Actions {

        @Override
        public void send(long request, long endpoint, long timeout) {
            Exchange<Q, A> exchange = exchanges.get(request);
            if (exchange == null) {
                log.warn("module.sent_late").with("rpc", request).write();
                return;
            }
            long now = timers.now();
            RequestAttempt<Q, A> attempt = exchange.attempt(endpoint, now);
            attempt.zone(tally == null ? -1 : tally.sent(now, endpoint));
            if (exchange.over()
                    || exchange.spent()
                    || now >= exchange.expiry()
                    || attempt.number() >= maxAttempts) {
                ended(attempt, Outcome.MOOT, null);
                return;
            }
            if (!client.knows(endpoint)) {
                // Not moot: another node may well be there.
                ended(attempt, Outcome.CONNECT_FAILED, null);
                return;
            }
            if (budgets != null) {
                if (!budgets.mayAttempt(now, exchange.budget())) {
                    ended(attempt, Outcome.MOOT, null);
                    return;
                }
                attempt.hand(budgets.handDown(now, exchange.budget()));
            }
            if (shared && byShares != null) {
                byShares.run();
            }
            if (timeout != 0) {
                timers.at(now + timeout, () -> giveUp(attempt, Outcome.TIMEOUT));
            }
            client.start(attempt);
        }

        @Override
        public void refuse(long request, long retryAfter) {
            Exchange<Q, A> exchange = finish(request, End.THROTTLED);
            if (exchange != null) {
                exchange.result(budgets == null ? null : exchange.budget().refused());
                exchange.reply().refused(retryAfter);
            }
        }

        @Override
        public void fail(long request) {
            Exchange<Q, A> exchange = finish(request, End.FAULTED);
            if (exchange != null) {
                exchange.result(budgets == null ? null : exchange.budget().failed());
                exchange.reply().failed();
            }
        }

        /** Marks an RPC as over; null when it was already. */
        private Exchange<Q, A> finish(long request, End how) {
            Exchange<Q, A> exchange = exchanges.get(request);
            if (exchange == null || exchange.over()) {
                return null;
            }
            end(exchange, how);
            forgetIfDone(exchange);
            return exchange;
        }

        @Override
        public void cancel(long request, int attempt) {
            Exchange<Q, A> exchange = exchanges.get(request);
            if (exchange != null && attempt < exchange.attempts().size()) {
                giveUp(exchange.attempts().get(attempt), Outcome.CANCELLED);
            }
        }

        @Override
        public void probe(long endpoint) {
            if (client.knows(endpoint)) {
                client.probe(endpoint);
            } else {
                probed(endpoint, Outcome.MOOT, 0, null);
            }
        }

        @Override
        public void closeIdle(long endpoint) {
            client.closeIdle(endpoint);
        }

        @Override
        public void schedule(long at, long token) {
            timers.at(at, () -> post(() -> balancer.timer(timers.now(), token)));
        }

        @Override
        public void subscribe(boolean on) {
            resolver.subscribe(on);
        }

        @Override
        public void fetchEndpoints() {
            resolver.fetch();
        }

        @Override
        public void tell(int replica, byte[] message) {
            peers.tell(replica, message);
        }

        @Override
        public void log(String line) {
            log.info("module.said").with("line", line).write();
        }
    }
}
