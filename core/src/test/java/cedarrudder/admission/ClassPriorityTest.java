package cedarrudder.admission;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Tests the priority of serving each class next. */
public class ClassPriorityTest {

    private static ClassPriority priorities(double worstClass, double... perWork) {
        ClassPriority classPriority = new ClassPriority(perWork.length, 0.6, worstClass, 0.05);
        for (int i = 0; i < perWork.length; i++) {
            classPriority.weightPerWork(i, perWork[i]);
        }
        return classPriority;
    }

    @Test
    public void weightPerWorkDecidesIfNothingWasServed() {
        ClassPriority classPriority = priorities(0.2, 5, 2, 8);
        assertTrue(classPriority.priority(2, false) > classPriority.priority(0, false));
        assertTrue(classPriority.priority(0, false) > classPriority.priority(1, false));
    }

    @Test
    public void classThatIsServedWorstGetsHigherPriority() {
        ClassPriority classPriority = priorities(0.2, 5, 4);
        for (int i = 0; i < 100; i++) {
            classPriority.onRequest(i, 0, 1);
            classPriority.onRequest(i, 1, 1);
            classPriority.onServed(i, 0, 1);
        }
        assertTrue(
                classPriority.priority(1, false) > classPriority.priority(0, false),
                "it is served worst by far");
        assertEquals(
                classPriority.priority(0, false),
                0.6 * 5,
                1e-6,
                "the other counts in the overall term only");
        assertEquals(classPriority.priority(1, false), 4 * (0.6 + 0.2 * 2), 1e-6);
    }

    @Test
    public void zeroWorstClassWeightFavoursNoClass() {
        ClassPriority classPriority = priorities(0, 5, 4);
        classPriority.onRequest(0, 0, 1);
        classPriority.onRequest(0, 1, 1);
        classPriority.onServed(0, 0, 1);
        assertTrue(classPriority.priority(0, false) > classPriority.priority(1, false));
    }

    @Test
    public void requestsOverTheirTenantsQuotaComeLast() {
        ClassPriority classPriority = priorities(0.2, 5, 2, 8);
        assertTrue(classPriority.priority(2, true) < classPriority.priority(1, false));
        assertTrue(
                new ClassPriority(1, 1, 0, 0).priority(0, true) > 0,
                "but is served if there is capacity");
    }

    @Test
    public void oldCountsDecay() {
        ClassPriority classPriority = priorities(0.2, 1, 1);
        long second = 1_000_000_000L;
        classPriority.onRequest(0, 0, 1000);
        classPriority.onServed(0, 0, 1000);
        classPriority.onRequest(0, 1, 1000);
        // Two minutes later the other class gets nothing.
        classPriority.onRequest(120 * second, 0, 100);
        classPriority.onRequest(120 * second, 1, 100);
        classPriority.onServed(120 * second, 1, 100);
        assertTrue(classPriority.priority(0, false) > classPriority.priority(1, false));
    }
}
