package cedarrudder.lab.referee;

import java.util.Arrays;

/**
 * A heap of instants, each with a number: gives them back by time, those of one instant by number.
 */
final class TimerHeap {
    private long[] times = new long[64];
    private long[] numbers = new long[64];
    private int size;

    void add(long time, long number) {
        if (size == times.length) {
            times = Arrays.copyOf(times, 2 * size);
            numbers = Arrays.copyOf(numbers, 2 * size);
        }
        int at = size++;
        while (at > 0 && before(time, number, (at - 1) / 2)) {
            move((at - 1) / 2, at);
            at = (at - 1) / 2;
        }
        times[at] = time;
        numbers[at] = number;
    }

    boolean isEmpty() {
        return size == 0;
    }

    /** The earliest instant; there must be one. */
    long time() {
        return times[0];
    }

    /** The number of the earliest instant; there must be one. */
    long number() {
        return numbers[0];
    }

    /** Takes the earliest away. */
    void remove() {
        long time = times[--size];
        long number = numbers[size];
        int at = 0;
        for (int child = 1; child < size; child = 2 * at + 1) {
            if (child + 1 < size && before(times[child + 1], numbers[child + 1], child)) {
                child++;
            }
            if (!before(times[child], numbers[child], time, number)) {
                break;
            }
            move(child, at);
            at = child;
        }
        times[at] = time;
        numbers[at] = number;
    }

    private void move(int from, int to) {
        times[to] = times[from];
        numbers[to] = numbers[from];
    }

    private boolean before(long time, long number, int other) {
        return before(time, number, times[other], numbers[other]);
    }

    private static boolean before(long time, long number, long otherTime, long otherNumber) {
        return time != otherTime ? time < otherTime : number < otherNumber;
    }
}
