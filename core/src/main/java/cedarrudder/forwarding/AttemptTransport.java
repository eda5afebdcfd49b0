package cedarrudder.forwarding;

/**
 * The side that talks to nodes, as the driver sees it. Each attempt and each probe is answered by
 * one report to the driver, which may come at once.
 */
public interface AttemptTransport<Q, A> {

    /** Whether a node of this id was ever listed, so that attempts and probes can be made. */
    boolean knows(long endpoint);

    /**
     * Carries out an attempt and reports its end. Before the first byte of it goes out, on whatever
     * way, the driver is asked once ({@link RequestForwarder#begins}), and told after its last
     * ({@link RequestAttempt#wrote}). One that may not begin is abandoned within that question.
     */
    void start(RequestAttempt<Q, A> attempt);

    /** Stops at once whatever is done for an attempt; its end is not reported any more. */
    void abandon(RequestAttempt<Q, A> attempt);

    /** Asks a node for its load. */
    void probe(long endpoint);

    /** Closes the idle channels to a node. */
    void closeIdle(long endpoint);
}
