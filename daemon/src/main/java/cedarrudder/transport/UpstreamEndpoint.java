package cedarrudder.transport;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/** Where an endpoint is reached, and the idle connections to it: the one used last comes last. */
final class UpstreamEndpoint {

    /** This many attempts in a row that nobody answered make an endpoint a failing one. */
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

    /** Its last start that is known, by the loop's clock; 0: long ago. */
    long startedAt() {
        return startedAt;
    }

    void setStartedAt(long instant) {
        startedAt = instant;
    }

    // ---- idle connections

    /** Takes the connection that was used last; null where none is idle. */
    EndpointConnection takeIdle() {
        return idle.pollLast();
    }

    /** The connection that has been idle longest; null where none is. */
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

    // ---- its life

    /** Nothing is sent there any more; attempts in flight hold on to it until they end. */
    void remove() {
        removed = true;
        closeIdle();
    }

    /** Whether it was removed, or is reached elsewhere now. */
    boolean isRemoved() {
        return removed;
    }

    /** It answered, whatever it said. */
    void onAnswer() {
        failures = 0;
    }

    /** An attempt there ended without an answer. */
    void onFailure() {
        failures++;
    }

    /** Whether the last attempts there all failed, without an answer between them. */
    boolean isFailing() {
        return failures >= FAILING_AFTER;
    }
}
