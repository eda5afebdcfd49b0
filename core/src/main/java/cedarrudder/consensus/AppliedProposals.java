package cedarrudder.consensus;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * What each replica's last proposal was that took effect: part of what replicas agree on, and the
 * same at all that loaded the same. A replica hands on one after another, so that the last one
 * tells of all before it. It remembers {@value #MAX} replicas; of one that it forgot, it takes only
 * what was made after it forgot.
 */
final class AppliedProposals {

    static final int MAX = 512;

    /** What it takes in a snapshot at most. */
    static final int MAX_BYTES = 2 + Proposal.NUMBER_BYTES + MAX * (18 + Proposal.NUMBER_BYTES);

    /**
     * One that took effect.
     *
     * @param number under which it did
     */
    record Last(long incarnation, long sequence, LogPosition number) {}

    /** What a snapshot holds: these, and the state of the replica. */
    record Parts(AppliedProposals appliedProposals, byte[] state) {}

    /** Those whose last one is oldest come first. */
    private final Map<Integer, Last> lastByReplica = new LinkedHashMap<>();

    private LogPosition forgotten = new LogPosition(VoterGroup.NONE, 0);

    /** The last one of a replica that took effect; null where none did or it was forgotten. */
    Last last(int replica) {
        return lastByReplica.get(replica);
    }

    /** Whether it has not taken effect, and none has that came after it. */
    boolean isNew(Proposal proposal) {
        Last last = lastByReplica.get(proposal.replica());
        return last == null
                ? proposal.after().compareTo(forgotten) >= 0
                : proposal.incarnation() > last.incarnation
                        || proposal.incarnation() == last.incarnation
                                && proposal.sequence() > last.sequence;
    }

    /** It takes effect. */
    void onApplied(Proposal proposal, LogPosition number) {
        lastByReplica.remove(proposal.replica());
        lastByReplica.put(
                proposal.replica(), new Last(proposal.incarnation(), proposal.sequence(), number));
        if (lastByReplica.size() > MAX) {
            forgotten = lastByReplica.remove(lastByReplica.keySet().iterator().next()).number;
        }
    }

    /** With the state of the replica, as a snapshot holds it. */
    byte[] encodeWith(byte[] state) {
        ByteBuffer out =
                ByteBuffer.allocate(
                        2
                                + Proposal.NUMBER_BYTES
                                + lastByReplica.size() * (18 + Proposal.NUMBER_BYTES)
                                + state.length);
        out.putShort((short) lastByReplica.size());
        Proposal.put(out, forgotten);
        lastByReplica.forEach(
                (replica, last) -> {
                    out.putShort(replica.shortValue())
                            .putLong(last.incarnation)
                            .putLong(last.sequence);
                    Proposal.put(out, last.number);
                });
        return out.put(state).array();
    }

    /** Reads what a snapshot holds; null where the bytes are none. */
    static Parts decode(byte[] bytes) {
        ByteBuffer in = ByteBuffer.wrap(bytes);
        AppliedProposals read = new AppliedProposals();
        try {
            int count = bytes.length == 0 ? 0 : in.getShort() & 0xffff;
            if (bytes.length > 0) {
                read.forgotten = Proposal.number(in);
            }
            for (int i = 0; i < count; i++) {
                int replica = in.getShort() & 0xffff;
                read.lastByReplica.put(
                        replica, new Last(in.getLong(), in.getLong(), Proposal.number(in)));
            }
            byte[] state = new byte[in.remaining()];
            in.get(state);
            return count > MAX || state.length > RaftNode.MAX_STATE ? null : new Parts(read, state);
        } catch (BufferUnderflowException e) {
            return null;
        }
    }
}
