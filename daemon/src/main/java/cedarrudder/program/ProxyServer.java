package cedarrudder.program;

import cedarrudder.adminoverride.AdminOverrides;
import cedarrudder.adminoverride.AdminOverrides.Named;
import cedarrudder.balancer.LoadBalancer.Endpoint;
import cedarrudder.balancer.LoadBalancer.EndpointListKind;
import cedarrudder.balancer.LoadBalancer.EndpointStatus;
import cedarrudder.balancer.LoadBalancer.RequestClass;
import cedarrudder.balancer.PrequalBalancer;
import cedarrudder.bodyflow.BufferAccount;
import cedarrudder.budget.BudgetSettings;
import cedarrudder.budget.Budgets;
import cedarrudder.draining.DrainPolicy;
import cedarrudder.failover.FailoverSettings;
import cedarrudder.footprint.EndpointListFootprint;
import cedarrudder.footprint.RouteTableCapacity;
import cedarrudder.forwarding.DiscoveryPollSchedule;
import cedarrudder.forwarding.RequestForwarder;
import cedarrudder.logging.Logger;
import cedarrudder.logging.TextLines;
import cedarrudder.membership.MembershipSettings;
import cedarrudder.metrics.RequestMetrics;
import cedarrudder.operator.AgreementTable;
import cedarrudder.operator.AgreementTableSettings;
import cedarrudder.operator.BudgetTable;
import cedarrudder.operator.CallersTable;
import cedarrudder.operator.DiscoveryTable;
import cedarrudder.operator.DrainsConfiguration;
import cedarrudder.operator.DrainsTable;
import cedarrudder.operator.FailoverTable;
import cedarrudder.operator.FootprintSettings;
import cedarrudder.operator.FootprintTable;
import cedarrudder.operator.HistorySettings;
import cedarrudder.operator.HistoryTable;
import cedarrudder.operator.LogConfiguration;
import cedarrudder.operator.LogTable;
import cedarrudder.operator.MembershipTable;
import cedarrudder.operator.NodesTable;
import cedarrudder.operator.OperatorFile;
import cedarrudder.program.ProcessHandover.Others;
import cedarrudder.protocol.EndpointList;
import cedarrudder.protocol.EndpointListParser;
import cedarrudder.protocol.EndpointListReader;
import cedarrudder.protocol.HttpMessage;
import cedarrudder.protocol.JsonObject;
import cedarrudder.protocol.MalformedMessageException;
import cedarrudder.protocol.MetricsPage;
import cedarrudder.protocol.RequestHeaders;
import cedarrudder.toml.InvalidFileException;
import cedarrudder.transport.AdminListener;
import cedarrudder.transport.AdminOperations;
import cedarrudder.transport.DiscoveryClient;
import cedarrudder.transport.EndpointConnectionPool;
import cedarrudder.transport.HttpServer;
import cedarrudder.transport.MembershipService;
import cedarrudder.transport.PeerSocket;
import cedarrudder.transport.ProxyEventLoop;
import cedarrudder.transport.SkewedClock;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** One proxy: its parts, wired together. */
final class ProxyServer {

    /**
     * How often a node that was enabled is asked for its load, in nanoseconds, and how many times.
     */
    private static final long WELCOME = 1_000_000_000L;

    private static final int WELCOMES = 5;

    /** How often a proxy looks for other processes of it, in nanoseconds. */
    private static final long WATCH = 100_000_000L;

    /** So many looks a successor leaves it to its predecessor to write anew what was cleared. */
    private static final int MAX_WAITED = 10;

    /**
     * Looks at the folder after the last other process has gone: what it took back is to be seen
     * twice.
     */
    private static final int LOOKS = 2;

    /**
     * A successor waits so long, in nanoseconds, for discovery's list before it lets callers in.
     */
    private static final long FRESH = 2_000_000_000L;

    /**
     * The loop answers a question of another thread within so long, in nanoseconds, or counts as
     * over.
     */
    private static final long ANSWER = 3_000_000_000L;

