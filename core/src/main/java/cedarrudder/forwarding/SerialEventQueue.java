package cedarrudder.forwarding;

import cedarrudder.logging.Logger;
import java.util.ArrayDeque;
import java.util.Queue;

/**
 * Delivers events to the balancer one at a time. An event that is posted while another is being
 * delivered waits for its end, so an action never re-enters the balancer.
 *
 * <p>Not thread-safe: it belongs to the event loop.
 */
final class SerialEventQueue {

    private final Logger log;
    private final Runnable beforeEach;
    private final Queue<Runnable> events = new ArrayDeque<>();
    private boolean delivering;

    /**
     * An empty queue.
     *
     * @param beforeEach runs before each event
     */
    SerialEventQueue(Logger log, Runnable beforeEach) {
        this.log = log;
        this.beforeEach = beforeEach;
    }

    /** Delivers an event now, or after the one at hand. */
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

    /** A fault ends its own event alone: the request that it concerns still has its deadline. */
    private void deliver(Runnable event) {
        try {
            beforeEach.run();
            event.run();
        } catch (RuntimeException | VirtualMachineError | LinkageError e) {
            log.fault("balancer.failed", e).write();
        }
    }
}
