package cedarrudder.membership;

import cedarrudder.encoding.Varint;
import cedarrudder.membership.Member.State;
import cedarrudder.membership.SwimMessage.Kind;
import cedarrudder.membership.SwimMessage.MemberUpdate;
import cedarrudder.membership.SwimMessage.Window;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.zip.CRC32C;

/**
 * Encodes and decodes {@link SwimMessage}s as datagrams of at most {@value #MAX_BYTES} bytes: the
 * platform's datagrams have up to 256, of which the rest is reserved for the authentication of the
 * sender.
 *
 * <p>The first byte is {@value #FIRST_BYTE}, which distinguishes membership from other protocols.
 * The second has the version in its high four bits, then whether a window follows, and the kind.
 * The sequence number, the sender, its incarnation and the subject follow, each as {@link Varint};
 * then the digest (4 bytes, big-endian) and the window, if there is one: its first instance, its
 * length and its bits. The updates fill the rest: for each the instance times four plus its state,
 * or plus 3 if it announced itself that it leaves; the difference of its incarnation from the
 * sender's, zigzag-encoded; and for a suspicion its accuser. The last four bytes are the CRC32C of
 * all preceding bytes, big-endian; without it a flipped bit could change an incarnation into one
 * that no instance ever had.
 */
final class SwimCodec {

    static final int MAX_BYTES = 224;

    private static final byte FIRST_BYTE = 1;
    private static final int VERSION = 2;
    private static final int VERSION_SHIFT = 4;
    private static final int LOW_BITS = 15;
    private static final int HAS_WINDOW = 4;
    private static final int KIND_BITS = 3;
    private static final int STATE_BITS = 2;
    private static final int STATE_MASK = 3;

    /** The code in place of a state for an instance that left. */
    private static final int LEFT = 3;

    private static final int HEADER_BYTES = 2;
    private static final int CHECKSUM_BYTES = Integer.BYTES;

    /**
     * Bytes of the longest varints of the sequence, the sender, its incarnation and the subject.
     */
    private static final int MAX_VARINT_BYTES = 5 + 3 + 9 + 3;

    /** Bytes of everything but the window and the updates. */
    private static final int MAX_OVERHEAD_BYTES =
            HEADER_BYTES + MAX_VARINT_BYTES + Integer.BYTES + CHECKSUM_BYTES;

    /** Bytes of the longest varints of a window's first instance and length. */
    private static final int MAX_WINDOW_HEADER_BYTES = 5;

    private static final State[] STATES = State.values();
    private static final Kind[] KINDS = Kind.values();

    private SwimCodec() {}

    // ---- writing ----

    /** Encodes a message. */
    static byte[] encode(SwimMessage message) {
        Window window = message.window();
        ByteBuffer out = ByteBuffer.allocate(MAX_BYTES);
        int windowBit = window == null ? 0 : HAS_WINDOW;
        out.put(FIRST_BYTE)
                .put((byte) (VERSION << VERSION_SHIFT | windowBit | message.kind().ordinal()));
        Varint.put(out, Integer.toUnsignedLong(message.sequence()));
        Varint.put(out, message.from());
        Varint.put(out, message.incarnation());
        Varint.put(out, message.subject());
        out.putInt(message.digest());
        if (window != null) {
            Varint.put(out, window.first());
            Varint.put(out, window.bits().length);
            out.put(window.bits());
        }
        for (MemberUpdate update : message.updates()) {
            putUpdate(out, update, message.incarnation());
        }
        out.putInt(checksum(out.array(), out.position()));
        return Arrays.copyOf(out.array(), out.position());
    }

    private static void putUpdate(ByteBuffer out, MemberUpdate update, long senderIncarnation) {
        Member member = update.member();
        int state = update.isLeave() ? LEFT : member.state().ordinal();
        Varint.put(out, (long) member.number() << STATE_BITS | state);
        Varint.put(out, Varint.zigZagEncode(member.incarnation() - senderIncarnation));
        if (member.state() == State.SUSPECT) {
            Varint.put(out, update.accuser());
        }
    }

    /** Returns the encoded size of an update in a message of a sender with this incarnation. */
    static int size(MemberUpdate update, long senderIncarnation) {
        Member member = update.member();
        return Varint.size((long) member.number() << STATE_BITS)
                + Varint.size(Varint.zigZagEncode(member.incarnation() - senderIncarnation))
                + (member.state() == State.SUSPECT ? Varint.size(update.accuser()) : 0);
    }

