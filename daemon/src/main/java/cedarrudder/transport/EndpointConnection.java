package cedarrudder.transport;

import cedarrudder.bodyflow.BodyFlow;
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
 * One connection to an endpoint; it carries one call at a time. Its life is the table of {@link
 * EndpointConnectionState}.
 */
final class EndpointConnection extends SimpleChannelInboundHandler<ByteBuf> {

    /** An answer that is streamed, and of which nothing comes for this long, has been given up. */
    private static final long STREAM_SILENCE_NANOS = 10_000_000_000L;

    /**
     * A body of which the endpoint takes nothing for this long has been given up. At 64 kB a
     * second, the slowest that occurs, a socket's buffer of 4 MB has room again after some 21 s:
     * the kernel tells at a third.
     */
    private static final long UPLOAD_STUCK_NANOS = 30_000_000_000L;

    private final EndpointConnectionPool pool;
    private final ProxyEventLoop loop;
    private final UpstreamEndpoint endpoint;
    private final EndpointLimits limits;
    private final HttpDecoder decoder;
    private final EndpointConnectionState state = new EndpointConnectionState();
    private EndpointSocket channel;

    /** What it carries; null where nothing. */
    private EndpointCall call;

    /** The answer that is being streamed; null where none is. */
    private BodyFlow download;

    /** The body that is being streamed; null where none is. */
    private BodyWriter upload;

    private TimerService.Timer uploadTimer;
    private TimerService.Timer answerTimer;

    /** Bytes of an answer that is being collected, as charged to the account. */
    private int collected;

    private long lastReceivedAt;
    private long connectedAt;
    private long idleSince;

    EndpointConnection(EndpointConnectionPool pool, UpstreamEndpoint endpoint) {
        this.pool = pool;
        this.loop = pool.loop();
        this.endpoint = endpoint;
        this.limits = pool.limits();
        this.decoder =
                HttpDecoder.ofFlows(
                        false, limits.maxHeadBytes(), limits.maxBodyBytes(), BodyFlow.WINDOW);
    }

