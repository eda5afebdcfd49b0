package cedarrudder.lab.model;

import cedarrudder.balancer.BalancerSettings;
import cedarrudder.balancer.LoadBalancer.Endpoint;
import cedarrudder.balancer.LoadBalancer.EndpointListKind;
import cedarrudder.balancer.LoadBalancer.EndpointStatus;
import cedarrudder.balancer.LoadBalancer.LoadReport;
import cedarrudder.balancer.LoadBalancer.Outcome;
import cedarrudder.balancer.LoadBalancer.ZoneTrafficShare;
import cedarrudder.budget.BudgetEvents;
import cedarrudder.budget.BudgetSettings;
import cedarrudder.budget.Budgets;
import cedarrudder.budget.DownstreamFeedback;
import cedarrudder.forwarding.AttemptTransport;
import cedarrudder.forwarding.EndpointDiscovery;
import cedarrudder.forwarding.Exchange;
import cedarrudder.forwarding.PeerTransport;
import cedarrudder.forwarding.RequestAttempt;
import cedarrudder.forwarding.RequestForwarder;
import cedarrudder.forwarding.TimerService;
import cedarrudder.lab.policy.TierBudgets;
import cedarrudder.lab.scenario.Scenario;
import cedarrudder.lab.trace.Trace.Final;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;

/**
 * One life of a proxy: the daemon's driver and the balancer under test, on modelled connections,
 * timers, discovery and datagrams. When it dies all of this is void.
 */
