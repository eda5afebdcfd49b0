package cedarrudder.transport;

import cedarrudder.balancer.LoadBalancer.Outcome;
import cedarrudder.forwarding.StreamedResponse;
import cedarrudder.protocol.BodyRemainder;
import cedarrudder.protocol.HttpMessage;
import cedarrudder.protocol.MessageHead;
import io.netty.buffer.ByteBuf;

/** A request on a connection to an endpoint, and the handling of its result. */
abstract class EndpointCall {

    /** The progress of a call; it only moves forward. */
    private enum State {
        /** The last byte is not written. */
        UNWRITTEN,
        /** The last byte is written: the request may have been executed. */
        WRITTEN,
        /** The result is reported, or no longer needed. */
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

    /** Sets the connection that carries the call from now on. */
    void setConnection(EndpointConnection carrier) {
        connection = carrier;
    }

    boolean hasEnded() {
        return state == State.ENDED;
    }

    /** Returns the number of the request, for the log; 0 if this is none of a client. */
    long requestNumber() {
        return 0;
    }

    // ---- content

    /**
     * Returns whether the first byte may be sent now; if not, the call has ended. Called once,
     * right before sending, on an idle connection or on a new one, which may have taken long to
     * establish.
     */
    abstract boolean mayStart();

    /** Encodes the request, or the first bytes of one whose body is streamed. */
    abstract ByteBuf encode();

    /**
     * Returns the rest of the body to be streamed; null if {@link #encode} returns the whole
     * request.
     */
    BodyRemainder rest() {
        return null;
    }

    /** Called before each piece of the rest is written. */
    void discardContent() {}

    /** Returns whether a response with this head may be streamed. */
    boolean mayStream(MessageHead head) {
        return false;
    }

    // ---- result

    /** Records that the last byte is written. */
    void writeComplete() {
        if (state == State.UNWRITTEN) {
            state = State.WRITTEN;
        }
    }

    /**
     * Returns the instant by which what was received of a response that may be a long one is to be
     * passed on.
     *
     * @param begunAt the instant of its first byte
     */
    long passOnBy(long begunAt) {
        return Long.MAX_VALUE;
    }

    /** Called when nothing more of a response was received for some time; it may go on. */
    void responsePaused() {}

    /**
     * Called when the response begins to be streamed; its end is reported as a response without a
     * body.
     *
     * @param response what is received of it, which the connection keeps current
     */
    void responseStarted(HttpMessage answer, StreamedResponse response) {}

    /**
     * Returns whether a streamed response whose last byte was received may be passed on as
     * complete; if not, the call has ended.
     */
    boolean mayComplete() {
        return true;
    }

    /** Reports a response. */
    abstract void onAnswer(HttpMessage answer);

    /** Reports an end without a response. */
    abstract void onFailure(Outcome outcome);

    /** Ends the call with a response; has no effect if the call has ended. */
    final void answered(HttpMessage answer) {
        if (state != State.ENDED) {
            state = State.ENDED;
            onAnswer(answer);
        }
    }

    /**
     * Ends the call because the connection was never established, or ended without a complete
     * response.
     */
    final void connectionFailed() {
        if (state != State.ENDED) {
            boolean written = state == State.WRITTEN;
            state = State.ENDED;
            onFailure(written ? Outcome.RESET : Outcome.CONNECT_FAILED);
        }
    }

    /**
     * Ends the call because this process can't open a connection or encode the request. The
     * endpoint never received it, so the outcome counts neither as a failure nor as a lack of
     * connections of the endpoint.
     */
    final void notStarted() {
        if (state != State.ENDED) {
            state = State.ENDED;
            onFailure(Outcome.NOT_STARTED);
        }
    }

    /** Ends the call without a result; the endpoint detects this by the closed connection. */
    final void abandon() {
        state = State.ENDED;
        if (connection != null) {
            connection.close();
        }
    }

    /** Returns whether an endpoint rejected a request without executing it. */
    static boolean isDeclined(HttpMessage answer) {
        int status = answer.head().status();
        return (status == 503 || status == 504)
                && "1".equals(answer.head().fields().get("srv-declined"));
    }
}
