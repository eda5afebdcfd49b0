package cedarrudder.coordination;

import cedarrudder.consensus.VoterGroup;
import cedarrudder.coordination.ReportMessage.Envelope;
import cedarrudder.coordination.ReportMessage.Grant;
import cedarrudder.coordination.ReportMessage.Part;
import cedarrudder.coordination.ReportMessage.Report;
import cedarrudder.coordination.ReportMessage.ReportKind;
import cedarrudder.footprint.RouteTableCapacity;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32C;

/**
 * Encodes and decodes {@link ReportMessage}s as datagrams of at most {@value #MAX_BYTES} bytes: a
 * first byte that no message of membership or of the log begins with, the kind, the sender (2
 * bytes) and its incarnation (8), the fields, and a checksum (CRC32C, 4) of all before it.
 * Big-endian.
 */
final class ReportCodec {

    /** The first byte of each datagram of this codec. */
    static final byte FIRST_BYTE = (byte) 0xa7;

    /** The maximum size of a datagram, in bytes. */
    static final int MAX_BYTES = 224;

    private static final int HEADER_BYTES = 12;
    private static final int CHECKSUM_BYTES = Integer.BYTES;

    private static final byte REPORT = 0;
    private static final byte REPORT_WANTING_GRANT = 1;
    private static final byte GRANT = 2;

    private static final int MAX_PARTS = 2 * CoordinatedReplica.MAX_PARTS;

    /** The bound of report and table numbers, so that counting on from them can't overflow. */
    private static final long MAX_NUMBER = Long.MAX_VALUE >> 1;

    /** The bound of ages, so that calculations with them can't overflow. */
    private static final long MAX_AGE = Long.MAX_VALUE >> 2;

    private ReportCodec() {}

    /** Returns whether a datagram belongs to this codec, according to its first byte. */
    static boolean isReport(byte[] datagram) {
        return datagram.length > 0 && datagram[0] == FIRST_BYTE;
    }

    /** Encodes a message of a sender. */
    static byte[] encode(int sender, long incarnation, ReportMessage message) {
        ByteBuffer out = ByteBuffer.allocate(MAX_BYTES);
        out.put(FIRST_BYTE).put(kind(message)).putShort((short) sender).putLong(incarnation);
        if (message instanceof Report report) {
            putReport(out, report);
        } else if (message instanceof Grant grant) {
            putGrant(out, grant);
        }
        out.putInt(checksum(out.array(), out.position()));
        byte[] datagram = new byte[out.position()];
        out.flip().get(datagram);
        return datagram;
    }

    private static byte kind(ReportMessage message) {
        if (message instanceof Report report) {
            return report.wantsGrant() ? REPORT_WANTING_GRANT : REPORT;
        }
        return GRANT;
    }

    private static void putReport(ByteBuffer out, Report report) {
        out.putLong(report.number());
        putGroup(out, report.group());
        out.putLong(report.term())
                .putLong(report.lastGrantAt())
                .putLong(report.table())
                .putLong(report.highestTable());
        report.capacity().put(out);
        for (Part part : report.parts()) {
            out.put((byte) part.kind().ordinal()).put((byte) part.bytes().length).put(part.bytes());
        }
    }

    private static void putGrant(ByteBuffer out, Grant grant) {
        out.putLong(grant.incarnation()).putLong(grant.reportNumber());
        putGroup(out, grant.group());
        out.putLong(grant.term())
                .putLong(grant.grantedAt())
                .putLong(grant.quorumAge())
                .putLong(grant.table())
                .putLong(grant.lastReportNumber());
    }

    private static void putGroup(ByteBuffer out, VoterGroup group) {
        out.putInt(group.era()).putShort((short) group.founder()).putLong(group.incarnation());
    }

    /**
     * Decodes a datagram; returns null if the bytes are no valid message in a tier of the given
     * size. Never throws.
     */
    static Envelope decode(byte[] datagram, int replicas) {
        int length = datagram.length - CHECKSUM_BYTES;
        boolean readable =
                length >= HEADER_BYTES
                        && datagram.length <= MAX_BYTES
                        && datagram[0] == FIRST_BYTE
                        && ByteBuffer.wrap(datagram).getInt(length) == checksum(datagram, length);
        if (!readable) {
            return null;
        }
        try {
            return readEnvelope(ByteBuffer.wrap(datagram, 0, length), replicas);
        } catch (BufferUnderflowException tooShort) {
            return null;
        }
    }

    private static Envelope readEnvelope(ByteBuffer in, int replicas) {
        in.get(); // the first byte, checked before
        byte kind = in.get();
        int sender = in.getShort() & 0xffff;
        long incarnation = in.getLong();
        ReportMessage message = readMessage(kind, in);
        boolean valid =
                message != null
                        && !in.hasRemaining()
                        && sender < replicas
                        && incarnation >= 0
                        && isPlausible(message);
        return valid ? new Envelope(sender, incarnation, message) : null;
    }

    private static ReportMessage readMessage(byte kind, ByteBuffer in) {
        return switch (kind) {
            case REPORT, REPORT_WANTING_GRANT -> readReport(kind == REPORT_WANTING_GRANT, in);
            case GRANT -> readGrant(in);
            default -> null;
        };
    }

    private static Report readReport(boolean wantsGrant, ByteBuffer in) {
        return new Report(
                wantsGrant,
                in.getLong(),
                readGroup(in),
                in.getLong(),
                in.getLong(),
                in.getLong(),
                in.getLong(),
                RouteTableCapacity.get(in),
                readParts(in));
    }

    private static Grant readGrant(ByteBuffer in) {
        return new Grant(
                in.getLong(),
                in.getLong(),
                readGroup(in),
                in.getLong(),
                in.getLong(),
                in.getLong(),
                in.getLong(),
                in.getLong());
    }

    private static VoterGroup readGroup(ByteBuffer in) {
        return new VoterGroup(in.getInt(), in.getShort() & 0xffff, in.getLong());
    }

    private static List<Part> readParts(ByteBuffer in) {
        List<Part> parts = new ArrayList<>();
        while (in.hasRemaining()) {
            int kind = in.get();
            int length = in.get() & 0xff;
            if (kind < 0 || kind >= ReportKind.values().length || length > in.remaining()) {
                throw new BufferUnderflowException();
            }
            byte[] bytes = new byte[length];
            in.get(bytes);
            parts.add(new Part(ReportKind.values()[kind], bytes));
        }
        return parts;
    }

    private static boolean isPlausible(ReportMessage message) {
        if (message instanceof Report report) {
            return report.number() >= 0
                    && report.number() < MAX_NUMBER
                    && report.term() >= 0
                    && report.table() >= 0
                    && report.highestTable() >= report.table()
                    && report.highestTable() < MAX_NUMBER
                    && report.parts().size() <= MAX_PARTS;
        }
        Grant grant = (Grant) message;
        return grant.term() >= 0
                && grant.quorumAge() >= ReportMessage.UNKNOWN_AGE
                && grant.quorumAge() < MAX_AGE
                && grant.table() >= 0
                && grant.lastReportNumber() < MAX_NUMBER;
    }

    private static int checksum(byte[] bytes, int length) {
        CRC32C checksum = new CRC32C();
        checksum.update(bytes, 0, length);
        return (int) checksum.getValue();
    }
}
