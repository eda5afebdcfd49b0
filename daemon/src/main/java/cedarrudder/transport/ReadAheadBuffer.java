package cedarrudder.transport;

import cedarrudder.bodyflow.BufferAccount;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The bytes of one connection that were received and wait to be decoded, with the times at which
 * they were received.
 *
 * <p>Waiting bytes are buffered on the heap and charged to the account of buffers: direct memory is
 * scarce, and a pooled buffer of 16 KiB may contain a few bytes only.
 */
final class ReadAheadBuffer {

    /**
     * Bytes that are received within this time of the first bytes of an arrival belong to that
     * arrival.
     */
    private static final long SAME_ARRIVAL_NANOS = 10_000_000L;

    private static final int MIN_GROWTH_BYTES = 1024;
    private static final int GROWTH_DIVISOR = 8;

    /**
     * The maximum number of arrivals, which bounds memory; later bytes are added to the last one.
     */
    private static final int MAX_ARRIVALS = 64;

    /**
     * Bytes that were received together.
     *
     * @param endOffset the number of bytes received on the connection up to and including these
     * @param at the instant at which they may have been received, by the event loop's clock in
     *     nanoseconds
     */
    private record Arrival(long endOffset, long at) {}

    private final BufferAccount account;
    private final Deque<Arrival> arrivals = new ArrayDeque<>(1);
    private ByteBuf buffer;
    private int charged;
    private long received;

    /** Creates an empty buffer. */
    ReadAheadBuffer(BufferAccount account) {
        this.account = account;
    }

    /** Returns how many bytes were received on the connection. */
    long received() {
        return received;
    }

    /** Returns whether bytes wait to be decoded. */
    boolean hasBytes() {
        return buffer != null && buffer.isReadable();
    }

    /** Returns how many bytes wait to be decoded. */
    int size() {
        return buffer == null ? 0 : buffer.readableBytes();
    }

    /** Returns the waiting bytes, from which the decoder reads. */
    ByteBuf bytes() {
        return buffer;
    }

    /**
     * Records that this many bytes were received, whether they are added or dropped.
     *
     * @param since the instant since which they may have waited to be read
     */
    void onReceived(int bytes, long since) {
        while (!arrivals.isEmpty() && arrivals.getFirst().endOffset() <= decoded()) {
            arrivals.removeFirst();
        }
        received += bytes;
        Arrival last = arrivals.peekLast();
        boolean joins =
                last != null
                        && (since - last.at() < SAME_ARRIVAL_NANOS
                                || arrivals.size() >= MAX_ARRIVALS);
        if (joins) {
            arrivals.removeLast();
        }
        arrivals.addLast(new Arrival(received, joins ? last.at() : since));
    }

    /**
     * Adds bytes and takes ownership of their buffer. They are appended to the existing buffer,
     * since the decoder may be reading it.
     */
    void add(ByteBuf bytes) {
        if (buffer == null) {
            buffer = bytes;
            return;
        }
        try {
            buffer.discardSomeReadBytes();
            grow(buffer.writerIndex() + bytes.readableBytes());
            buffer.writeBytes(bytes);
        } finally {
            bytes.release();
        }
    }

    /** Grows in small steps: the account is charged with the capacity, which Netty would double. */
    private void grow(int needed) {
        if (needed > buffer.capacity()) {
            buffer.capacity(needed + Math.max(MIN_GROWTH_BYTES, needed / GROWTH_DIVISOR));
        }
    }

    private long decoded() {
        return received - size();
    }

    /**
     * Returns when the last decoded byte was received. The timeout of a request that waited behind
     * another one starts at this instant.
     */
    long lastDecodedAt() {
        while (arrivals.getFirst().endOffset() < decoded()) {
            arrivals.removeFirst();
        }
        return arrivals.getFirst().at();
    }

    /** Moves the waiting bytes to the heap and charges them to the account. */
    void moveToHeap() {
        if (buffer != null && buffer.isDirect()) {
            ByteBuf copy = Unpooled.buffer(buffer.readableBytes()).writeBytes(buffer);
            buffer.release();
            buffer = copy;
        }
        int held = buffer == null ? 0 : buffer.capacity();
        account.add(held - charged);
        charged = held;
    }

    /** Drops the waiting bytes. */
    void clear() {
        if (buffer != null) {
            buffer.release();
            buffer = null;
        }
        moveToHeap();
    }
}
