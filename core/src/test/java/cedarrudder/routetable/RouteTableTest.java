package cedarrudder.routetable;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import cedarrudder.conventions.Golden;
import cedarrudder.routetable.RouteTable.ClassLimit;
import cedarrudder.routetable.RouteTable.DrainingNode;
import cedarrudder.routetable.RouteTable.RouteReason;
import cedarrudder.routetable.RouteTable.ZoneRoute;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.zip.CRC32C;
import org.testng.annotations.Test;

public class RouteTableTest {

    private static final long SEED = 23;

    private static RouteTable randomTable(Random random, long number) {
        List<ZoneRoute> routes = new ArrayList<>();
        for (int from = 0; from < random.nextInt(13); from++) {
            for (int to = 0; to < 12; to++) {
                routes.add(
                        new ZoneRoute(
                                from,
                                to,
                                RouteReason.values()[random.nextInt(3)],
                                1 + random.nextInt(800),
                                random.nextInt(3) * 1000));
            }
        }
        List<DrainingNode> draining = new ArrayList<>();
        for (int i = random.nextInt(50); i > 0; i--) {
            draining.add(new DrainingNode(i * 1_000_003L * 4_000_000, random.nextInt(9)));
        }
        List<ClassLimit> limits = new ArrayList<>();
        for (int i = random.nextInt(5); i > 0; i--) {
            limits.add(new ClassLimit(i, random.nextInt(1 << 20)));
        }
        Collections.shuffle(routes, random);
        Collections.shuffle(draining, random);
        return new RouteTable(
                number,
                random.nextInt(3),
                random.nextInt(9),
                1 + random.nextInt(1 << 30),
                routes,
                draining,
                limits);
    }

    /** A table must not change by encoding and decoding. */
    @Test
    public void decodedTableEqualsEncodedTable() {
        Random random = new Random(SEED);
        for (int i = 1; i <= 500; i++) {
            RouteTable table = randomTable(random, i);
            RouteTableCodec.Decoded read = RouteTableCodec.decode(RouteTableCodec.encode(table));
            assertNull(read.fault(), "seed " + SEED + ", table " + i);
            assertEquals(read.table(), table);
        }
    }

    /** A changed encoding could not be decoded by another build in the same tier. */
    @Test
    public void encodingMatchesEarlierBuild() {
        Random random = new Random(SEED);
        StringBuilder encoded = new StringBuilder();
        for (int i = 1; i <= 6; i++) {
            encoded.append(Golden.hex(RouteTableCodec.encode(randomTable(random, i))));
        }
        Golden.check("route-tables.txt", encoded.toString());
        random = new Random(SEED);
        for (String line : encoded.toString().lines().toList()) {
            RouteTableCodec.Decoded read = RouteTableCodec.decode(Golden.bytes(line));
            assertEquals(read.table(), randomTable(random, read.table().number()));
        }
    }

    private static byte[] withChecksum(byte[] bytes) {
        CRC32C checksum = new CRC32C();
        checksum.update(bytes, 0, bytes.length - 4);
        ByteBuffer.wrap(bytes).putInt(bytes.length - 4, (int) checksum.getValue());
        return bytes;
    }

    /** A table with any flipped bit, or cut at any length, must not be loaded. */
    @Test
    public void damagedBytesAreRejected() {
        byte[] good = RouteTableCodec.encode(randomTable(new Random(SEED), 7));
        for (int bit = 0; bit < good.length * 8; bit++) {
            byte[] bad = good.clone();
            bad[bit / 8] ^= (byte) (1 << bit % 8);
            assertNotNull(RouteTableCodec.decode(bad).fault(), "bit " + bit);
        }
        for (int length = 0; length < good.length; length++) {
            assertNotNull(
                    RouteTableCodec.decode(Arrays.copyOf(good, length)).fault(), "cut " + length);
        }
    }

