package cedarrudder.transport;

import cedarrudder.balancer.LoadBalancer;
import cedarrudder.bodyflow.BufferAccount;
import cedarrudder.budget.PropagatedBudget;
import cedarrudder.forwarding.Exchange;
import cedarrudder.forwarding.RequestForwarder;
import cedarrudder.protocol.HttpMessage;
import cedarrudder.protocol.MalformedMessageException;
import cedarrudder.protocol.RequestHeaders;
import java.util.HashSet;
import java.util.Set;
import java.util.function.BiPredicate;
import java.util.function.BooleanSupplier;

/** The state that the client connections of one server share. Used on the event loop only. */
final class ServerContext {

    private final ProxyEventLoop loop;
    private final RequestForwarder<HttpMessage, HttpMessage> forwarder;
    private final RequestHeaders headers;
    private final BooleanSupplier ready;
    private final BufferAccount buffers;
    private final Set<String> openRequestIds = new HashSet<>();
    private BiPredicate<Exchange<HttpMessage, HttpMessage>, Exchange.Reply<HttpMessage>>
            interceptor = (exchange, reply) -> false;
    private ClientLimits limits;
    private long lastNumber;

    ServerContext(
            ProxyEventLoop loop,
            RequestForwarder<HttpMessage, HttpMessage> forwarder,
            RequestHeaders headers,
            BooleanSupplier ready,
            ClientLimits limits,
            BufferAccount buffers) {
        this.loop = loop;
        this.forwarder = forwarder;
        this.headers = headers;
        this.ready = ready;
        this.limits = limits;
        this.buffers = buffers;
    }

    ProxyEventLoop loop() {
        return loop;
    }

    RequestForwarder<HttpMessage, HttpMessage> forwarder() {
        return forwarder;
    }

    RequestHeaders headers() {
        return headers;
    }

    /** Returns whether the proxy can serve, apart from its own shutdown. */
    boolean isReady() {
        return ready.getAsBoolean();
    }

    BufferAccount buffers() {
        return buffers;
    }

    ClientLimits limits() {
        return limits;
    }

    void setLimits(ClientLimits next) {
        limits = next;
    }

    void setInterceptor(
            BiPredicate<Exchange<HttpMessage, HttpMessage>, Exchange.Reply<HttpMessage>>
                    newInterceptor) {
        interceptor = newInterceptor;
    }

    /**
     * Passes a request to the interceptor, or to the forwarder if the interceptor does not answer
     * it.
     */
    void accept(Exchange<HttpMessage, HttpMessage> exchange, Exchange.Reply<HttpMessage> reply) {
        if (!interceptor.test(exchange, reply)) {
            forwarder.accept(exchange);
        }
    }

    /**
     * Creates the description of a request that is passed to the balancer.
     *
     * @param receivedAt when its last byte was received
     * @param answerBy the instant by which this process has to answer it
     */
    LoadBalancer.Request read(
            HttpMessage message, long receivedAt, long answerBy, PropagatedBudget budget)
            throws MalformedMessageException {
        lastNumber++;
        return headers.read(message, lastNumber, receivedAt, loop.lateness(), answerBy, budget);
    }

    /**
     * Opens a request's id. Otherwise, of two clients with the same id, one could receive the
     * response to the other's request.
     *
     * @throws MalformedMessageException if the id is open already
     */
    void openId(String id) throws MalformedMessageException {
        if (!openRequestIds.add(id)) {
            throw new MalformedMessageException(
                    MalformedMessageException.BAD_REQUEST, "Req-Id is open already");
        }
    }

    void closeId(String id) {
        openRequestIds.remove(id);
    }
}
