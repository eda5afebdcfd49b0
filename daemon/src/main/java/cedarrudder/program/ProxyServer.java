package cedarrudder.program;

import cedarrudder.balancer.LoadBalancer.EndpointListKind;
import cedarrudder.balancer.PrequalBalancer;
import cedarrudder.bodyflow.BufferAccount;
import cedarrudder.budget.Budgets;
import cedarrudder.footprint.EndpointListFootprint;
import cedarrudder.footprint.RouteTableCapacity;
import cedarrudder.forwarding.DiscoveryPollSchedule;
import cedarrudder.forwarding.RequestForwarder;
import cedarrudder.forwarding.StartedRequestIds;
import cedarrudder.logging.Logger;
import cedarrudder.logging.TextLines;
import cedarrudder.metrics.RequestMetrics;
import cedarrudder.operator.AgreementTable;
import cedarrudder.operator.AgreementTableSettings;
import cedarrudder.operator.BudgetTable;
import cedarrudder.operator.CallersTable;
import cedarrudder.operator.DiscoveryTable;
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
import cedarrudder.protocol.EndpointList;
import cedarrudder.protocol.EndpointListParser;
import cedarrudder.protocol.EndpointListReader;
import cedarrudder.protocol.HttpMessage;
import cedarrudder.protocol.JsonObject;
import cedarrudder.protocol.MalformedMessageException;
import cedarrudder.protocol.RequestHeaders;
import cedarrudder.routetable.RouteTable;
import cedarrudder.toml.InvalidFileException;
import cedarrudder.transport.AdminListener;
import cedarrudder.transport.ClientLimits;
import cedarrudder.transport.DiscoveryClient;
import cedarrudder.transport.EndpointConnectionPool;
import cedarrudder.transport.EndpointLimits;
import cedarrudder.transport.HttpServer;
import cedarrudder.transport.MembershipService;
import cedarrudder.transport.PeerSocket;
import cedarrudder.transport.ProxyEventLoop;
import cedarrudder.transport.RequestIdGuard;
import cedarrudder.transport.SkewedClock;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * One proxy: wires its parts together, starts them, reloads the configuration and shuts down.
 *
 * <p>The parts belong to the event loop. {@link #start}, {@link #reload}, {@link #apply} and {@link
 * #shutDown} are called from other threads and submit tasks to the loop.
 */
final class ProxyServer {

    /**
     * The longest time a successor waits for a fresh list from discovery before it accepts clients.
     */
    private static final long FRESH_LIST_TIMEOUT_NANOS = 2_000_000_000L;

    /**
     * The longest time another thread waits for the loop; a loop that takes longer counts as ended.
     */
    private static final long LOOP_ANSWER_TIMEOUT_NANOS = 3_000_000_000L;

    private final Logger log;
    private ProxyConfiguration configuration;
    private OperatorFile operator;
    private final ProxyEventLoop loop;
    private final RequestForwarder<HttpMessage, HttpMessage> forwarder;
    private final EndpointConnectionPool connections;
    private final EndpointAdministration endpoints;
    private final EndpointListParser listParser;
    private final DiscoveryClient discovery;
    private final PeerSocket peers;
    private final HttpServer server;
    private final HandoverCoordinator handover;
    private final RequestMetrics metrics;
    private final BufferAccount buffers = new BufferAccount(BufferAccount.MAX);
    private final StartupGate gate = new StartupGate();
    private final CountDownLatch freshList = new CountDownLatch(1);

    // Subsystems that are null where the operator's file has no table for them.
    private final EndpointListReader listReader;
    private final ProcessMemoryEstimate estimate;
    private final HistoryFile history;
    private final MembershipService membership;
    private final DrainWiring drains;
    private final CoordinationWiring coordination;

    private boolean hasEndpoints;
    private boolean serving;

    /**
     * Wires the parts without opening any socket.
     *
     * @param state the folder in which operators' requests are persisted; used only where the proxy
     *     has an administrative address
     * @throws IllegalArgumentException where the operator's file does not fit the configuration
     */
    ProxyServer(ProxyConfiguration configuration, OperatorFile operator, Logger log, Path state) {
        this.operator = operator;
        this.configuration = configuration;
        this.log = log;
        var site = configuration.site();
        setLog(operator.of(LogTable.LOG));
        HistorySettings historySettings = operator.of(HistoryTable.HISTORY);
        long clockOffset = historySettings == null ? 0 : historySettings.clockOffset();
        LongSupplier wallClock = () -> wallClockMillis(clockOffset);
        loop = newLoop(historySettings, log);
        Budgets budgets =
                ReplicaWiring.budgets(operator.of(BudgetTable.BUDGET), configuration, log);
        metrics = new RequestMetrics(site.module().classes().size());
        forwarder = newForwarder(budgets);
        connections = newConnectionPool();
        listParser = new EndpointListParser(site, loop::now, wallClock);
        FootprintSettings footprint = operator.of(FootprintTable.FOOTPRINT);
        estimate = footprint == null ? null : newEstimate();
        listReader = footprint == null ? null : newListReader(footprint);
        discovery = newDiscoveryClient(footprint);
        peers = new PeerSocket(loop, forwarder, configuration.peers(), configuration.peersAll());
        server = newServer(budgets);
        forwarder.attach(connections, discovery, peers);
        endpoints = new EndpointAdministration(loop, log, forwarder);
        handover = newHandover(state);
        history =
                historySettings == null
                        ? null
                        : new HistoryFile(historySettings.file(), site.module().self());
        recordEstimates();
        ReplicaWiring wiring =
                new ReplicaWiring(configuration, loop, peers, forwarder, wallClock, history, log);
        membership = wiring.membership(operator.of(MembershipTable.MEMBERSHIP));
        drains = newDrains(wiring);
        AgreementTableSettings agreement = operator.of(AgreementTable.AGREEMENT);
        coordination = agreement == null ? null : newCoordination(wiring, agreement);
    }

    // ---- wiring

    private static ProxyEventLoop newLoop(HistorySettings historySettings, Logger log) {
        boolean skewed = historySettings != null && historySettings.clockDrift() != 0;
        return skewed
                ? new ProxyEventLoop(log, new SkewedClock(historySettings.clockDrift()))
                : new ProxyEventLoop(log);
    }

    private RequestForwarder<HttpMessage, HttpMessage> newForwarder(Budgets budgets) {
        var module = configuration.site().module();
        return new RequestForwarder<>(
                actions ->
                        new PrequalBalancer(
                                module, new SplittableRandom(configuration.seed()), actions),
                module.limits().maxAttempts(),
                loop,
                log,
                budgets,
                metrics);
    }

    private EndpointConnectionPool newConnectionPool() {
        EndpointLimits limits = operator.of(NodesTable.NODES);
        return new EndpointConnectionPool(
                loop,
                forwarder,
                configuration.site(),
                limits,
                limits.bounds(configuration.sockets(), maxClients()),
                metrics,
                buffers);
    }

    private HttpServer newServer(Budgets budgets) {
        return new HttpServer(
                loop,
                forwarder,
                new RequestHeaders(configuration.site().module(), budgets),
                this::isReady,
                operator.of(CallersTable.CALLERS),
                maxClients(),
                buffers);
    }

    private HandoverCoordinator newHandover(Path state) {
        StartedRequestIds startedRequests = new StartedRequestIds();
        forwarder.setRepeatGuard(
                new RequestIdGuard(configuration.site().module().classes(), startedRequests, loop));
        return new HandoverCoordinator(
                loop, log, server, endpoints, state, startedRequests, new OtherProcesses());
    }

    /** Returns the maximum number of clients this process may have at once. */
    private int maxClients() {
        return operator.of(CallersTable.CALLERS).maxClients(configuration.sockets());
    }

    private DrainWiring newDrains(ReplicaWiring wiring) {
        return wiring.drains(
                operator.of(DrainsTable.DRAINS),
                endpoints.overrides(),
                connections,
                listParser,
                metrics);
    }

    /** Returns the machine's clock plus an offset that a trial may set, in milliseconds. */
    private static long wallClockMillis(long offset) {
        return System.currentTimeMillis() + offset;
    }

    private DiscoveryClient newDiscoveryClient(FootprintSettings footprint) {
        return new DiscoveryClient(
                loop,
                configuration.discovery(),
                operator.of(DiscoveryTable.DISCOVERY),
                DiscoveryPollSchedule.maxBackoffNanos(configuration.site().module()),
                new SplittableRandom(configuration.seed()).split().split().split(),
                listParser,
                (long) configuration.known().number("version", 0),
                list ->
                        onEndpoints(
                                list, list.full() ? EndpointListKind.FULL : EndpointListKind.DELTA),
                forwarder::endpointsUnavailable,
                listReader,
                footprint == null ? 0 : footprint.again());
    }

    private EndpointListReader newListReader(FootprintSettings footprint) {
        return new EndpointListReader(
                new EndpointListFootprint(MachineLayout.read()),
                listParser,
                estimate.capacity(footprint.heapShare(), maxLoad()),
                footprint.fromNodes());
    }

    private ProcessMemoryEstimate newEstimate() {
        // By default a proxy has an administrative address, with the file that lists its processes,
        // and an address for its peers.
        int additionalDescriptors =
                (operator.of(HistoryTable.HISTORY) == null ? 0 : 1)
                        - (configuration.admin() == null ? 2 : 0)
                        - (configuration.peerListen() == null ? 1 : 0);
        return new ProcessMemoryEstimate(
                configuration.site(),
                MachineLayout.read(),
                MachineLayout.limits(configuration.memory()),
                additionalDescriptors,
                () ->
                        new ProcessMemoryEstimate.Load(
                                server.clients(),
                                connections.open(),
                                (int) metrics.openRequests(),
                                buffers.bufferedBytes()));
    }

    /** Returns the maximum load that the process may have beside its endpoints. */
    private ProcessMemoryEstimate.Load maxLoad() {
        int maxClients = maxClients();
        EndpointLimits.Bounds bounds =
                operator.of(NodesTable.NODES).bounds(configuration.sockets(), maxClients);
        return new ProcessMemoryEstimate.Load(
                maxClients, bounds.maxIdle(), maxClients, BufferAccount.MAX);
    }

    private void recordEstimates() {
        if (estimate != null && history != null) {
            listReader.whenJudged(
                    judged -> {
                        if (estimate.isMeasured()) {
                            estimate.recordVerdict(judged, history);
                        }
                    });
        }
    }

    /**
     * Creates the coordination outside the constructor, so that a start without coordination loads
     * none of its classes.
     */
    private CoordinationWiring newCoordination(
            ReplicaWiring wiring, AgreementTableSettings agreement) {
        return wiring.coordination(
                agreement,
                operator.of(FailoverTable.FAILOVER),
                membership,
                drains,
                this::routeTableCapacity,
                endpoints::setDraining);
    }

    private RouteTableCapacity routeTableCapacity(RouteTable loaded) {
        return estimate == null ? RouteTableCapacity.ANY : estimate.capacity(loaded, listReader);
    }

    private boolean isReady() {
        return hasEndpoints && serving;
    }

    // ---- the start

    /**
     * Starts the proxy: the balancer receives the cached list first, then clients are accepted.
     *
     * @throws IOException where an address can't be listened on
     */
    void start() throws IOException, InterruptedException {
        boolean hasAdminAddress = configuration.admin() != null;
        if (hasAdminAddress) {
            handover.join();
        }
        boolean replacing = handover.hasPredecessor();
        boolean hasPeerRole = membership == null || handover.claimPeerRole();
        startParts(hasAdminAddress, replacing, hasPeerRole);
        if (hasAdminAddress) {
            new AdminListener(loop, adminOperations()).listen(configuration.admin());
        }
        if (configuration.peerListen() != null && hasPeerRole) {
            peers.listen(configuration.peerListen(), hasAdminAddress);
            if (membership != null) {
                loop.run(this::startPeerServices);
            }
        }
        warmUp();
        if (replacing) {
            freshList.await(FRESH_LIST_TIMEOUT_NANOS, TimeUnit.NANOSECONDS);
        }
        if (!gate.join()) {
            return; // asked to end before any client could connect
        }
        server.listen(configuration.listen(), hasAdminAddress);
        loop.run(() -> onServing(hasAdminAddress));
    }

    /**
     * Starts the parts on the loop, with the list from the configuration; returns once that is
     * done.
     */
    private void startParts(boolean hasAdminAddress, boolean replacing, boolean hasPeerRole)
            throws InterruptedException {
        EndpointList known = removeKnownList();
        CountDownLatch done = new CountDownLatch(1);
        loop.run(
                () -> {
                    handover.setOtherHasPeerRole(!hasPeerRole);
                    if (hasAdminAddress) {
                        handover.start();
                    }
                    startDiscovery(known, replacing);
                    if (known != null) {
                        onEndpoints(known, EndpointListKind.CACHED);
                    } else {
                        forwarder.endpointsUpdated(EndpointListKind.CACHED, List.of());
                    }
                    if (estimate != null) {
                        measure();
                    }
                    done.countDown();
                });
        done.await();
    }

    private void startDiscovery(EndpointList known, boolean replacing) {
        if (known != null && listReader != null && listReader.last().waits() > 0) {
            discovery.onCachedListIncomplete(); // first, since the watch is requested from there
        }
        if (!configuration.site().module().pollsEndpoints()) {
            discovery.watch(
                    true); // no caller requests a watch here: updates pushed from now on count
        }
        if (replacing) {
            discovery.fetchAll();
        }
    }

    /** Removes the cached list from the configuration and returns it; null where there is none. */
    private EndpointList removeKnownList() {
        JsonObject list = configuration.known();
        configuration = configuration.withoutKnown();
        if (list.list("servers", false).isEmpty()) {
            return null;
        }
        return listParser.read(listReader == null ? list : listReader.read(list));
    }

    /** Measures what this process needs beside endpoints, once its first list is loaded. */
    private void measure() {
        estimate.measure(listReader.held());
        if (history != null && listReader.last() != null) {
            estimate.recordVerdict(listReader.last(), history);
            estimate.recordHeld(history, loop::run);
        }
    }

    private ProxyAdminOperations adminOperations() {
        return new ProxyAdminOperations(
                new ProxyAdminOperations.Parts(
                        configuration.site(),
                        this::isReady,
                        server,
                        forwarder,
                        metrics,
                        buffers,
                        endpoints,
                        handover,
                        estimate,
                        listReader,
                        coordination,
                        drains));
    }

    /**
     * Starts communicating with the peers, as the process of this proxy that has the peer role;
     * runs on the loop.
     */
    private void startPeerServices() {
        membership.start();
        if (coordination != null) {
            coordination.coordinator().start();
            if (drains != null) {
                drains.proposePolicies(coordination.coordinator());
            }
        }
    }

    /**
     * Sends requests from the proxy to itself, at an address other than that of the clients, where
     * another process of this proxy might receive them.
     */
    private void warmUp() throws IOException, InterruptedException {
        InetSocketAddress anyPort = new InetSocketAddress(configuration.listen().getAddress(), 0);
        InetSocketAddress own = server.listen(anyPort, false);
        CountDownLatch warmed = new CountDownLatch(1);
        loop.run(() -> startWarmUp(own, warmed));
        warmed.await();
    }

    private void startWarmUp(InetSocketAddress own, CountDownLatch warmed) {
        try {
            Warmup warmup = new Warmup(loop, configuration, own, log, warmed::countDown);
            server.setInterceptor(warmup.ownResponses());
            warmup.start();
        } catch (MalformedMessageException | RuntimeException e) {
            log.fault("proxy.warmup_failed", e).write();
            warmed.countDown();
        }
    }

    private void onServing(boolean hasAdminAddress) {
        if (hasAdminAddress) {
            handover.announceReady();
        }
        serving = true;
        log.info("proxy.started")
                .with("name", configuration.name())
                .with("address", configuration.listen())
                .write();
    }

    // ---- endpoints and other processes

    private void onEndpoints(EndpointList list, EndpointListKind kind) {
        if (!list.unread().isEmpty()) {
            log.warn("discovery.entries_rejected")
                    .with("entries", list.unread().size())
                    .with("first", list.unread().get(0))
                    .write();
        }
        connections.onEndpoints(list);
        hasEndpoints |= !list.nodes().isEmpty();
        if (kind != EndpointListKind.CACHED) {
            freshList.countDown();
        }
        endpoints.onEndpoints(kind, list);
        if (estimate != null && history != null && estimate.isMeasured()) {
            estimate.recordHeld(history, loop::run);
        }
    }

    /** Applies the changes that follow from the start or end of another process of this proxy. */
    private final class OtherProcesses implements HandoverCoordinator.Listener {
        @Override
        public void onProcesses(int processes) {
            applyBounds(processes);
        }

        @Override
        public void onPeerRoleAcquired() {
            peers.takeOver(configuration.peerListen(), ProxyServer.this::startPeerServices);
        }
    }

    /** Divides the limits of a proxy on descriptors and buffers among all its processes. */
    private void applyBounds(int processes) {
        int sockets = configuration.sockets() / processes;
        buffers.max(BufferAccount.MAX / processes);
        ClientLimits clientLimits = operator.of(CallersTable.CALLERS);
        int maxClients = clientLimits.maxClients(sockets);
        server.apply(clientLimits, maxClients);
        EndpointLimits endpointLimits = operator.of(NodesTable.NODES);
        connections.apply(endpointLimits, endpointLimits.bounds(sockets, maxClients));
    }

    // ---- reload

    /**
     * Applies the changed discovery address of the configuration, from any thread. The other
     * settings take effect at the next start. Requests and clients are not affected.
     *
     * <p>The configuration is read on the caller's thread, since reading a slow file would block
     * the loop. The later of two changes takes effect if the caller reads one at a time.
     *
     * @param changed reads the configuration, or throws an exception that says why it can't
     */
    void reload(Callable<ProxyConfiguration> changed) {
        try {
            ProxyConfiguration next = changed.call();
            loop.run(
                    () -> {
                        log.info("configuration.reloaded")
                                .with("discovery", next.discovery())
                                .write();
                        discovery.moveTo(next.discovery());
                    });
        } catch (Exception e) {
            // A broken or half-written file must not stop a working proxy.
            loop.run(() -> log.warn("configuration.rejected").with("why", e.getMessage()).write());
        }
    }

    /** Applies the operator's file, from any thread. Requests are not affected. */
    void apply(OperatorFile next) {
        loop.run(
                () -> {
                    operator = next;
                    setLog(operator.of(LogTable.LOG));
                    applyBounds(handover.processes());
                    discovery.setTimeouts(operator.of(DiscoveryTable.DISCOVERY));
                    if (coordination != null) {
                        coordination.setFailover(operator.of(FailoverTable.FAILOVER));
                    }
                    if (drains != null) {
                        drains.setPolicies(operator.of(DrainsTable.DRAINS));
                    }
                    log.info("operator_file.reloaded").write();
                });
    }

    /**
     * Logs that the operator's file can't be used, from any thread; the earlier settings stay in
     * force.
     */
    void logRejectedOperatorFile(InvalidFileException rejected) {
        loop.run(
                () ->
                        log.warn("operator_file.rejected")
                                .with("problems", rejected.problems().size())
                                .with("first", rejected.problems().get(0))
                                .write());
    }

    private void setLog(LogConfiguration configured) {
        log.settings(configured.settings());
        boolean json = configured.form() == LogConfiguration.Form.JSON;
        log.lineWriter(json ? new JsonLineWriter() : new TextLines());
    }

    /** Logs that SIGHUP will not be handled, and why; from any thread. */
    void logIgnoredReloadSignal(String why) {
        loop.run(() -> log.warn("sighup.ignored").with("why", why).write());
    }

    // ---- the end

    /** Records that the start has failed, so that the shutdown waits for nothing. Thread-safe. */
    void abandon() {
        gate.abandon();
    }

    /**
     * Answers all accepted requests and returns when none is left; returns at once if no client
     * could have connected yet. Must be called from a thread other than the loop's.
     */
    void shutDown() {
        if (!gate.end()) {
            loop.stop();
            return;
        }
        CountDownLatch done = new CountDownLatch(1);
        loop.run(() -> startShutdown(done));
        try {
            awaitShutdown(done);
            loop.stop();
            if (history != null) {
                history.stop();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void startShutdown(CountDownLatch done) {
        boolean replaced = configuration.admin() != null && handover.isSuccessorReady();
        stopPeerServices(replaced);
        if (replaced) {
            log.info("proxy.replaced").write();
            server.handOver(done::countDown);
        } else {
            log.info("proxy.shutdown_started").write();
            server.shutDown(done::countDown);
        }
    }

    /**
     * Ends the communication with the peers: either a successor continues it, or the peers are
     * notified that this replica leaves.
     */
    private void stopPeerServices(boolean replaced) {
        boolean hadPeerRole = handover.endPeerRole();
        if (membership == null || !hadPeerRole) {
            return;
        }
        if (coordination != null) {
            coordination
                    .coordinator()
                    .stop(); // first: its messages are sent through the peers' socket
        }
        if (replaced) {
            membership.stopSpeaking();
        } else {
            membership.leave();
        }
        handover.releasePeerRole();
    }

    /**
     * Waits for the shutdown while bodies are transferred, but not for one that is stuck, such as
     * that of a process whose jar was replaced while it ran, so that a class can no longer be
     * loaded.
     */
    private void awaitShutdown(CountDownLatch done) throws InterruptedException {
        boolean completed;
        do {
            completed = done.await(server.maxShutdownNanos(), TimeUnit.NANOSECONDS);
        } while (!completed && isTransferring());
    }

    /**
     * Returns whether a body is still being transferred; false where the loop does not answer in
     * time.
     */
    private boolean isTransferring() throws InterruptedException {
        CountDownLatch transferring = new CountDownLatch(1);
        loop.run(
                () -> {
                    if (server.isTransferring()) {
                        transferring.countDown();
                    }
                });
        return transferring.await(LOOP_ANSWER_TIMEOUT_NANOS, TimeUnit.NANOSECONDS);
    }
}