    private final Logger log;
    private ProxyConfiguration configuration;
    private final ProxyEventLoop loop;
    private final RequestForwarder<HttpMessage, HttpMessage> driver;
    private final EndpointConnectionPool channels;
    private final EndpointListParser reader;
    private final EndpointListReader footprint;
    private final ProcessMemoryEstimate estimate;
    private final DiscoveryClient discovery;
    private final PeerSocket peers;
    private final HttpServer listener;
    private final HistoryFile history;
    private final long clockOffset;
    private final MembershipService membership;
    private final DrainWiring removals;
    private final CoordinationWiring together;
    private final RequestMetrics figures;
    private final AdminOverrides rotation = new AdminOverrides();
    private final BufferAccount held = new BufferAccount(BufferAccount.MAX);
    private final PersistedAdminState kept;
    private final ProcessHandover handover;
    private final CountDownLatch fresh = new CountDownLatch(1);
    private OperatorFile operator;
    private Others others = Others.NONE;

    /** So many looks at what operators asked of others are still to come. */
    private int looks;

    private int waited;
    private PersistedAdminState.Told lastTold;
    private boolean resolved;
    private boolean serving;

    /** Another process of this proxy speaks to the peers still. */
    private boolean hushed;

    private final StartupGate gate = new StartupGate();

    /**
     * @param state where what operators ask for is kept; read and written only where they can ask
     */
    ProxyServer(ProxyConfiguration configuration, OperatorFile operator, Logger log, Path state) {
        kept = new PersistedAdminState(state);
        handover = new ProcessHandover(state);
        this.operator = operator;
        this.configuration = configuration;
        this.log = log;
        var site = configuration.site();
        var callers = operator.of(CallersTable.CALLERS);
        var nodes = operator.of(NodesTable.NODES);
        setLog(operator.of(LogTable.LOG));
        HistorySettings recorded = operator.of(HistoryTable.HISTORY);
        loop =
                recorded == null || recorded.clockDrift() == 0
                        ? new ProxyEventLoop(log)
                        : new ProxyEventLoop(log, new SkewedClock(recorded.clockDrift()));
        Budgets budgets = budgets(operator.of(BudgetTable.BUDGET));
        figures = new RequestMetrics(site.module().classes().size());
        driver =
                new RequestForwarder<>(
                        actions ->
                                new PrequalBalancer(
                                        site.module(),
                                        new SplittableRandom(configuration.seed()),
                                        actions),
                        site.module().limits().maxAttempts(),
                        loop,
                        log,
                        budgets,
                        figures);
        int sockets = configuration.sockets();
        channels =
                new EndpointConnectionPool(
                        loop,
                        driver,
                        site,
                        nodes,
                        nodes.bounds(sockets, callers.maxCallers(sockets)),
                        figures,
                        held);
        clockOffset = recorded == null ? 0 : recorded.clockOffset();
        reader = new EndpointListParser(site, loop::now, this::wallClock);
        long version = (long) configuration.known().number("version", 0);
        FootprintSettings lists = operator.of(FootprintTable.FOOTPRINT);
        estimate = lists == null ? null : estimate();
        footprint =
                lists == null
                        ? null
                        : new EndpointListReader(
                                new EndpointListFootprint(MachineLayout.read()),
                                reader,
                                estimate.room(lists.heapShare(), max()),
                                lists.fromNodes());
        discovery =
                new DiscoveryClient(
                        loop,
                        configuration.discovery(),
                        operator.of(DiscoveryTable.DISCOVERY),
                        DiscoveryPollSchedule.longest(site.module()),
                        new SplittableRandom(configuration.seed()).split().split().split(),
                        reader,
                        version,
                        result ->
                                resolved(
                                        result,
                                        result.full()
                                                ? EndpointListKind.FULL
                                                : EndpointListKind.CHANGES),
                        driver::unresolved,
                        footprint,
                        lists == null ? 0 : lists.again());
        peers = new PeerSocket(loop, driver, configuration.peers(), configuration.peersAll());
        listener =
                new HttpServer(
                        loop,
                        driver,
                        new RequestHeaders(site.module(), budgets),
                        () -> resolved && serving,
                        callers,
                        callers.maxCallers(sockets),
                        held);
        driver.connect(channels, discovery, peers);
        history = recorded == null ? null : new HistoryFile(recorded.file(), site.module().self());
        if (estimate != null && history != null) {
            footprint.whenJudged(
                    judged -> {
                        if (estimate.measured()) {
                            estimate.judged(judged, history);
                        }
                    });
        }
        membership = membership(operator.of(MembershipTable.MEMBERSHIP));
        removals = removals(operator.of(DrainsTable.DRAINS));
        together = together(operator.of(AgreementTable.AGREEMENT));
    }

