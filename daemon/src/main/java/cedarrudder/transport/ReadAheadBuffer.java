package cedarrudder.transport;

import cedarrudder.bodyflow.BufferAccount;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.LongSupplier;

/**
 * Bytes of one connection that were received and wait to be decoded, with the time at which they
 * were received.
 *
 * <p>What waits is kept on the heap and charged to the account of buffers: direct memory is scarce,
 * and a pooled buffer of 16 KiB may hold a few bytes only.
 */
final class ReadAheadBuffer {

    /** Bytes that are received within this long count as received with the first of them. */
    private static final long SAME_ARRIVAL_NANOS = 10_000_000L;

    /** Beyond this many arrivals all later bytes join the last one, so that memory is bounded. */
    private static final int MAX_ARRIVALS = 64;

    /**
     * Bytes that were received together.
     *
     * @param endOffset how many bytes had been received with them, of all on their connection
     * @param at when, by the loop's clock in nanoseconds
     */
    private record Arrival(long endOffset, long at) {}

    private final BufferAccount account;
    private final LongSupplier clock;
    private final Deque<Arrival> arrivals = new ArrayDeque<>(1);
    private ByteBuf buffer;
    private int charged;
    private long received;

    /** An empty buffer. */
    ReadAheadBuffer(BufferAccount account, LongSupplier clock) {
        this.account = account;
        this.clock = clock;
    }

    /** How many bytes were received on the connection. */
    long received() {
        return received;
    }

    /** Whether bytes wait to be decoded. */
    boolean hasBytes() {
        return buffer != null && buffer.isReadable();
    }

    /** How many bytes wait to be decoded. */
    int size() {
        return buffer == null ? 0 : buffer.readableBytes();
    }

    /** The bytes that wait; the decoder reads them from here. */
    ByteBuf bytes() {
        return buffer;
    }

    /** Notes that this many bytes were received, whether they are added or dropped. */
    void onReceived(int bytes) {
        while (!arrivals.isEmpty() && arrivals.getFirst().endOffset() <= decoded()) {
            arrivals.removeFirst();
        }
        received += bytes;
        long now = clock.getAsLong();
        Arrival last = arrivals.peekLast();
        boolean joins =
                last != null
                        && (now - last.at() < SAME_ARRIVAL_NANOS
                                || arrivals.size() >= MAX_ARRIVALS);
        if (joins) {
            arrivals.removeLast();
        }
        arrivals.addLast(new Arrival(received, joins ? last.at() : now));
    }

    /**
     * Adds bytes and takes over their buffer. They go to the end of the same buffer, since the
     * decoder may be reading it.
     */
    void add(ByteBuf bytes) {
        if (buffer == null) {
            buffer = bytes;
            return;
        }
        try {
            buffer.discardSomeReadBytes().writeBytes(bytes);
        } finally {
            bytes.release();
        }
    }

    private long decoded() {
        return received - size();
    }

    /**
     * When the last byte that was decoded had been received. The time of a request that waited
     * behind another one starts then.
     */
    long lastDecodedAt() {
        while (arrivals.getFirst().endOffset() < decoded()) {
            arrivals.removeFirst();
        }
        return arrivals.getFirst().at();
    }

    /** Moves what waits to the heap and charges it to the account. */
    void retain() {
        if (buffer != null && buffer.isDirect()) {
            ByteBuf copy = Unpooled.buffer(buffer.readableBytes()).writeBytes(buffer);
            buffer.release();
            buffer = copy;
        }
        int held = buffer == null ? 0 : buffer.capacity();
        account.add(held - charged);
        charged = held;
    }

    /** Drops what waits. */
    void clear() {
        if (buffer != null) {
            buffer.release();
            buffer = null;
        }
        retain();
    }
}
