package cedarrudder.forwarding;

import cedarrudder.logging.Logger;
import java.util.ArrayDeque;
import java.util.Queue;

/**
 * Delivers events to the balancer one at a time. An event that is posted while another is being
 * delivered waits until that one has been handled, so an action never re-enters the balancer.
 *
 * <p>Not thread-safe; used on the event loop only.
 */
final class SerialEventQueue {

    private final Logger log;
    private final Runnable beforeEach;
    private final Queue<Runnable> events = new ArrayDeque<>();
    private boolean delivering;

    /**
     * Creates an empty queue.
     *
     * @param beforeEach runs before each event
     */
    SerialEventQueue(Logger log, Runnable beforeEach) {
        this.log = log;
        this.beforeEach = beforeEach;
    }

    /** Delivers an event now, or after the one that is being delivered. */
    void post(Runnable event) {
        events.add(event);
        if (delivering) {
            return;
        }
        delivering = true;
        try {
            for (Runnable next = events.poll(); next != null; next = events.poll()) {
                deliver(next);
            }
        } finally {
            delivering = false;
        }
    }

    /**
     * Delivers one event. An exception ends only this event: the request that it concerns is still
     * ended by its deadline.
     */
    private void deliver(Runnable event) {
        try {
            beforeEach.run();
            event.run();
        } catch (RuntimeException | VirtualMachineError | LinkageError e) {
            log.fault("balancer.failed", e).write();
        }
    }
}