    /**
     * Malformed bytes of a peer with a correct checksum must not throw, as that would end the loop.
     */
    @Test
    public void malformedBytesNeverThrowAndDecodedTablesAreCanonical() {
        Random random = new Random(SEED);
        int read = 0;
        for (int i = 1; i <= 6_000; i++) {
            byte[] bytes = RouteTableCodec.encode(randomTable(random, i));
            for (int times = 1 + random.nextInt(3); times > 0 && bytes.length > 4; times--) {
                bytes[random.nextInt(bytes.length - 4)] = (byte) random.nextInt(256);
            }
            RouteTableCodec.Decoded decoded = RouteTableCodec.decode(withChecksum(bytes));
            assertTrue(
                    decoded.table() == null ^ decoded.fault() == null,
                    "seed " + SEED + ", run " + i);
            if (decoded.table() != null) {
                read++;
                assertEquals(
                        RouteTableCodec.encode(decoded.table()),
                        bytes,
                        "seed " + SEED + ", run " + i);
            }
        }
        assertTrue(read > 500, "only " + read + " were decoded");
        byte[] many =
                withChecksum(new byte[] {1, 1, 0, 0, 1, (byte) 0xff, (byte) 0xff, 3, 0, 0, 0, 0});
        assertTrue(
                RouteTableCodec.decode(many)
                        .fault()
                        .contains("shares: found 65535; allowed: 0 to 1"),
                RouteTableCodec.decode(many).fault());
    }

    @Test
    public void contradictingEntriesAreNamedInTheException() {
        ZoneRoute half = new ZoneRoute(1, 2, RouteReason.MOVED, 6_000, 0);
        ZoneRoute more = new ZoneRoute(1, 3, RouteReason.SPILLED, 6_000, 0);
        assertEquals(
                expectThrows(
                                IllegalArgumentException.class,
                                () ->
                                        new RouteTable(
                                                1,
                                                0,
                                                0,
                                                1,
                                                List.of(half, more),
                                                List.of(),
                                                List.of()))
                        .getMessage(),
                "share.parts: found 12000 of zone 1; allowed: up to 10000");
        assertEquals(
                expectThrows(
                                IllegalArgumentException.class,
                                () ->
                                        new RouteTable(
                                                1,
                                                0,
                                                0,
                                                1,
                                                List.of(),
                                                List.of(
                                                        new DrainingNode(5, 1),
                                                        new DrainingNode(5, 2)),
                                                List.of()))
                        .getMessage(),
                "leaving: found node 5 twice; allowed: once");
    }

    /**
     * A stale leader's table must not replace a newer one, nor one of two tables with one number.
     */
    @Test
    public void tableNumberNeverDecreases() {
        Random random = new Random(SEED);
        CurrentRouteTable tables = new CurrentRouteTable();
        RouteTable fifth = randomTable(random, 5);
        assertTrue(tables.load(fifth).accepted());
        assertTrue(tables.load(fifth).accepted());
        assertTrue(tables.load(randomTable(random, 5)).rejection().contains("one table a number"));
        assertTrue(
                tables.load(randomTable(random, 4)).rejection().contains("found 4 with 5 loaded"));
        assertEquals(tables.current(), fifth);
        assertTrue(tables.load(randomTable(random, 9)).accepted());
        assertEquals(tables.current().number(), 9);
    }

    /** A missed change would leave a node drained, or a route or a limit in place. */
    @Test
    public void deltaAppliedToEarlierTableGivesLaterTable() {
        Random random = new Random(SEED);
        for (int i = 1; i <= 300; i++) {
            RouteTable before = randomTable(random, i);
            RouteTable after = randomTable(random, i + 1);
            RouteTableDelta delta = RouteTableDelta.between(before, after);
            Set<DrainingNode> draining = new HashSet<>(before.draining());
            draining.removeIf(
                    one ->
                            delta.returned().contains(one.node())
                                    || delta.draining().stream()
                                            .anyMatch(next -> next.node() == one.node()));
            draining.addAll(delta.draining());
            assertEquals(draining, new HashSet<>(after.draining()));
            Set<ZoneRoute> routes = new HashSet<>(before.routes());
            routes.removeIf(
                    one ->
                            delta.removedRoutes().contains(RouteTableDelta.ZonePair.of(one))
                                    || delta.routes().stream()
                                            .anyMatch(
                                                    next ->
                                                            next.from() == one.from()
                                                                    && next.to() == one.to()));
            routes.addAll(delta.routes());
            assertEquals(routes, new HashSet<>(after.routes()));
            assertFalse(delta.isEmpty());
        }
        RouteTable table = randomTable(random, 3);
        assertTrue(
                RouteTableDelta.between(
                                table,
                                new RouteTable(
                                        4,
                                        0,
                                        2,
                                        9,
                                        table.routes(),
                                        table.draining(),
                                        table.limits()))
                        .isEmpty());
        assertFalse(
                RouteTableDelta.between(
                                table,
                                new RouteTable(
                                        4,
                                        0,
                                        2,
                                        9,
                                        List.of(),
                                        List.of(),
                                        List.of(new ClassLimit(200, 1))))
                        .isEmpty());
    }
}