    /** What the machine's clock says, or is taken to say in a trial; milliseconds. */
    private long wallClock() {
        return System.currentTimeMillis() + clockOffset;
    }

    private ProcessMemoryEstimate estimate() {
        // Usual are an operators' address, with the file of this proxy's processes, and one for its
        // peers.
        int further =
                (operator.of(HistoryTable.HISTORY) == null ? 0 : 1)
                        - (configuration.admin() == null ? 2 : 0)
                        - (configuration.peerListen() == null ? 1 : 0);
        return new ProcessMemoryEstimate(
                configuration.site(),
                MachineLayout.read(),
                MachineLayout.limits(configuration.memory()),
                further,
                () ->
                        new ProcessMemoryEstimate.Load(
                                listener.callers(),
                                channels.open(),
                                (int) figures.open(),
                                held.held()));
    }

    /** All that the process may come to hold beside nodes. */
    private ProcessMemoryEstimate.Load max() {
        int sockets = configuration.sockets();
        int callers = operator.of(CallersTable.CALLERS).maxCallers(sockets);
        return new ProcessMemoryEstimate.Load(
                callers,
                operator.of(NodesTable.NODES).bounds(sockets, callers).idle(),
                callers,
                BufferAccount.MAX);
    }

    /** Membership of this tier's proxies; null where the operator's file has none. */
    private MembershipService membership(MembershipSettings set) {
        if (set == null) {
            return null;
        }
        var module = configuration.site().module();
        int peersKnown = configuration.peers().size();
        if (configuration.peerListen() == null || peersKnown < 2 || module.self() >= peersKnown) {
            throw new IllegalArgumentException(
                    "[membership]: found peer_listen "
                            + configuration.peerListen()
                            + " and "
                            + peersKnown
                            + " peers with ordinal "
                            + module.self()
                            + "; allowed: an address, and two peers or more, this one among them");
        }
        return new MembershipService(
                loop,
                peers,
                set,
                peersKnown,
                module.self(),
                Math.max(0, wallClock()),
                new SplittableRandom(configuration.seed()).split().split(),
                driver::replicas,
                history);
    }

    /**
     * What proxies of this tier decide together; null where the operator's file has no such table.
     */
    private CoordinationWiring together(AgreementTableSettings set) {
        if (set == null) {
            return null;
        }
        var module = configuration.site().module();
        int replicas = configuration.peers().size();
        if (set.fleet().lease() < set.fleet().minLease(replicas)) {
            throw new IllegalArgumentException(
                    "agreement.lease_ms: found "
                            + set.fleet().lease() / 1_000_000
                            + " with "
                            + replicas
                            + " peers; allowed: "
                            + set.fleet().minLease(replicas) / 1_000_000
                            + " or more");
        }
        int[] zones =
                CoordinationWiring.zones(
                        set, configuration.site().zones(), replicas, module.self(), module.zone());
        FailoverSettings moves = operator.of(FailoverTable.FAILOVER);
        FailoverWiring failovers =
                moves == null
                        ? null
                        : new FailoverWiring(
                                moves,
                                configuration.site(),
                                set.fleet().reports(replicas),
                                zones,
                                Math.max(1, wallClock()),
                                loop.now(),
                                driver,
                                history,
                                log);
        return new CoordinationWiring(
                loop,
                peers,
                membership,
                set,
                new CoordinationWiring.Self(
                        zones,
                        module.self(),
                        this::wallClock,
                        new SplittableRandom(configuration.seed()).split().split().split().split(),
                        held ->
                                estimate == null
                                        ? RouteTableCapacity.ANY
                                        : estimate.room(held, footprint)),
                driver,
                this::leaving,
                failovers,
                removals,
                history,
                log);
    }

