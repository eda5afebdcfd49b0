package cedarrudder.admission;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Function;
import java.util.function.IntToDoubleFunction;
import java.util.function.Predicate;

/**
 * A queue of requests that wait for capacity. Each lane has one priority: the lane of highest
 * priority is served first, and within a lane the request that arrived first. So load is shed by
 * priority and not by chance.
 *
 * @param <T> the type of requests
 */
public final class AdmissionQueue<T> {

    /** The result of offering capacity to a request. */
    public enum Offer {
        /** The request was dispatched and no longer waits. */
        TAKEN,
        /** There is no capacity for this request, though there may be for others. */
        SKIPPED,
        /** There is no capacity for any request. */
        NO_CAPACITY
    }

    private record Waiting<T>(long arrival, T request) {}

    private final List<ArrayDeque<Waiting<T>>> lanes = new ArrayList<>();
    private final List<Integer> order = new ArrayList<>();
    private int size;
    private long arrivals;

    /** Creates an empty queue with this many lanes. */
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

    /** Returns the number of waiting requests. */
    public int size() {
        return size;
    }

    /**
     * Offers capacity to the waiting requests until there is none left. Of lanes of equal priority,
     * the one whose first request arrived earliest is served first.
     *
     * @param priority the priority of a lane
     * @param offer offers capacity to a request
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

    /** Offers capacity to the requests of a lane; returns the result of the last offer. */
    private Offer dispatchLane(ArrayDeque<Waiting<T>> lane, Function<T, Offer> offer) {
        Offer result = Offer.TAKEN;
        while (result == Offer.TAKEN && !lane.isEmpty()) {
            result = offer.apply(lane.peekFirst().request());
            if (result == Offer.TAKEN) {
                lane.removeFirst();
                size--;
            }
        }
        return result;
    }

    /** Removes all requests that match and returns them. */
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
