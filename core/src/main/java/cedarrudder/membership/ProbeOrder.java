package cedarrudder.membership;

import java.util.function.IntPredicate;
import java.util.random.RandomGenerator;

/** The order in which instances are probed: each once in a random order, then in another. */
final class ProbeOrder {

    /** In place of an instance where none is alive. */
    static final int NONE = -1;

    private final RandomGenerator random;
    private final int[] order;
    private int next;

    /** All instances but this one, in a random order. */
    ProbeOrder(int instances, int self, RandomGenerator random) {
        this.random = random;
        this.order = new int[instances - 1];
        for (int i = 0; i < order.length; i++) {
            order[i] = i < self ? i : i + 1;
        }
        shuffle();
    }

    /** The next instance to probe, of those that are live; {@link #NONE} where none is. */
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

    /** All instances in the current order; not to be changed. */
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
