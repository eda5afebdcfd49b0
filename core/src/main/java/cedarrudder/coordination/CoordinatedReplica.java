package cedarrudder.coordination;

import cedarrudder.consensus.ConsensusSettings;
import cedarrudder.consensus.LogPosition;
import cedarrudder.consensus.Proposal;
import cedarrudder.consensus.ProposalOutcome;
import cedarrudder.consensus.RaftNode;
import cedarrudder.consensus.StableStorage;
import cedarrudder.consensus.VoterGroup;
import cedarrudder.consensus.VoterSet;
import cedarrudder.footprint.RouteTableCapacity;
import cedarrudder.routetable.RouteTable;
import java.util.List;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/**
 * One replica of a tier that decides together with the others: it takes part in the replicated log,
 * applies the route table and the state of draining that the log holds, and uses the table while
 * its lease holds. It reports to the leader; where it is the leader, it grants leases and proposes
 * what {@link TrafficCoordination} and {@link DrainCoordination} plan.
 *
 * <p>It has no clock, no socket and no thread. It is fed datagrams and the time, which never goes
 * back, and says by {@link #nextTickAt} when it wants the time next. Not thread-safe: from one
 * thread at a time, and its actions must not call it.
 */
public final class CoordinatedReplica {

    /**
     * The most parts that each of {@link TrafficCoordination} and {@link DrainCoordination} may put
     * into one report.
     */
    public static final int MAX_PARTS = 4;

    /** The largest part of a report, in bytes. */
    public static final int MAX_PART_BYTES = 136;

    /** What it causes. */
    public interface Actions {
        /** Sends a datagram of at most 224 bytes; it may be lost. */
        void send(int to, byte[] datagram);

        /** Uses this table from now on; null: none, and the replica decides on its own. */
        void onTable(RouteTable table);

        /**
         * The table in use must not be used from this instant on, unless a later one is given
         * before. It is to be compared with the clock before each use: this avoids a process that
         * was stopped going on with an outdated table.
         */
        void onLeaseExtended(long expiresAt);

        /**
         * These nodes are draining, whether a table is in use or not: the end of a lease brings
         * none back.
         */
        void onDrainingNodes(List<RouteTable.DrainingNode> nodes);

        /**
         * A command that was proposed here is settled; said once.
         *
         * @param position where it was applied, where it is committed; otherwise null
         */
        void onProposalSettled(Proposal proposal, ProposalOutcome outcome, LogPosition position);

        /** Records an event, for logs and checkers. */
        void record(HistoryEntry entry);
    }

    /**
     * The state of a replica, for operators.
     *
     * @param leader the leader's number as far as this replica knows, otherwise -1
     * @param agreedTable what the log holds, as far as it is applied here; null before the first
     * @param activeTable the table in use; null where none is
     * @param leaseRemaining how much longer that may be used, in nanoseconds
     */
    public record Status(
            VoterGroup group,
            long term,
            int leader,
            boolean isLeader,
            VoterSet voters,
            RouteTable agreedTable,
            RouteTable activeTable,
            long leaseRemaining) {}

    /** Datagrams that were dropped: unreadable, or from another sender than they name. */
    public record Counts(long malformed, long wrongSender) {}

    private final Actions actions;
    private final int replicas;
    private final int self;
    private final TrafficCoordination trafficCoordination;
    private final DrainCoordination drainCoordination;
    private final ReplicaContext context = new Context();
    private final ReportCollector collector;
    private final ActiveTable activeTable;
    private final ReportExchange exchange;
    private final LeaderPlanner planner;
    private final LeaderTierView tier;
    private final ReplicatedStateMachine stateMachine;
    private final RaftNode raft;

    private boolean wasLeader;
    private long now;
    private long malformed;
    private long wrongSender;

    /**
     * Takes part as a replica that has no state, or where its storage holds one, with that.
     *
     * @param zones the zone of each replica of the tier
     * @param self the number of this one
     * @param incarnation larger than that of any earlier incarnation of this replica
     * @param capacity the largest table that this replica has room for now
     * @throws IllegalArgumentException if a value is outside its range, or the lease is too short
     *     for this many replicas
     */
    public CoordinatedReplica(
            int[] zones,
            int self,
            long incarnation,
            ConsensusSettings consensusSettings,
            CoordinationSettings settings,
            StableStorage storage,
            RandomGenerator random,
            TrafficCoordination trafficCoordination,
            DrainCoordination drainCoordination,
            Supplier<RouteTableCapacity> capacity,
            Actions actions,
            long now) {
        settings.checkLease(zones.length);
        this.replicas = zones.length;
        this.self = self;
        this.trafficCoordination = trafficCoordination;
        this.drainCoordination = drainCoordination;
        this.actions = actions;
        this.now = now;
        long interval = settings.reportInterval(zones.length);
        this.collector = new ReportCollector(zones.length, interval, now);
        this.activeTable = new ActiveTable(capacity, actions, actions::record, now);
        ReplicaParts parts =
                new ReplicaParts(
                        context,
                        settings,
                        trafficCoordination,
                        drainCoordination,
                        activeTable,
                        collector,
                        capacity);
        this.exchange = new ReportExchange(parts, interval, incarnation, random, now);
        this.tier = new LeaderTierView(zones, self, activeTable, collector);
        this.planner = new LeaderPlanner(parts, tier);
        this.stateMachine =
                new ReplicatedStateMachine(
                        context, storage, activeTable, drainCoordination, actions, now);
        this.raft =
                new RaftNode(
                        zones,
                        self,
                        incarnation,
                        consensusSettings,
                        storage,
                        random,
                        stateMachine,
                        now);
    }