    /** Begins to speak to the peers, as the process of this proxy that does; on the loop. */
    private void speakUp() {
        membership.start();
        if (together != null) {
            together.fleet().start();
            if (removals != null) {
                removals.propose(together.fleet());
            }
        }
    }

    /** Drains by policies; null where the operator's file has none. */
    private DrainWiring removals(DrainsConfiguration file) {
        if (file == null) {
            return null;
        }
        List<String> zones = configuration.site().zones();
        for (DrainPolicy policy : file.policies()) {
            if (!policy.whom().zone().isEmpty() && !zones.contains(policy.whom().zone())) {
                throw new IllegalArgumentException(
                        "drains.policy.zone: found "
                                + policy.whom().zone()
                                + " in '"
                                + policy.name()
                                + "'; allowed: "
                                + String.join(", ", zones));
            }
        }
        return new DrainWiring(
                loop,
                configuration.peers().size(),
                configuration.site().module().self(),
                file,
                new LocalTrafficView(
                        configuration.site(), rotation, channels, reader, figures, this::wallClock),
                history,
                log);
    }

    /** These nodes are being removed in common. */
    private void leaving(Set<Long> nodes) {
        for (String node : rotation.leaving(nodes, loop.now())) {
            if (rotation.shown(node).state() == EndpointStatus.READY) {
                log.info("node.stays").with("node", node).write();
            } else {
                log.info("node.leaving").with("node", node).write();
            }
            show(node);
            welcome(node, WELCOMES);
        }
    }

    /** The budgets of this tier; null where the operator's file has none. */
    private Budgets budgets(BudgetSettings set) {
        if (set == null) {
            return null;
        }
        var site = configuration.site();
        int tier = site.module().tier();
        if (set.maxHops() < site.module().tiers()) {
            throw new IllegalArgumentException(
                    "budget.path_most: found "
                            + set.maxHops()
                            + " with "
                            + site.module().tiers()
                            + " tiers; allowed: no less than there are tiers");
        }
        // Not the module's own numbers: guards against what one draws telling what the other will.
        return new Budgets(
                set.orHop(tier < site.tiers().size() ? site.tiers().get(tier) : "tier-" + tier),
                site.module(),
                new SplittableRandom(configuration.seed()).split(),
                new BudgetEventLogger(log));
    }

