package cedarrudder.membership;

import cedarrudder.membership.SwimMessage.News;
import java.util.ArrayList;
import java.util.List;

/** The news that one message carries: as much as it has room for, and each instance once. */
final class GossipMessage {

    /** No piece is longer: instance, incarnation, accuser. */
    private static final int LONGEST_PIECE = 3 + 10 + 3;

    private final long incarnation;
    private final List<News> news = new ArrayList<>();
    private int room;

    /**
     * @param incarnation of the sender
     * @param room bytes
     */
    GossipMessage(long incarnation, int room) {
        this.incarnation = incarnation;
        this.room = room;
    }

    /** Takes a piece that fits; whether it did. */
    boolean add(News piece) {
        int size = SwimMessage.size(piece, incarnation);
        for (News had : news) {
            if (had.member().number() == piece.member().number()) {
                return false;
            }
        }
        if (size > room) {
            return false;
        }
        room -= size;
        news.add(piece);
        return true;
    }

    /** Whether no further piece fits for certain. */
    boolean full() {
        return room < LONGEST_PIECE;
    }

    List<News> news() {
        return news;
    }
}
