package cedarrudder.membership;

import cedarrudder.membership.SwimMessage.MemberUpdate;
import java.util.ArrayList;
import java.util.List;

/** The updates that one message carries: as many as fit, and at most one per instance. */
final class GossipMessage {

    /** Size of the longest update: instance, incarnation, accuser. */
    private static final int MAX_UPDATE_BYTES = 3 + 10 + 3;

    private final long senderIncarnation;
    private final List<MemberUpdate> updates = new ArrayList<>();
    private int bytesLeft;

    /**
     * Creates an empty list of updates.
     *
     * @param senderIncarnation the sender's incarnation, on which the encoded size of updates
     *     depends
     * @param capacity in bytes
     */
    GossipMessage(long senderIncarnation, int capacity) {
        this.senderIncarnation = senderIncarnation;
        this.bytesLeft = capacity;
    }

    /** Adds an update if it fits and its instance has none yet; returns whether it was added. */
    boolean add(MemberUpdate update) {
        int size = SwimCodec.size(update, senderIncarnation);
        if (size > bytesLeft || contains(update.member().number())) {
            return false;
        }
        bytesLeft -= size;
        updates.add(update);
        return true;
    }

    private boolean contains(int number) {
        return updates.stream().anyMatch(update -> update.member().number() == number);
    }

    /** Returns whether the remaining capacity might be too small for a further update. */
    boolean isFull() {
        return bytesLeft < MAX_UPDATE_BYTES;
    }

    List<MemberUpdate> updates() {
        return updates;
    }
}
