package cedarrudder.footprint;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import cedarrudder.footprint.Footprint.Bound;
import cedarrudder.footprint.Footprint.Verdict;
import org.testng.annotations.Test;

public class FootprintTest {

    private static final Footprint FOOTPRINT = new Footprint(Layout.of(true, true, 8));

    private static ListShape list(int nodes) {
        return new ListShape(nodes, nodes * 150L, nodes * 10L, nodes * 37L);
    }

    /** Guards against a verdict that forgets the peak: what fits at rest alone is refused. */
    @Test
    public void whatFitsAtRestAndNotWhileItIsReadIsRefused() {
        ListShape list = list(5_000);
        long rest = FOOTPRINT.atRest(list);
        Verdict verdict = FOOTPRINT.judge(ListShape.NONE, list, 0, rest + 1000);
        assertFalse(verdict.fits());
        assertEquals(verdict.bound(), Bound.HEAP_AT_PEAK);
        assertEquals(verdict.spare(), 1000 - FOOTPRINT.reading(list));
        assertEquals(FOOTPRINT.judge(ListShape.NONE, list, 0, rest - 7),
                new Verdict(false, 0, Bound.HEAP_AT_REST, -7));
    }

    /** Guards against old and new nodes side by side where there is room for either alone. */
    @Test
    public void anotherListOfTheSameSizeFitsInSteps() {
        ListShape list = list(5_000);
        long room = FOOTPRINT.atRest(list) + FOOTPRINT.reading(list) + 1_000_000;
        Verdict same = FOOTPRINT.judge(list, list, list.nodes(), room);
        assertTrue(same.fits() && same.spare() == 1_000_000, same.toString());
        Verdict other = FOOTPRINT.judge(list, list, 0, room);
        assertTrue(other.fits() && other.step() > 500 && other.step() < 1_500, other.toString());
        assertFalse(FOOTPRINT.judge(list, list, 0, room - 999_000).fits());
        assertEquals(FOOTPRINT.judge(list, list, 0, room + FOOTPRINT.atRest(list)).step(), 5_000);
    }

    /** Guards against an estimate that takes time by the node. */
    @Test
    public void anEstimateTakesUnderAMillisecond() {
        ListShape list = list(1_000);
        long best = Long.MAX_VALUE;
        for (int i = 0; i < 20; i++) {
            long from = System.nanoTime();
            FOOTPRINT.judge(list, list, 500, 50_000_000);
            best = Math.min(best, System.nanoTime() - from);
        }
        assertTrue(best < 1_000_000, best + " ns");
    }
}
