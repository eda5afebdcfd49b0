package cedarrudder.program;

import cedarrudder.balancer.LoadBalancer.ZoneTrafficShare;
import cedarrudder.consensus.LogPosition;
import cedarrudder.consensus.Proposal;
import cedarrudder.consensus.ProposalOutcome;
import cedarrudder.consensus.StableStorage;
import cedarrudder.coordination.CoordinatedReplica;
import cedarrudder.coordination.DrainCoordination;
import cedarrudder.coordination.TrafficCoordination;
import cedarrudder.failover.FailoverSettings;
import cedarrudder.footprint.RouteTableCapacity;
import cedarrudder.forwarding.RequestForwarder;
import cedarrudder.logging.Logger;
import cedarrudder.operator.AgreementTableSettings;
import cedarrudder.routetable.RouteTable;
import cedarrudder.transport.EventRecorder;
import cedarrudder.transport.MembershipService;
import cedarrudder.transport.PeerSocket;
import cedarrudder.transport.ProxyEventLoop;
import cedarrudder.transport.ReplicaCoordinator;
import java.util.BitSet;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;

/**
 * Connects the coordination among the replicas of a tier to the parts of this proxy. Runs on the
 * loop's thread.
 */
final class CoordinationWiring
        implements ReplicaCoordinator.Host, ReplicaCoordinator.ReplicaFactory {

    /**
     * The properties of a replica beside the settings of its operators.
     *
     * @param zones the zone of each replica
     * @param tableCapacity returns what the replica can load beside the table that is loaded, which
     *     may be null
     */
    record LocalReplica(
            int[] zones,
            int number,
            LongSupplier wallClock,
            RandomGenerator random,
            Function<RouteTable, RouteTableCapacity> tableCapacity) {}

    /** The minimum interval between two history events that record the use of a table. */
    private static final long USE_EVENT_INTERVAL_NANOS = 100_000_000L;

    private final LocalReplica self;
    private final AgreementTableSettings settings;
    private final RequestForwarder<?, ?> forwarder;
    private final Consumer<Set<Long>> setDraining;
    private final FailoverWiring failover;
    private final DrainWiring drains;
    private final ProxyEventLoop loop;
    private final EventRecorder history;
    private final Logger log;
    private final ReplicaCoordinator coordinator;
    private final BitSet dead = new BitSet();
    private FileStableStorage storage;
    private RouteTable table;
    private long useRecordedAt;

    /**
     * Wires the coordination.
     *
     * @param setDraining receives the numbers of all endpoints that are being drained, whenever
     *     that changes
     * @param failover null where operators have not enabled failover
     * @param drains null where operators have no policies
     */
    CoordinationWiring(
            ProxyEventLoop loop,
            PeerSocket peers,
            MembershipService membership,
            AgreementTableSettings settings,
            LocalReplica self,
            RequestForwarder<?, ?> forwarder,
            Consumer<Set<Long>> setDraining,
            FailoverWiring failover,
            DrainWiring drains,
            EventRecorder history,
            Logger log) {
        this.settings = settings;
        this.self = self;
        this.forwarder = forwarder;
        this.setDraining = setDraining;
        this.failover = failover;
        this.drains = drains;
        this.loop = loop;
        this.history = history;
        this.log = log;
        this.coordinator = new ReplicaCoordinator(loop, peers, this, this, history);
        membership.setLivenessListener(this::onLivenessChanged);
        if (history != null) {
            forwarder.onZoneShareUsed(() -> recordUse(loop.now()));
        }
    }

    /**
     * Returns the zone of each replica.
     *
     * @param names the names of all zones, by number
     * @param own the zone of this replica
     * @throws IllegalArgumentException if the configured zones don't match these replicas
     */
    static int[] zones(
            AgreementTableSettings settings, List<String> names, int replicas, int self, int own) {
        int[] zones = new int[replicas];
        if (settings.zones().isEmpty() && names.size() <= 1) {
            return zones;
        }
        if (settings.zones().size() != replicas) {
            throw new IllegalArgumentException(
                    "agreement.zones: found "
                            + settings.zones().size()
                            + " with "
                            + replicas
                            + " peers and "
                            + names.size()
                            + " zones; allowed: the zone of each peer, in "
                            + "their order");
        }
        for (int i = 0; i < replicas; i++) {
            zones[i] = names.indexOf(settings.zones().get(i));
            if (zones[i] < 0) {
                throw new IllegalArgumentException(
                        "agreement.zones: found "
                                + settings.zones().get(i)
                                + "; allowed: "
                                + String.join(", ", names));
            }
        }
        if (zones[self] != own) {
            throw new IllegalArgumentException(
                    "agreement.zones: found "
                            + settings.zones().get(self)
                            + " for this proxy, number "
                            + self
                            + "; allowed: its zone in the settings, "
                            + (own >= 0 && own < names.size()
                                    ? names.get(own)
                                    : Integer.toString(own)));
        }
        return zones;
    }

    ReplicaCoordinator coordinator() {
        return coordinator;
    }

    @Override
    public CoordinatedReplica create(CoordinatedReplica.Actions actions, long now) {
        int replicas = self.zones.length;
        storage =
                settings.folder() == null
                        ? null
                        : new FileStableStorage(settings.folder(), self.number, replicas, log);
        StableStorage stableStorage = storage == null ? StableStorage.NONE : storage;
        if (history != null) {
            history.record("joins", Map.of("kept", stableStorage.recovered() == null ? 0 : 1));
        }
        return new CoordinatedReplica(
                self.zones,
                self.number,
                Math.max(1, self.wallClock.getAsLong()),
                settings.agreement(),
                settings.fleet(),
                stableStorage,
                self.random,
                failover == null ? TrafficCoordination.NONE : failover,
                drains == null ? DrainCoordination.NONE : drains.start(now),
                () -> self.tableCapacity.apply(table),
                actions,
                now);
    }

    @Override
    public void onStopped() {
        if (storage != null) {
            storage.close();
        }
    }

    private void onLivenessChanged(int replica, boolean alive) {
        dead.set(replica, !alive);
        coordinator.setAlive(replica, alive);
        if (table != null && self.zones[replica] == self.zones[self.number]) {
            onTable(table);
        }
    }

    /** Evacuates the zones of the new settings from now on. */
    void setFailover(FailoverSettings next) {
        if (failover != null) {
            failover.evacuate(next);
        }
    }

    /**
     * Applies the routes of this replica's zone to the forwarder; the requests per second that a
     * zone's clients may send are divided by the number of its live replicas.
     */
    @Override
    public void onTable(RouteTable next) {
        if (failover != null && next != table) {
            failover.onTableLoaded(loop.now(), next);
        }
        table = next;
        int own = self.zones[self.number];
        int liveReplicas = 0;
        for (int replica = 0; replica < self.zones.length; replica++) {
            liveReplicas +=
                    self.zones[replica] == own && (replica == self.number || !dead.get(replica))
                            ? 1
                            : 0;
        }
        int replicasInZone = liveReplicas;
        forwarder.zoneSharesUpdated(
                next == null
                        ? List.of()
                        : next.routes().stream()
                                .filter(route -> route.from() == own)
                                .map(
                                        route ->
                                                new ZoneTrafficShare(
                                                        route.to(),
                                                        route.weight(),
                                                        route.maxPerSecond() == 0
                                                                ? 0
                                                                : Math.max(
                                                                        1,
                                                                        route.maxPerSecond()
                                                                                / replicasInZone)))
                                .toList());
    }

    /**
     * Records that the table was used, so that a checker of the histories can tell how long it was
     * in use.
     */
    private void recordUse(long now) {
        if (table != null && now - useRecordedAt >= USE_EVENT_INTERVAL_NANOS) {
            useRecordedAt = now;
            history.record("used", Map.of("number", table.number()));
        }
    }

    @Override
    public void onProposalSettled(Proposal proposal, ProposalOutcome outcome, LogPosition number) {
        if (drains == null || !drains.onProposalSettled(proposal, outcome)) {
            log.info("consensus.proposal_settled").with("outcome", outcome).write();
        }
    }

    @Override
    public void onLeaseExtended(long instant) {
        forwarder.zoneSharesValidUntil(instant);
    }

    @Override
    public void onDrainingNodes(List<RouteTable.DrainingNode> nodes) {
        Set<Long> numbers = new HashSet<>();
        nodes.forEach(node -> numbers.add(node.node()));
        setDraining.accept(numbers);
    }
}
