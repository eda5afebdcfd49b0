package cedarrudder.membership;

import java.util.function.IntPredicate;
import java.util.random.RandomGenerator;

/**
 * The order in which instances are probed: all of them once in a random order, then again in a new
 * random order.
 */
final class ProbeOrder {

    /** Returned in place of an instance if none is live. */
    static final int NONE = -1;

    private final RandomGenerator random;
    private final int[] order;
    private int next;

    /** Creates a random order of all instances but this one. */
    ProbeOrder(int instances, int self, RandomGenerator random) {
        this.random = random;
        this.order = new int[instances - 1];
        for (int i = 0; i < order.length; i++) {
            order[i] = i < self ? i : i + 1;
        }
        shuffle();
    }

    /** Returns the next live instance to probe; {@link #NONE} if there is none. */
    int next(IntPredicate isLive) {
        for (int tried = 0; tried < order.length; tried++) {
            if (next == order.length) {
                next = 0;
                shuffle();
            }
            int number = order[next++];
            if (isLive.test(number)) {
                return number;
            }
        }
        return NONE;
    }

    /** Returns all instances in the current order; the caller must not change the array. */
    int[] instances() {
        return order;
    }

    private void shuffle() {
        for (int i = order.length - 1; i > 0; i--) {
            int other = random.nextInt(i + 1);
            int swapped = order[i];
            order[i] = order[other];
            order[other] = swapped;
        }
    }
}
