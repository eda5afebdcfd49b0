package cedarrudder.membership;

import cedarrudder.membership.Member.State;
import java.util.List;

/**
 * One message between instances; {@link SwimCodec} encodes it as a datagram.
 *
 * @param sequence the ping's number, which its ack repeats
 * @param from the sender
 * @param incarnation the sender's incarnation
 * @param subject the instance that is or was pinged
 * @param digest the digest of the set of all instances that the sender counts as dead
 * @param window part of that set, from which the receiver of a ping finds the updates that the
 *     sender lacks; null if the sender does not ask for them
 * @param updates the gossip that the message carries
 */
record SwimMessage(
        Kind kind,
        int sequence,
        int from,
        long incarnation,
        int subject,
        int digest,
        Window window,
        List<MemberUpdate> updates) {

    /** The kind of a message, encoded by its ordinal. */
    enum Kind {
        /** Requests an ack. */
        PING,
        /** Answers a ping, or a request to ping another instance. */
        ACK,
        /** Requests a helper to ping the subject (SWIM's ping-req). */
        PING_REQUEST,
        /** Reports that the subject has not answered the helper yet (Lifeguard). */
        NACK
    }

    /**
     * A claim about an instance, and the instance that makes it.
     *
     * @param accuser for a suspected instance the first instance that suspected it; for a dead one
     *     the instance itself if it left, otherwise the sender; for a live one the instance itself
     */
    record MemberUpdate(Member member, int accuser) {

        /** Returns whether the instance announced itself that it leaves. */
        boolean isLeave() {
            return member.state() == State.DEAD && accuser == member.number();
        }
    }

    /**
     * Which instances of a range are known to be dead.
     *
     * @param first the first instance of the range; a multiple of eight
     * @param bits one bit per instance, the lowest bit of a byte first; 1 for dead
     */
    record Window(int first, byte[] bits) {

        static final int MAX_BYTES = 128;

        static final int MAX_BITS = Byte.SIZE * MAX_BYTES;

        boolean isDead(int number) {
            int bit = number - first;
            return (bits[bit / Byte.SIZE] >> bit % Byte.SIZE & 1) != 0;
        }

        /** Returns the number after the last instance of the range. */
        int end(int instances) {
            return Math.min(instances, first + Byte.SIZE * bits.length);
        }
    }
}
