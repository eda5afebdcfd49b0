package cedarrudder.encoding;

import java.io.ByteArrayOutputStream;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;

/**
 * Integers of variable length (LEB128, as in Protocol Buffers): seven bits a byte, the lowest
 * first; the highest bit of a byte is set if another byte follows.
 */
public final class Varint {

    static final int BITS_PER_BYTE = 7;
    static final int CONTINUATION_BIT = 1 << BITS_PER_BYTE;
    static final int VALUE_MASK = CONTINUATION_BIT - 1;

    private static final int MAX_BYTES = 10;

    private Varint() {}

    /** Receives the bytes of an encoded number. */
    @FunctionalInterface
    private interface ByteSink {
        void accept(byte value);
    }

    /** Writes a number; a negative one takes ten bytes. */
    public static void put(ByteBuffer out, long value) {
        encode(value, out::put);
    }

    /** Writes a number; a negative one takes ten bytes. */
    public static void write(ByteArrayOutputStream out, long value) {
        encode(value, out::write);
    }

    private static void encode(long value, ByteSink sink) {
        long remaining = value;
        while ((remaining & ~VALUE_MASK) != 0) {
            sink.accept((byte) (remaining & VALUE_MASK | CONTINUATION_BIT));
            remaining >>>= BITS_PER_BYTE;
        }
        sink.accept((byte) remaining);
    }

    /** Returns the number of bytes that a number takes. */
    public static int size(long value) {
        return Math.max(
                1,
                (Long.SIZE + BITS_PER_BYTE - 1 - Long.numberOfLeadingZeros(value)) / BITS_PER_BYTE);
    }

    /**
     * Reads a number of up to 64 bits. Only the shortest encoding of a number is valid.
     *
     * @throws BufferUnderflowException if the number does not end, or is not in its shortest form
     */
    public static long get(ByteBuffer in) {
        long value = 0;
        for (int i = 0; i < MAX_BYTES; i++) {
            byte next = in.get();
            if (i > 0 && next == 0 || i == MAX_BYTES - 1 && next != 1) {
                throw new BufferUnderflowException();
            }
            value |= (long) (next & VALUE_MASK) << BITS_PER_BYTE * i;
            if (next >= 0) {
                return value;
            }
        }
        throw new BufferUnderflowException();
    }

    /** Encodes a signed number so that numbers near zero are short. */
    public static long zigZagEncode(long value) {
        return value << 1 ^ value >> 63;
    }

    /** Decodes what {@link #zigZagEncode} encoded. */
    public static long zigZagDecode(long value) {
        return value >>> 1 ^ -(value & 1);
    }
}