    private final class Context implements ReplicaContext {
        @Override
        public RaftNode raft() {
            return raft;
        }

        @Override
        public int self() {
            return self;
        }

        @Override
        public boolean hasCommittedInTerm() {
            return raft.appliedPosition().index() >= stateMachine.firstIndexOfTerm();
        }

        @Override
        public void send(int to, ReportMessage message) {
            actions.send(to, ReportCodec.encode(self, raft.incarnation(), message));
        }

        @Override
        public void deliver(int from, ReportMessage.Part part) {
            switch (part.kind()) {
                case TRAFFIC -> trafficCoordination.onReportPart(now, from, part.bytes());
                case DRAINING -> drainCoordination.onReportPart(now, from, part.bytes());
            }
        }

        @Override
        public void record(HistoryEntry entry) {
            actions.record(entry);
        }
    }

    // ---- state ----

    /** The state of this replica at an instant. */
    public Status status(long at) {
        RouteTable active = activeTable.active();
        return new Status(
                raft.group(),
                raft.term(),
                leader(),
                raft.isLeader(),
                raft.voters(),
                activeTable.agreed(),
                active,
                active == null ? 0 : Math.max(0, activeTable.expiresAt() - at));
    }

    /** The number of the leader as far as this replica knows; -1 where it knows of none. */
    public int leader() {
        return raft.leader();
    }

    /** How many datagrams were dropped. */
    public Counts counts() {
        return new Counts(malformed, wrongSender);
    }

    // ---- events ----

    /** When {@link #tick} is to be called next; calling it sooner or later does no harm. */
    public long nextTickAt() {
        long next = Math.min(raft.nextTickAt(), exchange.nextReportAt());
        if (activeTable.active() != null) {
            next = Math.min(next, activeTable.expiresAt());
        }
        return raft.isLeader() ? Math.min(next, planner.nextPlanAt()) : next;
    }

    /** Does what is due. */
    public void tick(long at) {
        begin(at);
        raft.tick(now);
        update();
        exchange.tick(now);
        if (raft.isLeader()) {
            planner.tick(now);
        }
        update();
    }

    /** Takes a datagram of the log or of a report; any other is counted and dropped. */
    public void onDatagram(long at, int from, byte[] datagram) {
        begin(at);
        if (ReportCodec.isReport(datagram)) {
            onReportMessage(from, ReportCodec.decode(datagram, replicas));
        } else {
            raft.onDatagram(now, from, datagram);
        }
        update();
    }

    private void onReportMessage(int from, ReportMessage.Envelope envelope) {
        if (envelope == null) {
            malformed++;
        } else if (envelope.sender() != from || from == self) {
            wrongSender++;
        } else if (envelope.message() instanceof ReportMessage.Report report) {
            exchange.onReport(now, from, envelope.incarnation(), report);
        } else if (envelope.message() instanceof ReportMessage.Grant grant) {
            exchange.onGrant(now, grant);
        }
    }

    /** Membership declares a replica alive or dead; no safety rests on it. */
    public void setAlive(int replica, boolean alive) {
        tier.setAlive(replica, alive);
        raft.setAlive(replica, alive);
    }

    /**
     * An operator has it form a group, with the state that it has applied.
     *
     * @return false where no further group can be formed
     */
    public boolean formGroup(long at) {
        begin(at);
        boolean formed = raft.formGroup(now);
        update();
        return formed;
    }

    /**
     * Proposes a command of {@link DrainCoordination}, at any replica, whoever leads.
     *
     * @param timeout after which its outcome is said, whatever is known by then; nanoseconds
     * @return what {@link Actions#onProposalSettled} will name; null where too many proposals are
     *     open here, so that it is not taken
     * @throws IllegalArgumentException if it is larger than what may be forwarded
     */
    public Proposal propose(long at, byte[] command, long timeout) {
        begin(at);
        byte[] content = new LogContent.DrainUpdate(command).encode();
        Proposal proposal = raft.forward(now, content, timeout);
        update();
        return proposal;
    }

    /** This replica is about to stop: where it leads, another takes over; false where none can. */
    public boolean stop(long at) {
        begin(at);
        boolean transferred = raft.transferLeadership(now);
        update();
        return transferred;
    }

    /** Before each event: a process that was stopped must not act on an outdated table. */
    private void begin(long at) {
        now = at;
        stateMachine.advanceTo(at);
        update();
    }

    // ---- what follows from events ----

    private void update() {
        updateLeadership();
        if (wasLeader && context.hasCommittedInTerm()) {
            // A leader needs no grant: it knows its quorum itself.
            activeTable.onQuorumContact(
                    raft.group(), activeTable.agreedNumber(), exchange.lastQuorumContact(now));
        }
        activeTable.update(now);
    }

    private void updateLeadership() {
        if (raft.isLeader() == wasLeader) {
            return;
        }
        wasLeader = raft.isLeader();
        planner.onLeadershipChanged(now);
        if (wasLeader) {
            exchange.onElected(now);
        }
        trafficCoordination.onLeadership(now, wasLeader);
        drainCoordination.onLeadership(now, wasLeader);
    }
}
