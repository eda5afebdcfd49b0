package cedarrudder.transport;

import cedarrudder.bodyflow.BodyFlow;
import cedarrudder.forwarding.StreamedResponse;
import cedarrudder.forwarding.TimerService;
import cedarrudder.protocol.BodyRemainder;
import cedarrudder.protocol.HttpDecoder;
import cedarrudder.protocol.HttpMessage;
import cedarrudder.protocol.MalformedMessageException;
import cedarrudder.protocol.MessageHead;
import cedarrudder.transport.EndpointConnectionState.Event;
import cedarrudder.transport.EndpointConnectionState.State;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import java.io.IOException;

/**
 * A connection to an endpoint, which carries one call at a time. Its states and transitions are
 * defined by {@link EndpointConnectionState}.
 */
final class EndpointConnection extends SimpleChannelInboundHandler<ByteBuf> {

    /** The time after which a streamed response of which nothing is received has failed. */
    private static final long STREAM_SILENCE_NANOS = 10_000_000_000L;

    /**
     * The time after which an upload has failed if the endpoint accepts none of its bytes. An
     * endpoint whose receive buffer is full opens its window again in steps, which take seconds at
     * the slowest rate that occurs, 64 kB a second.
     */
    private static final long UPLOAD_STALL_NANOS = 30_000_000_000L;

    private static final long NEVER = Long.MIN_VALUE;

    private final EndpointConnectionPool pool;
    private final ProxyEventLoop loop;
    private final UpstreamEndpoint endpoint;
    private final EndpointLimits limits;
    private final HttpDecoder decoder;
    private final EndpointConnectionState state = new EndpointConnectionState();
    private EndpointSocket channel;
    private WriteRetry writeRetry;

    /** The call in flight; null if there is none. */
    private EndpointCall call;

    /** The response body that is being streamed; null if there is none. */
    private BodyFlow download;

    /** What is received of the response that is being streamed; null if there is none. */
    private StreamedResponse streamed;

    /** The request body that is being streamed; null if there is none. */
    private BodyWriter upload;

    private TimerService.Timer uploadTimer;
    private TimerService.Timer answerTimer;

    /** The bytes of the response that is being read that are charged to the account. */
    private int collected;

    private long lastReceivedAt;

    /** The instant of the first byte of the response that is being read. */
    private long answerBegunAt;

    private long connectedAt;
    private long idleSince;
    private long lastAnswerAt = NEVER;

    EndpointConnection(EndpointConnectionPool pool, UpstreamEndpoint endpoint) {
        this.pool = pool;
        this.loop = pool.loop();
        this.endpoint = endpoint;
        this.limits = pool.limits();
        this.decoder =
                HttpDecoder.ofFlows(
                        false, limits.maxHeadBytes(), limits.maxBodyBytes(), BodyFlow.WINDOW);
    }

