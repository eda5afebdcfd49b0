package cedarrudder.transport;

import cedarrudder.bodyflow.BodyFlow;
import cedarrudder.protocol.HttpEncoder;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.WriteBufferWaterMark;

/** Writes a flow to a channel, no faster than the channel takes it. */
final class BodyWriter {

    /**
     * The least and the most bytes that wait to be written to a peer while a body flows to it; a
     * piece, of 16 KiB at most, may come on top. This avoids direct memory that clients use up who
     * don't read.
     */
    static final WriteBufferWaterMark WRITE_AHEAD = new WriteBufferWaterMark(8 * 1024, 16 * 1024);

    /** What comes of it; one of these is called, once. */
    interface CompletionListener {
        /** The last byte is written. */
        void onBodyWritten();

        /** The rest doesn't come, or the channel takes no more. */
        void broke();
    }

    private final ProxyEventLoop loop;
    private final Channel channel;
    private final BodyFlow flow;
    private final boolean chunked;
    private final Runnable onBytesTaken;
    private final CompletionListener listener;
    private long lastProgressAt;
    private boolean pumping;
    private boolean over;
    private boolean stopped;

    /**
     * @param onBytesTaken runs before each piece that is taken for good
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
     * Writes what there is, as far as the channel takes it; to be called when it takes more again.
     */
    void pump() {
        if (pumping || over) {
            return;
        }
        boolean wrote;
        pumping = true;
        try {
            wrote = writePieces();
        } catch (OutOfMemoryError e) {
            // A piece is lost: this avoids a body that goes on without it, or waits for good.
            loop.log().fault("body.write_failed", e).write();
            stop();
            listener.broke();
            return;
        } finally {
            pumping = false;
        }
        if (flow.isBroken()) {
            over = true;
            listener.broke();
        } else if (flow.isAtEnd()) {
            over = true;
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
            return; // this avoids news of a body to a client or an endpoint that has gone
        }
        if (success) {
            listener.onBodyWritten();
        } else {
            listener.broke();
        }
    }

    /** Whether the channel takes nothing, and has taken nothing for this long, in nanoseconds. */
    boolean stuck(long nanos) {
        return !channel.isWritable() && loop.now() - lastProgressAt >= nanos;
    }

    /**
     * Since when the channel has had something to take and has taken nothing, by the loop's clock
     * in nanoseconds; now where all that there was has gone out.
     */
    long waitsSince() {
        return channel.bytesBeforeUnwritable() >= WRITE_AHEAD.high() ? loop.now() : lastProgressAt;
    }

    /** Nothing more is written, and no listener is called; the flow is left for another. */
    void halt() {
        over = true;
        stopped = true;
    }

    /** Nothing more is written, and nobody is told; the rest is dropped. */
    void stop() {
        halt();
        flow.fail();
    }
}
