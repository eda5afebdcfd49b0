package cedarrudder.membership;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;

/**
 * Integers of variable length (LEB128, as in Protocol Buffers): seven bits a byte, the lowest
 * first. Each number has one valid form.
 */
public final class Varint {

    private static final int MAX_BYTES = 10;

    private Varint() {}

    /** Writes a number; a negative one takes ten bytes. */
    public static void put(ByteBuffer out, long value) {
        long rest = value;
        while ((rest & ~0x7fL) != 0) {
            out.put((byte) (rest & 0x7f | 0x80));
            rest >>>= 7;
        }
        out.put((byte) rest);
    }

    /** How many bytes a number takes. */
    public static int size(long value) {
        return Math.max(1, (70 - Long.numberOfLeadingZeros(value)) / 7);
    }

    /**
     * Reads a number.
     *
     * @throws BufferUnderflowException if it does not end, or is not in its shortest form
     */
    public static long get(ByteBuffer in) {
        long value = 0;
        for (int i = 0; i < MAX_BYTES; i++) {
            byte next = in.get();
            if (i > 0 && next == 0 || i == MAX_BYTES - 1 && next != 1) {
                throw new BufferUnderflowException();
            }
            value |= (long) (next & 0x7f) << 7 * i;
            if (next >= 0) {
                return value;
            }
        }
        throw new BufferUnderflowException();
    }

    /** Encodes a signed number so that numbers near to zero are short. */
    public static long zigZagEncode(long value) {
        return value << 1 ^ value >> 63;
    }

    /** Decodes what {@link #zigZagEncode} encoded. */
    public static long zigZagDecode(long value) {
        return value >>> 1 ^ -(value & 1);
    }
}
