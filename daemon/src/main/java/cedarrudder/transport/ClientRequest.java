package cedarrudder.transport;

import cedarrudder.bodyflow.BufferAccount;
import cedarrudder.budget.HopPath;
import cedarrudder.forwarding.Exchange;
import cedarrudder.protocol.BodyRemainder;
import cedarrudder.protocol.HttpEncoder;
import cedarrudder.protocol.HttpMessage;
import io.netty.buffer.ByteBuf;
import java.util.function.Supplier;

/** A request on a client connection, from its acceptance to its response. */
final class ClientRequest implements Exchange.Reply<HttpMessage> {

    private static final int UNAVAILABLE = 503;
    private static final int BAD_GATEWAY = 502;

    private final ServerContext server;
    private final ClientConnection connection;
    private final String id;
    private final boolean acceptsChunks;
    private final BufferAccount account;
    private final int bufferedBytes;
    private Exchange<HttpMessage, HttpMessage> exchange;

    /**
     * Creates a request whose id is open and whose buffered body is charged to the account until
     * {@link #close}.
     */
    ClientRequest(
            ServerContext server, ClientConnection connection, HttpMessage message, String id) {
        this.server = server;
        this.connection = connection;
        this.id = id;
        this.acceptsChunks = message.head().takesChunks();
        this.account = server.buffers();
        this.bufferedBytes = message.body().length;
        account.add(bufferedBytes);
    }

    void setExchange(Exchange<HttpMessage, HttpMessage> made) {
        exchange = made;
    }

    Exchange<HttpMessage, HttpMessage> exchange() {
        return exchange;
    }

    /** Returns the connection on which the request was received. */
    ClientConnection connection() {
        return connection;
    }

    @Override
    public boolean isClientWaiting() {
        return connection.isClientWaiting(this);
    }

    @Override
    public boolean canDetectDisconnect() {
        return connection.canDetectDisconnect();
    }

    @Override
    public long nanosWithoutSignOfClient() {
        return connection.nanosWithoutSignOfClient();
    }

    @Override
    public void served(HttpMessage answer) {
        boolean last = connection.isLastResponse();
        BodyRemainder rest = answer.rest();
        if (rest == null) {
            respond(last, () -> encode(answer, last));
            return;
        }
        boolean endsByClose = rest.length() < 0 && !acceptsChunks;
        boolean lastOfConnection = last || endsByClose;
        boolean chunked = rest.length() < 0 && acceptsChunks;
        connection.stream(
                rest.flow(), chunked, lastOfConnection, () -> encode(answer, lastOfConnection));
    }

    private ByteBuf encode(HttpMessage answer, boolean last) {
        return HttpEncoder.served(
                server.loop().buffers(),
                answer,
                last,
                server.headers().budgeted(),
                exchange.feedback(),
                acceptsChunks);
    }

    @Override
    public void rejected(long retryAfter) {
        respondWithout(UNAVAILABLE, "unavailable", retryAfter);
    }

    @Override
    public void failed() {
        respondWithout(BAD_GATEWAY, "failed", 0);
    }

    /** Responds without a response of an endpoint. */
    private void respondWithout(int status, String text, long retryAfter) {
        boolean last = connection.isLastResponse();
        respond(
                last,
                () ->
                        HttpEncoder.answer(
                                server.loop().buffers(),
                                status,
                                describe(text),
                                retryAfter,
                                last,
                                exchange.feedback()));
    }

    private String describe(String otherwise) {
        HopPath path = exchange.budget() == null ? HopPath.EMPTY : exchange.budget().loop();
        return path.hops().isEmpty() ? otherwise : "a loop: " + path;
    }

    private void respond(boolean last, Supplier<ByteBuf> encoder) {
        connection.respond(connection.encode(encoder), last);
    }

    /**
     * Closes the request: releases its id, and its body is no longer charged to the account.
     *
     * @param uploading whether the body is still being received; if not, its rest is dropped
     */
    void close(boolean uploading) {
        server.closeId(id);
        account.add(-bufferedBytes);
        BodyRemainder rest = exchange.content().rest();
        if (rest != null && !uploading) {
            rest.flow().fail();
        }
    }
}
