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
 * One replica of a tier whose replicas decide together. It takes part in the replicated log,
 * applies the route table and the drain state from the log, and uses the table until its lease
 * expires. It reports to the leader. While it is the leader, it grants leases and proposes what
 * {@link TrafficCoordination} and {@link DrainCoordination} plan.
 *
 * <p>A replica has no clock, socket or thread. Its owner passes in datagrams and the current time,
 * which must never decrease, and calls {@link #tick} when {@link #nextTickAt} is reached. Not
 * thread-safe: only one thread at a time may use a replica, and its actions must not call it.
 */
public final class CoordinatedReplica {

    /**
     * The maximum number of parts that each of {@link TrafficCoordination} and {@link
     * DrainCoordination} may put into one report.
     */
    public static final int MAX_PARTS = 4;

    /** The maximum size of a part of a report, in bytes. */
    public static final int MAX_PART_BYTES = 136;

    /** The outputs of a replica, implemented by its owner. */
    public interface Actions {
        /** Sends a datagram of at most 224 bytes, which may be lost. */
        void send(int to, byte[] datagram);

        /**
         * Replaces the table in use; null means that there is none and the replica decides on its
         * own.
         */
        void onTable(RouteTable table);

        /**
         * Sets the instant from which the table in use must no longer be used, unless a later
         * instant is set before. The owner compares it with the clock before each use, so that a
         * process that was stopped does not continue with an outdated table.
         */
        void onLeaseExtended(long expiresAt);

        /**
         * Replaces the list of draining nodes, which applies whether a table is in use or not: no
         * node returns to service because a lease expires.
         */
        void onDrainingNodes(List<RouteTable.DrainingNode> nodes);

        /**
         * Reports the outcome of a command that was proposed here, once.
         *
         * @param position the position at which the command was applied if it is committed,
         *     otherwise null
         */
        void onProposalSettled(Proposal proposal, ProposalOutcome outcome, LogPosition position);

        /** Records an event, for logs and for checkers of the protocol. */
        void record(HistoryEntry entry);
    }

    /**
     * The state of a replica, for operators.
     *
     * @param leader the leader's number as far as this replica knows, or -1
     * @param agreedTable the latest table of the log that is applied here; null before the first
     * @param activeTable the table in use; null if there is none
     * @param leaseRemaining how much longer the table in use may be used, in nanoseconds
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

    /**
     * Counts of the datagrams that were dropped because they were unreadable or named another
     * sender than the one they came from.
     */
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
     * Creates a replica without a state, or, where its storage holds a state, with that state.
     *
     * @param zones the zone of each replica of the tier
     * @param self the number of this replica
     * @param incarnation larger than that of any earlier incarnation of this replica
     * @param capacity the largest table that this replica has memory for at the time of the call
     * @throws IllegalArgumentException if a value is outside its range, or the lease is too short
     *     for the number of replicas
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

    /** Returns the state of this replica at an instant. */
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

    /**
     * Returns the leader's number as far as this replica knows, or -1 where it knows of no leader.
     */
    public int leader() {
        return raft.leader();
    }

    /** Returns how many datagrams were dropped. */
    public Counts counts() {
        return new Counts(malformed, wrongSender);
    }

    // ---- events ----

    /** Returns when {@link #tick} is to be called next. An earlier or later call does no harm. */
    public long nextTickAt() {
        long next = Math.min(raft.nextTickAt(), exchange.nextReportAt());
        if (activeTable.active() != null) {
            next = Math.min(next, activeTable.expiresAt());
        }
        return raft.isLeader() ? Math.min(next, planner.nextPlanAt()) : next;
    }

    /** Performs everything that is due by now. */
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

    /** Handles a datagram of the log or of the reports; any other is counted and dropped. */
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

    /** Records whether membership considers a replica alive. Safety does not depend on it. */
    public void setAlive(int replica, boolean alive) {
        tier.setAlive(replica, alive);
        raft.setAlive(replica, alive);
    }

    /**
     * Forms a new group with the state that this replica has applied, on an operator's command.
     *
     * @return false if no further group can be formed
     */
    public boolean formGroup(long at) {
        begin(at);
        boolean formed = raft.formGroup(now);
        update();
        return formed;
    }

    /**
     * Proposes a command of {@link DrainCoordination}, whichever replica leads.
     *
     * @param timeout the time after which the outcome is reported with whatever is known by then,
     *     in nanoseconds
     * @return the proposal that {@link Actions#onProposalSettled} will be called with; null if it
     *     is not accepted because too many proposals are pending here
     * @throws IllegalArgumentException if the command is larger than what may be forwarded
     */
    public Proposal propose(long at, byte[] command, long timeout) {
        begin(at);
        byte[] content = new LogContent.DrainUpdate(command).encode();
        Proposal proposal = raft.forward(now, content, timeout);
        update();
        return proposal;
    }

    /**
     * Transfers leadership to another replica before this one stops. Returns false if this replica
     * does not lead or no other replica can take over.
     */
    public boolean transferLeadership(long at) {
        begin(at);
        boolean transferred = raft.transferLeadership(now);
        update();
        return transferred;
    }

    /**
     * Begins an event at an instant. The table in use is updated before anything else, because a
     * process that was stopped must not act on an outdated table.
     */
    private void begin(long at) {
        now = at;
        stateMachine.advanceTo(at);
        update();
    }

    // ---- updates after events ----

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
