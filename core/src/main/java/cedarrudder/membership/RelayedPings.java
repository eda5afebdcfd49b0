package cedarrudder.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The pings that this instance sends on behalf of others (SWIM's ping-req). */
final class RelayedPings {

    /**
     * Maximum number of relayed pings at one time, which bounds the work that a flood of requests
     * can cause.
     */
    private static final int MAX_PINGS = 64;

    /**
     * After this fraction of the ack timeout without an answer from the target the requester gets a
     * nack (Lifeguard), which shows the requester that its own messages arrive.
     */
    private static final double NACK_DELAY_FRACTION = 0.8;

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

        /** Returns the instance that requested the ping. */
        int requester() {
            return requester;
        }

        /** Returns the sequence number that the requester chose. */
        int requesterSequence() {
            return requesterSequence;
        }

        /** Returns the pinged instance. */
        int target() {
            return target;
        }
    }

    private final Map<Integer, RelayedPing> bySequence = new HashMap<>();

    boolean isFull() {
        return bySequence.size() >= MAX_PINGS;
    }

    /** Adds a granted request, whose ping is sent with this instance's own sequence number. */
    void add(int sequence, SwimMessage request, long now, long ackTimeout) {
        long nackAt = now + (long) (ackTimeout * NACK_DELAY_FRACTION);
        bySequence.put(sequence, new RelayedPing(request, nackAt));
    }

    /** Removes and returns the ping that an ack answers; null if there is none. */
    RelayedPing acknowledge(SwimMessage ack) {
        RelayedPing ping = bySequence.get(ack.sequence());
        boolean answered = ping != null && ping.target == ack.from();
        return answered ? bySequence.remove(ack.sequence()) : null;
    }

    /** Returns when the next nack is due; {@link Long#MAX_VALUE} if none is. */
    long nextNackAt() {
        long next = Long.MAX_VALUE;
        for (RelayedPing ping : bySequence.values()) {
            next = ping.nacked ? next : Math.min(next, ping.nackAt);
        }
        return next;
    }

    /** Returns the pings whose requesters are to be sent a nack now, each of them once. */
    List<RelayedPing> pollDueNacks(long now) {
        List<RelayedPing> due = new ArrayList<>();
        for (RelayedPing ping : bySequence.values()) {
            if (!ping.nacked && now >= ping.nackAt) {
                ping.nacked = true;
                due.add(ping);
            }
        }
        return due;
    }

    /** Removes the pings whose requesters no longer wait for an ack. */
    void removeExpired(long now, long period) {
        bySequence.values().removeIf(ping -> ping.nacked && now >= ping.nackAt + period);
    }
}