    // ---- its state

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        channel = (EndpointSocket) context.channel();
        pool.onOpened();
    }

    @Override
    public void handlerRemoved(ChannelHandlerContext context) {
        pool.onClosed();
    }

    /**
     * Changes its state; what is not legal is a fault of ours, and ends this connection alone.
     *
     * @return whether it was legal
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

    /** Since when it has been idle, by the loop's clock. */
    long idleSince() {
        return idleSince;
    }

    /**
     * Whether a request may go out on it now, as it is idle. Not on one to what the endpoint was
     * before its last start, which may stand and be silent where the machine had vanished; and not
     * on one that its endpoint may close, since the pool is looked over only now and then.
     */
    boolean isReusable() {
        boolean sinceStart = endpoint.startedAt() == 0 || connectedAt - endpoint.startedAt() >= 0;
        return sinceStart && loop.now() - idleSince <= pool.idleLimitNanos() && channel.isQuiet();
    }

    // ---- requests

    /** It is connected, for this call; for its endpoint, too, it has been idle from here on. */
    void onConnected(EndpointCall first) {
        connectedAt = loop.now();
        idleSince = connectedAt;
        on(Event.CONNECTED);
        carry(first);
    }

    /** Sends a call. */
    void carry(EndpointCall next) {
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

    /** Encodes a request; where that can't be done the call ends at once, and null is returned. */
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

    /** Writes the rest of a request whose body is streamed. */
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
                            public void broke() {
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
     * Ends an upload of which the endpoint takes nothing: such a body has no deadline yet, and what
     * its client does is not seen while it is not read.
     */
    private void watchUpload(BodyWriter watched) {
        uploadTimer =
                loop.at(
                        loop.now() + UPLOAD_STUCK_NANOS / 4,
                        () -> {
                            if (upload != watched) {
                                return;
                            }
                            if (watched.stuck(UPLOAD_STUCK_NANOS)) {
                                failMalformed("takes nothing of a body");
                            } else {
                                watchUpload(watched);
                            }
                        });
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        if (upload != null && channel.isWritable()) {
            upload.pump();
        }
        context.fireChannelWritabilityChanged();
    }

    // ---- answers

    /**
     * An answer that can't be read ends here as a connection that broke: the request may have run.
     * No part of such an answer is served, now or when the connection ends.
     */
    @Override
    protected void channelRead0(ChannelHandlerContext context, ByteBuf in) {
        if (hasEnded()) {
            return;
        }
        if (state.is(State.IDLE)) {
            close(); // bytes that nobody asked for, such as those behind the last answer
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
            finish(answer, answer.head().keepsAlive() && !in.isReadable());
        } else if (answerTimer == null && !decoder.between()) {
            scheduleAnswerCheck();
        }
        if (download != null) {
            channel.config().setAutoRead(!download.isFull());
        }
    }

    /** Charges what is held of an answer that is being read to the account. */
    private void chargeCollected() {
        int now = decoder.collected();
        pool.buffers().add(now - collected);
        collected = now;
    }

    /** The answer is streamed from here on. */
    private void startDownload() {
        if (state.is(State.SENDING)) {
            failMalformed("an answer before the request");
            return;
        }
        if (!on(Event.STREAM_STARTED)) {
            return;
        }
        BodyFlow flow = new BodyFlow(pool.buffers());
        download = flow;
        MessageHead head = decoder.head();
        BodyRemainder rest = new BodyRemainder(flow, decoder.bodyLength());
        flow.whenWritable(() -> loop.run(() -> continueDownload(flow)));
        call.responseStarted(new HttpMessage(head, decoder.flow(flow::put), rest));
    }

    private void continueDownload(BodyFlow flow) {
        if (download == flow && !flow.isFull()) {
            lastReceivedAt = loop.now(); // silence counts from where the endpoint may go on
            channel.config().setAutoRead(true);
        }
    }

    private void scheduleAnswerCheck() {
        answerTimer = loop.at(loop.now() + limits.responseTimeout(), this::checkAnswer);
    }

    /** An answer has begun some time ago and is not complete. */
    private void checkAnswer() {
        answerTimer = null;
        long silence = loop.now() - lastReceivedAt;
        boolean silentStream =
                download != null && !download.isFull() && silence >= STREAM_SILENCE_NANOS;
        boolean silentAnswer = download == null && silence >= limits.responseTimeout();
        if (silentStream || silentAnswer) {
            failMalformed("an answer without an end");
            return;
        }
        if (download == null && decoder.head() != null && call.mayStream(decoder.head())) {
            startDownload();
        }
        if (!hasEnded()) {
            scheduleAnswerCheck();
        }
    }

    private void cancelAnswerCheck() {
        if (answerTimer != null) {
            answerTimer.cancel();
            answerTimer = null;
        }
    }

    /** An answer is complete. */
    private void finish(HttpMessage answer, boolean reusable) {
        cancelAnswerCheck();
        if (state.is(State.SENDING)) {
            failMalformed("an answer before the request");
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
            flow.end();
            channel.config().setAutoRead(true);
        }
        if (reusable) {
            idleSince = loop.now();
            becomeIdle();
        } else {
            close();
        }
        done.answered(answer);
    }

    // ---- its end

    /** Goes to the pool, where its endpoint is still listed; it keeps since when it is idle. */
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
                .with("why", why)
                .write();
        fail();
    }

    /** Closes, and reports the end of its call: nothing more may come of a closed channel. */
    private void fail() {
        close();
        EndpointCall broken = call;
        call = null;
        if (broken != null) {
            broken.connectionFailed();
        }
    }

    /**
     * Leaves the pool at once, and closes. What still comes is not read, and bytes that are there
     * unread make it a reset. Of a call in flight, that is how its endpoint learns that nobody
     * waits; of an idle one nothing is owed either way.
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
            fail();
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
        fail(); // before the channel ends: what came of an answer until then is not complete
    }
}
