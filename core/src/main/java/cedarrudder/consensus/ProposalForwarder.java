package cedarrudder.consensus;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;

/**
 * What this replica proposes, whoever leads: handed to the leader that it knows, one after another,
 * and again where the leader changes or nothing comes back, until it has loaded what became of it.
 */
final class ProposalForwarder {

    static final int MAX_WAITING = 16;

    /** Until it is asked again, where the leader has not said that it has it. */
    private static final long RESEND_AFTER_SILENCE = 300_000_000L;

    /** The same where it has: it may have lost its lead without another being known yet. */
    private static final long RESEND_AFTER_ACCEPTED = 1_000_000_000L;

    private static final class Waiting {
        final Proposal proposal;
        final long until;

        /** Whether a leader may have it. */
        boolean handed;

        Waiting(Proposal proposal, long until, boolean handed) {
            this.proposal = proposal;
            this.until = until;
            this.handed = handed;
        }
    }

    private final RaftContext context;
    private final RaftNode.Actions actions;
    private final Deque<Waiting> waiting = new ArrayDeque<>();
    private long incarnation;
    private long sequence;
    private int askedOf = -1;
    private long askedTerm;
    private long askAt;

    /**
     * @param sequence after which it counts: a process that begins with a life that was there
     *     before needs others
     */
    ProposalForwarder(
            RaftContext context, RaftNode.Actions actions, long incarnation, long sequence) {
        this.context = context;
        this.actions = actions;
        this.incarnation = incarnation;
        this.sequence = sequence;
    }

    /** Another group: whoever was asked leads it no more. */
    void reset() {
        askedOf = -1;
    }

    /** Null where too many wait. */
    Proposal add(long now, LogPosition after, byte[] content, long patience) {
        if (waiting.size() >= MAX_WAITING) {
            return null;
        }
        Proposal made =
                new Proposal(
                        context.self().replica(), incarnation, ++sequence, after, content.clone());
        waiting.add(new Waiting(made, now + patience, false));
        return made;
    }

    /** The same once more; false where too many wait, or it waits. */
    boolean addAgain(long now, Proposal proposal, long patience) {
        if (waiting.size() >= MAX_WAITING
                || waiting.stream().anyMatch(each -> each.proposal.isSame(proposal))) {
            return false;
        }
        waiting.add(new Waiting(proposal, now + patience, true));
        return true;
    }

    long due() {
        long due = Long.MAX_VALUE;
        for (Waiting each : waiting) {
            due = Math.min(due, each.until);
        }
        return waiting.isEmpty() || context.leader() < 0 ? due : Math.min(due, askAt);
    }

    void tick(long now) {
        for (Iterator<Waiting> all = waiting.iterator(); all.hasNext(); ) {
            Waiting each = all.next();
            if (now >= each.until) {
                askedOf = each == waiting.peek() ? -1 : askedOf;
                all.remove();
                settle(each, null);
            }
        }
        int leader = context.leader();
        if (waiting.isEmpty()
                || leader < 0
                || leader == askedOf && context.term() == askedTerm && now < askAt) {
            return;
        }
        Waiting first = waiting.peek();
        askedOf = leader;
        askedTerm = context.term();
        askAt = now + RESEND_AFTER_SILENCE;
        if (leader == context.self().replica()) {
            first.handed |= context.acceptProposal(now, first.proposal);
        } else {
            first.handed = true;
            context.send(leader, new RaftMessage.ForwardProposal(first.proposal));
        }
    }

    private void settle(Waiting its, LogPosition number) {
        actions.onProposalSettled(
                its.proposal,
                number != null
                        ? ProposalOutcome.COMMITTED
                        : its.handed ? ProposalOutcome.UNKNOWN : ProposalOutcome.NOT_TAKEN,
                number);
    }

    /** The leader has one, or knows what became of it. */
    void onAccepted(long now, int from, RaftMessage.ProposalAccepted took) {
        Waiting first = waiting.peek();
        if (first != null
                && from == askedOf
                && first.proposal.incarnation() == took.incarnation()
                && first.proposal.sequence() == took.sequence()) {
            askAt = now + RESEND_AFTER_ACCEPTED;
        }
    }

    /** More was loaded: says what became of the first, where that is known. */
    void onApplied(AppliedProposals.Last last) {
        while (last != null && !waiting.isEmpty()) {
            Waiting first = waiting.peek();
            Proposal its = first.proposal;
            boolean committed =
                    last.incarnation() == its.incarnation() && last.sequence() == its.sequence();
            boolean earlier = last.incarnation() > its.incarnation();
            if (!committed
                    && !earlier
                    && (last.incarnation() < its.incarnation()
                            || last.sequence() < its.sequence())) {
                return;
            }
            waiting.remove();
            askedOf = -1;
            if (earlier) {
                // A process before this one had a larger life: what is made from here on goes
                // beyond it.
                incarnation = Math.max(incarnation, last.incarnation() + 1);
            }
            settle(first, committed ? last.position() : null);
        }
    }
}
