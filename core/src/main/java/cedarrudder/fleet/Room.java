package cedarrudder.fleet;

import cedarrudder.table.RouteTable;

/**
 * What a copy can load of a route table.
 *
 * @param bytes of its compact form
 * @param nodes that leave
 */
public record Room(int bytes, int nodes) {

    /** Of a copy that asks nobody. */
    public static final Room ANY = new Room(Integer.MAX_VALUE, Integer.MAX_VALUE);

    /** Whether a table of so many bytes fits. */
    public boolean holds(RouteTable table, int size) {
        return size <= bytes && table.leaving().size() <= nodes;
    }
}