    /** Starts it: the module learns the list it had before, then callers are let in. */
    void start() throws IOException, InterruptedException {
        boolean shared = configuration.admin() != null;
        if (shared) {
            joinOthers();
        }
        boolean replacing = others.predecessor(); // before the loop has it
        boolean speaks = membership == null || speak();
        EndpointList known = known();
        CountDownLatch told = new CountDownLatch(1);
        loop.run(
                () -> {
                    hushed = !speaks;
                    if (shared) {
                        takeUp();
                        setBounds();
                        watchOthers();
                    }
                    if (known != null && footprint != null && footprint.last().waits() > 0) {
                        discovery.startedShort(); // first: the watch is asked for from there
                    }
                    if (!configuration.site().module().askForEndpoints()) {
                        discovery.subscribe(
                                true); // nobody asks for it: what was pushed counts from now on
                    }
                    if (replacing) {
                        discovery.fetch();
                    }
                    if (known != null) {
                        resolved(known, EndpointListKind.CACHED);
                    } else {
                        driver.resolved(EndpointListKind.CACHED, List.of());
                    }
                    if (estimate != null) {
                        measure();
                    }
                    told.countDown();
                });
        told.await();
        if (shared) {
            new AdminListener(loop, new OnDuty()).listen(configuration.admin());
        }
        if (configuration.peerListen() != null && speaks) {
            peers.listen(configuration.peerListen(), shared);
            if (membership != null) {
                loop.run(this::speakUp);
            }
        }
        // Not at the callers' address: guards against RPCs of the warm-up reaching another process
        // there.
        InetSocketAddress own =
                listener.listen(
                        new InetSocketAddress(configuration.listen().getAddress(), 0), false);
        CountDownLatch warmed = new CountDownLatch(1);
        loop.run(() -> warmUp(own, warmed));
        warmed.await();
        if (replacing) {
            fresh.await(FRESH, TimeUnit.NANOSECONDS);
        }
        if (!gate.join()) {
            return; // told to end before anyone could come
        }
        listener.listen(configuration.listen(), shared);
        loop.run(
                () -> {
                    if (shared) {
                        tellReady();
                    }
                    serving = true;
                    log.info("proxy.listens")
                            .with("name", configuration.name())
                            .with("address", configuration.listen())
                            .write();
                });
    }

    /** The list that it had before; null where there was none. */
    private EndpointList known() {
        JsonObject list = configuration.known();
        configuration = configuration.withoutKnown();
        return list.list("servers", false).isEmpty()
                ? null
                : reader.read(footprint == null ? list : footprint.read(list));
    }

    /** What this process takes beside nodes, once it has the list with which it starts. */
    private void measure() {
        estimate.measure(footprint.held());
        if (history != null && footprint.last() != null) {
            estimate.judged(
                    footprint.last(), history); // by what was measured, not by what is usual
            estimate.took(history, loop::run);
        }
    }

    /** Finds out who else runs for this proxy; one that can't find out takes itself to be alone. */
    private void joinOthers() throws InterruptedException {
        try {
            handover.join();
            others = handover.look();
        } catch (IOException e) {
            log.warn("state.unreadable").with("why", e.toString()).write();
        }
    }

    /** Whether this process is the one that speaks to the peers. */
    private boolean speak() {
        try {
            return handover.speak();
        } catch (IOException e) {
            log.warn("state.unreadable").with("why", e.toString()).write();
            return true;
        }
    }

    /**
     * Speaks to the peers no longer: a successor does, or they are told that this proxy is gone.
     */
    private void hush(boolean replaced) {
        if (membership == null || hushed) {
            hushed = false;
            return;
        }
        if (together != null) {
            together.fleet().leave(); // first: what it says goes out by the peers' socket
        }
        if (replaced) {
            membership.hush();
        } else {
            membership.leave();
        }
        try {
            handover.hush();
        } catch (IOException e) {
            log.warn("state.unreadable").with("why", e.toString()).write();
        }
    }

    /** Before operators are told: guards against a predecessor that ends as if nobody took over. */
    private void tellReady() {
        try {
            handover.ready();
        } catch (IOException e) {
            log.warn("state.unreadable").with("why", e.toString()).write();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt(); // the loop ends
        }
    }

    /** Looks who else runs, and what operators have asked of it. */
    private void watchOthers() {
        loop.at(loop.now() + WATCH, this::watchOthers);
        try {
            renewState();
            Others now = handover.look();
            if (!now.equals(others)) {
                log.info("upgrade.others")
                        .with("predecessor", now.predecessor())
                        .with("successor", now.successor())
                        .with("ready", now.successorReady())
                        .write();
            }
            looks = now.any() || others.any() ? LOOKS : Math.max(0, looks - 1);
            others = now;
            if (hushed && handover.speak()) {
                hushed = false;
                peers.takeOver(configuration.peerListen(), this::speakUp);
            }
            if (looks > 0) {
                setBounds();
                takeOver(kept.read());
            }
        } catch (IOException e) {
            log.warn("state.unreadable").with("why", e.toString()).write();
        }
    }

