package cedarrudder.transport;

/**
 * Disconnects clients gracefully: while operators have drained the proxy, when a successor listens
 * at the same address, and when the process ends. Used on the event loop only.
 *
 * <p>After SIGTERM, clients are served for as long as the time until SIGKILL allows. They use their
 * connections as long as these stay open, and if this proxy is the only one, they find no other
 * until it is back. Only shortly before the end are idle connections closed and do responses
 * contain {@code Connection: close}; requests that are open then are ended and answered. Responses
 * that are being written continue to their end, unless their client or their endpoint has stopped.
 */
final class GracefulShutdown {

    /**
     * The time for which connections are accepted after SIGTERM; new ones still arrive for up to
     * 0.4 s.
     */
    private static final long ACCEPT_NANOS = 600_000_000L;

    /**
     * SIGKILL follows SIGTERM no sooner than the longest wait of a client (3 s if that is longer)
     * plus 0.7 s. Requests accepted after SIGTERM are answered a little before that.
     */
    private static final long MAX_WAIT_NANOS = 3_000_000_000L;

    private static final long ANSWER_AFTER_WAIT_NANOS = 500_000_000L;

    /**
     * The time after the last responses were due at which a shutdown is considered stuck. Longer
     * than any delay of the event loop, so that the process does not end while responses are about
     * to be sent.
     */
    private static final long STUCK_AFTER_NANOS = 3_000_000_000L;

    /**
     * The time before the last responses during which connections are closed; most requests need
     * less.
     */
    private static final long CLOSING_NANOS = 400_000_000L;

    /**
     * The time from the end of the open requests to the close of the connections on which no
     * response is being written.
     */
    private static final long LAST_CLOSE_NANOS = 100_000_000L;

    /**
     * The time after which a client that has taken nothing of its response no longer delays the end
     * of the process. A client with a full receive buffer opens its window again in steps, which
     * take seconds at the slowest rate that occurs, 64 kB a second.
     */
    private static final long MAX_STALL_NANOS = 10_000_000_000L;

    /** The maximum duration of a response: 32 MB at 64 kB a second take 500 s. */
    private static final long MAX_RESPONSE_NANOS = 600_000_000_000L;

    /**
     * While operators drain the proxy: the times from the begin of the drain at which idle
     * connections begin to be closed, and by which none is left idle. Until the first, the load
     * balancer in front still sends new clients.
     */
    private static final long DRAIN_FROM_NANOS = 500_000_000L;

    private static final long DRAIN_BY_NANOS = 1_800_000_000L;

    /** The same times for a handover, counted from SIGTERM. */
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

    /**
     * True while connections may still be accepted during the shutdown: the socket is open, or its
     * queue is being emptied.
     */
    private boolean acceptPending;

    /** True while each response is the last of its connection, and idle connections are closed. */
    private boolean closing;

    private Runnable whenEmpty;

    /**
     * Creates the shutdown of a server that serves.
     *
     * @param sweepNanos the interval at which {@link #sweep} is called
     */
    GracefulShutdown(ServerContext server, long sweepNanos) {
        this.server = server;
        this.sweepNanos = sweepNanos;
    }

    void attach(ClientConnections clientConnections) {
        connections = clientConnections;
    }

    /** Sets the socket at which the server listens from now on. */
    void setListening(HandoverSocket socket) {
        listening = socket;
    }

    // ---- drain by operators

    /** Starts a drain on an operator's request; has no effect during a drain. */
    void drainByOperator() {
        if (!service.drained()) {
            service = service.after(ServiceState.Event.DRAIN);
            drainedAt = server.loop().now();
            server.loop().log().info("proxy.drained").write();
        }
    }

    /** Ends a drain on an operator's request. */
    void resumeByOperator() {
        if (service.drained()) {
            service = service.after(ServiceState.Event.RESUME);
            server.loop().log().info("proxy.resumed").write();
        }
    }

    boolean isDrained() {
        return service.drained();
    }

