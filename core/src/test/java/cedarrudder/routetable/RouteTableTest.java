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

    private static RouteTable any(Random random, long number) {
        List<ZoneRoute> shares = new ArrayList<>();
        for (int from = 0; from < random.nextInt(13); from++) {
            for (int to = 0; to < 12; to++) {
                shares.add(
                        new ZoneRoute(
                                from,
                                to,
                                RouteReason.values()[random.nextInt(3)],
                                1 + random.nextInt(800),
                                random.nextInt(3) * 1000));
            }
        }
        List<DrainingNode> leaving = new ArrayList<>();
        for (int i = random.nextInt(50); i > 0; i--) {
            leaving.add(new DrainingNode(i * 1_000_003L * 4_000_000, random.nextInt(9)));
        }
        List<ClassLimit> limits = new ArrayList<>();
        for (int i = random.nextInt(5); i > 0; i--) {
            limits.add(new ClassLimit(i, random.nextInt(1 << 20)));
        }
        Collections.shuffle(shares, random);
        Collections.shuffle(leaving, random);
        return new RouteTable(
                number,
                random.nextInt(3),
                random.nextInt(9),
                1 + random.nextInt(1 << 30),
                shares,
                leaving,
                limits);
    }

    /** Detects a table that is another once it has travelled, and two forms of one table. */
    @Test
    public void whatIsWrittenIsRead() {
        Random random = new Random(SEED);
        for (int i = 1; i <= 500; i++) {
            RouteTable table = any(random, i);
            RouteTableCodec.Decoded read = RouteTableCodec.decode(RouteTableCodec.encode(table));
            assertNull(read.fault(), "seed " + SEED + ", table " + i);
            assertEquals(read.table(), table);
        }
    }

    /** Detects a table that another build of the same tier can't read. */
    @Test
    public void theFormIsThatOfTheEarlierBuild() {
        Random random = new Random(SEED);
        StringBuilder forms = new StringBuilder();
        for (int i = 1; i <= 6; i++) {
            forms.append(Golden.hex(RouteTableCodec.encode(any(random, i))));
        }
        Golden.check("route-tables.txt", forms.toString());
        random = new Random(SEED);
        for (String line : forms.toString().lines().toList()) {
            RouteTableCodec.Decoded read = RouteTableCodec.decode(Golden.bytes(line));
            assertEquals(read.table(), any(random, read.table().number()));
        }
    }

    private static byte[] summed(byte[] bytes) {
        CRC32C sum = new CRC32C();
        sum.update(bytes, 0, bytes.length - 4);
        ByteBuffer.wrap(bytes).putInt(bytes.length - 4, (int) sum.getValue());
        return bytes;
    }

    /** Detects what the wire did to a table being loaded: each bit, and each length. */
    @Test
    public void whatIsDamagedIsRefused() {
        byte[] good = RouteTableCodec.encode(any(new Random(SEED), 7));
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

    /** Detects a peer's bytes that end the loop, though their checksum fits. */
    @Test
    public void noBytesThrowAndWhatIsReadHasOneForm() {
        Random random = new Random(SEED);
        int read = 0;
        for (int i = 1; i <= 6_000; i++) {
            byte[] bytes = RouteTableCodec.encode(any(random, i));
            for (int times = 1 + random.nextInt(3); times > 0 && bytes.length > 4; times--) {
                bytes[random.nextInt(bytes.length - 4)] = (byte) random.nextInt(256);
            }
            RouteTableCodec.Decoded decoded = RouteTableCodec.decode(summed(bytes));
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
        assertTrue(read > 500, "only " + read + " were read");
        byte[] many = summed(new byte[] {1, 1, 0, 0, 1, (byte) 0xff, (byte) 0xff, 3, 0, 0, 0, 0});
        assertTrue(
                RouteTableCodec.decode(many)
                        .fault()
                        .contains("shares: found 65535; allowed: 0 to 1"),
                RouteTableCodec.decode(many).fault());
    }

    @Test
    public void whatContradictsItselfIsNamed() {
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

    /** Detects a stale leader's table taking back what counts, and two tables of one number. */
    @Test
    public void numbersOnlyRise() {
        Random random = new Random(SEED);
        CurrentRouteTable tables = new CurrentRouteTable();
        RouteTable fifth = any(random, 5);
        assertTrue(tables.load(fifth).accepted());
        assertTrue(tables.load(fifth).accepted());
        assertTrue(tables.load(any(random, 5)).rejection().contains("one table a number"));
        assertTrue(tables.load(any(random, 4)).rejection().contains("found 4 with 5 loaded"));
        assertEquals(tables.current(), fifth);
        assertTrue(tables.load(any(random, 9)).accepted());
        assertEquals(tables.current().number(), 9);
    }

    /** Detects a change that is missed: a node that stays out, a share or a limit that stays. */
    @Test
    public void theDifferenceAppliedGivesTheNext() {
        Random random = new Random(SEED);
        for (int i = 1; i <= 300; i++) {
            RouteTable before = any(random, i);
            RouteTable after = any(random, i + 1);
            RouteTableDelta change = RouteTableDelta.between(before, after);
            Set<DrainingNode> leaving = new HashSet<>(before.draining());
            leaving.removeIf(
                    one ->
                            change.returned().contains(one.node())
                                    || change.draining().stream()
                                            .anyMatch(next -> next.node() == one.node()));
            leaving.addAll(change.draining());
            assertEquals(leaving, new HashSet<>(after.draining()));
            Set<ZoneRoute> shares = new HashSet<>(before.routes());
            shares.removeIf(
                    one ->
                            change.removedRoutes().contains(RouteTableDelta.ZonePair.of(one))
                                    || change.routes().stream()
                                            .anyMatch(
                                                    next ->
                                                            next.from() == one.from()
                                                                    && next.to() == one.to()));
            shares.addAll(change.routes());
            assertEquals(shares, new HashSet<>(after.routes()));
            assertFalse(change.isEmpty());
        }
        RouteTable table = any(random, 3);
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