    /**
     * Writes what operators have asked for anew where somebody has cleared the folder. Guards
     * against bans that are gone at the next start, and against two processes that don't see each
     * other.
     */
    private void renewState() throws IOException {
        try {
            // Not beside one that ran before: guards against what this one has yet to read counting
            // as gone.
            boolean may = !others.predecessor() || ++waited > MAX_WAITED;
            if (handover.renew(
                    may,
                    () -> {
                        lastTold = null;
                        for (String node : rotation.disabled()) {
                            kept.disable(node);
                        }
                        if (listener.drained()) {
                            kept.drain();
                        }
                    })) {
                log.warn("state.renewed").write();
            }
            waited = 0;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt(); // the loop ends
        }
    }

    /**
     * Does what operators asked of another process of this proxy. What is taken back has to be gone
     * at two looks in turn at a folder that stands. Guards against a look in the midst of its being
     * cleared.
     */
    private void takeOver(PersistedAdminState.Told told) {
        PersistedAdminState.Told before = lastTold;
        lastTold = told;
        for (String node : told.disabled()) {
            if (!rotation.disabled().contains(node)) {
                leaveOut(node);
            }
        }
        for (String node : rotation.disabled()) {
            if (before != null
                    && !before.disabled().contains(node)
                    && !told.disabled().contains(node)) {
                putBack(node);
            }
        }
        if (told.drained()) {
            listener.drainByHand();
        } else if (before != null && !before.drained()) {
            listener.resume();
        }
    }

    /**
     * Two processes of a proxy together hold no more descriptors, and bytes of bodies, than one
     * may.
     */
    private void setBounds() {
        int processes = others.any() ? 2 : 1;
        int sockets = configuration.sockets() / processes;
        held.max(BufferAccount.MAX / processes);
        var callers = operator.of(CallersTable.CALLERS);
        listener.apply(callers, callers.maxCallers(sockets));
        var nodes = operator.of(NodesTable.NODES);
        channels.apply(nodes, nodes.bounds(sockets, callers.maxCallers(sockets)));
    }

    private void warmUp(InetSocketAddress at, CountDownLatch warmed) {
        try {
            Warmup warmup = new Warmup(loop, configuration, at, log, warmed::countDown);
            listener.setAside(warmup.answers());
            warmup.start();
        } catch (MalformedMessageException | RuntimeException e) {
            log.fault("proxy.not_warmed", e).write();
            warmed.countDown();
        }
    }

    private void resolved(EndpointList result, EndpointListKind kind) {
        if (!result.unread().isEmpty()) {
            log.warn("discovery.unread")
                    .with("entries", result.unread().size())
                    .with("first", result.unread().get(0))
                    .write();
        }
        channels.resolved(result);
        resolved |= !result.nodes().isEmpty();
        if (kind != EndpointListKind.CACHED) {
            fresh.countDown();
        }
        driver.resolved(
                kind,
                rotation.listed(
                        kind,
                        result.nodes().stream()
                                .map(node -> new Named(node.name(), node.endpoint()))
                                .toList()));
        if (estimate != null && history != null && estimate.measured()) {
            estimate.took(history, loop::run);
        }
    }

    /** Takes up what operators asked for before this process began. */
    private void takeUp() {
        try {
            PersistedAdminState.Told told = kept.read();
            told.disabled().forEach(rotation::disable);
            if (told.drained()) {
                listener.drainByHand();
            }
        } catch (IOException e) {
            // Guards against a start that fails for a folder's sake: what can't be read counts as
            // absent.
            log.warn("state.unreadable").with("why", e.getMessage()).write();
        }
    }

    /** The module is to see a node anew, where it is listed. */
    private void show(String node) {
        Endpoint entry = rotation.shown(node);
        if (entry != null) {
            driver.resolved(EndpointListKind.CHANGES, List.of(entry));
        }
    }

