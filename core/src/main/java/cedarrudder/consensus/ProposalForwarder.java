package cedarrudder.consensus;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;

/**
 * Forwards this replica's proposals to the leader that it knows, one after another. A proposal is
 * forwarded again when the leader changes or no response arrives, until this replica has applied
 * its outcome.
 */
final class ProposalForwarder {

    static final int MAX_PENDING = 16;

    /**
     * The time after which a proposal is forwarded again if the leader has not accepted it, in
     * nanoseconds.
     */
    private static final long RESEND_IF_NOT_ACCEPTED = 300_000_000L;

    /**
     * The time after which a proposal is forwarded again if the leader has accepted it, in
     * nanoseconds: the leader may have lost leadership without its successor being known yet.
     */
    private static final long RESEND_IF_ACCEPTED = 1_000_000_000L;

    private static final class PendingProposal {
        final Proposal proposal;
        final long expiresAt;

        /** True if a leader may have received the proposal. */
        boolean forwarded;

        PendingProposal(Proposal proposal, long expiresAt, boolean forwarded) {
            this.proposal = proposal;
            this.expiresAt = expiresAt;
            this.forwarded = forwarded;
        }
    }

    private final RaftContext context;
    private final RaftNode.Actions actions;
    private final Deque<PendingProposal> pending = new ArrayDeque<>();
    private long incarnation;
    private long sequence;
    private int forwardedTo = -1;
    private long forwardedTerm;
    private long resendAt;

    /**
     * Creates a forwarder without pending proposals.
     *
     * @param sequence the number before the first sequence number; a process that starts with an
     *     incarnation that was used before needs other sequence numbers
     */
    ProposalForwarder(
            RaftContext context, RaftNode.Actions actions, long incarnation, long sequence) {
        this.context = context;
        this.actions = actions;
        this.incarnation = incarnation;
        this.sequence = sequence;
    }

    /** Resets the leader that was forwarded to, because it does not lead the newly joined group. */
    void reset() {
        forwardedTo = -1;
    }

    /** Adds a new proposal; returns null if too many are pending. */
    Proposal add(long now, LogPosition appliedPosition, byte[] content, long patience) {
        if (pending.size() >= MAX_PENDING) {
            return null;
        }
        Proposal created =
                new Proposal(
                        context.self().replica(),
                        incarnation,
                        ++sequence,
                        appliedPosition,
                        content.clone());
        pending.add(new PendingProposal(created, now + patience, false));
        return created;
    }

    /** Adds a proposal again; returns false if too many are pending, or it still is. */
    boolean addAgain(long now, Proposal proposal, long patience) {
        if (pending.size() >= MAX_PENDING
                || pending.stream().anyMatch(each -> each.proposal.isSame(proposal))) {
            return false;
        }
        pending.add(new PendingProposal(proposal, now + patience, true));
        return true;
    }

    long due() {
        long due = Long.MAX_VALUE;
        for (PendingProposal each : pending) {
            due = Math.min(due, each.expiresAt);
        }
        return pending.isEmpty() || context.leader() < 0 ? due : Math.min(due, resendAt);
    }

    void tick(long now) {
        for (Iterator<PendingProposal> all = pending.iterator(); all.hasNext(); ) {
            PendingProposal each = all.next();
            if (now >= each.expiresAt) {
                forwardedTo = each == pending.peek() ? -1 : forwardedTo;
                all.remove();
                settle(each, null);
            }
        }
        int leader = context.leader();
        if (pending.isEmpty()
                || leader < 0
                || leader == forwardedTo && context.term() == forwardedTerm && now < resendAt) {
            return;
        }
        PendingProposal first = pending.peek();
        forwardedTo = leader;
        forwardedTerm = context.term();
        resendAt = now + RESEND_IF_NOT_ACCEPTED;
        if (leader == context.self().replica()) {
            first.forwarded |= context.acceptProposal(now, first.proposal);
        } else {
            first.forwarded = true;
            context.send(leader, new RaftMessage.ForwardProposal(first.proposal));
        }
    }

    private void settle(PendingProposal own, LogPosition position) {
        actions.onProposalSettled(
                own.proposal,
                position != null
                        ? ProposalOutcome.COMMITTED
                        : own.forwarded ? ProposalOutcome.UNKNOWN : ProposalOutcome.NOT_TAKEN,
                position);
    }

    /** Handles the leader's message that it has a proposal or knows its outcome. */
    void onAccepted(long now, int from, RaftMessage.ProposalAccepted accepted) {
        PendingProposal first = pending.peek();
        if (first != null
                && from == forwardedTo
                && first.proposal.incarnation() == accepted.incarnation()
                && first.proposal.sequence() == accepted.sequence()) {
            resendAt = now + RESEND_IF_ACCEPTED;
        }
    }

    /**
     * Settles the pending proposals whose outcome follows from the last proposal of this replica
     * that took effect.
     */
    void onApplied(AppliedProposals.Last last) {
        while (last != null && !pending.isEmpty()) {
            PendingProposal first = pending.peek();
            Proposal own = first.proposal;
            boolean committed =
                    last.incarnation() == own.incarnation() && last.sequence() == own.sequence();
            boolean earlier = last.incarnation() > own.incarnation();
            if (!committed
                    && !earlier
                    && (last.incarnation() < own.incarnation()
                            || last.sequence() < own.sequence())) {
                return;
            }
            pending.remove();
            forwardedTo = -1;
            if (earlier) {
                // An earlier process had a higher incarnation: new proposals get one above it.
                incarnation = Math.max(incarnation, last.incarnation() + 1);
            }
            settle(first, committed ? last.position() : null);
        }
    }
}
