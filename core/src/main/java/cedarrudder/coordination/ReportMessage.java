package cedarrudder.coordination;

import cedarrudder.consensus.VoterGroup;
import cedarrudder.footprint.RouteTableCapacity;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32C;

/**
 * What replicas tell one another beside the log, in datagrams of at most {@value #MAX_BYTES} bytes:
 * a first byte that no message of membership or agreement begins with, the kind, the sender (2) and
 * its life (8), the fields, and a checksum (CRC32C, 4) of all before it. Big-endian.
 */
sealed interface ReportMessage {

    /** The first byte of all of them. */
    byte FIRST = (byte) 0xa7;

    int MAX_BYTES = 224;

    /** No instant: clocks may say 0, and less. */
    long NEVER = Long.MIN_VALUE;

    int HEAD = 12;
    int SUM = 4;

    /** What a part is of. */
    enum ReportKind {
        SHARES,
        REMOVAL
    }

    /** Of one subject. */
    record Part(ReportKind kind, byte[] bytes) {}

    /** Who sent it, in which of its lives. */
    record Sealed(int sender, long incarnation, ReportMessage letter) {}

    /**
     * A replica says how it is, and asks the one that leads whether its table still holds.
     *
     * @param asks whether it wants an answer; of several datagrams of one report only the first
     *     does
     * @param number its own, which only rises in the sender's life
     * @param term in which the sender is
     * @param heardAt the instant in the newest grant that it had of the leader of that group and
     *     term, or {@link #NEVER}
     * @param table the number of the table that it has, or 0
     * @param highest the highest number of a table that it ever had
     */
    record Report(
            boolean asks,
            long number,
            VoterGroup group,
            long term,
            long heardAt,
            long table,
            long highest,
            RouteTableCapacity room,
            List<Part> parts)
            implements ReportMessage {
        public Report {
            parts = List.copyOf(parts);
        }
    }

    /**
     * The answer of the one that leads.
     *
     * @param incarnation that of the one that asked
     * @param asked the number of its report
     * @param at the instant of the answer, on the leader's clock: to be said back to it
     * @param age how long before that a majority was certainly with it; -1 where it does not know
     * @param table the number of what is agreed on, or 0
     * @param last the highest number of a report of that life: the next must be higher
     */
    record Grant(
            long incarnation,
            long asked,
            VoterGroup group,
            long term,
            long at,
            long age,
            long table,
            long last)
            implements ReportMessage {}

    default byte[] encode(int sender, long incarnation) {
        ByteBuffer out = ByteBuffer.allocate(MAX_BYTES);
        out.put(FIRST);
        if (this instanceof Report m) {
            out.put((byte) (m.asks ? 1 : 0))
                    .putShort((short) sender)
                    .putLong(incarnation)
                    .putLong(m.number);
            put(out, m.group);
            out.putLong(m.term).putLong(m.heardAt).putLong(m.table).putLong(m.highest);
            m.room.put(out);
            for (Part part : m.parts) {
                out.put((byte) part.kind.ordinal()).put((byte) part.bytes.length).put(part.bytes);
            }
        } else if (this instanceof Grant m) {
            out.put((byte) 2)
                    .putShort((short) sender)
                    .putLong(incarnation)
                    .putLong(m.incarnation)
                    .putLong(m.asked);
            put(out, m.group);
            out.putLong(m.term).putLong(m.at).putLong(m.age).putLong(m.table).putLong(m.last);
        }
        out.putInt(sum(out.array(), out.position()));
        byte[] bytes = new byte[out.position()];
        out.flip().get(bytes);
        return bytes;
    }

    /** Reads a datagram; null where the bytes are none. Whatever they are it throws nothing. */
    static Sealed decode(byte[] bytes, int replicas) {
        if (bytes.length < HEAD + SUM || bytes.length > MAX_BYTES || bytes[0] != FIRST) {
            return null;
        }
        int length = bytes.length - SUM;
        ByteBuffer in = ByteBuffer.wrap(bytes, 0, length);
        if (ByteBuffer.wrap(bytes).getInt(length) != sum(bytes, length)) {
            return null;
        }
        try {
            in.get();
            int kind = in.get();
            int sender = in.getShort() & 0xffff;
            long incarnation = in.getLong();
            ReportMessage letter =
                    switch (kind) {
                        case 0, 1 ->
                                new Report(
                                        kind == 1,
                                        in.getLong(),
                                        group(in),
                                        in.getLong(),
                                        in.getLong(),
                                        in.getLong(),
                                        in.getLong(),
                                        RouteTableCapacity.get(in),
                                        parts(in));
                        case 2 ->
                                new Grant(
                                        in.getLong(),
                                        in.getLong(),
                                        group(in),
                                        in.getLong(),
                                        in.getLong(),
                                        in.getLong(),
                                        in.getLong(),
                                        in.getLong());
                        default -> null;
                    };
            boolean good =
                    letter != null
                            && !in.hasRemaining()
                            && sender < replicas
                            && incarnation >= 0
                            && letter.plausible();
            return good ? new Sealed(sender, incarnation, letter) : null;
        } catch (BufferUnderflowException e) {
            return null;
        }
    }

    private boolean plausible() {
        if (this instanceof Report m) {
            return m.number >= 0
                    && m.number < Long.MAX_VALUE >> 1
                    && m.term >= 0
                    && m.table >= 0
                    && m.highest >= m.table
                    && m.highest < Long.MAX_VALUE >> 1
                    && m.parts.size() <= 2 * CoordinatedReplica.MAX_PARTS;
        } else if (this instanceof Grant m) {
            return m.term >= 0
                    && m.age >= -1
                    && m.age < Long.MAX_VALUE >> 2
                    && m.table >= 0
                    && m.last < Long.MAX_VALUE >> 1;
        }
        return false;
    }

    private static List<Part> parts(ByteBuffer in) {
        List<Part> parts = new ArrayList<>();
        while (in.hasRemaining()) {
            int of = in.get();
            int length = in.get() & 0xff;
            if (of < 0 || of >= ReportKind.values().length || length > in.remaining()) {
                throw new BufferUnderflowException();
            }
            byte[] bytes = new byte[length];
            in.get(bytes);
            parts.add(new Part(ReportKind.values()[of], bytes));
        }
        return parts;
    }

    private static void put(ByteBuffer out, VoterGroup group) {
        out.putInt(group.era()).putShort((short) group.founder()).putLong(group.incarnation());
    }

    private static VoterGroup group(ByteBuffer in) {
        return new VoterGroup(in.getInt(), in.getShort() & 0xffff, in.getLong());
    }

    private static int sum(byte[] bytes, int length) {
        CRC32C sum = new CRC32C();
        sum.update(bytes, 0, length);
        return (int) sum.getValue();
    }
}
