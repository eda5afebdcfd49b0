package cedarrudder.routetable;

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
 * A route table as bytes: a version, numbers of seven bits a byte, the lowest first, and a CRC32C
 * of all before it. Nodes are written in their order, as distances. One table has one form: what
 * would read as a table and is written otherwise is refused.
 */
public final class RouteTableCodec {

    private static final int VERSION = 1;
    private static final int SUM = 4;
    private static final int BITS = 7;
    private static final int MORE = 1 << BITS;
    private static final int MAX_SHARES = RouteTable.MAX_ZONES * RouteTable.MAX_ZONES;

    /** What reading came to: a table, or why there is none. */
    public record Decoded(RouteTable table, String fault) {}

    private RouteTableCodec() {}

    public static byte[] encode(RouteTable table) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        put(out, VERSION);
        put(out, table.number());
        put(out, table.group());
        put(out, table.term());
        put(out, table.lease());
        put(out, table.routes().size());
        for (ZoneRoute share : table.routes()) {
            put(out, share.from());
            put(out, share.to());
            put(out, share.reason().ordinal());
            put(out, share.weight());
            put(out, share.maxPerSecond());
        }
        put(out, table.draining().size());
        long before = 0;
        for (DrainingNode leaving : table.draining()) {
            put(out, leaving.node() - before);
            put(out, leaving.wave());
            before = leaving.node();
        }
        put(out, table.limits().size());
        for (ClassLimit limit : table.limits()) {
            put(out, limit.classIndex());
            put(out, limit.maxPerSecond());
        }
        byte[] body = out.toByteArray();
        return ByteBuffer.allocate(body.length + SUM)
                .put(body)
                .putInt(sum(body, body.length))
                .array();
    }

    private static void put(ByteArrayOutputStream out, long value) {
        for (long left = value; ; left >>>= BITS) {
            if (left < MORE) {
                out.write((int) left);
                return;
            }
            out.write((int) (left & MORE - 1) | MORE);
        }
    }

    private static int sum(byte[] bytes, int length) {
        CRC32C sum = new CRC32C();
        sum.update(bytes, 0, length);
        return (int) sum.getValue();
    }

    /**
     * Reads a table; whatever the bytes are it throws nothing, and takes memory in proportion to
     * them.
     */
    public static Decoded decode(byte[] bytes) {
        int length = bytes.length - SUM;
        if (length < 0) {
            return new Decoded(
                    null, "found " + bytes.length + " bytes; allowed: " + SUM + " or more");
        }
        if (ByteBuffer.wrap(bytes).getInt(length) != sum(bytes, length)) {
            return new Decoded(null, "the checksum does not fit");
        }
        try {
            return new Decoded(new Reader(bytes, length).table(), null);
        } catch (IllegalArgumentException e) {
            return new Decoded(null, e.getMessage());
        }
    }

    /** Reads numbers from the front on; each says its own range. */
    private static final class Reader {
        private final byte[] bytes;
        private final int end;
        private int at;

        Reader(byte[] bytes, int end) {
            this.bytes = bytes;
            this.end = end;
        }

        RouteTable table() {
            whole("version", VERSION, VERSION);
            long number = whole("number", 1, Long.MAX_VALUE);
            long group = whole("group", 0, Long.MAX_VALUE);
            long term = whole("term", 0, Long.MAX_VALUE);
            long lease = whole("lease", 1, Long.MAX_VALUE);
            List<ZoneRoute> shares = new ArrayList<>();
            for (int left = count("shares", MAX_SHARES); left > 0; left--) {
                shares.add(
                        new ZoneRoute(
                                small("share.from", RouteTable.MAX_ZONES - 1),
                                small("share.to", RouteTable.MAX_ZONES - 1),
                                RouteReason.values()[
                                        small("share.way", RouteReason.values().length - 1)],
                                small("share.parts", RouteTable.TOTAL_WEIGHT),
                                small("share.perSecond", Integer.MAX_VALUE)));
            }
            List<DrainingNode> leaving = new ArrayList<>();
            long node = 0;
            for (int left = count("leaving", RouteTable.MAX_DRAINING); left > 0; left--) {
                node += whole("leaving.node", 0, RouteTable.MAX_NODE - 1 - node);
                leaving.add(
                        new DrainingNode(node, small("leaving.wave", RouteTable.MAX_WAVES - 1)));
            }
            List<ClassLimit> limits = new ArrayList<>();
            for (int left = count("limits", RouteTable.MAX_CLASSES); left > 0; left--) {
                limits.add(
                        new ClassLimit(
                                small("limit.class", RouteTable.MAX_CLASSES - 1),
                                small("limit.perSecond", Integer.MAX_VALUE)));
            }
            if (at < end) {
                throw wrong("end", end - at + " bytes more", "none");
            }
            RouteTable table = new RouteTable(number, group, term, lease, shares, leaving, limits);
            if (!table.routes().equals(shares) || !table.limits().equals(limits)) {
                throw wrong("order", "another", "by zones, by class");
            }
            return table;
        }

        /**
         * A number of entries; each takes two bytes or more, so that no more are read than there
         * are.
         */
        private int count(String name, int max) {
            return (int) whole(name, 0, Math.min(max, (end - at) / 2));
        }

        private int small(String name, int max) {
            return (int) whole(name, 0, max);
        }

        private long whole(String name, long min, long max) {
            long value = 0;
            for (int shift = 0; shift < Long.SIZE - 1; shift += BITS) {
                if (at == end) {
                    throw wrong(name, "the end", "a number");
                }
                int next = bytes[at++];
                value |= (long) (next & MORE - 1) << shift;
                if (next >= 0) {
                    if (next == 0 && shift > 0) {
                        throw wrong(name, "a number with a zero too much", "the shortest form");
                    }
                    if (value < min || value > max) {
                        throw wrong(name, value, min + " to " + max);
                    }
                    return value;
                }
            }
            throw wrong(name, "a number of over 63 bits", "up to 63 bits");
        }

        private IllegalArgumentException wrong(String name, Object found, String allowed) {
            return new IllegalArgumentException(
                    "byte " + at + ", " + name + ": found " + found + "; allowed: " + allowed);
        }
    }
}
