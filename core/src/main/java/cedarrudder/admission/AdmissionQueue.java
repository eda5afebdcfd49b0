package cedarrudder.admission;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Function;
import java.util.function.IntToDoubleFunction;
import java.util.function.Predicate;

/**
 * Requests that wait for capacity, in lanes of equal priority: the lane of highest priority goes
 * first, and in a lane the one that arrived first. So load is shed by priority and not by chance.
 *
 * @param <T> a request
 */
public final class AdmissionQueue<T> {

    /** What became of a request that was offered capacity. */
    public enum Offer {
        /** It no longer waits. */
        TAKEN,
        /** There is no capacity for this one, though there may be for others. */
        SKIPPED,
        /** There is no capacity for any. */
        NO_CAPACITY
    }

    private record Waiting<T>(long arrival, T request) {}

    private final List<ArrayDeque<Waiting<T>>> lanes = new ArrayList<>();
    private final List<Integer> order = new ArrayList<>();
    private int size;
    private long arrivals;

    /** An empty queue with this many lanes. */
    public AdmissionQueue(int lanes) {
        for (int i = 0; i < lanes; i++) {
            this.lanes.add(new ArrayDeque<>());
        }
    }

    /** Adds a request at the end of a lane. */
    public void add(int lane, T request) {
        lanes.get(lane).addLast(new Waiting<>(arrivals++, request));
        size++;
    }

    /** How many requests wait. */
    public int size() {
        return size;
    }

    /**
     * Offers capacity to those that wait until there is none. Of lanes of equal priority the one
     * whose first request arrived first goes first.
     */
    public void dispatch(IntToDoubleFunction priority, Function<T, Offer> offer) {
        sortLanes(priority);
        for (int lane : order) {
            if (dispatchLane(lanes.get(lane), offer) == Offer.NO_CAPACITY) {
                return;
            }
        }
    }

    private void sortLanes(IntToDoubleFunction priority) {
        order.clear();
        for (int i = 0; i < lanes.size(); i++) {
            if (!lanes.get(i).isEmpty()) {
                order.add(i);
            }
        }
        order.sort(
                Comparator.comparingDouble((Integer lane) -> -priority.applyAsDouble(lane))
                        .thenComparingLong(lane -> lanes.get(lane).peekFirst().arrival()));
    }

    /** Offers capacity to the requests of a lane; returns the answer of the last one. */
    private Offer dispatchLane(ArrayDeque<Waiting<T>> lane, Function<T, Offer> offer) {
        Offer answer = Offer.TAKEN;
        while (answer == Offer.TAKEN && !lane.isEmpty()) {
            answer = offer.apply(lane.peekFirst().request());
            if (answer == Offer.TAKEN) {
                lane.removeFirst();
                size--;
            }
        }
        return answer;
    }

    /** Removes all that match and returns them. */
    public List<T> removeIf(Predicate<T> matches) {
        List<T> removed = new ArrayList<>();
        for (ArrayDeque<Waiting<T>> lane : lanes) {
            lane.removeIf(
                    waiting -> matches.test(waiting.request()) && removed.add(waiting.request()));
        }
        size -= removed.size();
        return removed;
    }
}
