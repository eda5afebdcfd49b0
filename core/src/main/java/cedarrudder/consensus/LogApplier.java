package cedarrudder.consensus;

/**
 * Applies committed entries to the replica's state, each once, and takes and installs snapshots
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

    /** The index of the entry that was applied last. */
    long applied() {
        return applied;
    }

    /** What was applied last, or the state that stands for it. */
    LogPosition position() {
        return new LogPosition(context.group(), applied);
    }

    /** Whether a forwarded proposal is to be committed: only one that did not take effect. */
    boolean mayTakeEffect(Proposal proposal) {
        return rules.mayTakeEffect(proposals.isNew(proposal));
    }

    /**
     * Begins with the state that the storage holds.
     *
     * @throws IllegalArgumentException where its snapshot can't be read
     */
    void restore(Snapshot snapshot) {
        AppliedProposals.Parts parts = AppliedProposals.decode(snapshot.state());
        if (parts == null) {
            throw new IllegalArgumentException("store: its snapshot is none");
        }
        restore(parts);
    }

    private void restore(AppliedProposals.Parts parts) {
        applied = context.log().commitIndex();
        proposals = parts.appliedProposals();
        actions.restore(position(), parts.state());
    }

    /** Takes the state of a snapshot that the log has installed, which can be read. */
    void install(Snapshot snapshot) {
        restore(AppliedProposals.decode(snapshot.state()));
    }

    /** Nothing of a group that was joined is applied yet; what was applied before stays. */
    void reset() {
        applied = 0;
    }

    /**
     * Applies all that is committed, and compacts the log where it has grown.
     *
     * @param votersChanged hears of each committed change of the voters
     */
    void applyCommitted(VotersListener votersChanged) {
        RaftLog log = context.log();
        while (applied < log.commitIndex()) {
            applied++;
            LogEntry entry = log.entry(applied);
            switch (entry.kind()) {
                case CONTENT -> actions.apply(position(), entry.bytes());
                case FORWARDED -> applyForwarded(Proposal.decode(entry.bytes()));
                case VOTERS -> votersChanged.onVoters(applied, VoterSet.decode(entry.bytes()));
                case TERM_START -> {}
            }
        }
        if (log.commitIndex() - log.snapshot().index() >= 2L * settings.retainedEntries()) {
            log.compact(encodeState(), settings.retainedEntries());
        }
    }

    /** Hears of changes of the voters. */
    interface VotersListener {
        void onVoters(long index, VoterSet voters);
    }

    /** A proposal takes effect once, however often leaders took it into the log. */
    private void applyForwarded(Proposal proposal) {
        if (mayTakeEffect(proposal)) {
            proposals.onApplied(proposal, position());
            actions.apply(position(), proposal.content());
        }
        settleOwn();
    }

    /** Settles this replica's own proposals by what took effect. */
    void settleOwn() {
        forwarder.onApplied(proposals.last(context.self().replica()));
    }

    /** The replica's state with the proposals that took effect. */
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
