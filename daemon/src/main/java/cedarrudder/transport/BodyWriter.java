package cedarrudder.transport;

import cedarrudder.bodyflow.BodyFlow;
import cedarrudder.protocol.HttpEncoder;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.WriteBufferWaterMark;

/** Writes a body flow to a channel, no faster than the channel accepts it. */
final class BodyWriter {

    /**
     * The water marks of bytes that wait to be written to a peer while a body is streamed to it;
     * one piece, of 16 KiB at most, may be added. Limits the direct memory that is used for clients
     * that don't read.
     */
    static final WriteBufferWaterMark WRITE_AHEAD = new WriteBufferWaterMark(8 * 1024, 16 * 1024);

    /** The result of writing; exactly one method is called, once. */
    interface CompletionListener {
        /** Called when the last byte is written. */
        void onBodyWritten();

        /** Called when the rest of the body is not received, or the channel fails. */
        void onBodyFailed();
    }

    private final ProxyEventLoop loop;
    private final Channel channel;
    private final BodyFlow flow;
    private final boolean chunked;
    private final Runnable onBytesTaken;
    private final CompletionListener listener;
    private long lastProgressAt;
    private boolean pumping;
    private boolean ended;
    private boolean stopped;

    /**
     * Creates a writer, which writes whenever the flow is readable.
     *
     * @param onBytesTaken runs before each piece that is removed from the flow
     */
    BodyWriter(
            ProxyEventLoop loop,
            Channel channel,
            BodyFlow flow,
            boolean chunked,
            Runnable onBytesTaken,
            CompletionListener listener) {
        this.onBytesTaken = onBytesTaken;
        this.loop = loop;
        this.channel = channel;
        this.flow = flow;
        this.chunked = chunked;
        this.listener = listener;
        this.lastProgressAt = loop.now();
        flow.whenReadable(this::pump);
    }

    /**
     * Writes the available bytes as far as the channel accepts them; to be called when the channel
     * becomes writable again.
     */
    void pump() {
        if (pumping || ended) {
            return;
        }
        boolean wrote;
        pumping = true;
        try {
            wrote = writePieces();
        } catch (OutOfMemoryError e) {
            // A piece is lost: the body must not continue without it, or wait for it for ever.
            loop.log().fault("body.write_failed", e).write();
            stop();
            listener.onBodyFailed();
            return;
        } finally {
            pumping = false;
        }
        if (flow.isBroken()) {
            ended = true;
            listener.onBodyFailed();
        } else if (flow.isAtEnd()) {
            ended = true;
            writeEnd();
        } else if (wrote) {
            channel.flush();
        }
    }

    private boolean writePieces() {
        boolean wrote = false;
        while (channel.isWritable()) {
            byte[] piece = flow.take();
            if (piece == null) {
                break;
            }
            wrote = true;
            lastProgressAt = loop.now();
            onBytesTaken.run();
            channel.write(HttpEncoder.piece(loop.buffers(), piece, chunked));
        }
        return wrote;
    }

    private void writeEnd() {
        ByteBuf end = chunked ? HttpEncoder.lastChunk(loop.buffers()) : Unpooled.EMPTY_BUFFER;
        channel.writeAndFlush(end).addListener(written -> onEndWritten(written.isSuccess()));
    }

    private void onEndWritten(boolean success) {
        if (stopped) {
            return; // the client or the endpoint has disconnected and needs no result
        }
        if (success) {
            listener.onBodyWritten();
        } else {
            listener.onBodyFailed();
        }
    }

    /**
     * Returns whether the channel is not writable and no piece has been written for this long, in
     * nanoseconds.
     */
    boolean isStuck(long nanos) {
        return !channel.isWritable() && loop.now() - lastProgressAt >= nanos;
    }

    /**
     * Returns the instant since which bytes have waited without progress of the channel, by the
     * event loop's clock in nanoseconds; the current time if all bytes have been written.
     */
    long stalledSince() {
        return channel.bytesBeforeUnwritable() >= WRITE_AHEAD.high() ? loop.now() : lastProgressAt;
    }

    /**
     * Stops writing without calling the listener; the flow is not changed, so that another writer
     * may continue it.
     */
    void halt() {
        ended = true;
        stopped = true;
    }

    /** Stops writing without calling the listener, and drops the rest of the flow. */
    void stop() {
        halt();
        flow.fail();
    }
}
