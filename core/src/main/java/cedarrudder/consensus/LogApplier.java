package cedarrudder.consensus;

/**
 * Applies each committed entry to the replica's state once, and creates and installs snapshots
 * (Raft paper, sections 5.3 and 7).
 */
final class LogApplier {

    private final RaftContext context;
    private final ConsensusSettings settings;
    private final SafetyRules rules;
    private final RaftNode.Actions actions;
    private final ProposalForwarder forwarder;
    private AppliedProposals proposals = new AppliedProposals();
    private long applied;

    LogApplier(
            RaftContext context,
            ConsensusSettings settings,
            SafetyRules rules,
            RaftNode.Actions actions,
            ProposalForwarder forwarder) {
        this.context = context;
        this.settings = settings;
        this.rules = rules;
        this.actions = actions;
        this.forwarder = forwarder;
    }

    /** Returns the index of the entry that was applied last. */
    long applied() {
        return applied;
    }

    /**
     * Returns the position of the entry that was applied last, by itself or as part of a snapshot.
     */
    LogPosition position() {
        return new LogPosition(context.group(), applied);
    }

    /**
     * Returns whether a forwarded proposal may take effect: only one that has not taken effect yet.
     */
    boolean mayTakeEffect(Proposal proposal) {
        return rules.mayTakeEffect(proposals.isNew(proposal));
    }

    /**
     * Restores the state that was read from the storage.
     *
     * @throws IllegalArgumentException if its snapshot can't be decoded
     */
    void restore(Snapshot snapshot) {
        AppliedProposals.Parts parts = AppliedProposals.decode(snapshot.state());
        if (parts == null) {
            throw new IllegalArgumentException("storage: its snapshot is malformed");
        }
        restore(parts);
    }

    private void restore(AppliedProposals.Parts parts) {
        applied = context.log().commitIndex();
        proposals = parts.appliedProposals();
        actions.restore(position(), parts.state());
    }

    /**
     * Replaces the state by that of a snapshot that the log has installed and that is known to be
     * well formed.
     */
    void install(Snapshot snapshot) {
        restore(AppliedProposals.decode(snapshot.state()));
    }

    /**
     * Records that no entry of a newly joined group is applied yet. The state that was applied
     * before is retained.
     */
    void reset() {
        applied = 0;
    }

    /**
     * Applies all committed entries, and compacts the log if it has grown.
     *
     * @param votersListener is notified of each committed change of the voters
     */
    void applyCommitted(VotersListener votersListener) {
        RaftLog log = context.log();
        while (applied < log.commitIndex()) {
            applied++;
            LogEntry entry = log.entry(applied);
            switch (entry.kind()) {
                case CONTENT -> actions.apply(position(), entry.bytes());
                case FORWARDED -> applyForwarded(Proposal.decode(entry.bytes()));
                case VOTERS -> votersListener.onVoters(applied, VoterSet.decode(entry.bytes()));
                case TERM_START -> {}
            }
        }
        if (log.commitIndex() - log.snapshot().index() >= 2L * settings.retainedEntries()) {
            log.compact(encodeState(), settings.retainedEntries());
        }
    }

    /** Is notified of committed changes of the voters. */
    interface VotersListener {
        void onVoters(long index, VoterSet voters);
    }

    /**
     * Applies a forwarded proposal unless it already took effect: leaders may have appended it to
     * the log more than once.
     */
    private void applyForwarded(Proposal proposal) {
        if (mayTakeEffect(proposal)) {
            proposals.onApplied(proposal, position());
            actions.apply(position(), proposal.content());
        }
        settleOwn();
    }

    /** Settles this replica's own proposals whose outcome is known by now. */
    void settleOwn() {
        forwarder.onApplied(proposals.last(context.self().replica()));
    }

    /**
     * Returns the replica's state with the proposals that took effect, as the contents of a
     * snapshot.
     */
    byte[] encodeState() {
        byte[] state = actions.state();
        if (state.length > RaftNode.MAX_STATE) {
            throw new IllegalStateException(
                    "state: found "
                            + state.length
                            + " bytes; allowed: up to "
                            + RaftNode.MAX_STATE);
        }
        return proposals.encodeWith(state);
    }
}
