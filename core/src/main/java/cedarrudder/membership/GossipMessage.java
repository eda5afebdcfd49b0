package cedarrudder.membership;

import cedarrudder.membership.SwimMessage.MemberUpdate;
import java.util.ArrayList;
import java.util.List;

/** The updates that one message carries: as many as fit, and each instance once. */
final class GossipMessage {

    /** The longest update: instance, incarnation, accuser. */
    private static final int MAX_UPDATE_BYTES = 3 + 10 + 3;

    private final long senderIncarnation;
    private final List<MemberUpdate> updates = new ArrayList<>();
    private int bytesLeft;

    /**
     * No updates yet.
     *
     * @param senderIncarnation of the sender, which the size of updates depends on
     * @param capacity in bytes
     */
    GossipMessage(long senderIncarnation, int capacity) {
        this.senderIncarnation = senderIncarnation;
        this.bytesLeft = capacity;
    }

    /** Adds an update where it fits and its instance has none yet; whether it was added. */
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

    /** Whether it is not certain any more that a further update fits. */
    boolean isFull() {
        return bytesLeft < MAX_UPDATE_BYTES;
    }

    List<MemberUpdate> updates() {
        return updates;
    }
}
