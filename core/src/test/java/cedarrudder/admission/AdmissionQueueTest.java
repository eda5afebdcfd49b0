package cedarrudder.admission;

import static org.testng.Assert.assertEquals;

import cedarrudder.admission.AdmissionQueue.Offer;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Who goes first, and who must not hold up the others. */
public class AdmissionQueueTest {

    private final List<String> offered = new ArrayList<>();
    private double[] worth;
    private AdmissionQueue<String> line;

    private void offer(int room, Offer otherwise) {
        offered.clear();
        int[] left = {room};
        line.dispatch(
                lane -> worth[lane],
                request -> {
                    offered.add(request);
                    return left[0]-- > 0 ? Offer.TAKEN : otherwise;
                });
    }

    @BeforeMethod
    public void fill() {
        worth = new double[] {1, 3, 2};
        line = new AdmissionQueue<>(3);
        line.add(0, "least");
        line.add(2, "middle 1");
        line.add(2, "middle 2");
        line.add(1, "most");
    }

    @Test
    public void theWorthiestGoFirstAndInALaneWhoCameFirst() {
        offer(4, Offer.NO_CAPACITY);
        assertEquals(offered, List.of("most", "middle 1", "middle 2", "least"));
        assertEquals(line.size(), 0);
    }

    @Test
    public void whereThereIsNoRoomNobodyElseIsOfferedIt() {
        offer(1, Offer.NO_CAPACITY);
        assertEquals(offered, List.of("most", "middle 1"));
        assertEquals(line.size(), 3);
    }

    @Test
    public void whoFitsNowhereHoldsUpNoOtherLane() {
        offer(0, Offer.SKIPPED);
        assertEquals(offered, List.of("most", "middle 1", "least"));
        assertEquals(line.size(), 4);
    }

    @Test
    public void worthIsAskedAnewEachTime() {
        worth[0] = 9;
        offer(1, Offer.NO_CAPACITY);
        assertEquals(offered, List.of("least", "most"));
    }

    @Test
    public void ofEqualWorthWhoCameFirstGoesFirst() {
        worth[1] = worth[2] = worth[0];
        offer(3, Offer.NO_CAPACITY);
        assertEquals(offered, List.of("least", "middle 1", "middle 2", "most"));
    }

    @Test
    public void whoLeavesIsTakenOutOfEachLane() {
        List<String> left = line.removeIf(request -> request.startsWith("m"));
        assertEquals(left, List.of("most", "middle 1", "middle 2"));
        assertEquals(line.size(), 1);
        offer(9, Offer.NO_CAPACITY);
        assertEquals(offered, List.of("least"));
    }
}
