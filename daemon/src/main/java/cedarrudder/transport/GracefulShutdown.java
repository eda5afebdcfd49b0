package cedarrudder.transport;

/**
 * How clients are sent away: while operators have drained the proxy, when a successor listens at
 * the same address, and when the process ends. It belongs to the event loop.
 *
 * <p>After SIGTERM clients are served on for as long as SIGKILL leaves time. They use the
 * connections they have as long as these stay open, and where this proxy is the only one they find
 * no other until it is back. Idle connections are closed and responses say {@code Connection:
 * close} only shortly before the end; what is open then is cut off and answered.
 */
final class GracefulShutdown {

    /** After SIGTERM connections still come for up to 0.4 s; they are accepted for this long. */
    private static final long ACCEPT_NANOS = 600_000_000L;

    /**
     * SIGKILL follows SIGTERM no sooner than the longest wait of a client (3 s where it is longer)
     * and 0.7 s. What is taken after SIGTERM is answered a little before that.
     */
    private static final long MAX_WAIT_NANOS = 3_000_000_000L;

    private static final long ANSWER_AFTER_WAIT_NANOS = 500_000_000L;

    /**
     * A shutdown that is not over this long after its last responses were due is stuck. Longer than
     * any loop is late, so that the process does not end over responses it is about to give.
     */
    private static final long STUCK_AFTER_NANOS = 3_000_000_000L;

    /** Connections are closed for this long before the last responses; most requests need less. */
    private static final long CLOSING_NANOS = 400_000_000L;

    /** Cut off this long before, what is left is closed: half written responses, late ends. */
    private static final long LAST_CLOSE_NANOS = 100_000_000L;

    /**
     * How clients are sent away while operators drain the proxy, counted from then: the front still
     * brings new ones until the first, and no connection is left idle from the second on.
     */
    private static final long DRAIN_FROM_NANOS = 500_000_000L;

    private static final long DRAIN_BY_NANOS = 1_800_000_000L;

    /** The same, after SIGTERM, where a successor listens at the address. */
    private static final long HANDOVER_FROM_NANOS = 300_000_000L;

    private static final long HANDOVER_BY_NANOS = 1_500_000_000L;

    private static final long NEVER = Long.MAX_VALUE;

    private final ServerContext server;
    private final long sweepNanos;
    private ClientConnections connections;
    private HandoverSocket listening;
    private ServiceState service = ServiceState.INITIAL;
    private long drainedAt;
    private long replacedAt;

    /** The instant by which this process has to answer; {@link #NEVER} while it serves. */
    private long answerBy = NEVER;

    /** Whether connections may still come in: the socket is open, or is being emptied. */
    private boolean acceptPending;

    /** Whether each response is the last of its connection, and idle ones are closed. */
    private boolean closing;

    private Runnable whenEmpty;

    /**
     * A server that serves.
     *
     * @param sweepNanos how often {@link #sweep} is called
     */
    GracefulShutdown(ServerContext server, long sweepNanos) {
        this.server = server;
        this.sweepNanos = sweepNanos;
    }

    void attach(ClientConnections clientConnections) {
        connections = clientConnections;
    }

    /** The server listens at this socket from now on. */
    void setListening(HandoverSocket socket) {
        listening = socket;
    }

    // ---- drained by operators

    /** Operators send clients away; without effect where they do already. */
    void drainByOperator() {
        if (!service.drained()) {
            service = service.after(ServiceState.Event.DRAIN);
            drainedAt = server.loop().now();
            server.loop().log().info("proxy.drained").write();
        }
    }

    /** Operators let clients come again. */
    void resumeByOperator() {
        if (service.drained()) {
            service = service.after(ServiceState.Event.RESUME);
            server.loop().log().info("proxy.resumed").write();
        }
    }

    boolean isDrained() {
        return service.drained();
    }

    /** Whether clients at this address are welcome. */
    boolean isHealthy() {
        return service.isHealthy();
    }

    /** Whether this process goes on, for all that signals have said. */
    boolean isServing() {
        return service.isServing();
    }

    /** Whether clients are being sent away one by one. */
    private boolean isSendingAway() {
        long now = server.loop().now();
        return service.drained() && now - drainedAt >= DRAIN_FROM_NANOS
                || replacedAt != 0 && now - replacedAt >= HANDOVER_FROM_NANOS;
    }

