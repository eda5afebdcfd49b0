package cedarrudder.membership;

import cedarrudder.membership.Member.State;
import java.util.List;

/**
 * One message between instances; {@link SwimCodec} writes it as a datagram.
 *
 * @param sequence the ping's number, which its ack repeats
 * @param from the sender
 * @param incarnation the sender's own
 * @param subject the instance that is pinged, or that was
 * @param digest of all instances that the sender holds dead
 * @param window some of these, by which the ack can tell what the sender lacks; null where it does
 *     not ask for that
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

    /** What a message is for; written by its ordinal. */
    enum Kind {
        /** Asks for an ack. */
        PING,
        /** Answers a ping, or a ping that was requested. */
        ACK,
        /** Asks a helper to ping the subject (SWIM's ping-req). */
        PING_REQUEST,
        /** The subject has not answered the helper yet (Lifeguard). */
        NACK
    }

    /**
     * What is said of an instance, and who says so.
     *
     * @param accuser of a suspected instance the one that suspected it first; of a dead one the
     *     instance itself where it left, otherwise the sender; of a live one the instance itself
     */
    record MemberUpdate(Member member, int accuser) {

        /** Whether the instance said itself that it leaves. */
        boolean isLeave() {
            return member.state() == State.DEAD && accuser == member.number();
        }
    }

    /**
     * Which of a range of instances are known as dead.
     *
     * @param first the first of them; a multiple of eight
     * @param bits one for each of them, the lowest of a byte first; 1 for the dead
     */
    record Window(int first, byte[] bits) {

        static final int MAX_BYTES = 128;

        static final int MAX_BITS = Byte.SIZE * MAX_BYTES;

        boolean isDead(int number) {
            int bit = number - first;
            return (bits[bit / Byte.SIZE] >> bit % Byte.SIZE & 1) != 0;
        }

        /** The number behind the last instance. */
        int end(int instances) {
            return Math.min(instances, first + Byte.SIZE * bits.length);
        }
    }
}
