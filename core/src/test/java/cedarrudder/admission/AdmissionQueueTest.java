package cedarrudder.admission;

import static org.testng.Assert.assertEquals;

import cedarrudder.admission.AdmissionQueue.Offer;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests the order of waiting requests, and that no request blocks the others. */
public class AdmissionQueueTest {

    private final List<String> offered = new ArrayList<>();
    private double[] priorities;
    private AdmissionQueue<String> queue;

    private void offer(int capacity, Offer otherwise) {
        offered.clear();
        int[] left = {capacity};
        queue.dispatch(
                lane -> priorities[lane],
                request -> {
                    offered.add(request);
                    return left[0]-- > 0 ? Offer.TAKEN : otherwise;
                });
    }

    @BeforeMethod
    public void fillQueue() {
        priorities = new double[] {1, 3, 2};
        queue = new AdmissionQueue<>(3);
        queue.add(0, "least");
        queue.add(2, "middle 1");
        queue.add(2, "middle 2");
        queue.add(1, "most");
    }

    @Test
    public void highestPriorityIsServedFirstAndALaneInOrderOfArrival() {
        offer(4, Offer.NO_CAPACITY);
        assertEquals(offered, List.of("most", "middle 1", "middle 2", "least"));
        assertEquals(queue.size(), 0);
    }

    @Test
    public void noFurtherRequestIsOfferedCapacityOnceThereIsNone() {
        offer(1, Offer.NO_CAPACITY);
        assertEquals(offered, List.of("most", "middle 1"));
        assertEquals(queue.size(), 3);
    }

    @Test
    public void skippedRequestBlocksOnlyItsOwnLane() {
        offer(0, Offer.SKIPPED);
        assertEquals(offered, List.of("most", "middle 1", "least"));
        assertEquals(queue.size(), 4);
    }

    @Test
    public void prioritiesAreEvaluatedAtEachDispatch() {
        priorities[0] = 9;
        offer(1, Offer.NO_CAPACITY);
        assertEquals(offered, List.of("least", "most"));
    }

    @Test
    public void lanesOfEqualPriorityAreServedInOrderOfArrival() {
        priorities[1] = priorities[2] = priorities[0];
        offer(3, Offer.NO_CAPACITY);
        assertEquals(offered, List.of("least", "middle 1", "middle 2", "most"));
    }

    @Test
    public void removeIfRemovesMatchesFromEveryLane() {
        List<String> left = queue.removeIf(request -> request.startsWith("m"));
        assertEquals(left, List.of("most", "middle 1", "middle 2"));
        assertEquals(queue.size(), 1);
        offer(9, Offer.NO_CAPACITY);
        assertEquals(offered, List.of("least"));
    }
}