    // ---- what connections ask

    /** Whether a response is to be the last of its connection, but for requests behind it. */
    boolean endsConnections() {
        return closing || replacedAt != 0 || isSendingAway();
    }

    /** Whether a connection on which nothing is open any more is closed at once. */
    boolean closesIdle() {
        return closing;
    }

    /** The instant by which this process has to answer. */
    long answerBy() {
        return answerBy;
    }

    /** After this long, a shutdown in which nothing is streamed is stuck; from any thread. */
    long maxShutdownNanos() {
        return waitNanos() + STUCK_AFTER_NANOS;
    }

    private long waitNanos() {
        return Math.min(MAX_WAIT_NANOS, server.headers().longestWait()) + ANSWER_AFTER_WAIT_NANOS;
    }

    // ---- the end of the process

    /**
     * Ends the service: for a while clients are served on, all that is taken is answered, and
     * {@code whenDone} runs once no connection is left.
     */
    void shutDown(Runnable whenDone) {
        if (whenEmpty != null) {
            return;
        }
        whenEmpty = whenDone;
        service = service.after(ServiceState.Event.END);
        acceptPending = true;
        long now = server.loop().now();
        answerBy = now + waitNanos();
        server.loop().at(now + ACCEPT_NANOS, this::stopWaitingForClients);
        server.loop()
                .at(Math.max(now + ACCEPT_NANOS, answerBy - CLOSING_NANOS), this::startClosing);
        server.loop().at(answerBy, this::cutOff);
    }

    private void stopWaitingForClients() {
        acceptPending = false;
        endIfEmpty();
    }

    /**
     * Ends the service where a successor listens at the same address: connections that wait to be
     * accepted are taken, then the socket is closed, and clients go over to the successor one by
     * one. {@code whenDone} runs once no connection is left.
     */
    void handOver(Runnable whenDone) {
        if (whenEmpty != null) {
            return;
        }
        whenEmpty = whenDone;
        service = service.after(ServiceState.Event.REPLACE);
        replacedAt = server.loop().now();
        answerBy = replacedAt + waitNanos();
        closeSocket();
        server.loop().at(answerBy - CLOSING_NANOS, this::startClosing);
        server.loop().at(answerBy, this::cutOff);
    }

    /** From now on each response is the last of its connection, and idle ones are closed. */
    private void startClosing() {
        closing = true;
        closeSocket();
        connections.closeIdle(server.loop().now());
    }

    /** Closes connections that may be closed by now; called at regular intervals. */
    void sweep(long now) {
        if (closing) {
            connections.closeIdle(now);
        } else if (isSendingAway()) {
            long end =
                    replacedAt == 0 ? drainedAt + DRAIN_BY_NANOS : replacedAt + HANDOVER_BY_NANOS;
            connections.closeSomeIdle(now, Math.max(1, (end - now) / sweepNanos));
        }
    }

    /**
     * What is open has had its time: all get an answer while this process can still give one. Half
     * a request is not waited for any more.
     */
    private void cutOff() {
        for (ClientConnection connection : connections.copy()) {
            connection.cutOff();
        }
        server.loop().at(server.loop().now() + LAST_CLOSE_NANOS, this::closeAll);
    }

    /** Clients that don't read their responses hold the end of the process no longer. */
    private void closeAll() {
        server.loop().at(server.loop().now() + sweepNanos, this::closeAll);
        for (ClientConnection connection : connections.copy()) {
            connection.breakOff();
        }
    }

    /** Takes connections that wait and closes the socket; until then the service goes on. */
    private void closeSocket() {
        if (listening.isOpen() && !acceptPending) {
            acceptPending = true;
            listening.closeAfterAcceptingAll(this::stopWaitingForClients);
        }
    }

    /** Ends the service where no connection is left and none may come. */
    void endIfEmpty() {
        if (whenEmpty == null || acceptPending || connections.size() > 0) {
            return;
        }
        if (listening.isOpen()) {
            closeSocket(); // connections that wait would be reset
        } else {
            whenEmpty.run();
        }
    }
}
