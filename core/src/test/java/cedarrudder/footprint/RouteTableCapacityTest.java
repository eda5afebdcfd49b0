package cedarrudder.footprint;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import cedarrudder.routetable.CurrentRouteTable;
import cedarrudder.routetable.RouteTable;
import cedarrudder.routetable.RouteTable.DrainingNode;
import cedarrudder.routetable.RouteTable.RouteReason;
import cedarrudder.routetable.RouteTable.ZoneRoute;
import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import org.testng.annotations.Test;

public class RouteTableCapacityTest {

    private static final RouteTableFootprint TABLES =
            new RouteTableFootprint(ObjectLayout.of(true, true, 8));

    private static RouteTable table(long number, int zones, int leaving) {
        List<ZoneRoute> routes =
                IntStream.range(0, zones * zones)
                        .mapToObj(
                                i ->
                                        new ZoneRoute(
                                                i / zones,
                                                i % zones,
                                                i / zones == i % zones
                                                        ? RouteReason.NEAR
                                                        : RouteReason.SPILLED,
                                                RouteTable.TOTAL_WEIGHT / zones,
                                                i))
                        .toList();
        return new RouteTable(
                number,
                1,
                1,
                1_000_000_000L,
                routes,
                LongStream.range(0, leaving)
                        .mapToObj(
                                i ->
                                        new DrainingNode(
                                                i * 0x9E3779B97L % RouteTable.MAX_NODE,
                                                (int) (i / 8)))
                        .toList(),
                List.of());
    }

    /** A table that most replicas can load, but one can't, must not be committed. */
    @Test
    public void oneSmallReplicaPreventsALargeTableForAll() {
        RouteTable current = table(1, 3, 10);
        RouteTable next = table(2, 12, 2_000);
        RouteTableCapacity large = TABLES.capacity(current, 20_000_000, 10_000);
        RouteTableCapacity small = TABLES.capacity(current, TABLES.atPeak(current, next) - 1, 100);
        Map<Integer, RouteTableCapacity> capacities =
                new HashMap<>(Map.of(0, large, 1, large, 2, small, 3, large));
        assertEquals(RouteTableCapacity.limitingReplica(next, capacities), (Integer) 2);
        assertNull(
                RouteTableCapacity.limitingReplica(table(2, 3, 100), capacities),
                "a table that the small replica can load");
        assertEquals(RouteTableCapacity.min(capacities.values()), small);
        capacities.remove(2);
        assertNull(
                RouteTableCapacity.limitingReplica(next, capacities), "without the small replica");
    }

    /**
     * Replicas must not decide on a further table for a replica that has started since and can't
     * load it.
     */
    @Test
    public void loadedTableStaysAndTheNextIsPreventedIfAStartingReplicaIsTooSmall() {
        RouteTable loaded = table(7, 12, 2_000);
        CurrentRouteTable tables = new CurrentRouteTable();
        assertTrue(tables.load(loaded).accepted());
        Map<Integer, RouteTableCapacity> capacities =
                new HashMap<>(Map.of(0, TABLES.capacity(loaded, 20_000_000, 10_000)));
        RouteTable more = table(8, 12, 2_100);
        assertNull(RouteTableCapacity.limitingReplica(more, capacities));
        long smallHeap = 30_000;
        assertTrue(
                TABLES.atPeak(null, loaded) > smallHeap,
                "the starting replica can't load the agreed table");
        capacities.put(1, TABLES.capacity(null, smallHeap, 100));
        assertEquals(RouteTableCapacity.limitingReplica(more, capacities), (Integer) 1);
        assertEquals(
                tables.current(), loaded, "replicas that have loaded the table continue to use it");
        RouteTable less = table(8, 3, 20);
        assertNull(
                RouteTableCapacity.limitingReplica(less, capacities),
                "a table that all can load is not prevented");
        assertTrue(tables.load(less).accepted());
    }

    /**
     * Loading a table that the reported capacity accepts must not need more than there is, whatever
     * the table is like.
     */
    @Test
    public void reportedCapacityIsNeverMoreThanAvailable() {
        SplittableRandom random = new SplittableRandom(5);
        RouteTable current = table(1, 4, 50);
        for (int i = 0; i < 300; i++) {
            RouteTable next = table(2, 1 + random.nextInt(20), random.nextInt(3_000));
            long capacity = random.nextInt(400_000);
            if (TABLES.capacity(current, capacity, 0).fits(next, RouteTableFootprint.bytes(next))) {
                assertTrue(
                        TABLES.atPeak(current, next) <= capacity,
                        "capacity " + capacity + " for " + next);
            }
        }
        RouteTableCapacity all = TABLES.capacity(current, 20_000_000, 0);
        RouteTable largest = table(2, 64, RouteTable.MAX_DRAINING);
        assertTrue(all.fits(largest, RouteTableFootprint.bytes(largest)), all.toString());
        assertFalse(TABLES.capacity(current, 0, 0).fits(table(2, 1, 0), 8));
    }

    @Test
    public void capacityIsEncodedInNineBytesAndDecodedUnchanged() {
        SplittableRandom random = new SplittableRandom(6);
        for (int i = 0; i < 1_000; i++) {
            RouteTableCapacity capacity =
                    new RouteTableCapacity(
                            random.nextInt(),
                            random.nextInt(1 << random.nextInt(1, 31)),
                            random.nextInt(1 << 24));
            ByteBuffer bytes = ByteBuffer.allocate(RouteTableCapacity.BYTES);
            capacity.put(bytes);
            assertEquals(RouteTableCapacity.get(bytes.flip()), capacity);
            random.nextBytes(bytes.array());
            RouteTableCapacity.get(bytes.rewind()); // garbage throws nothing
        }
    }
}
