package cedarrudder.membership;

import cedarrudder.membership.SwimMessage.MemberUpdate;
import java.util.ArrayList;
import java.util.List;

/** The news that one message carries: as much as it has room for, and each instance once. */
final class GossipMessage {

    /** No piece is longer: instance, incarnation, accuser. */
    private static final int LONGEST_PIECE = 3 + 10 + 3;

    private final long incarnation;
    private final List<MemberUpdate> updates = new ArrayList<>();
    private int spaceLeft;

    /**
     * @param incarnation of the sender
     * @param room bytes
     */
    GossipMessage(long incarnation, int room) {
        this.incarnation = incarnation;
        this.spaceLeft = room;
    }

    /** Takes a piece that fits; whether it did. */
    boolean add(MemberUpdate piece) {
        int size = SwimMessage.size(piece, incarnation);
        for (MemberUpdate had : updates) {
            if (had.member().number() == piece.member().number()) {
                return false;
            }
        }
        if (size > spaceLeft) {
            return false;
        }
        spaceLeft -= size;
        updates.add(piece);
        return true;
    }

    /** Whether no further piece fits for certain. */
    boolean isFull() {
        return spaceLeft < LONGEST_PIECE;
    }

    List<MemberUpdate> updates() {
        return updates;
    }
}
