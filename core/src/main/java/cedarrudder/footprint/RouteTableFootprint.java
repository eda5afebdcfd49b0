package cedarrudder.footprint;

import cedarrudder.routetable.RouteTable;
import cedarrudder.routetable.RouteTableCodec;
import java.util.Objects;

/**
 * Estimates the heap that a route table needs: its objects and its compact bytes, at rest and while
 * the next table is read. A test compares the estimate at rest with the objects themselves.
 */
public final class RouteTableFootprint {

    /**
     * Minimum compact bytes of a route and, below, of a draining node; the rest of a table has
     * about 40 bytes.
     */
    private static final int MIN_ROUTE_BYTES = 5;

    private static final int MIN_DRAINING_BYTES = 2;

    /** Maximum compact bytes of a draining node: a distance of 52 bits and a wave of 16 bits. */
    private static final int MAX_DRAINING_BYTES = 11;

    /** Maximum compact bytes of a table with as many entries as it may have. */
    private static final int MAX_BYTES =
            64
                    + RouteTable.MAX_ZONES * RouteTable.MAX_ZONES * 10
                    + RouteTable.MAX_DRAINING * MAX_DRAINING_BYTES
                    + RouteTable.MAX_CLASSES * 7;

    /**
     * While a table is read, three lists reference each entry: a list that grew, a list in the
     * order of the text and a list in the order of the table.
     */
    private static final int REFERENCES_PER_ENTRY = 3;

    /**
     * Number of copies of a table's bytes that are made by writing, collecting and copying them.
     */
    private static final int TABLE_COPIES = 4;

    private final ObjectLayout layout;

    public RouteTableFootprint(ObjectLayout layout) {
        this.layout = Objects.requireNonNull(layout);
    }

    /** Returns the number of compact bytes of a table. */
    public static int bytes(RouteTable table) {
        return RouteTableCodec.encode(table).length;
    }

    /**
     * Returns the bytes of heap that a loaded table needs, including its compact bytes; 0 for null.
     */
    public long atRest(RouteTable table) {
        return table == null
                ? 0
                : tableObject()
                        + list(table.routes().size(), routeObject())
                        + list(table.draining().size(), leaving())
                        + list(table.limits().size(), limitObject())
                        + layout.array(bytes(table), 1);
    }

    /**
     * Returns the maximum heap while the next table is read: the heap of both tables, and the heap
     * that reading needs in addition.
     */
    public long atPeak(RouteTable loaded, RouteTable next) {
        long entries = next.routes().size() + next.draining().size() + next.limits().size();
        return atRest(loaded)
                + atRest(next)
                + entries * REFERENCES_PER_ENTRY * layout.reference()
                + TABLE_COPIES * layout.array(bytes(next), 1);
    }

    /**
     * Returns the largest table that may be loaded next to the current one. The content of its
     * bytes is not known yet, so all of them are assumed to be of the most expensive kind.
     *
     * @param capacity bytes of heap for tables, including the loaded one
     * @param nodes the number of nodes to set in the result
     */
    public RouteTableCapacity capacity(RouteTable loaded, long capacity, int nodes) {
        long remaining = capacity - atRest(loaded);
        int bytes = 0;
        for (int step = Integer.highestOneBit(MAX_BYTES); step > 0; step >>>= 1) {
            if (bytes + step <= MAX_BYTES && max(bytes + step) <= remaining) {
                bytes += step;
            }
        }
        long perDrainingNode =
                leaving()
                        + (1 + REFERENCES_PER_ENTRY) * layout.reference()
                        + (1 + TABLE_COPIES) * MAX_DRAINING_BYTES;
        long leaving = Math.max(0, remaining - tableObject() - emptyLists()) / perDrainingNode;
        return new RouteTableCapacity(
                bytes, (int) Math.min(RouteTable.MAX_DRAINING, leaving), nodes);
    }

    /** Returns the maximum heap that a table of this many compact bytes needs while it is read. */
    private long max(long bytes) {
        int references = (1 + REFERENCES_PER_ENTRY) * layout.reference();
        long routeCount =
                Math.min(
                        bytes / MIN_ROUTE_BYTES,
                        (long) RouteTable.MAX_ZONES * RouteTable.MAX_ZONES);
        long leaving =
                Math.min(
                        bytes / MIN_DRAINING_BYTES,
                        RouteTable.MAX_DRAINING + RouteTable.MAX_CLASSES);
        return tableObject()
                + emptyLists()
                + routeCount * (routeObject() + references)
                + leaving * (leaving() + references)
                + (1 + TABLE_COPIES) * layout.array(bytes, 1);
    }

    /** Returns the size of the table object. */
    private long tableObject() {
        return layout.object(3, 4 * 8);
    }

    /** Returns the size of a table's three lists without entries. */
    private long emptyLists() {
        return 3 * (layout.object(1, 1) + layout.array(1, layout.reference()));
    }

    private long list(int entries, long perDrainingNode) {
        return entries == 0
                ? 0
                : layout.object(1, 1)
                        + layout.array(entries, layout.reference())
                        + entries * perDrainingNode;
    }

    private long routeObject() {
        return layout.object(1, 4 * 4);
    }

    private long leaving() {
        return layout.object(0, 8 + 4);
    }

    private long limitObject() {
        return layout.object(0, 2 * 4);
    }
}
