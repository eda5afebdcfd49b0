package cedarrudder.footprint;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import cedarrudder.footprint.ProcessFootprint.Bound;
import cedarrudder.footprint.ProcessFootprint.Term;
import cedarrudder.footprint.ProcessFootprint.Verdict;
import cedarrudder.routetable.RouteTable;
import cedarrudder.routetable.RouteTable.DrainingNode;
import java.util.List;
import java.util.stream.LongStream;
import org.testng.annotations.Test;

public class ProcessFootprintTest {

    private static final ProcessFootprint FOOTPRINT =
            new ProcessFootprint(ObjectLayout.of(true, true, 8));
    private static final ProcessLimits LARGE =
            new ProcessLimits(1L << 32, 1L << 33, 1L << 30, 1 << 16);

    private static EndpointListShape list(int nodes) {
        return new EndpointListShape(nodes, nodes * 150L, nodes * 10L, nodes * 37L);
    }

    private static ProcessShape replica(
            int nodes,
            int clientConnections,
            int endpointConnections,
            int activeRequests,
            long bodyBytes) {
        return new ProcessShape(
                list(nodes),
                12,
                2,
                3,
                20,
                null,
                clientConnections,
                endpointConnections,
                activeRequests,
                bodyBytes);
    }

    private static ProcessShape withTable(RouteTable table) {
        return new ProcessShape(list(1_000), 12, 2, 3, 20, table, 50, 20, 0, 0);
    }

    /** Each term must be part of the sum, under its own limit. */
    @Test
    public void eachTermAddsToItsOwnEstimate() {
        MemoryEstimate none = FOOTPRINT.estimate(replica(1_000, 0, 0, 0, 0));
        MemoryEstimate clientConnections =
                FOOTPRINT.estimate(replica(1_000, 100, 0, 0, 0)).minus(none);
        assertEquals(clientConnections.descriptors(), 100);
        assertTrue(
                clientConnections.rest() > 200_000
                        && clientConnections.rest() == clientConnections.peak());
        assertEquals(FOOTPRINT.estimate(replica(1_000, 0, 40, 0, 0)).minus(none).descriptors(), 40);
        MemoryEstimate activeRequests =
                FOOTPRINT.estimate(replica(1_000, 0, 0, 10, 600_000)).minus(none);
        assertTrue(
                activeRequests.rest() > 600_000
                        && activeRequests.direct() >= 9 * 32_768
                        && activeRequests.descriptors() == 0);
        RouteTable table =
                new RouteTable(
                        1,
                        0,
                        0,
                        1,
                        List.of(),
                        LongStream.range(0, 500).mapToObj(i -> new DrainingNode(i, 1)).toList(),
                        List.of());
        MemoryEstimate tables =
                FOOTPRINT.estimate(withTable(table)).minus(FOOTPRINT.estimate(withTable(null)));
        assertTrue(
                tables.rest() > 500 * 28 && tables.peak() > 2 * tables.rest(), tables.toString());
        assertEquals(
                FOOTPRINT.terms(withTable(table)).stream().map(Term::name).toList(),
                List.of(
                        "process",
                        "zones",
                        "kinds",
                        "classes",
                        "tenants",
                        "nodes",
                        "table",
                        "callers",
                        "channels",
                        "bodies"));
    }

    @Test
    public void oneMoreNodeNeedsAThousandthOfAThousandNodes() {
        MemoryEstimate one = FOOTPRINT.oneMoreNode(replica(1_000, 0, 0, 0, 0));
        MemoryEstimate thousand =
                FOOTPRINT
                        .estimate(replica(2_000, 0, 0, 0, 0))
                        .minus(FOOTPRINT.estimate(replica(1_000, 0, 0, 0, 0)));
        assertEquals(one.rest(), thousand.rest() / 1_000);
        assertTrue(
                one.rest() > 900 && one.peak() > one.rest() + 900 && one.descriptors() == 0,
                one.toString());
        assertEquals(FOOTPRINT.oneMoreNode(replica(0, 0, 0, 0, 0)), MemoryEstimate.NOTHING);
    }

    /** The verdict must name the exceeded limit and no other. */
    @Test
    public void exceededLimitIsReportedWithTheMissingCapacity() {
        ProcessShape replica = replica(10_000, 500, 200, 10, 600_000);
        MemoryEstimate all = FOOTPRINT.estimate(replica);
        assertTrue(FOOTPRINT.judge(replica, LARGE).fits());
        ProcessLimits[] tight = {
            new ProcessLimits(all.rest() - 5, 0, 0, 0),
            new ProcessLimits(all.peak() - 5, 0, 0, 0),
            new ProcessLimits(1L << 32, FOOTPRINT.resident(replica) - 5, 1L << 30, 1 << 16),
            new ProcessLimits(1L << 32, 0, all.direct() - 5, 1 << 16),
            new ProcessLimits(1L << 32, 1L << 33, 1L << 30, all.descriptors() - 5)
        };
        for (Bound bound : Bound.values()) {
            Verdict verdict = FOOTPRINT.judge(replica, tight[bound.ordinal()]);
            assertFalse(verdict.fits(), bound + ": " + verdict);
            assertEquals(verdict.bound(), bound);
            assertEquals(verdict.spare(), -5);
        }
        assertTrue(
                FOOTPRINT.judge(replica, new ProcessLimits(0, 0, 0, 0)).fits(),
                "no limit is known");
    }

    /**
     * The time of an estimate must not grow with the number of nodes, and no table may be encoded
     * again for each of its parts.
     */
    @Test
    public void warmCheckOfAThousandEntriesTakesUnderOneMillisecond() {
        RouteTable table =
                new RouteTable(
                        1,
                        0,
                        0,
                        1,
                        List.of(),
                        LongStream.range(0, 1_000)
                                .mapToObj(i -> new DrainingNode(i * 1_000_003, 1))
                                .toList(),
                        List.of());
        long best = Long.MAX_VALUE;
        for (int i = 0; i < 200; i++) {
            long from = System.nanoTime();
            assertTrue(FOOTPRINT.judge(withTable(table), LARGE).fits());
            best = Math.min(best, System.nanoTime() - from);
        }
        System.out.println(
                "a replica with 1,000 nodes and 1,000 draining nodes checked in " + best + " ns");
        assertTrue(best < 1_000_000, best + " ns");
    }
}
