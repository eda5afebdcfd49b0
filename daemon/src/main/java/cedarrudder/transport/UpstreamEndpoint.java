package cedarrudder.transport;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;

/** The address of an endpoint, and the idle connections to it in the order of their last use. */
final class UpstreamEndpoint {

    /**
     * The number of consecutive attempts without a response after which an endpoint counts as
     * failing.
     */
    private static final int FAILING_AFTER = 5;

    private final InetSocketAddress address;
    private final Deque<EndpointConnection> idle = new ArrayDeque<>();
    private long startedAt;
    private boolean removed;
    private int failures;

    UpstreamEndpoint(InetSocketAddress address) {
        this.address = address;
    }

    InetSocketAddress address() {
        return address;
    }

    /** Returns the latest known start of the endpoint, by the event loop's clock; 0: long ago. */
    long startedAt() {
        return startedAt;
    }

    void setStartedAt(long instant) {
        startedAt = instant;
    }

    // ---- idle connections

    /**
     * Removes and returns the connection that was used last, of those without a response after an
     * instant; null if there is none.
     */
    EndpointConnection takeIdleWithoutAnswerAfter(long instant) {
        Iterator<EndpointConnection> lastUsedFirst = idle.descendingIterator();
        while (lastUsedFirst.hasNext()) {
            EndpointConnection connection = lastUsedFirst.next();
            if (connection.lastAnswerAt() <= instant) {
                lastUsedFirst.remove();
                return connection;
            }
        }
        return null;
    }

    /** Returns the connection that has been idle longest; null if none is. */
    EndpointConnection oldestIdle() {
        return idle.peekFirst();
    }

    void addIdle(EndpointConnection connection) {
        idle.addLast(connection);
    }

    void removeIdle(EndpointConnection connection) {
        idle.remove(connection);
    }

    void closeIdle() {
        List.copyOf(idle).forEach(EndpointConnection::close);
    }

    // ---- state

    /**
     * Marks the endpoint as removed and closes its idle connections; attempts in flight refer to it
     * until they end.
     */
    void remove() {
        removed = true;
        closeIdle();
    }

    /** Returns whether the endpoint was removed, or has another address now. */
    boolean isRemoved() {
        return removed;
    }

    /** Records a response, whatever its status. */
    void onAnswer() {
        failures = 0;
    }

    /** Records an attempt that ended without a response. */
    void onFailure() {
        failures++;
    }

    /**
     * Returns whether the last attempts at the endpoint all failed, without a response between
     * them.
     */
    boolean isFailing() {
        return failures >= FAILING_AFTER;
    }
}
