package cedarrudder.admission;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** What it is worth to serve each class next. */
public class ClassPriorityTest {

    private static ClassPriority worths(double worstClass, double... perWork) {
        ClassPriority worth = new ClassPriority(perWork.length, 0.6, worstClass, 0.05);
        for (int i = 0; i < perWork.length; i++) {
            worth.weightPerWork(i, perWork[i]);
        }
        return worth;
    }

    @Test
    public void withNothingServedTheWorthForTheWorkDecides() {
        ClassPriority worth = worths(0.2, 5, 2, 8);
        assertTrue(worth.priority(2, false) > worth.priority(0, false));
        assertTrue(worth.priority(0, false) > worth.priority(1, false));
    }

    @Test
    public void theClassThatIsServedWorstRises() {
        ClassPriority worth = worths(0.2, 5, 4);
        for (int i = 0; i < 100; i++) {
            worth.onRequest(i, 0, 1);
            worth.onRequest(i, 1, 1);
            worth.onServed(i, 0, 1);
        }
        assertTrue(
                worth.priority(1, false) > worth.priority(0, false), "it is served worst by far");
        assertEquals(worth.priority(0, false), 0.6 * 5, 1e-6, "the other counts in the whole only");
        assertEquals(worth.priority(1, false), 4 * (0.6 + 0.2 * 2), 1e-6);
    }

    @Test
    public void withoutWeightOnTheWorstNoneRises() {
        ClassPriority worth = worths(0, 5, 4);
        worth.onRequest(0, 0, 1);
        worth.onRequest(0, 1, 1);
        worth.onServed(0, 0, 1);
        assertTrue(worth.priority(0, false) > worth.priority(1, false));
    }

    @Test
    public void whatIsPastATenantsShareComesLast() {
        ClassPriority worth = worths(0.2, 5, 2, 8);
        assertTrue(worth.priority(2, true) < worth.priority(1, false));
        assertTrue(
                new ClassPriority(1, 1, 0, 0).priority(0, true) > 0,
                "but is served where there is room");
    }

    @Test
    public void theLongAgoIsForgotten() {
        ClassPriority worth = worths(0.2, 1, 1);
        long second = 1_000_000_000L;
        worth.onRequest(0, 0, 1000);
        worth.onServed(0, 0, 1000);
        worth.onRequest(0, 1, 1000);
        // A minute later it is the other one that gets nothing.
        worth.onRequest(120 * second, 0, 100);
        worth.onRequest(120 * second, 1, 100);
        worth.onServed(120 * second, 1, 100);
        assertTrue(worth.priority(0, false) > worth.priority(1, false));
    }
}
