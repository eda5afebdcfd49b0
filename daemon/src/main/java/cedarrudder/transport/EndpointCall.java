package cedarrudder.transport;

import cedarrudder.balancer.LoadBalancer.Outcome;
import cedarrudder.protocol.BodyRemainder;
import cedarrudder.protocol.HttpMessage;
import cedarrudder.protocol.MessageHead;
import io.netty.buffer.ByteBuf;

/** What is carried on a connection to an endpoint: one request, and what its end means. */
abstract class EndpointCall {

    /** How far it has gone; it only goes on. */
    private enum State {
        /** Its last byte is not written. */
        UNWRITTEN,
        /** Its last byte is written: it may have been executed. */
        WRITTEN,
        /** Its end is reported, or nobody waits for it. */
        ENDED
    }

    private final UpstreamEndpoint endpoint;
    private EndpointConnection connection;
    private State state = State.UNWRITTEN;

    EndpointCall(UpstreamEndpoint endpoint) {
        this.endpoint = endpoint;
    }

    UpstreamEndpoint endpoint() {
        return endpoint;
    }

    /** The connection that carries it from now on. */
    void setConnection(EndpointConnection carrier) {
        connection = carrier;
    }

    boolean hasEnded() {
        return state == State.ENDED;
    }

    // ---- what it consists of

    /**
     * Whether its first byte may go out now; where not, it has ended. Asked once, right before, on
     * whatever connection: an idle one, or one that has come up, maybe long after it was opened.
     */
    abstract boolean mayStart();

    /** The request, or the first bytes of one whose body is streamed. */
    abstract ByteBuf encode();

    /** The rest of what is to be written; null where {@link #encode} gives all of it. */
    BodyRemainder rest() {
        return null;
    }

    /** Some of the rest is about to go out. */
    void discardContent() {}

    /** Whether an answer with this head may be streamed. */
    boolean mayStream(MessageHead head) {
        return false;
    }

    // ---- what becomes of it

    /** Its last byte is written. */
    void writeComplete() {
        if (state == State.UNWRITTEN) {
            state = State.WRITTEN;
        }
    }

    /** The answer is streamed from here on; its end comes as an answer without a body. */
    void responseStarted(HttpMessage answer) {}

    /** Reports an answer. */
    abstract void onAnswer(HttpMessage answer);

    /** Reports an end without an answer. */
    abstract void onFailure(Outcome outcome);

    /** An answer is there; without effect where nobody waits for it. */
    final void answered(HttpMessage answer) {
        if (state != State.ENDED) {
            state = State.ENDED;
            onAnswer(answer);
        }
    }

    /** The connection never came up, or it ended without a complete answer. */
    final void connectionFailed() {
        if (state != State.ENDED) {
            boolean written = state == State.WRITTEN;
            state = State.ENDED;
            onFailure(written ? Outcome.RESET : Outcome.CONNECT_FAILED);
        }
    }

    /**
     * This process can't open a connection or make the request. The endpoint never saw it, so it
     * counts neither as failing nor as out of connections.
     */
    final void notStarted() {
        if (state != State.ENDED) {
            state = State.ENDED;
            onFailure(Outcome.NOT_STARTED);
        }
    }

    /** Nobody waits for it any more; closing the connection is how an endpoint learns of it. */
    final void abandon() {
        state = State.ENDED;
        if (connection != null) {
            connection.close();
        }
    }

    /** Whether an endpoint rejected a request without executing it. */
    static boolean isDeclined(HttpMessage answer) {
        int status = answer.head().status();
        return (status == 503 || status == 504)
                && "1".equals(answer.head().fields().get("srv-declined"));
    }
}
