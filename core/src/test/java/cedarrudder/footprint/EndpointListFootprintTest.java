package cedarrudder.footprint;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import cedarrudder.footprint.EndpointListFootprint.Bound;
import cedarrudder.footprint.EndpointListFootprint.Verdict;
import java.util.List;
import org.testng.annotations.Test;

public class EndpointListFootprintTest {

    private static final EndpointListFootprint FOOTPRINT =
            new EndpointListFootprint(ObjectLayout.of(true, true, 8));

    private static EndpointListShape list(int nodes) {
        return new EndpointListShape(nodes, nodes * 150L, nodes * 10L, nodes * 37L);
    }

    /** Detects a verdict that forgets the peak: what fits at rest alone is refused. */
    @Test
    public void whatFitsAtRestAndNotWhileItIsReadIsRefused() {
        EndpointListShape list = list(5_000);
        long rest = FOOTPRINT.atRest(list);
        Verdict verdict = FOOTPRINT.judge(EndpointListShape.NONE, list, 5_000, true, rest + 1000);
        assertFalse(verdict.fits());
        assertEquals(verdict.bound(), Bound.HEAP_AT_PEAK);
        assertEquals(verdict.needed(), FOOTPRINT.peakOfRepeatedList(list));
        assertTrue(
                verdict.needed() > rest + FOOTPRINT.reading(list, 5_000),
                "more than the first time");
        assertEquals(
                FOOTPRINT.judge(EndpointListShape.NONE, list, 5_000, true, rest - 7).bound(),
                Bound.HEAP_AT_REST);
        assertTrue(
                FOOTPRINT
                        .judge(EndpointListShape.NONE, list, 5_000, true, verdict.needed())
                        .fits());
    }

    /** Detects old and new nodes side by side where there is room for either alone. */
    @Test
    public void anotherListOfTheSameSizeFitsInSteps() {
        EndpointListShape list = list(5_000);
        long room = FOOTPRINT.peakOfRepeatedList(list) + 1_000_000;
        assertTrue(FOOTPRINT.judge(list, list, 0, true, room).fits());
        Verdict other = FOOTPRINT.judge(list, list, 5_000, true, room);
        assertFalse(other.fits());
        assertTrue(other.step() > 1_000 && other.step() < 5_000, other.toString());
        assertTrue(FOOTPRINT.atPeak(list, list, other.step(), other.step()) <= room);
        assertTrue(FOOTPRINT.atPeak(list, list, other.step() + 1, other.step() + 1) > room);
    }

    /** Detects operators who hear only that a list does not fit, where it gets in by itself. */
    @Test
    public void theStepsAreThoseThatComeWhenTheListIsToldAgainAndAgain() {
        EndpointListShape list = list(5_000);
        long room = FOOTPRINT.peakOfRepeatedList(list) + 1_000_000;
        List<Integer> steps = FOOTPRINT.steps(list, list, 5_000, true, room);
        assertEquals(steps.stream().mapToInt(Integer::intValue).sum(), 5_000);
        assertEquals(steps.get(0), (Integer) FOOTPRINT.judge(list, list, 5_000, true, room).step());
        assertEquals(
                FOOTPRINT.steps(EndpointListShape.NONE, list, 5_000, true, room),
                List.of(5_000),
                "at once");
        List<Integer> never = FOOTPRINT.steps(list, list(50_000), 45_000, true, room);
        assertTrue(never.stream().mapToInt(Integer::intValue).sum() < 45_000, never.toString());
        int max = FOOTPRINT.max(list, room);
        assertTrue(FOOTPRINT.judge(EndpointListShape.NONE, list(max), max, true, room).fits());
        assertFalse(
                FOOTPRINT
                        .judge(EndpointListShape.NONE, list(max + 50), max + 50, true, room)
                        .fits());
    }

    /** Detects changes that are held and can't be told again: of a drain nothing would be heard. */
    @Test
    public void changesLeaveRoomForTheWholeListToBeReadAgain() {
        EndpointListShape held = list(4_000);
        long room = FOOTPRINT.peakOfRepeatedList(list(5_000));
        Verdict verdict = FOOTPRINT.judge(held, list(2_000), 2_000, false, room);
        assertEquals(verdict.step(), 1_000, 10);
        assertTrue(
                FOOTPRINT.atPeak(held, list(2_000), 2_000, 2_000) < room,
                "while the changes are read");
    }

    /** Detects an estimate that takes time by the node. */
    @Test
    public void anEstimateTakesUnderAMillisecond() {
        EndpointListShape list = list(1_000);
        long best = Long.MAX_VALUE;
        for (int i = 0; i < 20; i++) {
            long from = System.nanoTime();
            assertFalse(FOOTPRINT.judge(list, list, 500, true, 1_500_000).fits());
            best = Math.min(best, System.nanoTime() - from);
        }
        assertTrue(best < 1_000_000, best + " ns");
    }
}
