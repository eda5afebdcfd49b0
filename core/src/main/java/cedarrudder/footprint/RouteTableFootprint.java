package cedarrudder.footprint;

import cedarrudder.routetable.RouteTable;
import cedarrudder.routetable.RouteTableCodec;
import java.util.Objects;

/**
 * What a route table takes of the heap: its objects and its compact bytes, at rest and while a next
 * one is read beside it. A test holds what is at rest against the objects themselves.
 */
public final class RouteTableFootprint {

    /**
     * Least compact bytes of a share and of a node that leaves; the rest of a table takes some 40.
     */
    private static final int SHARE_BYTES = 5;

    private static final int LEAVING_BYTES = 2;

    /** Most compact bytes of a node that leaves: a distance of 52 bits and a wave of 16. */
    private static final int MAX_LEAVING_BYTES = 11;

    /** The most compact bytes that a table can have, with all that it may hold. */
    private static final int MAX_BYTES =
            64
                    + RouteTable.MAX_ZONES * RouteTable.MAX_ZONES * 10
                    + RouteTable.MAX_DRAINING * MAX_LEAVING_BYTES
                    + RouteTable.MAX_CLASSES * 7;

    /** An entry that is read stands in a list that grew, in the text's order and in the table's. */
    private static final int LISTS = 3;

    /** Bytes are written, gathered and copied: this many times what the table has. */
    private static final int TABLE_COPIES = 4;

    private final ObjectLayout layout;

    public RouteTableFootprint(ObjectLayout layout) {
        this.layout = Objects.requireNonNull(layout);
    }

    /** Compact bytes of a table. */
    public static int bytes(RouteTable table) {
        return RouteTableCodec.encode(table).length;
    }

    /** What a table takes once it is loaded, its bytes with it; null, none, takes nothing. */
    public long atRest(RouteTable table) {
        return table == null
                ? 0
                : fixed()
                        + list(table.routes().size(), share())
                        + list(table.draining().size(), leaving())
                        + list(table.limits().size(), limit())
                        + layout.array(bytes(table), 1);
    }

    /**
     * What is held at most while a next table is read: both side by side, and what reading takes.
     */
    public long atPeak(RouteTable held, RouteTable next) {
        long entries = next.routes().size() + next.draining().size() + next.limits().size();
        return atRest(held)
                + atRest(next)
                + entries * LISTS * layout.reference()
                + TABLE_COPIES * layout.array(bytes(next), 1);
    }

    /**
     * The largest table that may be loaded beside the one that is held. What its bytes hold is not
     * known yet, so each is reckoned as what costs most.
     *
     * @param capacity bytes of heap for tables, with the one that is held
     * @param nodes this many nodes there is room for, which the answer carries
     */
    public RouteTableCapacity capacity(RouteTable held, long capacity, int nodes) {
        long left = capacity - atRest(held);
        int bytes = 0;
        for (int step = Integer.highestOneBit(MAX_BYTES); step > 0; step >>>= 1) {
            if (bytes + step <= MAX_BYTES && max(bytes + step) <= left) {
                bytes += step;
            }
        }
        long each =
                leaving()
                        + (1 + LISTS) * layout.reference()
                        + (1 + TABLE_COPIES) * MAX_LEAVING_BYTES;
        long leaving = Math.max(0, left - fixed() - lists()) / each;
        return new RouteTableCapacity(
                bytes, (int) Math.min(RouteTable.MAX_DRAINING, leaving), nodes);
    }

    /** The most that a table of this many compact bytes takes while it is read. */
    private long max(long bytes) {
        int references = (1 + LISTS) * layout.reference();
        long shares =
                Math.min(bytes / SHARE_BYTES, (long) RouteTable.MAX_ZONES * RouteTable.MAX_ZONES);
        long leaving =
                Math.min(bytes / LEAVING_BYTES, RouteTable.MAX_DRAINING + RouteTable.MAX_CLASSES);
        return fixed()
                + lists()
                + shares * (share() + references)
                + leaving * (leaving() + references)
                + (1 + TABLE_COPIES) * layout.array(bytes, 1);
    }

    /** The table itself. */
    private long fixed() {
        return layout.object(3, 4 * 8);
    }

    /** Its lists, with nothing in them. */
    private long lists() {
        return 3 * (layout.object(1, 1) + layout.array(1, layout.reference()));
    }

    private long list(int entries, long each) {
        return entries == 0
                ? 0
                : layout.object(1, 1) + layout.array(entries, layout.reference()) + entries * each;
    }

    private long share() {
        return layout.object(1, 4 * 4);
    }

    private long leaving() {
        return layout.object(0, 8 + 4);
    }

    private long limit() {
        return layout.object(0, 2 * 4);
    }
}