    // ---- state

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        channel = (EndpointSocket) context.channel();
        writeRetry = new WriteRetry(channel);
        pool.onOpened();
    }

    @Override
    public void handlerRemoved(ChannelHandlerContext context) {
        pool.onClosed();
    }

    /**
     * Changes the state. An illegal event is a fault of the proxy; it is logged and closes this
     * connection only.
     *
     * @return whether the event was legal
     */
    private boolean on(Event event) {
        boolean legal = state.on(event);
        if (!legal) {
            loop.log()
                    .fault(
                            "endpoint.connection_failed",
                            new IllegalStateException(event + " while " + state))
                    .with("endpoint", endpoint.address())
                    .write();
            fail();
        }
        return legal;
    }

    private boolean hasEnded() {
        return state.is(State.ENDED);
    }

    /** Returns the instant since which the connection has been idle, by the event loop's clock. */
    long idleSince() {
        return idleSince;
    }

    /** Returns when the last response was complete; an instant before all others if none was. */
    long lastAnswerAt() {
        return lastAnswerAt;
    }

    /**
     * Returns whether a request may be sent on this idle connection now. It may not be sent on a
     * connection to an earlier incarnation of the endpoint, which may be open and silent because
     * the machine vanished; nor on one that the endpoint may be about to close, since the pool is
     * swept only at intervals.
     */
    boolean isReusable() {
        boolean sinceStart = endpoint.startedAt() == 0 || connectedAt - endpoint.startedAt() >= 0;
        return sinceStart && loop.now() - idleSince <= pool.idleLimitNanos() && channel.isQuiet();
    }

    // ---- requests

    /**
     * Records that the connection is established, and sends its first call. The endpoint counts the
     * connection as idle from this instant.
     */
    void onConnected(EndpointCall first) {
        connectedAt = loop.now();
        idleSince = connectedAt;
        on(Event.CONNECTED);
        send(first);
    }

    /** Sends a call on this connection. */
    void send(EndpointCall next) {
        if (!next.mayStart()) {
            becomeIdle();
            return;
        }
        ByteBuf request = encode(next);
        if (request == null) {
            return;
        }
        call = next;
        next.setConnection(this);
        if (!on(Event.REQUEST_STARTED)) {
            request.release();
            return;
        }
        if (next.rest() != null) {
            channel.writeAndFlush(request);
            startUpload(next);
        } else {
            channel.writeAndFlush(request)
                    .addListener(written -> onWritten(next, written.isSuccess()));
        }
    }

    /** Encodes a request. If that fails, ends the call at once and returns null. */
    private ByteBuf encode(EndpointCall next) {
        try {
            return next.encode();
        } catch (RuntimeException | OutOfMemoryError e) {
            loop.log()
                    .fault("endpoint.request_failed", e)
                    .with("endpoint", endpoint.address())
                    .write();
            close();
            next.notStarted();
            return null;
        }
    }

    private void onWritten(EndpointCall written, boolean success) {
        if (!success) {
            fail();
        } else if (on(Event.REQUEST_WRITTEN)) {
            written.writeComplete();
        }
    }

    /** Streams the rest of a request whose body is not buffered. */
    private void startUpload(EndpointCall next) {
        BodyRemainder rest = next.rest();
        upload =
                new BodyWriter(
                        loop,
                        channel,
                        rest.flow(),
                        rest.length() < 0,
                        next::discardContent,
                        new BodyWriter.CompletionListener() {
                            @Override
                            public void onBodyWritten() {
                                endUpload();
                                onWritten(next, true);
                            }

                            @Override
                            public void onBodyFailed() {
                                endUpload();
                                fail();
                            }
                        });
        watchUpload(upload);
        upload.pump();
    }

    private void endUpload() {
        upload = null;
        uploadTimer.cancel();
    }

    /**
     * Schedules a check that ends an upload of which the endpoint accepts nothing: the request has
     * no deadline yet, and a disconnect of the client is not detected while its input is not read.
     */
    private void watchUpload(BodyWriter watched) {
        uploadTimer = loop.at(loop.now() + WriteRetry.INTERVAL_NANOS, () -> checkUpload(watched));
    }

    private void checkUpload(BodyWriter watched) {
        writeRetry.run(loop.now());
        if (upload != watched) {
            return;
        }
        if (watched.isStuck(UPLOAD_STALL_NANOS)) {
            failMalformed("endpoint accepts no more of the request body");
        } else {
            watchUpload(watched);
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        if (upload != null && channel.isWritable()) {
            upload.pump();
        }
        context.fireChannelWritabilityChanged();
    }

    // ---- responses

    /**
     * Decodes received bytes. A malformed response counts as a failed connection, since the request
     * may have run; no part of it is served, now or when the connection ends.
     */
    @Override
    protected void channelRead0(ChannelHandlerContext context, ByteBuf in) {
        if (hasEnded()) {
            return;
        }
        if (state.is(State.IDLE)) {
            pool.onUnexpectedBytes(endpoint); // such as those after the end of the last response
            close();
            return;
        }
        try {
            lastReceivedAt = loop.now();
            decode(in);
        } catch (MalformedMessageException e) {
            failMalformed(e.getMessage());
        }
    }

    private void decode(ByteBuf in) throws MalformedMessageException {
        if (decoder.between()) {
            answerBegunAt = lastReceivedAt;
        }
        HttpMessage answer = decoder.decode(in);
        while (answer == null && decoder.large()) {
            if (!call.mayStream(decoder.head())) {
                failMalformed("too long a body");
                return;
            }
            startDownload();
            answer = hasEnded() ? null : decoder.decode(in);
        }
        if (hasEnded()) {
            return;
        }
        chargeCollected();
        if (answer != null) {
            if (in.isReadable()) {
                pool.onUnexpectedBytes(endpoint);
            }
            finish(answer, answer.head().keepsAlive() && !in.isReadable());
        } else if (answerTimer == null && !decoder.between()) {
            scheduleAnswerCheck();
        }
        if (download != null) {
            readDownload(!download.isFull());
        }
    }

    /** Continues to read the response that is being streamed, or stops reading it. */
    private void readDownload(boolean reads) {
        streamed.readable(reads, loop.now());
        channel.config().setAutoRead(reads);
    }

    /** Charges the buffered bytes of the response that is being read to the account. */
    private void chargeCollected() {
        int now = decoder.collected();
        pool.buffers().add(now - collected);
        collected = now;
    }

    /** Starts streaming the response. */
    private void startDownload() {
        if (state.is(State.SENDING)) {
            failMalformed("response received before the request was sent");
            return;
        }
        if (!on(Event.STREAM_STARTED)) {
            return;
        }
        BodyFlow flow = new BodyFlow(pool.buffers());
        download = flow;
        MessageHead head = decoder.head();
        long length = decoder.bodyLength();
        StreamedResponse response = new StreamedResponse(length, BodyFlow.WINDOW, answerBegunAt);
        response.received(decoder.bodyBytesRead(), lastReceivedAt);
        streamed = response;
        BodyRemainder rest = new BodyRemainder(flow, length);
        flow.whenWritable(() -> loop.run(() -> continueDownload(flow)));
        byte[] begin = decoder.flow(piece -> receivePiece(response, flow, piece));
        call.responseStarted(new HttpMessage(head, begin, rest), response);
    }

    private void receivePiece(StreamedResponse response, BodyFlow flow, byte[] piece) {
        response.receivedMore(piece.length, lastReceivedAt);
        flow.put(piece);
    }

    private void continueDownload(BodyFlow flow) {
        if (download == flow && !flow.isFull()) {
            lastReceivedAt = loop.now(); // the timeout for silence starts when reading resumes
            readDownload(true);
        }
    }

    private void scheduleAnswerCheck() {
        long now = loop.now();
        long next = now + limits.responseTimeout();
        long passOnBy = download == null ? call.passOnBy(answerBegunAt) : next;
        answerTimer = loop.at(passOnBy > now ? Math.min(next, passOnBy) : next, this::checkAnswer);
    }

    /**
     * Checks a response that has begun some time ago and is not complete. A pause is not its end:
     * until its deadline the attempt goes on, and the balancer may send another one beside it.
     */
    private void checkAnswer() {
        answerTimer = null;
        long silence = loop.now() - lastReceivedAt;
        if (download != null) {
            if (!download.isFull() && silence >= STREAM_SILENCE_NANOS) {
                failMalformed("response is incomplete and no more of it is received");
                return;
            }
        } else if (mustStream(silence)) {
            startDownload();
        } else {
            call.responsePaused();
        }
        if (!hasEnded() && call != null) {
            scheduleAnswerCheck();
        }
    }

    /**
     * Returns whether an incomplete response is streamed from now on: if it is still being
     * received, so that many slow ones are not all buffered, or if it may be a long one whose first
     * bytes are due. A head and the first bytes of its body may arrive one after the other, which
     * is no sign of more. {@link StreamedResponse} determines whether the deadline ends it.
     */
    private boolean mustStream(long silence) {
        if (decoder.head() == null || !call.mayStream(decoder.head())) {
            return false;
        }
        boolean mayBeLong = decoder.bodyLength() < 0;
        return silence < limits.responseTimeout() / 2
                || pool.buffers().isExhausted()
                || mayBeLong && loop.now() >= call.passOnBy(answerBegunAt);
    }

    private void cancelAnswerCheck() {
        if (answerTimer != null) {
            answerTimer.cancel();
            answerTimer = null;
        }
    }

    /** Completes the call with its response. */
    private void finish(HttpMessage answer, boolean reusable) {
        cancelAnswerCheck();
        if (state.is(State.SENDING)) {
            failMalformed("response received before the request was sent");
            return;
        }
        if (download != null && !call.mayComplete()) {
            return;
        }
        if (!on(Event.ANSWER_COMPLETE)) {
            return;
        }
        EndpointCall done = call;
        call = null;
        if (download != null) {
            BodyFlow flow = download;
            download = null;
            streamed = null;
            flow.end();
            channel.config().setAutoRead(true);
        }
        if (reusable) {
            idleSince = loop.now();
            lastAnswerAt = idleSince;
            becomeIdle();
        } else {
            close();
        }
        done.answered(answer);
    }

    // ---- end

    /**
     * Returns the connection to the pool if its endpoint is still listed; the instant since which
     * it is idle is not changed.
     */
    private void becomeIdle() {
        if (endpoint.isRemoved()) {
            close();
        } else {
            endpoint.addIdle(this);
        }
    }

    private void failMalformed(String why) {
        loop.log()
                .warn("endpoint.response_rejected")
                .with("endpoint", endpoint.address())
                .with("request", call == null ? 0 : call.requestNumber())
                .with("why", why)
                .write();
        fail();
    }

    private void failClosed(String why) {
        if (call != null) {
            loop.log()
                    .debug("endpoint.connection_closed")
                    .with("endpoint", endpoint.address())
                    .with("request", call.requestNumber())
                    .with("why", why)
                    .write();
        }
        fail();
    }

    /**
     * Closes the connection, then reports the failure of its call: a closed channel delivers no
     * more events.
     */
    private void fail() {
        close();
        EndpointCall broken = call;
        call = null;
        if (broken != null) {
            broken.connectionFailed();
        }
    }

    /**
     * Removes the connection from the pool at once and closes it. Unread bytes make the close a
     * reset. If a call is in flight, that is how its endpoint detects that the response is no
     * longer needed; an idle connection has no response outstanding.
     */
    void close() {
        on(Event.ENDED);
        cancelAnswerCheck();
        pool.buffers().add(-collected);
        collected = 0;
        if (upload != null) {
            upload.halt();
            endUpload();
        }
        if (download != null) {
            download.fail();
            download = null;
            streamed = null;
        }
        endpoint.removeIdle(this);
        channel.close();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        HttpMessage last = hasEnded() || call == null ? null : decoder.atEnd();
        if (last != null) {
            finish(last, false);
        } else {
            failClosed("closed by the endpoint");
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (!(cause instanceof IOException)) {
            loop.log()
                    .fault("endpoint.connection_failed", cause)
                    .with("endpoint", endpoint.address())
                    .write();
        }
        // Called before the channel is inactive: the received part of a response is not complete.
        failClosed(cause.toString());
    }
}
