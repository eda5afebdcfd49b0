package cedarrudder.membership;

import cedarrudder.membership.Member.Standing;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.zip.CRC32C;

/**
 * One message between instances, of at most {@value #MAX_BYTES} bytes: the platform's datagrams
 * hold 256, of which the rest is kept for what proves the sender.
 *
 * <p>Room (1 byte, {@value #UPDATE_BYTES}: membership); version in the high four bits, then whether
 * a window follows and the kind (1); question, sender, its incarnation and subject as {@link
 * Varint}; digest of the dead (4, big-endian); the window, where there is one: its first instance,
 * how many bytes, and those. Then the news up to the end, for each: instance times four plus
 * standing, or 3 where it said itself that it leaves; how far its incarnation is from the sender's,
 * folded; of a suspicion, who says so. The last four bytes are the CRC32C of all before them,
 * big-endian. Guards against a turned bit setting the number of a life to one that nobody ever had,
 * which all others then believe.
 *
 * @param sequence the answer carries the number of the question
 * @param from the sender
 * @param incarnation the sender's own
 * @param subject whom it is about: the one to be asked, or that was
 * @param digest of all whom the sender holds as dead
 * @param window some of these, by which the answer can tell what the sender lacks; null where it
 *     does not ask
 * @param updates what the sender passes on
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

    static final int MAX_BYTES = 224;

    private static final byte UPDATE_BYTES = 1;
    private static final int VERSION = 2;
    private static final int HAS_WINDOW = 4;
    private static final int KINDS = 4;

    /** Bytes of the checksum at the end. */
    private static final int CHECK = 4;

    /**
     * The longest head and the end: the first two, varints of at most 5, 3, 9 and 3 bytes, the
     * digest.
     */
    private static final int MAX_HEAD = 2 + 5 + 3 + 9 + 3 + 4 + CHECK;

    private static final int LEFT = 3;
    private static final Standing[] STANDINGS = Standing.values();

    /** What a message is for. */
    enum Kind {
        /** Asks for an answer. */
        PING,
        /** That answer, or one that was asked for on behalf of another. */
        ACK,
        /** Asks to ask another. */
        PING_FOR,
        /** That other has not answered yet; the one that tells so is well. */
        NACK
    }

    /**
     * What is said of an instance, and who says so: of the suspected the one that said it first, of
     * the dead the instance itself where it left or else the sender, of the live the instance
     * itself.
     */
    record MemberUpdate(Member member, int accuser) {

        private int code() {
            boolean left = member.standing() == Standing.DEAD && accuser == member.number();
            return left ? LEFT : member.standing().ordinal();
        }
    }

    /**
     * Who of some instances is held as dead.
     *
     * @param first the first of them; a multiple of eight
     * @param bits one for each of them, the lowest of a byte first; 1 for the dead
     */
    record Window(int first, byte[] bits) {

        static final int MAX_BITS = 8 * 128;

        boolean dead(int number) {
            int at = number - first;
            return (bits[at >> 3] >> (at & 7) & 1) != 0;
        }

        /** After the last of them. */
        int end(int instances) {
            return Math.min(instances, first + 8 * bits.length);
        }
    }

    byte[] encode() {
        ByteBuffer out = ByteBuffer.allocate(MAX_BYTES);
        out.put(UPDATE_BYTES)
                .put((byte) (VERSION << 4 | (window == null ? 0 : HAS_WINDOW) | kind.ordinal()));
        Varint.put(out, sequence & 0xffffffffL);
        Varint.put(out, from);
        Varint.put(out, incarnation);
        Varint.put(out, subject);
        out.putInt(digest);
        if (window != null) {
            Varint.put(out, window.first());
            Varint.put(out, window.bits().length);
            out.put(window.bits());
        }
        for (MemberUpdate piece : updates) {
            Member member = piece.member();
            Varint.put(out, (long) member.number() << 2 | piece.code());
            Varint.put(out, Varint.zigZagEncode(member.incarnation() - incarnation));
            if (member.standing() == Standing.SUSPECT) {
                Varint.put(out, piece.accuser());
            }
        }
        out.putInt(checksum(out.array(), out.position()));
        return Arrays.copyOf(out.array(), out.position());
    }

    /** What the end of a message says of the bytes before it. */
    static int checksum(byte[] bytes, int length) {
        CRC32C sum = new CRC32C();
        sum.update(bytes, 0, length);
        return (int) sum.getValue();
    }

    /** How many bytes a piece takes in a message of a sender with this incarnation. */
    static int size(MemberUpdate piece, long incarnation) {
        Member member = piece.member();
        return Varint.size((long) member.number() << 2)
                + Varint.size(Varint.zigZagEncode(member.incarnation() - incarnation))
                + (member.standing() == Standing.SUSPECT ? Varint.size(piece.accuser()) : 0);
    }

    /** How many bytes are left for news beside this window. */
    static int room(Window window) {
        return MAX_BYTES - MAX_HEAD - (window == null ? 0 : 5 + window.bits().length);
    }

    /** Reads a message; null where the bytes are none, or name an instance that can't be. */
    static SwimMessage decode(byte[] bytes, int instances) {
        int end = bytes.length - CHECK;
        if (end < 2
                || bytes.length > MAX_BYTES
                || bytes[0] != UPDATE_BYTES
                || bytes[1] >> 4 != VERSION
                || (bytes[1] & 15 & ~HAS_WINDOW) >= KINDS
                || ByteBuffer.wrap(bytes).getInt(end) != checksum(bytes, end)) {
            return null;
        }
        try {
            return decode(ByteBuffer.wrap(bytes, 2, end - 2), bytes[1], instances);
        } catch (BufferUnderflowException e) {
            return null; // it ends too soon, or has a number in another form
        }
    }

    private static SwimMessage decode(ByteBuffer in, int head, int instances) {
        long question = Varint.get(in);
        long from = Varint.get(in);
        long incarnation = Varint.get(in);
        long subject = Varint.get(in);
        if (question >>> 32 != 0
                || !below(from, instances)
                || !below(subject, instances)
                || !isPlausible(incarnation)) {
            return null;
        }
        int digest = in.getInt();
        Window window = null;
        if ((head & HAS_WINDOW) != 0) {
            long first = Varint.get(in);
            long length = Varint.get(in);
            if (!below(first, instances)
                    || first % 8 != 0
                    || length < 1
                    || length > Window.MAX_BITS / 8
                    || first + 8 * length > instances + 7) {
                return null;
            }
            window = new Window((int) first, new byte[(int) length]);
            in.get(window.bits());
        }
        List<MemberUpdate> news = new ArrayList<>();
        while (in.hasRemaining()) {
            long what = Varint.get(in);
            long life =
                    incarnation
                            + Varint.zigZagDecode(
                                    Varint.get(in)); // past the largest it is negative
            int code = (int) (what & 3);
            Standing standing = code == LEFT ? Standing.DEAD : STANDINGS[code];
            long accuser =
                    standing == Standing.SUSPECT
                            ? Varint.get(in)
                            : code == Standing.DEAD.ordinal() ? from : what >>> 2;
            if (!below(what >>> 2, instances)
                    || !below(accuser, instances)
                    || !isPlausible(life)
                    || code != LEFT && standing == Standing.DEAD && what >>> 2 == from) {
                return null; // the last: of itself one says that it left
            }
            news.add(
                    new MemberUpdate(
                            new Member((int) (what >>> 2), life, standing), (int) accuser));
        }
        return new SwimMessage(
                Kind.values()[head & 3],
                (int) question,
                (int) from,
                incarnation,
                (int) subject,
                digest,
                window,
                news);
    }

    private static boolean below(long number, int bound) {
        return number >= 0 && number < bound;
    }

    private static boolean isPlausible(long incarnation) {
        return incarnation >= 0 && incarnation <= Member.MAX_INCARNATION;
    }
}
