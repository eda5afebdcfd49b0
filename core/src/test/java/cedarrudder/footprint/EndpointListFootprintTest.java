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

    /** A verdict that ignored the peak would accept a list that fits at rest alone. */
    @Test
    public void listThatFitsAtRestButNotWhileItIsReadIsRejected() {
        EndpointListShape list = list(5_000);
        long rest = FOOTPRINT.atRest(list);
        Verdict verdict = FOOTPRINT.judge(EndpointListShape.NONE, list, 5_000, true, rest + 1000);
        assertFalse(verdict.fits());
        assertEquals(verdict.bound(), Bound.HEAP_AT_PEAK);
        assertEquals(verdict.needed(), FOOTPRINT.peakOfRepeatedList(list));
        assertTrue(
                verdict.needed() > rest + FOOTPRINT.readingOverhead(list, 5_000),
                "the repeated list needs more than the first one");
        assertEquals(
                FOOTPRINT.judge(EndpointListShape.NONE, list, 5_000, true, rest - 7).bound(),
                Bound.HEAP_AT_REST);
        assertTrue(
                FOOTPRINT
                        .judge(EndpointListShape.NONE, list, 5_000, true, verdict.needed())
                        .fits());
    }

    /**
     * Old and new nodes must not exist at the same time if there is capacity for either of them
     * alone.
     */
    @Test
    public void replacementListOfTheSameSizeFitsInSteps() {
        EndpointListShape list = list(5_000);
        long capacity = FOOTPRINT.peakOfRepeatedList(list) + 1_000_000;
        assertTrue(FOOTPRINT.judge(list, list, 0, true, capacity).fits());
        Verdict replacement = FOOTPRINT.judge(list, list, 5_000, true, capacity);
        assertFalse(replacement.fits());
        assertTrue(
                replacement.step() > 1_000 && replacement.step() < 5_000, replacement.toString());
        assertTrue(
                FOOTPRINT.atPeak(list, list, replacement.step(), replacement.step()) <= capacity);
        assertTrue(
                FOOTPRINT.atPeak(list, list, replacement.step() + 1, replacement.step() + 1)
                        > capacity);
    }

    /**
     * Operators must not be shown only that a list does not fit if its repeated sending loads it in
     * steps.
     */
    @Test
    public void stepsEqualThoseOfARepeatedlySentList() {
        EndpointListShape list = list(5_000);
        long capacity = FOOTPRINT.peakOfRepeatedList(list) + 1_000_000;
        List<Integer> steps = FOOTPRINT.steps(list, list, 5_000, true, capacity);
        assertEquals(steps.stream().mapToInt(Integer::intValue).sum(), 5_000);
        assertEquals(
                steps.get(0), (Integer) FOOTPRINT.judge(list, list, 5_000, true, capacity).step());
        assertEquals(
                FOOTPRINT.steps(EndpointListShape.NONE, list, 5_000, true, capacity),
                List.of(5_000),
                "in one step");
        List<Integer> partialSteps = FOOTPRINT.steps(list, list(50_000), 45_000, true, capacity);
        assertTrue(
                partialSteps.stream().mapToInt(Integer::intValue).sum() < 45_000,
                partialSteps.toString());
        int max = FOOTPRINT.max(list, capacity);
        assertTrue(FOOTPRINT.judge(EndpointListShape.NONE, list(max), max, true, capacity).fits());
        assertFalse(
                FOOTPRINT
                        .judge(EndpointListShape.NONE, list(max + 50), max + 50, true, capacity)
                        .fits());
    }

    /**
     * If changes were loaded although the full list could not be read again, the replica would not
     * be notified of a drain.
     */
    @Test
    public void changesLeaveCapacityToReadTheFullListAgain() {
        EndpointListShape loaded = list(4_000);
        long capacity = FOOTPRINT.peakOfRepeatedList(list(5_000));
        Verdict verdict = FOOTPRINT.judge(loaded, list(2_000), 2_000, false, capacity);
        assertEquals(verdict.step(), 1_000, 10);
        assertTrue(
                FOOTPRINT.atPeak(loaded, list(2_000), 2_000, 2_000) < capacity,
                "while the changes are read");
    }

    /** The time of an estimate must not grow with the number of nodes. */
    @Test
    public void estimateTakesUnderOneMillisecond() {
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
