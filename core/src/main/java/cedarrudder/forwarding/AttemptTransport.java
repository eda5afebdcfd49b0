package cedarrudder.forwarding;

/**
 * The client side of the proxy: sends attempts and probes to endpoints. For each attempt and each
 * probe it reports one outcome to the forwarder, possibly before the method returns.
 *
 * @param <Q> the content that is forwarded
 * @param <A> an endpoint's response
 */
public interface AttemptTransport<Q, A> {

    /**
     * Returns whether an endpoint with this id was ever listed, so that attempts and probes can be
     * sent to it.
     */
    boolean knowsEndpoint(long endpoint);

    /**
     * Carries out an attempt and reports its outcome. The implementation calls {@link
     * RequestForwarder#mayStart} once, right before the attempt's first byte is sent, and {@link
     * RequestAttempt#writeComplete} after its last. An attempt that may not start is abandoned
     * within the call of {@code mayStart}.
     */
    void startAttempt(RequestAttempt<Q, A> attempt);

    /** Stops all work for an attempt at once; its outcome is no longer reported. */
    void abandonAttempt(RequestAttempt<Q, A> attempt);

    /** Sends a probe that asks an endpoint for its load. */
    void sendProbe(long endpoint);

    /** Closes the idle connections to an endpoint. */
    void closeIdleConnections(long endpoint);
}
