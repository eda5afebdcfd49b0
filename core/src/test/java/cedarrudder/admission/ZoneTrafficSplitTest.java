package cedarrudder.admission;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import cedarrudder.admission.ZoneTrafficSplit.Part;
import java.util.List;
import java.util.SplittableRandom;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class ZoneTrafficSplitTest {

    private static final int WHOLE = 10_000;
    private static final long MS = 1_000_000L;

    private ZoneTrafficSplit deal;

    @BeforeMethod
    public void begin() {
        deal = new ZoneTrafficSplit(0, WHOLE, new SplittableRandom(7));
    }

    private int next(long now, double part) {
        int zone = deal.assignZone(now, part, true);
        deal.onSent(zone);
        return zone;
    }

    /** Detects draws, of which a hundredth strays by a third in a thousand calls. */
    @Test
    public void anyRunOfCallsIsNearItsParts() {
        deal.update(List.of(new Part(0, 9_900, 0), new Part(3, 100, 0)));
        int[] far = new int[20_000];
        for (int i = 0; i < far.length; i++) {
            far[i] = (i == 0 ? 0 : far[i - 1]) + (next(i, 1) == 3 ? 1 : 0);
            int since = Math.max(0, i - 1_000);
            assertEquals(
                    far[i] - far[since], (i - since) / 100.0, 2, "calls " + since + " to " + i);
        }
    }

    /**
     * Detects replicas that turn to a zone all at once, and against a part that new tables starve.
     */
    @Test
    public void copiesBeginAtDifferentPointsAndGoOnOverNewTables() {
        int first = 0;
        int far = 0;
        for (int replica = 0; replica < 500; replica++) {
            ZoneTrafficSplit own = new ZoneTrafficSplit(0, WHOLE, new SplittableRandom(replica));
            for (int i = 0; i < 40; i++) {
                own.update(List.of(new Part(0, 9_000, 0), new Part(3, 1_000, 0)));
                boolean gone = own.assignZone(0, 1, true) == 3;
                first += gone && i == 0 ? 1 : 0;
                far += gone ? 1 : 0;
            }
        }
        assertEquals(first, 50, 25);
        assertEquals(far, 2_000, 100);
    }

    /** Detects a bound that is none, and against new savings with each table. */
    @Test
    public void aBoundHoldsHoweverOftenItIsSetAndTheNextZoneGetsTheRest() {
        int bounded = 0;
        for (int i = 0; i < 2_000; i++) {
            deal.update(List.of(new Part(3, 9_000, 50), new Part(0, 1_000, 0)));
            if (i % 10 == 5) {
                deal.update(List.of(new Part(0, 1_000, 0)));
                deal.update(List.of(new Part(3, 9_000, 50), new Part(0, 1_000, 0)));
            }
            int zone = next(i * 5 * MS, 1);
            assertTrue(zone == 0 || zone == 3, "call " + i + " to " + zone);
            bounded += zone == 3 ? 1 : 0;
        }
        assertEquals(bounded, 50 * 10 + 25, 3);
    }

    @Test
    public void whereAllBoundsAreReachedItFitsNowhereTheLeastWorthyFirst() {
        deal.update(List.of(new Part(3, 9_000, 20), new Part(0, 1_000, 30)));
        int[] came = new int[2];
        int[] fit = new int[2];
        for (int i = 0; i < 2_000; i++) {
            int worthy = i % 5 == 0 ? 1 : 0; // 40 a second of 200
            came[worthy]++;
            fit[worthy] +=
                    next(i * 5 * MS, worthy == 1 ? 1 : 0.4) == ZoneTrafficSplit.NO_ZONE ? 0 : 1;
        }
        assertEquals(fit[1], came[1], "of " + came[1]);
        assertEquals(fit[0], 100 + 15, 10);
    }

    @Test
    public void whatIsLeftOfTheWholeFitsNowhereTheLeastWorthyFirst() {
        deal.update(List.of(new Part(0, 7_000, 0)));
        int[] fit = new int[2];
        for (int i = 0; i < 10_000; i++) {
            fit[i % 2] += next(i, i % 2 == 1 ? 1 : 0.4) == ZoneTrafficSplit.NO_ZONE ? 0 : 1;
        }
        assertEquals(fit[1], 5_000);
        assertEquals(fit[0], 2_000, 20);
    }

    /** Detects a call that doesn't go taking the place of one that may. */
    @Test
    public void callsThatAreTurnedAwayLeaveTheirPlaceToOthers() {
        deal.update(List.of(new Part(0, 5_000, 0)));
        int fit = 0;
        for (int i = 0; i < 1_000; i++) {
            fit += deal.assignZone(i, 1, i % 2 == 0) == ZoneTrafficSplit.NO_ZONE ? 0 : 1;
        }
        assertEquals(fit, 500);
    }

    /** Detects turning calls away for a debt of a former table. */
    @Test
    public void whatIsWholeAgainTurnsNoneAway() {
        deal.update(List.of(new Part(0, 1, 0)));
        for (int i = 0; i < 1_000; i++) {
            next(i, 1);
        }
        assertEquals(next(1_000, 0.4), ZoneTrafficSplit.NO_ZONE);
        deal.update(List.of(new Part(0, WHOLE, 0)));
        for (int i = 0; i < 1_000; i++) {
            assertEquals(next(i, 0.1), 0);
        }
    }

    @Test
    public void theOwnZoneStandsInFirstThenTheOthersInOrder() {
        deal.update(List.of(new Part(5, 1_000, 0), new Part(2, 1_000, 0), new Part(0, 1_000, 0)));
        assertEquals(deal.candidates(0, 2, 1), new int[] {2, 0, 5});
        assertEquals(deal.candidates(0, 9, 1), new int[] {0, 5, 2});
        assertTrue(deal.isServing(5) && !deal.isServing(9));
    }

    @Test
    public void whatIsWrongChangesNothing() {
        deal.update(List.of(new Part(2, WHOLE, 0)));
        assertThrows(
                IllegalArgumentException.class,
                () -> deal.update(List.of(new Part(1, 1, 0), new Part(1, 1, 0))));
        assertThrows(
                IllegalArgumentException.class,
                () -> deal.update(List.of(new Part(1, WHOLE, 0), new Part(3, 1, 0))));
        assertEquals(next(0, 1), 2);
    }
}
