package cedarrudder.coordination;

import cedarrudder.consensus.LogPosition;
import cedarrudder.consensus.RaftNode;
import cedarrudder.consensus.VoterGroup;
import cedarrudder.footprint.RouteTableCapacity;
import cedarrudder.footprint.RouteTableFootprint;
import cedarrudder.routetable.RouteTable;
import cedarrudder.routetable.RouteTableDelta;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

/**
 * Plans and proposes, at the leader, once per period: the next command of {@link DrainCoordination}
 * if one is due, otherwise a route table if the planned one differs from the agreed one. Only one
 * proposal is open at a time.
 */
final class LeaderPlanner {

    /** The largest table that fits into an entry of the log. */
    private static final RouteTableCapacity LOG_CAPACITY =
            new RouteTableCapacity(
                    RaftNode.MAX_CONTENT - LogContent.HEADER_BYTES,
                    RouteTable.MAX_DRAINING,
                    Integer.MAX_VALUE);

    /** The number of periods after which a proposal that is not applied is considered lost. */
    private static final int PROPOSAL_TIMEOUT_PERIODS = 10;

    private final ReplicaContext context;
    private final CoordinationSettings settings;
    private final TrafficCoordination trafficCoordination;
    private final DrainCoordination drainCoordination;
    private final ActiveTable activeTable;
    private final ReportCollector reports;
    private final TierView tier;
    private final Supplier<RouteTableCapacity> capacity;

    private long nextPlanAt;
    private LogPosition openProposal;
    private long proposedAt;
    private RouteTable heldBackTable;

    LeaderPlanner(ReplicaParts parts, TierView tier) {
        this.context = parts.context();
        this.settings = parts.settings();
        this.trafficCoordination = parts.trafficCoordination();
        this.drainCoordination = parts.drainCoordination();
        this.activeTable = parts.activeTable();
        this.reports = parts.collector();
        this.capacity = parts.capacity();
        this.tier = tier;
    }

    /** Returns when the next plan is due. */
    long nextPlanAt() {
        return nextPlanAt;
    }

    /**
     * Handles the start or end of this replica's leadership: no proposal is open any more, and the
     * next plan is due at once.
     */
    void onLeadershipChanged(long now) {
        nextPlanAt = now;
        openProposal = null;
    }

    /** Plans and proposes if a period has passed. */
    void tick(long now) {
        if (now < nextPlanAt) {
            return;
        }
        nextPlanAt = now + settings.period();
        if (context.hasCommittedInTerm() && !isProposalOpen(now)) {
            plan(now);
        }
    }

    private boolean isProposalOpen(long now) {
        return openProposal != null
                && context.raft().appliedPosition().compareTo(openProposal) < 0
                && now - proposedAt < PROPOSAL_TIMEOUT_PERIODS * settings.period();
    }

    private void plan(long now) {
        openProposal = null;
        byte[] command = drainCoordination.nextCommand(now, tier);
        if (command != null) {
            propose(now, new LogContent.DrainUpdate(command));
            return;
        }
        RouteTable table = nextTable(now);
        if (!isSameAsAgreed(table) && fitsEverywhere(now, table)) {
            propose(now, new LogContent.TableUpdate(table));
        }
    }

    private void propose(long now, LogContent content) {
        openProposal = context.raft().propose(now, content.encode());
        proposedAt = now;
    }

    private RouteTable nextTable(long now) {
        VoterGroup group = context.raft().group();
        return new RouteTable(
                nextNumber(group),
                TableNumbering.groupNumber(group),
                context.raft().term(),
                settings.lease(),
                trafficCoordination.plan(now, tier),
                drainCoordination.drainingNodes(),
                List.of());
    }

    private long nextNumber(VoterGroup group) {
        long highest = Math.max(activeTable.highestNumber(), reports.highestTable());
        highest = Math.max(highest, activeTable.agreedNumber());
        return Math.max(highest, TableNumbering.base(group)) + 1;
    }

    private boolean isSameAsAgreed(RouteTable table) {
        RouteTable agreed = activeTable.agreed();
        return agreed != null
                && agreed.group() == table.group()
                && agreed.lease() == table.lease()
                && RouteTableDelta.between(agreed, table).isEmpty();
    }

    /**
     * Returns whether a table fits into the log and into the memory of each live replica that
     * reported recently.
     */
    private boolean fitsEverywhere(long now, RouteTable table) {
        Map<Integer, RouteTableCapacity> capacities = liveCapacities(now);
        Integer limitedBy = RouteTableCapacity.limitingReplica(table, capacities);
        if (limitedBy == null) {
            heldBackTable = null;
        } else if (heldBackTable == null
                || !RouteTableDelta.between(heldBackTable, table).isEmpty()) {
            heldBackTable = table;
            context.record(
                    HistoryEventText.tableHeldBack(
                            limitedBy,
                            RouteTableFootprint.bytes(table),
                            table.draining().size(),
                            capacities.get(limitedBy)));
        }
        return limitedBy == null;
    }

    private Map<Integer, RouteTableCapacity> liveCapacities(long now) {
        Map<Integer, RouteTableCapacity> capacities = new HashMap<>();
        for (int replica = 0; replica < tier.replicas(); replica++) {
            if (replica == context.self()) {
                capacities.put(replica, capacity.get().min(LOG_CAPACITY));
            } else if (tier.isAlive(replica) && reports.hasReportedLately(replica, now)) {
                capacities.put(replica, reports.capacity(replica));
            }
        }
        return capacities;
    }
}