final class ProxyInstance
        implements AttemptTransport<ProxyRequest, Attempt>,
                EndpointDiscovery,
                TimerService,
                PeerTransport,
                DiscoveryClientModel {

    /** How often idle connections are looked over, as in the daemon. */
    private static final long SWEEP = 1_000_000_000L;

    /** A connection is closed after this share of the time after which its node closes it. */
    private static final double IDLE_SHARE = 0.8;

    private static final int MAX_MESSAGE = 256;

    final Run run;
    final ModelProxy proxy;
    final int tier;
    final int zone;
    boolean alive = true;

    private long deliveredVersion;

    /** The version that it has been told when all messages so far are in. */
    private long heldVersion;

    /** Null where it has none. */
    final Budgets budgets;

    /** Whether the nodes that it sends to pass on nothing that is said of budgets. */
    final boolean stripped;

    private final RequestForwarder<ProxyRequest, Attempt> forwarder;
    private final GuardedBalancer watched;
    private final LongMap<Channel> channels = new LongMap<>();
    private final LongMap<Endpoint> list = new LongMap<>();
    private final Ledger.OfTier counts;
    private final long idleLimit;
    private Attempt[] out = new Attempt[8];
    private int outs;
    private ProxyRequest[] open = new ProxyRequest[8];
    private int opens;
    private long listMessageAt;

    private final Task sweep =
            new Task() {
                @Override
                protected void run() {
                    if (alive) {
                        sweepIdle();
                    }
                }
            };

    ProxyInstance(Run run, ModelProxy proxy, long seed, long knownVersion) {
        this.run = run;
        this.proxy = proxy;
        this.tier = proxy.tier;
        this.zone = proxy.zone;
        this.deliveredVersion = knownVersion;
        this.heldVersion = knownVersion;
        this.counts = run.ledger.tiers[tier];
        this.watched = new GuardedBalancer(run, proxy.number, proxy.all.guard, counts);
        this.idleLimit = (long) (run.world.tiers.get(tier).idle() * IDLE_SHARE);
        BalancerSettings settings = run.world.settings(tier, proxy.self, zone);
        TierBudgets asked = proxy.all.policy.budgets();
        this.stripped = asked != null && asked.strips().contains(run.world.tiers.get(tier).name());
        BudgetSettings mine = asked == null ? null : asked.of(run.world.tiers.get(tier).name());
        this.budgets =
                mine == null
                        ? null
                        : new Budgets(
                                mine,
                                settings,
                                new SplittableRandom(HashRandom.of(seed, -1)),
                                BudgetEvents.NONE);
        this.forwarder =
                new RequestForwarder<>(
                        actions ->
                                watched.around(
                                        settings,
                                        actions,
                                        limited ->
                                                proxy.all.policy.create(
                                                        settings,
                                                        new SplittableRandom(seed),
                                                        limited,
                                                        proxy.all.truth(tier))),
                        settings.limits().maxAttempts(),
                        this,
                        proxy.all.log,
                        budgets,
                        null);
        forwarder.attach(this, this, this);
    }

    /** Starts with the list that it had. */
    void begin(List<Endpoint> known, List<Node> nodes) {
        run.trace.proxyStarted(now(), proxy.number, tier);
        take(EndpointListKind.CACHED, known, nodes);
        if (!run.scenario.discovery().ask()) {
            run.directory.watch(this);
        }
        run.agenda.at(now() + SWEEP, sweep);
    }

    void shares(List<ZoneTrafficShare> shares) {
        forwarder.zoneSharesUpdated(shares);
    }

    /** Takes a request from a caller. */
    void accept(ProxyRequest call, Exchange<ProxyRequest, Attempt> exchange) {
        if (opens == open.length) {
            open = Arrays.copyOf(open, 2 * opens);
        }
        call.openAt = opens;
        open[opens++] = call;
        counts.requests++;
        watched.taken();
        Scenario.RequestKind kind = run.scenario.classes().get(call.what.classIndex());
        run.trace.taken(
                now(),
                proxy.number,
                call.id,
                kind.effect(),
                kind.keyScope(),
                kind.repeatWindow(),
                call.what.deadline());
        forwarder.accept(exchange);
    }

    /** A request has its final answer. */
    void closed(ProxyRequest call, Final how) {
        forget(call);
        counts.refused += how == Final.REFUSED ? 1 : 0;
        counts.failed += how == Final.FAILED ? 1 : 0;
    }

    private void forget(ProxyRequest call) {
        ProxyRequest last = open[--opens];
        open[opens] = null;
        open[call.openAt] = last;
        last.openAt = call.openAt;
    }

    void callerLeft(ProxyRequest call, Exchange<ProxyRequest, Attempt> exchange) {
        forget(call);
        run.trace.callerLeft(now(), proxy.number, call.id);
        forwarder.clientLeft(exchange);
    }

    /** Dies: whoever waits for it, or works for it, finds the connection reset. */
    void die() {
        alive = false;
        run.trace.proxyDied(now(), proxy.number);
        run.directory.unwatch(this);
        for (int i = 0; i < outs; i++) {
            out[i].giveUp();
        }
        for (int i = 0; i < opens; i++) {
            open[i].lost();
        }
        for (long endpoint : channels.keys()) {
            channels.get(endpoint).leave();
        }
    }

    /** The list as it has it. */
    List<Directory.Entry> known() {
        List<Directory.Entry> entries = new ArrayList<>();
        for (long endpoint : list.keys()) {
            entries.add(new Directory.Entry(list.get(endpoint), channels.get(endpoint).node));
        }
        return entries;
    }

    long version() {
        return heldVersion;
    }

    // ---- the list of nodes ----

    @Override
    public int tier() {
        return tier;
    }

    @Override
    public int zone() {
        return zone;
    }

    @Override
    public boolean alive() {
        return alive;
    }

    @Override
    public long deliveredVersion() {
        return deliveredVersion;
    }

    @Override
    public void deliveredVersion(long version) {
        deliveredVersion = version;
    }

    @Override
    public void tellLater(
            EndpointListKind kind, List<Endpoint> entries, List<Node> nodes, long version) {
        arriveLater(
                new Task() {
                    @Override
                    protected void run() {
                        if (alive) {
                            heldVersion = version;
                            take(kind, entries, nodes);
                        }
                    }
                });
    }

    @Override
    public void failLater() {
        arriveLater(
                new Task() {
                    @Override
                    protected void run() {
                        if (alive) {
                            forwarder.endpointsUnavailable();
                        }
                    }
                });
    }

    private void arriveLater(Task message) {
        listMessageAt = Math.max(listMessageAt, now() + run.network.nodes(zone, zone));
        run.agenda.at(listMessageAt, message);
    }

    private void take(EndpointListKind kind, List<Endpoint> entries, List<Node> nodes) {
        long now = now();
        if (kind != EndpointListKind.DELTA) {
            run.trace.toldWhole(now, proxy.number);
            dropUnnamed(entries);
        }
        for (int i = 0; i < entries.size(); i++) {
            Endpoint entry = entries.get(i);
            run.trace.told(
                    now,
                    proxy.number,
                    entry.id(),
                    entry.cell(),
                    entry.zone(),
                    entry.status(),
                    entry.startedAt());
            if (entry.status() == EndpointStatus.REMOVED) {
                drop(entry.id());
            } else {
                list.put(entry.id(), entry);
                if (channels.get(entry.id()) == null) {
                    channels.put(entry.id(), new Channel(entry.id(), nodes.get(i)));
                }
            }
        }
        forwarder.endpointsUpdated(kind, entries);
    }

    private void dropUnnamed(List<Endpoint> entries) {
        LongMap<Endpoint> named = new LongMap<>();
        for (Endpoint entry : entries) {
            named.put(entry.id(), entry);
        }
        for (long endpoint : channels.keys()) {
            if (named.get(endpoint) == null) {
                drop(endpoint);
            }
        }
    }

    private void drop(long endpoint) {
        Channel channel = channels.remove(endpoint);
        list.remove(endpoint);
        if (channel != null) {
            channel.leave();
        }
    }

    // ---- the client side ----

    @Override
    public boolean knowsEndpoint(long endpoint) {
        return channels.get(endpoint) != null;
    }

    @Override
    public void startAttempt(RequestAttempt<ProxyRequest, Attempt> handle) {
        ProxyRequest call = handle.exchange().content();
        Attempt attempt = new Attempt(run, this, channels.get(handle.endpoint()), call, handle);
        counts.attempts++;
        counts.replicas += call.out > 0 ? 1 : 0;
        run.ledger.attempt(now(), tier);
        call.sent(attempt);
        if (outs == out.length) {
            out = Arrays.copyOf(out, 2 * outs);
        }
        attempt.outAt = outs;
        out[outs++] = attempt;
        run.trace.sent(
                now(), proxy.number, call.id, handle.number(), handle.endpoint(), attempt.job.work);
        attempt.go();
    }

    @Override
    public void abandonAttempt(RequestAttempt<ProxyRequest, Attempt> handle) {
        Attempt attempt = handle.exchange().content().attempt(handle.number());
        if (attempt != null && !attempt.over) {
            attempt.giveUp();
            noLongerOut(attempt);
        }
    }

    /** Whether an attempt may go out now; where not, it has been abandoned. */
    boolean begins(Attempt attempt) {
        boolean begins = forwarder.mayStart(attempt.handle);
        if (begins) {
            attempt.handle.writeComplete(now());
        }
        return begins;
    }

    private void noLongerOut(Attempt attempt) {
        attempt.call.out--;
        Attempt last = out[--outs];
        out[outs] = null;
        out[attempt.outAt] = last;
        last.outAt = attempt.outAt;
    }

    /** An attempt has ended by itself. */
    void settled(Attempt attempt, Outcome outcome) {
        if (!alive) {
            return;
        }
        noLongerOut(attempt);
        if (outcome == Outcome.OK) {
            // Before the answer that it brings, which the driver passes on first.
            run.trace.ended(now(), proxy.number, attempt.call.id, attempt.handle.number(), outcome);
            forwarder.served(attempt.handle, attempt, null, attempt.job.goesUp());
        } else {
            forwarder.attemptEnded(
                    attempt.handle,
                    outcome,
                    null,
                    outcome == Outcome.ERROR ? attempt.job.goesUp() : DownstreamFeedback.NOTHING);
        }
    }

    @Override
    public void sendProbe(long endpoint) {
        counts.probes++;
        new Probe(run, this, channels.get(endpoint)).go();
    }

    void probed(Probe probe, Outcome outcome, LoadReport load) {
        if (alive) {
            forwarder.probeEnded(probe.channel.endpoint, outcome, probe.took(), load);
        }
    }

    @Override
    public void closeIdleConnections(long endpoint) {
        Channel channel = channels.get(endpoint);
        if (channel != null) {
            channel.closeAll();
        }
    }

    private void sweepIdle() {
        long before = now() - idleLimit;
        for (long endpoint : channels.keys()) {
            Channel channel = channels.get(endpoint);
            if (channel.isIdle()) {
                channel.close(before);
            }
        }
        run.agenda.at(now() + SWEEP, sweep);
    }

    // ---- discovery and peers ----

    @Override
    public void watch(boolean on) {
        if (on) {
            run.directory.watch(this);
        } else {
            run.directory.unwatch(this);
        }
    }

    @Override
    public void fetchAll() {
        run.directory.fetch(this);
    }

    @Override
    public void send(int replica, byte[] message) {
        if (message.length > MAX_MESSAGE) {
            run.end(
                    "proxy "
                            + proxy.number
                            + " sent a message of "
                            + message.length
                            + " bytes; "
                            + MAX_MESSAGE
                            + " are allowed");
            return;
        }
        for (ModelProxy other : proxy.all.to(tier)) {
            if (other != proxy && (replica == -1 || other.self == replica)) {
                run.ledger.peerBytes += message.length;
                if (proxy.all.peerRandom().nextDouble() >= run.scenario.network().peerLoss()) {
                    deliver(other, message.clone());
                }
            }
        }
    }

    private void deliver(ModelProxy to, byte[] message) {
        run.agenda.at(
                now() + run.network.peers(),
                new Task() {
                    @Override
                    protected void run() {
                        if (to.life != null) {
                            to.life.forwarder.peerMessage(proxy.self, message);
                        }
                    }
                });
    }

    // ---- timers ----

    @Override
    public long now() {
        return run.agenda.now();
    }

    @Override
    public Timer at(long instant, Runnable task) {
        Alarm alarm = new Alarm(this, task);
        run.agenda.at(instant, alarm);
        return alarm;
    }

    private static final class Alarm extends Task implements Timer {
        private final ProxyInstance of;
        private Runnable task;

        Alarm(ProxyInstance of, Runnable task) {
            this.of = of;
            this.task = task;
        }

        @Override
        protected void run() {
            if (of.alive) {
                task.run();
            }
        }

        @Override
        public void cancel() {
            of.run.agenda.cancel(this);
            task = null;
        }
    }
}
