package cedarrudder.lab.model;

import java.util.Arrays;

/**
 * What is to happen in a run, and its clock.
 *
 * <p>There is one order of events, for whatever happens: by instant, and at the same instant by the
 * order in which they were scheduled (for one that was moved, by the order of the moves). An event
 * that is scheduled for now, or for the past, comes after all that are scheduled for now already.
 *
 * <p>A heap of four branches on arrays, so that neither scheduling nor moving allocates.
 */
public final class EventQueue {

    private static final int BRANCHES = 4;

    private long[] instants = new long[1024];
    private long[] orders = new long[1024];
    private Task[] tasks = new Task[1024];
    private int size;
    private long scheduled;
    private long now;
    private long handled;

    EventQueue(long start) {
        now = start;
    }

    /** The instant of the event that is being handled. */
    public long now() {
        return now;
    }

    /** Events handled so far. */
    long handled() {
        return handled;
    }

    /** Schedules a task, or moves it if it waits already. */
    public void at(long instant, Task task) {
        long when = Math.max(instant, now);
        long order = scheduled++;
        if (task.place >= 0) {
            int place = task.place;
            if (when < instants[place]) {
                up(place, when, order, task);
            } else {
                down(place, when, order, task);
            }
            return;
        }
        if (size == tasks.length) {
            instants = Arrays.copyOf(instants, 2 * size);
            orders = Arrays.copyOf(orders, 2 * size);
            tasks = Arrays.copyOf(tasks, 2 * size);
        }
        up(size++, when, order, task);
    }

    /** Calls a task off; without effect where it doesn't wait. */
    public void cancel(Task task) {
        if (task.place < 0) {
            return;
        }
        int place = task.place;
        task.place = -1;
        size--;
        long instant = instants[size];
        long order = orders[size];
        Task last = tasks[size];
        tasks[size] = null;
        if (place < size) {
            if (before(instant, order, place)) {
                up(place, instant, order, last);
            } else {
                down(place, instant, order, last);
            }
        }
    }

    /** The instant of the next event; the greatest where none is left. */
    public long earliest() {
        return size == 0 ? Long.MAX_VALUE : instants[0];
    }

    /**
     * Time has gone by without an event, in a run whose clock is not its own. No due event is
     * skipped.
     */
    public void pass(long instant) {
        now = Math.max(now, Math.min(instant, earliest()));
    }

    /** Handles the next event; false where none is left until then. */
    public boolean next(long until) {
        if (size == 0 || instants[0] > until) {
            return false;
        }
        now = instants[0];
        Task task = tasks[0];
        cancel(task);
        handled++;
        task.run();
        return true;
    }

    private boolean before(long instant, long order, int place) {
        return instant < instants[place] || instant == instants[place] && order < orders[place];
    }

    private void up(int from, long instant, long order, Task task) {
        int place = from;
        while (place > 0) {
            int parent = (place - 1) / BRANCHES;
            if (!before(instant, order, parent)) {
                break;
            }
            put(place, instants[parent], orders[parent], tasks[parent]);
            place = parent;
        }
        put(place, instant, order, task);
    }

    private void down(int from, long instant, long order, Task task) {
        int place = from;
        while (true) {
            int first = place * BRANCHES + 1;
            if (first >= size) {
                break;
            }
            int min = first;
            int end = Math.min(first + BRANCHES, size);
            for (int i = first + 1; i < end; i++) {
                if (before(instants[i], orders[i], min)) {
                    min = i;
                }
            }
            if (!(instants[min] < instant || instants[min] == instant && orders[min] < order)) {
                break;
            }
            put(place, instants[min], orders[min], tasks[min]);
            place = min;
        }
        put(place, instant, order, task);
    }

    private void put(int place, long instant, long order, Task task) {
        instants[place] = instant;
        orders[place] = order;
        tasks[place] = task;
        task.place = place;
    }
}