    /**
     * A node is back: asks it for its load now and each second for a while, since it may still be
     * starting. Guards against it standing idle: the module sends mostly to nodes whose load it
     * knows, and with few calls it asks few of them.
     */
    private void welcome(String node, int times) {
        Endpoint entry = rotation.shown(node);
        if (entry != null && entry.state() == EndpointStatus.READY && times > 0) {
            driver.returned(entry.id());
            loop.at(loop.now() + WELCOME, () -> welcome(node, times - 1));
        }
    }

    private void leaveOut(String node) {
        rotation.disable(node);
        log.info("node.disabled").with("node", node).write();
        show(node);
    }

    private void putBack(String node) {
        rotation.enable(node, loop.now());
        log.info("node.enabled").with("node", node).write();
        show(node);
        welcome(node, WELCOMES);
    }

    /**
     * Takes up what the operator has changed, from any thread: the address of discovery. The rest
     * of a configuration counts from the next start. RPCs and callers notice nothing.
     *
     * <p>It is read on the caller's thread: guards against a slow file making the loop stand still.
     * Of two changes the later one counts where the caller reads one at a time.
     *
     * @param changed reads the configuration, or says in an exception why it can't
     */
    void reload(Callable<ProxyConfiguration> changed) {
        try {
            ProxyConfiguration next = changed.call();
            loop.run(
                    () -> {
                        log.info("configuration.read").with("discovery", next.discovery()).write();
                        discovery.moveTo(next.discovery());
                    });
        } catch (Exception e) {
            // Guards against a file that is broken or half written ending what works.
            loop.run(() -> log.warn("configuration.kept").with("why", e.getMessage()).write());
        }
    }

    /** Takes up what the operator's file says now, from any thread. RPCs notice nothing. */
    void apply(OperatorFile next) {
        loop.run(
                () -> {
                    operator = next;
                    setLog(operator.of(LogTable.LOG));
                    setBounds();
                    discovery.apply(operator.of(DiscoveryTable.DISCOVERY));
                    if (together != null) {
                        together.apply(operator.of(FailoverTable.FAILOVER));
                    }
                    if (removals != null) {
                        removals.apply(operator.of(DrainsTable.DRAINS));
                    }
                    log.info("operator.read").write();
                });
    }

    /**
     * Tells in the log that the operator's file can't be used, from any thread; nothing changes.
     */
    void keep(InvalidFileException bad) {
        loop.run(
                () ->
                        log.warn("operator.kept")
                                .with("problems", bad.problems().size())
                                .with("first", bad.problems().get(0))
                                .write());
    }

    private void setLog(LogConfiguration how) {
        log.settings(how.settings());
        log.form(how.form() == LogConfiguration.Form.JSON ? new JsonLineWriter() : new TextLines());
    }

    /** Tells in the log that a SIGHUP will not be heard, and why; from any thread. */
    void noHangup(String why) {
        loop.run(() -> log.warn("sighup.not_handled").with("why", why).write());
    }

    private boolean successorReady() {
        try {
            if (configuration.admin() == null) {
                return false;
            }
            renewState();
            return handover.look().successorReady();
        } catch (IOException e) {
            log.warn("state.unreadable").with("why", e.toString()).write();
            return false;
        }
    }

    /** What writes what is to be kept. */
    private interface Keeping {
        void run() throws IOException;
    }

    /** What operators ask for, carried out by the parts. */
    private final class OnDuty implements AdminOperations {
        private final List<String> classes =
                configuration.site().module().classes().stream().map(RequestClass::name).toList();

        @Override
        public boolean ready() {
            return resolved && serving && listener.lasts();
        }

        @Override
        public byte[] figures() {
            return MetricsPage.write(
                    figures,
                    classes,
                    rotation.size(),
                    driver.avoided(),
                    held.held(),
                    estimate == null ? null : estimate.figures(footprint));
        }

        @Override
        public byte[] table() {
            return together == null
                    ? null
                    : RouteTablePage.write(
                            together.fleet(), configuration.site().zones(), rotation::name);
        }

