package cedarrudder.transport;

import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

/**
 * The client connections of a server, whose number is limited. Each new connection beyond the limit
 * evicts one that may be closed; if there is none, new connections wait to be accepted. Used on the
 * event loop only.
 */
final class ClientConnections {

    /**
     * The maximum gap between the bytes of a request that is sent in one piece, even as seen by a
     * loop that is late.
     */
    static final long REQUEST_GAP_NANOS = 100_000_000L;

    private final ServerContext server;
    private final Consumer<Boolean> setAccepting;
    private final Set<ClientConnection> all = new HashSet<>();

    /** Connections that may be evicted, by state; those longest in it come first. */
    private final Set<ClientConnection> lingering = new LinkedHashSet<>();

    private final Set<ClientConnection> silent = new LinkedHashSet<>();
    private final Set<ClientConnection> partial = new LinkedHashSet<>();
    private final Set<ClientConnection> idle = new LinkedHashSet<>();
    private int max;
    private boolean full;

    /**
     * Creates an empty set of connections.
     *
     * @param max the maximum number of connections
     * @param setAccepting controls whether further connections are accepted
     */
    ClientConnections(ServerContext server, int max, Consumer<Boolean> setAccepting) {
        this.server = server;
        this.max = max;
        this.setAccepting = setAccepting;
    }

    int size() {
        return all.size();
    }

    /** Returns a copy of the set, since most operations on a connection change the set. */
    List<ClientConnection> snapshot() {
        return List.copyOf(all);
    }

    /** Sets the maximum number of connections, and evicts some if there are more. */
    void setMax(int next) {
        max = next;
        for (int excess = all.size() - max; !full && excess > 0; excess--) {
            evictOne();
        }
        acceptAgain();
    }

    void add(ClientConnection connection) {
        all.add(connection);
        silent.add(connection);
        if (all.size() > max) {
            evictOne();
        }
    }

    void remove(ClientConnection connection) {
        all.remove(connection);
    }

    /**
     * Records that the state of a connection changes.
     *
     * @return whether the connection moves to another set of evictable ones, so that its time
     *     counts anew
     */
    boolean onStateChanged(
            ClientConnection connection, ClientConnectionState from, ClientConnectionState to) {
        Set<ClientConnection> before = closable(from);
        Set<ClientConnection> after = closable(to);
        if (before == after) {
            return false;
        }
        if (before != null) {
            before.remove(connection);
        }
        if (after != null) {
            after.add(connection);
        }
        return true;
    }

    /**
     * Returns the set of evictable connections of a state; null if connections in that state may
     * not be evicted.
     */
    private Set<ClientConnection> closable(ClientConnectionState state) {
        return switch (state) {
            case NEW -> silent;
            case IDLE -> idle;
            case READING_HEAD, READING_BODY -> partial;
            case LINGERING -> lingering;
            case REQUEST_OPEN, RESPONDING, SENDING_LAST_RESPONSE, CLOSED -> null;
        };
    }

    /**
     * Evicts one connection. The order is: connections that have their last response; connections
     * that have long been silent or have long had a partial request; idle connections; connections
     * with a partial request whose rest does not seem to be on the way; the connection that has
     * been silent longest.
     *
     * <p>A new connection is evicted last: its first request is on the way and would fail, whereas
     * a client between requests only has to connect again. Pending input of a connection is read
     * before it is evicted; if that is a request, it is processed and another connection is
     * evicted.
     */
    private void evictOne() {
        ClientConnection candidate = nextToEvict();
        for (int checksLeft = all.size(); candidate != null && checksLeft > 0; checksLeft--) {
            if (candidate.isUnchangedAfterRead()) {
                server.loop()
                        .log()
                        .debug("client.evicted")
                        .with("client", candidate.remoteAddress())
                        .with("clients", all.size())
                        .write();
                candidate.close(CloseReason.EVICTED);
                return;
            }
            candidate = nextToEvict();
        }
        full = true;
        setAccepting.accept(false);
    }

    private ClientConnection nextToEvict() {
        long silentLong = server.limits().silentAfter();
        ClientConnection first = oldest(lingering, 0);
        first = first != null ? first : oldest(silent, silentLong);
        first = first != null ? first : oldest(partial, silentLong);
        first = first != null ? first : oldest(idle, 0);
        first = first != null ? first : oldest(partial, REQUEST_GAP_NANOS);
        return first != null || silent.size() <= 1 ? first : oldest(silent, 0);
    }

    /**
     * Returns the connection that is longest in this set, if it has been there for at least this
     * long; otherwise null.
     */
    private ClientConnection oldest(Set<ClientConnection> set, long minNanos) {
        ClientConnection first = set.isEmpty() ? null : set.iterator().next();
        boolean longEnough = first != null && first.stateSince() + minNanos <= server.loop().now();
        return longEnough ? first : null;
    }

    /** Accepts connections again if the limit allows it. */
    void acceptAgain() {
        if (full && all.size() <= max) {
            full = false;
            setAccepting.accept(true);
        }
    }

    /** Checks all connections, and evicts some while new ones wait to be accepted. */
    void sweep(long now) {
        for (ClientConnection connection : snapshot()) {
            connection.sweep(now);
        }
        for (int excess = all.size() - max; full && excess > 0; excess--) {
            evictOne();
        }
        acceptAgain();
    }

    /** Closes the connections without an open request. */
    void closeIdle(long now) {
        closeIdle(now, Long.MAX_VALUE, List.of(silent, idle));
    }

    /**
     * Closes an equal fraction, for each sweep that is left, of the connections without an open
     * request, those idle longest first.
     */
    void closeSomeIdle(long now, long sweepsLeft) {
        long count = (idle.size() + silent.size() + sweepsLeft - 1) / sweepsLeft;
        closeIdle(now, count, List.of(idle, silent));
    }

    private void closeIdle(long now, long count, List<Set<ClientConnection>> order) {
        long left = count;
        for (Set<ClientConnection> set : order) {
            for (ClientConnection connection : List.copyOf(set)) {
                if (left > 0) {
                    left--;
                    if (connection.mayBeClosed(now)) {
                        connection.closeIfQuiet();
                    }
                }
            }
        }
    }
}
