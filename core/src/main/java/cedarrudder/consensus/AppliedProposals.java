package cedarrudder.consensus;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The last proposal of each replica that took effect. This is part of the replicated state, so it
 * is the same at all replicas that applied the same entries. A replica forwards its proposals one
 * after another, so the last one also accounts for all before it. At most {@value #MAX} replicas
 * are remembered; of a replica that was evicted, only proposals created after the eviction are
 * accepted.
 */
final class AppliedProposals {

    static final int MAX = 512;

    /** The maximum size of this part of a snapshot, in bytes. */
    static final int MAX_BYTES = 2 + Proposal.POSITION_BYTES + MAX * (18 + Proposal.POSITION_BYTES);

    /**
     * A proposal that took effect.
     *
     * @param position the position at which it took effect
     */
    record Last(long incarnation, long sequence, LogPosition position) {}

    /** The contents of a snapshot: the applied proposals and the replica's state. */
    record Parts(AppliedProposals appliedProposals, byte[] state) {}

    /** The last proposal by replica, the oldest first. */
    private final Map<Integer, Last> lastByReplica = new LinkedHashMap<>();

    private LogPosition lastEvicted = new LogPosition(VoterGroup.NONE, 0);

    /**
     * Returns the last proposal of a replica that took effect, or null if none did or the replica
     * was evicted.
     */
    Last last(int replica) {
        return lastByReplica.get(replica);
    }

    /**
     * Returns whether neither this proposal nor a later one of the same replica has taken effect.
     */
    boolean isNew(Proposal proposal) {
        Last last = lastByReplica.get(proposal.replica());
        return last == null
                ? proposal.appliedPosition().compareTo(lastEvicted) >= 0
                : proposal.incarnation() > last.incarnation
                        || proposal.incarnation() == last.incarnation
                                && proposal.sequence() > last.sequence;
    }

    /** Records that a proposal takes effect. */
    void onApplied(Proposal proposal, LogPosition position) {
        lastByReplica.remove(proposal.replica());
        lastByReplica.put(
                proposal.replica(),
                new Last(proposal.incarnation(), proposal.sequence(), position));
        if (lastByReplica.size() > MAX) {
            lastEvicted = lastByReplica.remove(lastByReplica.keySet().iterator().next()).position;
        }
    }

    /** Encodes the applied proposals and the replica's state as the contents of a snapshot. */
    byte[] encodeWith(byte[] state) {
        ByteBuffer out =
                ByteBuffer.allocate(
                        2
                                + Proposal.POSITION_BYTES
                                + lastByReplica.size() * (18 + Proposal.POSITION_BYTES)
                                + state.length);
        out.putShort((short) lastByReplica.size());
        Proposal.putPosition(out, lastEvicted);
        lastByReplica.forEach(
                (replica, last) -> {
                    out.putShort(replica.shortValue())
                            .putLong(last.incarnation)
                            .putLong(last.sequence);
                    Proposal.putPosition(out, last.position);
                });
        return out.put(state).array();
    }

    /** Decodes the contents of a snapshot; returns null if the bytes are malformed. */
    static Parts decode(byte[] bytes) {
        ByteBuffer in = ByteBuffer.wrap(bytes);
        AppliedProposals decoded = new AppliedProposals();
        try {
            int count = bytes.length == 0 ? 0 : in.getShort() & 0xffff;
            if (bytes.length > 0) {
                decoded.lastEvicted = Proposal.readPosition(in);
            }
            for (int i = 0; i < count; i++) {
                int replica = in.getShort() & 0xffff;
                decoded.lastByReplica.put(
                        replica, new Last(in.getLong(), in.getLong(), Proposal.readPosition(in)));
            }
            byte[] state = new byte[in.remaining()];
            in.get(state);
            return count > MAX || state.length > RaftNode.MAX_STATE
                    ? null
                    : new Parts(decoded, state);
        } catch (BufferUnderflowException e) {
            return null;
        }
    }
}
