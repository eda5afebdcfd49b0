package cedarrudder.admission;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Function;
import java.util.function.IntToDoubleFunction;
import java.util.function.Predicate;

/**
 * Requests that wait for room, in lanes of equal worth: the lane worth most goes first, and in a
 * lane who came first. So the least worth for its work goes without when there is too much, and
 * chance chooses none.
 */
public final class AdmissionQueue<T> {

    /** What became of a request that was offered room. */
    public enum Offer {
        /** It no longer waits. */
        TAKEN,
        /** There is no room for this one, though there may be for others. */
        NONE_FOR_IT,
        /** There is no room for any. */
        NONE
    }

    private record Waiter<T>(long number, T request) {}

    private final List<ArrayDeque<Waiter<T>>> lanes = new ArrayList<>();
    private final List<Integer> order = new ArrayList<>();
    private int size;
    private long came;

    public AdmissionQueue(int lanes) {
        for (int i = 0; i < lanes; i++) {
            this.lanes.add(new ArrayDeque<>());
        }
    }

    public void add(int lane, T request) {
        lanes.get(lane).addLast(new Waiter<>(came++, request));
        size++;
    }

    public int size() {
        return size;
    }

    /**
     * Offers room to those that wait until there is none; of lanes of equal worth, where one came
     * first.
     */
    public void release(IntToDoubleFunction worth, Function<T, Offer> offer) {
        order.clear();
        for (int i = 0; i < lanes.size(); i++) {
            if (!lanes.get(i).isEmpty()) {
                order.add(i);
            }
        }
        order.sort(
                Comparator.comparingDouble((Integer i) -> -worth.applyAsDouble(i))
                        .thenComparingLong(i -> lanes.get(i).peekFirst().number()));
        for (int lane : order) {
            ArrayDeque<Waiter<T>> queue = lanes.get(lane);
            Offer answer = Offer.TAKEN;
            while (answer == Offer.TAKEN && !queue.isEmpty()) {
                answer = offer.apply(queue.peekFirst().request());
                if (answer == Offer.TAKEN) {
                    queue.removeFirst();
                    size--;
                }
            }
            if (answer == Offer.NONE) {
                return;
            }
        }
    }

    /** Takes out all that no longer should wait. */
    public List<T> remove(Predicate<T> over) {
        List<T> out = new ArrayList<>();
        for (ArrayDeque<Waiter<T>> lane : lanes) {
            lane.removeIf(waiter -> over.test(waiter.request()) && out.add(waiter.request()));
        }
        size -= out.size();
        return out;
    }
}
