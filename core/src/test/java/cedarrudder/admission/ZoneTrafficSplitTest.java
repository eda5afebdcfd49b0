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

    private static final int TOTAL_WEIGHT = 10_000;
    private static final long MS = 1_000_000L;

    private ZoneTrafficSplit split;

    @BeforeMethod
    public void createSplit() {
        split = new ZoneTrafficSplit(0, TOTAL_WEIGHT, new SplittableRandom(7));
    }

    private int next(long now, double share) {
        int zone = split.assignZone(now, share, true);
        split.onSent(zone);
        return zone;
    }

    /** Random draws with a part of a hundredth would deviate by a third in a thousand requests. */
    @Test
    public void everyRunOfRequestsMatchesItsParts() {
        split.update(List.of(new Part(0, 9_900, 0), new Part(3, 100, 0)));
        int[] zone3Count = new int[20_000];
        for (int i = 0; i < zone3Count.length; i++) {
            zone3Count[i] = (i == 0 ? 0 : zone3Count[i - 1]) + (next(i, 1) == 3 ? 1 : 0);
            int since = Math.max(0, i - 1_000);
            assertEquals(
                    zone3Count[i] - zone3Count[since],
                    (i - since) / 100.0,
                    2,
                    "requests " + since + " to " + i);
        }
    }

    /** Replicas must not all send to one zone at once, nor frequent updates starve a small part. */
    @Test
    public void replicasStartAtDifferentPointsAndContinueAfterUpdates() {
        int first = 0;
        int zone3Count = 0;
        for (int replica = 0; replica < 500; replica++) {
            ZoneTrafficSplit own =
                    new ZoneTrafficSplit(0, TOTAL_WEIGHT, new SplittableRandom(replica));
            for (int i = 0; i < 40; i++) {
                own.update(List.of(new Part(0, 9_000, 0), new Part(3, 1_000, 0)));
                boolean sent = own.assignZone(0, 1, true) == 3;
                first += sent && i == 0 ? 1 : 0;
                zone3Count += sent ? 1 : 0;
            }
        }
        assertEquals(first, 50, 25);
        assertEquals(zone3Count, 2_000, 100);
    }

    /** An update of the parts must neither lift the maximum rate nor refill the bucket. */
    @Test
    public void maximumRateHoldsAcrossUpdatesAndTheNextZoneGetsTheRest() {
        int bounded = 0;
        for (int i = 0; i < 2_000; i++) {
            split.update(List.of(new Part(3, 9_000, 50), new Part(0, 1_000, 0)));
            if (i % 10 == 5) {
                split.update(List.of(new Part(0, 1_000, 0)));
                split.update(List.of(new Part(3, 9_000, 50), new Part(0, 1_000, 0)));
            }
            int zone = next(i * 5 * MS, 1);
            assertTrue(zone == 0 || zone == 3, "request " + i + " to " + zone);
            bounded += zone == 3 ? 1 : 0;
        }
        assertEquals(bounded, 50 * 10 + 25, 3);
    }

    @Test
    public void lowestPriorityIsShedFirstIfAllMaximumRatesAreReached() {
        split.update(List.of(new Part(3, 9_000, 20), new Part(0, 1_000, 30)));
        int[] arrived = new int[2];
        int[] fit = new int[2];
        for (int i = 0; i < 2_000; i++) {
            int important = i % 5 == 0 ? 1 : 0; // 40 a second of 200
            arrived[important]++;
            fit[important] +=
                    next(i * 5 * MS, important == 1 ? 1 : 0.4) == ZoneTrafficSplit.NO_ZONE ? 0 : 1;
        }
        assertEquals(fit[1], arrived[1], "of " + arrived[1]);
        assertEquals(fit[0], 100 + 15, 10);
    }

    @Test
    public void lowestPriorityIsShedFirstIfPartsSumToLessThanTheWhole() {
        split.update(List.of(new Part(0, 7_000, 0)));
        int[] fit = new int[2];
        for (int i = 0; i < 10_000; i++) {
            fit[i % 2] += next(i, i % 2 == 1 ? 1 : 0.4) == ZoneTrafficSplit.NO_ZONE ? 0 : 1;
        }
        assertEquals(fit[1], 5_000);
        assertEquals(fit[0], 2_000, 20);
    }

    /** A request that is not admitted must not use the token of one that is. */
    @Test
    public void rejectedRequestsLeaveTheirTokensToOthers() {
        split.update(List.of(new Part(0, 5_000, 0)));
        int fit = 0;
        for (int i = 0; i < 1_000; i++) {
            fit += split.assignZone(i, 1, i % 2 == 0) == ZoneTrafficSplit.NO_ZONE ? 0 : 1;
        }
        assertEquals(fit, 500);
    }

    /** A lack of tokens under former parts must not cause rejections under full parts. */
    @Test
    public void noRequestIsShedOncePartsSumToTheWholeAgain() {
        split.update(List.of(new Part(0, 1, 0)));
        for (int i = 0; i < 1_000; i++) {
            next(i, 1);
        }
        assertEquals(next(1_000, 0.4), ZoneTrafficSplit.NO_ZONE);
        split.update(List.of(new Part(0, TOTAL_WEIGHT, 0)));
        for (int i = 0; i < 1_000; i++) {
            assertEquals(next(i, 0.1), 0);
        }
    }

    @Test
    public void ownZoneIsTheFirstSubstituteThenTheOthersInOrder() {
        split.update(List.of(new Part(5, 1_000, 0), new Part(2, 1_000, 0), new Part(0, 1_000, 0)));
        assertEquals(split.candidates(0, 2, 1), new int[] {2, 0, 5});
        assertEquals(split.candidates(0, 9, 1), new int[] {0, 5, 2});
        assertTrue(split.isServing(5) && !split.isServing(9));
    }

    @Test
    public void invalidPartsChangeNothing() {
        split.update(List.of(new Part(2, TOTAL_WEIGHT, 0)));
        assertThrows(
                IllegalArgumentException.class,
                () -> split.update(List.of(new Part(1, 1, 0), new Part(1, 1, 0))));
        assertThrows(
                IllegalArgumentException.class,
                () -> split.update(List.of(new Part(1, TOTAL_WEIGHT, 0), new Part(3, 1, 0))));
        assertEquals(next(0, 1), 2);
    }
}
