package cedarrudder.forwarding;

/**
 * The side that talks to endpoints, as the forwarder sees it. Each attempt and each probe is
 * answered by one report to the forwarder, which may come at once.
 *
 * @param <Q> what is forwarded
 * @param <A> what an endpoint answers
 */
public interface AttemptTransport<Q, A> {

    /** Whether an endpoint of this id was ever listed, so that attempts and probes can be made. */
    boolean knowsEndpoint(long endpoint);

    /**
     * Carries out an attempt and reports its end. Before the first byte of it goes out the
     * forwarder is asked once ({@link RequestForwarder#mayStart}); after its last {@link
     * RequestAttempt#writeComplete} is called. One that may not start is abandoned within that
     * question.
     */
    void startAttempt(RequestAttempt<Q, A> attempt);

    /** Stops at once whatever is done for an attempt; its end is not reported any more. */
    void abandonAttempt(RequestAttempt<Q, A> attempt);

    /** Probes an endpoint for its load. */
    void sendProbe(long endpoint);

    /** Closes the idle connections to an endpoint. */
    void closeIdleConnections(long endpoint);
}
