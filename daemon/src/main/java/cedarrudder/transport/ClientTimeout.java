package cedarrudder.transport;

/**
 * The instant at which the present state of a client connection times out, by the limits that apply
 * when the state is entered. Used on the event loop only.
 */
final class ClientTimeout {

    private static final long NEVER = Long.MAX_VALUE;

    private final ServerContext server;
    private long dueAt = NEVER;

    ClientTimeout(ServerContext server) {
        this.server = server;
    }

    /** Restarts the timeout for a state that is entered now. */
    void enter(ClientConnectionState from, ClientConnectionState next) {
        ClientLimits limits = server.limits();
        switch (next) {
            case READING_HEAD -> {
                // The timeout of the first request counts from when the connection was accepted.
                if (from != ClientConnectionState.NEW) {
                    restart(limits.requestTimeout());
                }
            }
            case NEW, READING_BODY -> restart(limits.requestTimeout());
            case IDLE -> restart(limits.idleTimeout());
            case RESPONDING, SENDING_LAST_RESPONSE -> restart(limits.responseTimeout());
            case LINGERING -> restart(LingeringClose.QUIET_NANOS);
            case REQUEST_OPEN, CLOSED -> dueAt = NEVER;
        }
    }

    private void restart(long nanos) {
        dueAt = server.loop().now() + nanos;
    }

    /** Sets the instant at which the present state times out. */
    void setDueAt(long instant) {
        dueAt = instant;
    }

    /**
     * Extends the timeout of a response.
     *
     * @param progressAt the instant until which the client has taken what it was sent
     */
    void extendResponse(long progressAt) {
        dueAt = Math.max(dueAt, progressAt + server.limits().responseTimeout());
    }

    /** Returns whether the present state has timed out. */
    boolean isDue() {
        return server.loop().now() >= dueAt;
    }
}