        @Override
        public Done group() {
            return together.fleet().form() ? Done.YES : Done.NO;
        }

        @Override
        public byte[] drains() {
            return removals == null ? null : DrainsPage.write(removals.progress(), rotation::name);
        }

        @Override
        public void remove(Which which, String name, boolean cancel, Consumer<Done> then) {
            List<Long> nodes =
                    rotation.listed().entrySet().stream()
                            .filter(
                                    entry ->
                                            switch (which) {
                                                case NODE -> entry.getKey().equals(name);
                                                case ZONE ->
                                                        configuration.site().zones().indexOf(name)
                                                                        == entry.getValue().zone()
                                                                && entry.getValue().zone() >= 0;
                                                case POD ->
                                                        Integer.toString(entry.getValue().cell())
                                                                .equals(name);
                                                case KIND ->
                                                        configuration.site().kinds().indexOf(name)
                                                                        == entry.getValue().kind()
                                                                && entry.getValue().kind() >= 0;
                                            })
                            .map(entry -> entry.getValue().id())
                            .sorted()
                            .toList();
            if (nodes.isEmpty()) {
                then.accept(Done.UNKNOWN);
            } else {
                removals.call(together.fleet(), cancel, nodes, then);
            }
        }

        @Override
        public Done disable(String node) {
            return !rotation.knows(node)
                    ? Done.UNKNOWN
                    : keep(
                            () -> kept.disable(node),
                            () -> {
                                if (!rotation.disabled().contains(node)) {
                                    leaveOut(node);
                                }
                            });
        }

        @Override
        public Done enable(String node) {
            return !rotation.knows(node)
                    ? Done.UNKNOWN
                    : keep(
                            () -> kept.enable(node),
                            () -> {
                                if (rotation.disabled().contains(node)) {
                                    putBack(node);
                                }
                            });
        }

        /**
         * Does what was asked once it is kept. Guards against a yes that a new process knows
         * nothing of.
         */
        private Done keep(Keeping keeping, Runnable then) {
            try {
                renewState(); // first: guards against this change being undone with the rest
                keeping.run();
            } catch (IOException e) {
                log.warn("state.not_kept").with("why", e.toString()).write();
                return Done.NO;
            }
            then.run();
            return Done.YES;
        }

        @Override
        public Done drain() {
            return keep(kept::drain, listener::drainByHand);
        }

        @Override
        public Done resume() {
            if (!listener.lasts()) {
                return Done.NO;
            }
            return keep(kept::resume, listener::resume);
        }
    }

    /** It could not start: to end it, nothing needs to be waited for. From any thread. */
    void abandon() {
        gate.abandon();
    }

    /**
     * Answers all that was taken and returns when nothing is left; at once where callers could not
     * come yet. To be called from another thread.
     */
    void drain() {
        if (!gate.end()) {
            loop.stop();
            return;
        }
        CountDownLatch drained = new CountDownLatch(1);
        loop.run(
                () -> {
                    boolean replaced = successorReady();
                    hush(replaced);
                    if (replaced) {
                        log.info("proxy.replaced").write();
                        listener.replace(drained::countDown);
                    } else {
                        log.info("proxy.draining").write();
                        listener.drain(drained::countDown);
                    }
                });
        try {
            // Guards against a process that never ends since a part of its end can't be carried
            // out, such as
            // one whose jar was replaced under it, so that a class of it can't be loaded any more.
            boolean over;
            do {
                over = drained.await(listener.maxEnding(), TimeUnit.NANOSECONDS);
            } while (!over && flows());
            loop.stop();
            if (history != null) {
                history.end();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Whether a body still flows; no, where the loop does not say within {@link #ANSWER}. */
    private boolean flows() throws InterruptedException {
        CountDownLatch flowing = new CountDownLatch(1);
        loop.run(
                () -> {
                    if (listener.flows()) {
                        flowing.countDown();
                    }
                });
        return flowing.await(ANSWER, TimeUnit.NANOSECONDS);
    }
}
