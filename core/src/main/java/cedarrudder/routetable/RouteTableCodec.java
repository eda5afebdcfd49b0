package cedarrudder.routetable;

import cedarrudder.encoding.MalformedVarintException;
import cedarrudder.encoding.Varint;
import cedarrudder.encoding.VarintReader;
import cedarrudder.routetable.RouteTable.ClassLimit;
import cedarrudder.routetable.RouteTable.DrainingNode;
import cedarrudder.routetable.RouteTable.RouteReason;
import cedarrudder.routetable.RouteTable.ZoneRoute;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32C;

/**
 * Encodes and decodes route tables: a version, numbers as {@link Varint}s, and a CRC32C of all
 * bytes before it. Nodes are in order, each encoded as the difference from the one before. Every
 * table has one canonical encoding, and any other encoding of it is rejected.
 */
public final class RouteTableCodec {

    private static final int VERSION = 1;
    private static final int CHECKSUM_BYTES = Integer.BYTES;
    private static final int MIN_ENTRY_BYTES = 2;
    private static final int MAX_ROUTES = RouteTable.MAX_ZONES * RouteTable.MAX_ZONES;

    /** The result of decoding: a table, or else the fault in the bytes. */
    public record Decoded(RouteTable table, String fault) {}

    private RouteTableCodec() {}

    /** Encodes a table; equal tables have equal bytes. */
    public static byte[] encode(RouteTable table) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        Varint.write(out, VERSION);
        Varint.write(out, table.number());
        Varint.write(out, table.group());
        Varint.write(out, table.term());
        Varint.write(out, table.lease());
        Varint.write(out, table.routes().size());
        for (ZoneRoute route : table.routes()) {
            Varint.write(out, route.from());
            Varint.write(out, route.to());
            Varint.write(out, route.reason().ordinal());
            Varint.write(out, route.weight());
            Varint.write(out, route.maxPerSecond());
        }
        Varint.write(out, table.draining().size());
        long previous = 0;
        for (DrainingNode draining : table.draining()) {
            Varint.write(out, draining.node() - previous);
            Varint.write(out, draining.wave());
            previous = draining.node();
        }
        Varint.write(out, table.limits().size());
        for (ClassLimit limit : table.limits()) {
            Varint.write(out, limit.classIndex());
            Varint.write(out, limit.maxPerSecond());
        }
        byte[] body = out.toByteArray();
        return ByteBuffer.allocate(body.length + CHECKSUM_BYTES)
                .put(body)
                .putInt(checksum(body, body.length))
                .array();
    }

    private static int checksum(byte[] bytes, int length) {
        CRC32C crc = new CRC32C();
        crc.update(bytes, 0, length);
        return (int) crc.getValue();
    }

    /** Decodes a table. Never throws, and uses memory in proportion to the bytes. */
    public static Decoded decode(byte[] bytes) {
        int length = bytes.length - CHECKSUM_BYTES;
        if (length < 0) {
            return new Decoded(
                    null,
                    "found " + bytes.length + " bytes; allowed: " + CHECKSUM_BYTES + " or more");
        }
        if (ByteBuffer.wrap(bytes).getInt(length) != checksum(bytes, length)) {
            return new Decoded(null, "the checksum does not match");
        }
        try {
            return new Decoded(new Reader(bytes, length).table(), null);
        } catch (IllegalArgumentException e) {
            return new Decoded(null, e.getMessage());
        }
    }

    /** Reads numbers in order, each checked against its range. */
    private static final class Reader {
        private final VarintReader in;

        Reader(byte[] bytes, int end) {
            this.in = new VarintReader(bytes, end);
        }

        RouteTable table() {
            varint("version", VERSION, VERSION);
            long number = varint("number", 1, Long.MAX_VALUE);
            long group = varint("group", 0, Long.MAX_VALUE);
            long term = varint("term", 0, Long.MAX_VALUE);
            long lease = varint("lease", 1, Long.MAX_VALUE);
            List<ZoneRoute> routes = new ArrayList<>();
            for (int left = count("shares", MAX_ROUTES); left > 0; left--) {
                routes.add(
                        new ZoneRoute(
                                smallInt("share.from", RouteTable.MAX_ZONES - 1),
                                smallInt("share.to", RouteTable.MAX_ZONES - 1),
                                RouteReason.values()[
                                        smallInt("share.way", RouteReason.values().length - 1)],
                                smallInt("share.parts", RouteTable.TOTAL_WEIGHT),
                                smallInt("share.perSecond", Integer.MAX_VALUE)));
            }
            List<DrainingNode> draining = new ArrayList<>();
            long node = 0;
            for (int left = count("leaving", RouteTable.MAX_DRAINING); left > 0; left--) {
                node += varint("leaving.node", 0, RouteTable.MAX_NODE - 1 - node);
                draining.add(
                        new DrainingNode(node, smallInt("leaving.wave", RouteTable.MAX_WAVES - 1)));
            }
            List<ClassLimit> limits = new ArrayList<>();
            for (int left = count("limits", RouteTable.MAX_CLASSES); left > 0; left--) {
                limits.add(
                        new ClassLimit(
                                smallInt("limit.class", RouteTable.MAX_CLASSES - 1),
                                smallInt("limit.perSecond", Integer.MAX_VALUE)));
            }
            if (in.remaining() > 0) {
                throw invalid("end", in.remaining() + " more bytes", "none");
            }
            RouteTable table = new RouteTable(number, group, term, lease, routes, draining, limits);
            if (!table.routes().equals(routes) || !table.limits().equals(limits)) {
                throw invalid("order", "another", "by zones, by class");
            }
            return table;
        }

        /**
         * Reads a number of entries. An entry takes at least two bytes, so a count above half the
         * remaining bytes is rejected before memory is allocated for it.
         */
        private int count(String name, int max) {
            return (int) varint(name, 0, Math.min(max, in.remaining() / MIN_ENTRY_BYTES));
        }

        private int smallInt(String name, int max) {
            return (int) varint(name, 0, max);
        }

        private long varint(String name, long min, long max) {
            long value;
            try {
                value = in.nextShortest();
            } catch (MalformedVarintException e) {
                throw invalid(name, e.found(), e.allowed());
            }
            if (value < min || value > max) {
                throw invalid(name, value, min + " to " + max);
            }
            return value;
        }

        private IllegalArgumentException invalid(String name, Object found, String allowed) {
            return new IllegalArgumentException(
                    "byte "
                            + in.position()
                            + ", "
                            + name
                            + ": found "
                            + found
                            + "; allowed: "
                            + allowed);
        }
    }
}
