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
        List<ZoneRoute> shares =
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
                shares,
                LongStream.range(0, leaving)
                        .mapToObj(
                                i ->
                                        new DrainingNode(
                                                i * 0x9E3779B97L % RouteTable.MAX_NODE,
                                                (int) (i / 8)))
                        .toList(),
                List.of());
    }

    /** Detects a table that most can load, committed, which one replica can't. */
    @Test
    public void oneSmallCopyAmongLargeOnesHoldsATableBackInCommon() {
        RouteTable held = table(1, 3, 10);
        RouteTable next = table(2, 12, 2_000);
        RouteTableCapacity large = TABLES.capacity(held, 20_000_000, 10_000);
        RouteTableCapacity small = TABLES.capacity(held, TABLES.atPeak(held, next) - 1, 100);
        Map<Integer, RouteTableCapacity> rooms =
                new HashMap<>(Map.of(0, large, 1, large, 2, small, 3, large));
        assertEquals(RouteTableCapacity.limitingReplica(next, rooms), (Integer) 2);
        assertNull(
                RouteTableCapacity.limitingReplica(table(2, 3, 100), rooms),
                "one that it has room for");
        assertEquals(RouteTableCapacity.min(rooms.values()), small);
        rooms.remove(2);
        assertNull(RouteTableCapacity.limitingReplica(next, rooms), "without it");
    }

    /**
     * Detects replicas that go on deciding for a replica that has started since and can't follow.
     */
    @Test
    public void aTableThatFitsEveryCopyButTheOneThatStartsNextIsKeptAndTheNextOneHeldBack() {
        RouteTable loaded = table(7, 12, 2_000);
        CurrentRouteTable tables = new CurrentRouteTable();
        assertTrue(tables.load(loaded).accepted());
        Map<Integer, RouteTableCapacity> rooms =
                new HashMap<>(Map.of(0, TABLES.capacity(loaded, 20_000_000, 10_000)));
        RouteTable more = table(8, 12, 2_100);
        assertNull(RouteTableCapacity.limitingReplica(more, rooms));
        long little = 30_000;
        assertTrue(
                TABLES.atPeak(null, loaded) > little,
                "the copy that starts can't load what is agreed on");
        rooms.put(1, TABLES.capacity(null, little, 100));
        assertEquals(RouteTableCapacity.limitingReplica(more, rooms), (Integer) 1);
        assertEquals(tables.current(), loaded, "those that have it keep it");
        RouteTable less = table(8, 3, 20);
        assertNull(
                RouteTableCapacity.limitingReplica(less, rooms),
                "one that all can load goes through");
        assertTrue(tables.load(less).accepted());
    }

    /**
     * Detects a room that promises what loading then takes more for, whatever the table is like.
     */
    @Test
    public void whatTheRoomHoldsIsNeverMoreThanThereIs() {
        SplittableRandom random = new SplittableRandom(5);
        RouteTable held = table(1, 4, 50);
        for (int i = 0; i < 300; i++) {
            RouteTable next = table(2, 1 + random.nextInt(20), random.nextInt(3_000));
            long room = random.nextInt(400_000);
            if (TABLES.capacity(held, room, 0).fits(next, RouteTableFootprint.bytes(next))) {
                assertTrue(TABLES.atPeak(held, next) <= room, "room " + room + " for " + next);
            }
        }
        RouteTableCapacity all = TABLES.capacity(held, 20_000_000, 0);
        RouteTable largest = table(2, 64, RouteTable.MAX_DRAINING);
        assertTrue(all.fits(largest, RouteTableFootprint.bytes(largest)), all.toString());
        assertFalse(TABLES.capacity(held, 0, 0).fits(table(2, 1, 0), 8));
    }

    @Test
    public void anAnswerTakesNineBytesAndReadsAsItWasWritten() {
        SplittableRandom random = new SplittableRandom(6);
        for (int i = 0; i < 1_000; i++) {
            RouteTableCapacity room =
                    new RouteTableCapacity(
                            random.nextInt(),
                            random.nextInt(1 << random.nextInt(1, 31)),
                            random.nextInt(1 << 24));
            ByteBuffer bytes = ByteBuffer.allocate(RouteTableCapacity.BYTES);
            room.put(bytes);
            assertEquals(RouteTableCapacity.get(bytes.flip()), room);
            random.nextBytes(bytes.array());
            RouteTableCapacity.get(bytes.rewind()); // garbage throws nothing
        }
    }
}
