package cedarrudder.coordination;

import cedarrudder.consensus.ConsensusEvent;
import cedarrudder.consensus.LogEntry;
import cedarrudder.consensus.LogPosition;
import cedarrudder.consensus.Proposal;
import cedarrudder.consensus.ProposalOutcome;
import cedarrudder.consensus.RaftNode;
import cedarrudder.consensus.StableStorage;
import cedarrudder.consensus.VoterGroup;
import cedarrudder.routetable.RouteTable;
import java.util.List;

/**
 * Applies the entries of the log to the route table and the drain state, and performs the other
 * actions of the Raft node.
 */
final class ReplicatedStateMachine implements RaftNode.Actions {

    private final ReplicaContext context;
    private final StableStorage storage;
    private final ActiveTable activeTable;
    private final DrainCoordination drainCoordination;
    private final CoordinatedReplica.Actions actions;
    private List<RouteTable.DrainingNode> drainingNodes = List.of();
    private long firstIndexOfTerm;
    private long now;

    ReplicatedStateMachine(
            ReplicaContext context,
            StableStorage storage,
            ActiveTable activeTable,
            DrainCoordination drainCoordination,
            CoordinatedReplica.Actions actions,
            long now) {
        this.context = context;
        this.storage = storage;
        this.activeTable = activeTable;
        this.drainCoordination = drainCoordination;
        this.actions = actions;
        this.now = now;
    }

    /** Sets the time at which entries are applied until the next call. */
    void advanceTo(long at) {
        now = at;
    }

    /** Returns the index of the first entry of the term that this replica leads. */
    long firstIndexOfTerm() {
        return firstIndexOfTerm;
    }

    @Override
    public void send(int to, byte[] datagram) {
        actions.send(to, datagram);
    }

    @Override
    public void apply(LogPosition position, byte[] bytes) {
        LogContent content = LogContent.decode(bytes);
        if (content instanceof LogContent.TableUpdate update) {
            onApplied(position.group(), newer(update.table()));
        } else if (content instanceof LogContent.DrainUpdate update) {
            drainCoordination.apply(now, update.command());
            onApplied(position.group(), activeTable.agreed());
        }
        actions.record(HistoryEventText.entryApplied(position, bytes, state()));
    }

    /**
     * Returns the newer of a table and the agreed one: a former leader's table may be committed
     * after a newer one, and then changes nothing.
     */
    private RouteTable newer(RouteTable table) {
        RouteTable agreed = activeTable.agreed();
        boolean isNewer = table != null && (agreed == null || table.number() > agreed.number());
        return isNewer ? table : agreed;
    }

    @Override
    public byte[] state() {
        return new ReplicatedState(activeTable.agreed(), drainCoordination.state()).encode();
    }

    @Override
    public void restore(LogPosition position, byte[] bytes) {
        ReplicatedState state = ReplicatedState.decode(bytes);
        if (state == null) {
            state = ReplicatedState.EMPTY; // written by a version whose format is unknown here
        }
        drainCoordination.restore(now, state.drainState());
        onApplied(position.group(), state.table());
        if (position.index() > 0) {
            actions.record(HistoryEventText.snapshotRestored(position, bytes, incarnation()));
        }
    }

    /**
     * Returns this replica's incarnation, also while the Raft node is still being constructed from
     * its storage.
     */
    private long incarnation() {
        return context.raft() == null
                ? storage.recovered().hardState().incarnation()
                : context.raft().incarnation();
    }

    @Override
    public void onProposalSettled(
            Proposal proposal, ProposalOutcome outcome, LogPosition position) {
        actions.onProposalSettled(proposal, outcome, position);
    }

    @Override
    public void record(ConsensusEvent event) {
        if (event instanceof ConsensusEvent.EntryStored stored && isOwnTermStart(stored)) {
            firstIndexOfTerm = stored.index();
        }
        actions.record(HistoryEventText.of(event));
    }

    private boolean isOwnTermStart(ConsensusEvent.EntryStored stored) {
        return stored.entry().kind() == LogEntry.Kind.TERM_START
                && stored.by().replica() == context.self()
                && stored.entry().term() == context.raft().term()
                && context.raft().isLeader();
    }

    private void onApplied(VoterGroup group, RouteTable table) {
        activeTable.onApplied(group, table);
        List<RouteTable.DrainingNode> nodes = drainCoordination.drainingNodes();
        if (!nodes.equals(drainingNodes)) {
            drainingNodes = nodes;
            actions.record(HistoryEventText.nodesDraining(nodes));
            actions.onDrainingNodes(nodes);
        }
    }
}
