package cedarrudder.admission;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** What it is worth to serve each class next. */
public class ClassPriorityTest {

    private static ClassPriority worths(double worstClass, double... perWork) {
        ClassPriority worth = new ClassPriority(perWork.length, 0.6, worstClass, 0.05);
        for (int i = 0; i < perWork.length; i++) {
            worth.perWork(i, perWork[i]);
        }
        return worth;
    }

    @Test
    public void withNothingServedTheWorthForTheWorkDecides() {
        ClassPriority worth = worths(0.2, 5, 2, 8);
        assertTrue(worth.next(2, false) > worth.next(0, false));
        assertTrue(worth.next(0, false) > worth.next(1, false));
    }

    @Test
    public void theClassThatIsServedWorstRises() {
        ClassPriority worth = worths(0.2, 5, 4);
        for (int i = 0; i < 100; i++) {
            worth.asked(i, 0, 1);
            worth.asked(i, 1, 1);
            worth.served(i, 0, 1);
        }
        assertTrue(worth.next(1, false) > worth.next(0, false), "it is served worst by far");
        assertEquals(worth.next(0, false), 0.6 * 5, 1e-6, "the other counts in the whole only");
        assertEquals(worth.next(1, false), 4 * (0.6 + 0.2 * 2), 1e-6);
    }

    @Test
    public void withoutWeightOnTheWorstNoneRises() {
        ClassPriority worth = worths(0, 5, 4);
        worth.asked(0, 0, 1);
        worth.asked(0, 1, 1);
        worth.served(0, 0, 1);
        assertTrue(worth.next(0, false) > worth.next(1, false));
    }

    @Test
    public void whatIsPastATenantsShareComesLast() {
        ClassPriority worth = worths(0.2, 5, 2, 8);
        assertTrue(worth.next(2, true) < worth.next(1, false));
        assertTrue(
                new ClassPriority(1, 1, 0, 0).next(0, true) > 0,
                "but is served where there is room");
    }

    @Test
    public void theLongAgoIsForgotten() {
        ClassPriority worth = worths(0.2, 1, 1);
        long second = 1_000_000_000L;
        worth.asked(0, 0, 1000);
        worth.served(0, 0, 1000);
        worth.asked(0, 1, 1000);
        // A minute later it is the other one that gets nothing.
        worth.asked(120 * second, 0, 100);
        worth.asked(120 * second, 1, 100);
        worth.served(120 * second, 1, 100);
        assertTrue(worth.next(0, false) > worth.next(1, false));
    }
}