    /** Returns whether new clients at this address are accepted. */
    boolean isHealthy() {
        return service.isHealthy();
    }

    /** Returns whether no signal to end has been received. */
    boolean isServing() {
        return service.isServing();
    }

    /** Returns whether clients are being disconnected one by one. */
    private boolean isClosingGradually() {
        long now = server.loop().now();
        return service.drained() && now - drainedAt >= DRAIN_FROM_NANOS
                || replacedAt != 0 && now - replacedAt >= HANDOVER_FROM_NANOS;
    }

    // ---- state that connections use

    /**
     * Returns whether a response is to be the last of its connection, apart from pipelined
     * requests.
     */
    boolean endsConnections() {
        return closing || replacedAt != 0 || isClosingGradually();
    }

    /** Returns whether a connection without an open request is to be closed at once. */
    boolean closesIdle() {
        return closing;
    }

    /** Returns the instant by which this process has to answer. */
    long answerBy() {
        return answerBy;
    }

    /**
     * Returns the time, in nanoseconds, after which a shutdown during which nothing is transferred
     * is considered stuck. May be called from any thread.
     */
    long maxShutdownNanos() {
        return waitNanos() + STUCK_AFTER_NANOS;
    }

    private long waitNanos() {
        return Math.min(MAX_WAIT_NANOS, server.headers().longestWait()) + ANSWER_AFTER_WAIT_NANOS;
    }

    // ---- end of the process

    /**
     * Shuts the server down: clients are served for a while, all accepted requests are answered,
     * and {@code whenDone} runs once no connection is left.
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
     * Shuts the server down while a successor listens at the same address: connections that wait to
     * be accepted are accepted, then the socket is closed, and clients are moved to the successor
     * one by one. {@code whenDone} runs once no connection is left.
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

    /** Makes each response the last of its connection, and closes idle connections. */
    private void startClosing() {
        closing = true;
        closeSocket();
        connections.closeIdle(server.loop().now());
    }

    /** Closes connections that may be closed by now; called at regular intervals. */
    void sweep(long now) {
        if (closing) {
            connections.closeIdle(now);
        } else if (isClosingGradually()) {
            long end =
                    replacedAt == 0 ? drainedAt + DRAIN_BY_NANOS : replacedAt + HANDOVER_BY_NANOS;
            connections.closeSomeIdle(now, Math.max(1, (end - now) / sweepNanos));
        }
    }

    /**
     * Ends all open requests with a response while this process can still send one. Partial
     * requests are no longer waited for.
     */
    private void cutOff() {
        for (ClientConnection connection : connections.snapshot()) {
            connection.cutOff();
        }
        server.loop().at(server.loop().now() + LAST_CLOSE_NANOS, this::closeRemaining);
    }

    /**
     * Closes the remaining connections, repeatedly, except those whose response still moves. A
     * request that is read behind such a response is answered too.
     */
    private void closeRemaining() {
        long now = server.loop().now();
        server.loop().at(now + sweepNanos, this::closeRemaining);
        boolean mayContinue = now < answerBy + MAX_RESPONSE_NANOS;
        for (ClientConnection connection : connections.snapshot()) {
            connection.cutOff();
            if (!mayContinue || !connection.isAnswering(MAX_STALL_NANOS)) {
                connection.abort(mayContinue ? CloseReason.CLIENT_STALLED : CloseReason.SHUTDOWN);
            }
        }
    }

    /**
     * Accepts the waiting connections and closes the socket; the server counts as running until
     * then.
     */
    private void closeSocket() {
        if (listening.isOpen() && !acceptPending) {
            acceptPending = true;
            listening.closeAfterAcceptingAll(this::stopWaitingForClients);
        }
    }

    /** Ends the shutdown if no connection is left and no further one can be accepted. */
    void endIfEmpty() {
        if (whenEmpty == null || acceptPending || connections.size() > 0) {
            return;
        }
        if (listening.isOpen()) {
            closeSocket(); // otherwise waiting connections would be reset
        } else {
            whenEmpty.run();
        }
    }
}
