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
            int nodes, int callers, int channels, int bodies, long bytes) {
        return new ProcessShape(list(nodes), 12, 2, 3, 20, null, callers, channels, bodies, bytes);
    }

    private static ProcessShape with(RouteTable table) {
        return new ProcessShape(list(1_000), 12, 2, 3, 20, table, 50, 20, 0, 0);
    }

    /** Detects a term that is forgotten in the sum, or counts under another bound. */
    @Test
    public void eachTermAddsToWhatItTakes() {
        MemoryEstimate none = FOOTPRINT.estimate(replica(1_000, 0, 0, 0, 0));
        MemoryEstimate callers = FOOTPRINT.estimate(replica(1_000, 100, 0, 0, 0)).minus(none);
        assertEquals(callers.descriptors(), 100);
        assertTrue(callers.rest() > 200_000 && callers.rest() == callers.peak());
        assertEquals(FOOTPRINT.estimate(replica(1_000, 0, 40, 0, 0)).minus(none).descriptors(), 40);
        MemoryEstimate bodies = FOOTPRINT.estimate(replica(1_000, 0, 0, 10, 600_000)).minus(none);
        assertTrue(
                bodies.rest() > 600_000
                        && bodies.direct() >= 9 * 32_768
                        && bodies.descriptors() == 0);
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
                FOOTPRINT.estimate(with(table)).minus(FOOTPRINT.estimate(with(null)));
        assertTrue(
                tables.rest() > 500 * 28 && tables.peak() > 2 * tables.rest(), tables.toString());
        assertEquals(
                FOOTPRINT.terms(with(table)).stream().map(Term::name).toList(),
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
    public void oneMoreNodeTakesWhatAThousandTakeByTheThousand() {
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

    /** Detects a verdict that names a bound which is not the one that binds. */
    @Test
    public void theBoundThatBindsIsNamedWithWhatLacks() {
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
                "no bound is known");
    }

    /**
     * Detects an estimate that takes time by the node, or a table read anew for each of its parts.
     */
    @Test
    public void aCopyOfAThousandEntriesIsJudgedInUnderAMillisecondOnceItIsWarm() {
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
            assertTrue(FOOTPRINT.judge(with(table), LARGE).fits());
            best = Math.min(best, System.nanoTime() - from);
        }
        System.out.println("a copy with 1,000 nodes and 1,000 leaving judged in " + best + " ns");
        assertTrue(best < 1_000_000, best + " ns");
    }
}
