package cedarrudder.draining;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/**
 * Integers of variable length (LEB128: seven bits a byte, the lowest first), and texts and blocks
 * with their length before them.
 */
final class CompactCodec {

    private static final int BITS_PER_BYTE = 7;
    private static final int CONTINUATION_BIT = 1 << BITS_PER_BYTE;

    /** The largest integer that {@link Integer#toUnsignedLong} makes. */
    static final long MAX_UNSIGNED_INT = 0xffffffffL;

    private CompactCodec() {}

    /** Writes. */
    static final class Writer {
        private final ByteArrayOutputStream out = new ByteArrayOutputStream();

        /** A number of 0 or more. */
        Writer put(long value) {
            for (long left = value; ; left >>>= BITS_PER_BYTE) {
                if (left < CONTINUATION_BIT) {
                    out.write((int) left);
                    return this;
                }
                out.write((int) (left & CONTINUATION_BIT - 1) | CONTINUATION_BIT);
            }
        }

        Writer put(double value) {
            long bits = Double.doubleToLongBits(value);
            for (int shift = Long.SIZE - Byte.SIZE; shift >= 0; shift -= Byte.SIZE) {
                out.write((int) (bits >>> shift));
            }
            return this;
        }

        Writer put(String text) {
            return put(text.getBytes(StandardCharsets.UTF_8));
        }

        Writer put(byte[] bytes) {
            put(bytes.length);
            out.writeBytes(bytes);
            return this;
        }

        Writer put(Enum<?> constant) {
            return put(constant.ordinal());
        }

        int size() {
            return out.size();
        }

        byte[] bytes() {
            return out.toByteArray();
        }
    }

    /** Reads; what is wrong is an IllegalArgumentException that says where. */
    static final class Reader {
        private final byte[] bytes;
        private int position;

        Reader(byte[] bytes) {
            this.bytes = bytes;
        }

        long longValue(long max) {
            long value = 0;
            for (int shift = 0; shift < Long.SIZE - 1; shift += BITS_PER_BYTE) {
                int next = nextByte();
                value |= (long) (next & CONTINUATION_BIT - 1) << shift;
                if ((next & CONTINUATION_BIT) == 0) {
                    if (value > max) {
                        throw invalid(value, "0 to " + max);
                    }
                    return value;
                }
            }
            throw invalid("a number of over 63 bits", "up to 63 bits");
        }

        private int nextByte() {
            if (position == bytes.length) {
                throw invalid("the end", "more");
            }
            return bytes[position++] & 0xff;
        }

        int smallInt(int max) {
            return (int) longValue(max);
        }

        /**
         * How many entries follow; each takes a byte or more, so that no more are read than there
         * are.
         */
        int count(int max) {
            int count = smallInt(max);
            if (count > bytes.length - position) {
                throw invalid(count, "up to " + (bytes.length - position));
            }
            return count;
        }

        double number() {
            long bits = 0;
            for (int i = 0; i < Double.BYTES; i++) {
                bits = bits << Byte.SIZE | nextByte();
            }
            return Double.longBitsToDouble(bits);
        }

        byte[] block(int max) {
            byte[] block = new byte[count(max)];
            System.arraycopy(bytes, position, block, 0, block.length);
            position += block.length;
            return block;
        }

        String text(int maxBytes) {
            return new String(block(maxBytes), StandardCharsets.UTF_8);
        }

        <E extends Enum<E>> E choice(E[] of) {
            return of[smallInt(of.length - 1)];
        }

        void requireEnd() {
            if (position < bytes.length) {
                throw invalid(bytes.length - position + " bytes more", "the end");
            }
        }

        private IllegalArgumentException invalid(Object found, String allowed) {
            return new IllegalArgumentException(
                    "byte " + position + ": found " + found + "; allowed: " + allowed);
        }
    }
}