    /** Returns how many bytes are left for updates next to this window, which may be null. */
    static int gossipBytes(Window window) {
        int windowBytes = window == null ? 0 : MAX_WINDOW_HEADER_BYTES + window.bits().length;
        return MAX_BYTES - MAX_OVERHEAD_BYTES - windowBytes;
    }

    /** Returns the checksum of the first bytes of a message. */
    static int checksum(byte[] bytes, int length) {
        CRC32C checksum = new CRC32C();
        checksum.update(bytes, 0, length);
        return (int) checksum.getValue();
    }

    // ---- reading ----

    /**
     * Decodes a message; returns null if the bytes are no valid message, or if an instance's number
     * is out of range.
     */
    static SwimMessage decode(byte[] bytes, int instances) {
        if (!hasValidFrame(bytes)) {
            return null;
        }
        int length = bytes.length - CHECKSUM_BYTES - HEADER_BYTES;
        try {
            ByteBuffer body = ByteBuffer.wrap(bytes, HEADER_BYTES, length);
            return decodeBody(body, bytes[1], instances);
        } catch (BufferUnderflowException e) {
            return null; // truncated, or with a number that is not in its shortest encoding
        }
    }

    private static boolean hasValidFrame(byte[] bytes) {
        int end = bytes.length - CHECKSUM_BYTES;
        return end >= HEADER_BYTES
                && bytes.length <= MAX_BYTES
                && bytes[0] == FIRST_BYTE
                && bytes[1] >> VERSION_SHIFT == VERSION
                && (bytes[1] & LOW_BITS & ~HAS_WINDOW) < KINDS.length
                && ByteBuffer.wrap(bytes).getInt(end) == checksum(bytes, end);
    }

    private static SwimMessage decodeBody(ByteBuffer in, int head, int instances) {
        long sequence = Varint.get(in);
        long from = Varint.get(in);
        long incarnation = Varint.get(in);
        long subject = Varint.get(in);
        boolean valid =
                sequence >>> Integer.SIZE == 0
                        && isBelow(from, instances)
                        && isBelow(subject, instances)
                        && isPlausible(incarnation);
        if (!valid) {
            return null;
        }
        int digest = in.getInt();
        Window window = null;
        if ((head & HAS_WINDOW) != 0) {
            window = decodeWindow(in, instances);
            if (window == null) {
                return null;
            }
        }
        List<MemberUpdate> updates = new ArrayList<>();
        while (in.hasRemaining()) {
            MemberUpdate update = decodeUpdate(in, (int) from, incarnation, instances);
            if (update == null) {
                return null;
            }
            updates.add(update);
        }
        return new SwimMessage(
                KINDS[head & KIND_BITS],
                (int) sequence,
                (int) from,
                incarnation,
                (int) subject,
                digest,
                window,
                updates);
    }

    private static Window decodeWindow(ByteBuffer in, int instances) {
        long first = Varint.get(in);
        long length = Varint.get(in);
        boolean valid =
                isBelow(first, instances)
                        && first % Byte.SIZE == 0
                        && length >= 1
                        && length <= Window.MAX_BYTES
                        && first + Byte.SIZE * length <= instances + Byte.SIZE - 1;
        if (!valid) {
            return null;
        }
        Window window = new Window((int) first, new byte[(int) length]);
        in.get(window.bits());
        return window;
    }

    private static MemberUpdate decodeUpdate(
            ByteBuffer in, int from, long senderIncarnation, int instances) {
        long numberAndState = Varint.get(in);
        long difference = Varint.zigZagDecode(Varint.get(in));
        long incarnation = senderIncarnation + difference; // negative where it overflows
        long number = numberAndState >>> STATE_BITS;
        int code = (int) (numberAndState & STATE_MASK);
        State state = code == LEFT ? State.DEAD : STATES[code];
        long accuser = number;
        if (state == State.SUSPECT) {
            accuser = Varint.get(in);
        } else if (state == State.DEAD && code != LEFT) {
            accuser = from;
        }
        boolean declaresItselfDead = code != LEFT && state == State.DEAD && number == from;
        boolean valid =
                isBelow(number, instances)
                        && isBelow(accuser, instances)
                        && isPlausible(incarnation)
                        && !declaresItselfDead; // an instance announces its own end by LEFT alone
        if (!valid) {
            return null;
        }
        return new MemberUpdate(new Member((int) number, incarnation, state), (int) accuser);
    }

    private static boolean isBelow(long number, int bound) {
        return number >= 0 && number < bound;
    }

    private static boolean isPlausible(long incarnation) {
        return incarnation >= 0 && incarnation <= Member.MAX_INCARNATION;
    }
}
