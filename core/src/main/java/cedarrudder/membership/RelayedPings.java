package cedarrudder.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The pings that this instance sends on behalf of others (SWIM's ping-req). */
final class RelayedPings {

    /** At one time. This bounds the work that a flood of requests can cause. */
    private static final int MAX_PINGS = 64;

    /**
     * A requester hears after this share of the ack timeout that the target has not answered yet
     * (Lifeguard's nack), so that it knows that its own messages arrive.
     */
    private static final double NACK_SHARE = 0.8;

    /** A ping that another instance requested. */
    static final class RelayedPing {
        private final int requester;
        private final int requesterSequence;
        private final int target;
        private final long nackAt;
        private boolean nacked;

        private RelayedPing(SwimMessage request, long nackAt) {
            this.requester = request.from();
            this.requesterSequence = request.sequence();
            this.target = request.subject();
            this.nackAt = nackAt;
        }

        /** The instance that requested it. */
        int requester() {
            return requester;
        }

        /** The requester's own sequence number. */
        int requesterSequence() {
            return requesterSequence;
        }

        /** The instance that is pinged. */
        int target() {
            return target;
        }
    }

    private final Map<Integer, RelayedPing> bySequence = new HashMap<>();

    boolean isFull() {
        return bySequence.size() >= MAX_PINGS;
    }

    /** A request is granted: its ping goes out by this instance's own sequence number. */
    void add(int sequence, SwimMessage request, long now, long ackTimeout) {
        long nackAt = now + (long) (ackTimeout * NACK_SHARE);
        bySequence.put(sequence, new RelayedPing(request, nackAt));
    }

    /** The ping that an ack answers, which is then over; null where there is none. */
    RelayedPing acknowledge(SwimMessage ack) {
        RelayedPing ping = bySequence.get(ack.sequence());
        boolean answered = ping != null && ping.target == ack.from();
        return answered ? bySequence.remove(ack.sequence()) : null;
    }

    /** When the next nack is due; {@link Long#MAX_VALUE} where none is. */
    long nextNackAt() {
        long next = Long.MAX_VALUE;
        for (RelayedPing ping : bySequence.values()) {
            next = ping.nacked ? next : Math.min(next, ping.nackAt);
        }
        return next;
    }

    /** Takes the pings whose requesters are to be sent a nack now. */
    List<RelayedPing> takeDueNacks(long now) {
        List<RelayedPing> due = new ArrayList<>();
        for (RelayedPing ping : bySequence.values()) {
            if (!ping.nacked && now >= ping.nackAt) {
                ping.nacked = true;
                due.add(ping);
            }
        }
        return due;
    }

    /** Forgets the pings for whose acks no requester waits any more. */
    void removeExpired(long now, long period) {
        bySequence.values().removeIf(ping -> ping.nacked && now >= ping.nackAt + period);
    }
}
