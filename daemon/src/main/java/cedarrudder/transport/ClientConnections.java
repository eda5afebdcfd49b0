package cedarrudder.transport;

import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

/**
 * The client connections of a server and the bound on their number. Beyond the bound each new
 * connection costs one that may be closed; where there is none, new ones wait to be accepted. It
 * belongs to the event loop.
 */
final class ClientConnections {

    /**
     * The bytes of a request that is sent in one piece come sooner, even to a loop that is late.
     */
    static final long REQUEST_GAP_NANOS = 100_000_000L;

    private final ServerContext server;
    private final Consumer<Boolean> setAccepting;
    private final Set<ClientConnection> all = new HashSet<>();

    /** Those that may be closed to make room, by their state; the longest in it come first. */
    private final Set<ClientConnection> lingering = new LinkedHashSet<>();

    private final Set<ClientConnection> silent = new LinkedHashSet<>();
    private final Set<ClientConnection> partial = new LinkedHashSet<>();
    private final Set<ClientConnection> idle = new LinkedHashSet<>();
    private int max;
    private boolean full;

    /**
     * No connections.
     *
     * @param max how many there may be
     * @param setAccepting whether further connections are accepted
     */
    ClientConnections(ServerContext server, int max, Consumer<Boolean> setAccepting) {
        this.server = server;
        this.max = max;
        this.setAccepting = setAccepting;
    }

    int size() {
        return all.size();
    }

    /** A copy, since most of what is done to a connection changes the set. */
    List<ClientConnection> copy() {
        return List.copyOf(all);
    }

    /** Sets the bound; where fewer may be there than are, some are closed. */
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
     * A connection goes from one state to another.
     *
     * @return whether how it may be closed changes, so that its time there starts anew
     */
    boolean move(
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

    /** The connections of this state that may be closed to make room; null where none may be. */
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
     * Closes one connection: first those that have their last response, then those that have long
     * sent nothing or half a request, then idle ones, then half a request that does not seem to be
     * on its way, then the silent one that has been there longest.
     *
     * <p>A connection that has just come goes last: its first request is on its way and would fail,
     * where a client between requests would only have to connect again. What has come on a
     * connection is read before it is closed: a request that it brings is taken, and another one is
     * closed.
     */
    private void evictOne() {
        ClientConnection candidate = firstToClose();
        for (int looks = all.size(); candidate != null && looks > 0; looks--) {
            if (candidate.isUnchangedAfterRead()) {
                server.loop()
                        .log()
                        .debug("client.evicted")
                        .with("client", candidate.remoteAddress())
                        .with("clients", all.size())
                        .write();
                candidate.close();
                return;
            }
            candidate = firstToClose();
        }
        full = true;
        setAccepting.accept(false);
    }

    private ClientConnection firstToClose() {
        long silentLong = server.limits().silentAfter();
        ClientConnection first = oldest(lingering, 0);
        first = first != null ? first : oldest(silent, silentLong);
        first = first != null ? first : oldest(partial, silentLong);
        first = first != null ? first : oldest(idle, 0);
        first = first != null ? first : oldest(partial, REQUEST_GAP_NANOS);
        return first != null || silent.size() <= 1 ? first : oldest(silent, 0);
    }

    /** The one that has been among these longest, and for this long; null where there is none. */
    private ClientConnection oldest(Set<ClientConnection> among, long minNanos) {
        ClientConnection first = among.isEmpty() ? null : among.iterator().next();
        boolean longEnough = first != null && first.since() + minNanos <= server.loop().now();
        return longEnough ? first : null;
    }

    /** Accepts connections again where there is room. */
    void acceptAgain() {
        if (full && all.size() <= max) {
            full = false;
            setAccepting.accept(true);
        }
    }

    /** Ends those whose time is over and makes room where connections wait to be accepted. */
    void sweep(long now) {
        for (ClientConnection connection : copy()) {
            if (connection.isDue(now)) {
                connection.expire();
            }
        }
        for (int excess = all.size() - max; full && excess > 0; excess--) {
            evictOne();
        }
        acceptAgain();
    }

    /** Closes those on which nothing is open. */
    void closeIdle(long now) {
        closeIdle(now, Long.MAX_VALUE, List.of(silent, idle));
    }

    /** Closes an even part of those on which nothing is open, the longest idle first. */
    void closeSomeIdle(long now, long sweepsLeft) {
        long count = (idle.size() + silent.size() + sweepsLeft - 1) / sweepsLeft;
        closeIdle(now, count, List.of(idle, silent));
    }

    private void closeIdle(long now, long count, List<Set<ClientConnection>> order) {
        long left = count;
        for (Set<ClientConnection> among : order) {
            for (ClientConnection connection : List.copyOf(among)) {
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
