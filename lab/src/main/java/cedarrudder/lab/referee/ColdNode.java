package cedarrudder.lab.referee;

/**
 * The work that was sent to a node since its last start, as long as it is cold: the last window of
 * it, and how much of that came from proxies that knew of the start.
 */
final class ColdNode {

    /**
     * A node that ends after more than this share of the budget was sent to it has been pushed
     * over. Less than all, since connections and a crowd take a part of what it can do, which is
     * not to be seen.
     */
    private static final double FELL = 0.8;

    final long startedAt;

    /** The proxy and the request of what was sent last. */
    int lastProxy;

    long lastRequest;

    private final long warmAt;
    private final double capacity;
    private final double coldShare;
    private final double multiple;
    private final long window;

    private long[] times = new long[16];
    private double[] works = new double[16];
    private boolean[] knew = new boolean[16];
    private int first;
    private int size;
    private double sum;
    private double sumKnew;
    private boolean pushedOver;

    /** Capacity is in cores of speed 1, times in nanoseconds. */
    ColdNode(
            long startedAt,
            long warmAt,
            double capacity,
            double coldShare,
            double multiple,
            long window) {
        this.startedAt = startedAt;
        this.warmAt = warmAt;
        this.capacity = capacity;
        this.coldShare = coldShare;
        this.multiple = multiple;
        this.window = window;
    }

    boolean cold(long now) {
        return now < warmAt;
    }

    /** What it can do now, in cores of speed 1. */
    private double capacityAt(long now) {
        double warm = (double) (now - startedAt) / Math.max(1, warmAt - startedAt);
        return capacity * (coldShare + (1 - coldShare) * Math.min(1, warm));
    }

    /**
     * Counts work, and tells whether it pushes the node over: the window that ends now holds more
     * than the budget besides its heaviest attempt, and two thirds of it came from proxies that
     * knew. Tells so once.
     */
    boolean sent(long now, double work, boolean proxyKnew) {
        while (size > 0 && times[first] <= now - window) {
            sum -= works[first];
            sumKnew -= knew[first] ? works[first] : 0;
            first = (first + 1) % times.length;
            size--;
        }
        if (size == 0) {
            // Exactly nothing: this avoids rounding errors that add up.
            sum = 0;
            sumKnew = 0;
        }
        if (size == times.length) {
            grow();
        }
        int at = (first + size++) % times.length;
        times[at] = now;
        works[at] = work;
        knew[at] = proxyKnew;
        sum += work;
        sumKnew += proxyKnew ? work : 0;
        return pushed(now, 1);
    }

    /** It has ended: whether that is for what it was sent, and hasn't been told yet. */
    boolean fell(long now) {
        return pushed(now, FELL);
    }

    private boolean pushed(long now, double share) {
        double budget = share * multiple * capacityAt(now) * window;
        boolean over =
                !pushedOver && sum > budget && sumKnew * 3 >= sum * 2 && sum > budget + heaviest();
        pushedOver |= over;
        return over;
    }

    /** Takes back work that was sent at this instant and has turned out never to have come. */
    void takeBack(long at, double work, boolean proxyKnew) {
        for (int i = size - 1; i >= 0; i--) {
            int slot = (first + i) % times.length;
            if (times[slot] == at && works[slot] == work && knew[slot] == proxyKnew) {
                works[slot] = 0;
                sum -= work;
                sumKnew -= proxyKnew ? work : 0;
                return;
            }
        }
    }

    private double heaviest() {
        double max = 0;
        for (int i = 0; i < size; i++) {
            max = Math.max(max, works[(first + i) % works.length]);
        }
        return max;
    }

    private void grow() {
        int length = times.length;
        long[] newTimes = new long[2 * length];
        double[] newWorks = new double[2 * length];
        boolean[] newKnew = new boolean[2 * length];
        for (int i = 0; i < size; i++) {
            newTimes[i] = times[(first + i) % length];
            newWorks[i] = works[(first + i) % length];
            newKnew[i] = knew[(first + i) % length];
        }
        times = newTimes;
        works = newWorks;
        knew = newKnew;
        first = 0;
    }
}
