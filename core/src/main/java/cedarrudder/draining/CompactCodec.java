package cedarrudder.draining;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/** Numbers of seven bits a byte, the lowest first, and texts with their length before them. */
final class CompactCodec {

    private static final int BITS = 7;
    private static final int MORE = 1 << BITS;

    private CompactCodec() {}

    /** Writes. */
    static final class Writer {
        private final ByteArrayOutputStream out = new ByteArrayOutputStream();

        /** A number of 0 or more. */
        Writer put(long value) {
            for (long left = value; ; left >>>= BITS) {
                if (left < MORE) {
                    out.write((int) left);
                    return this;
                }
                out.write((int) (left & MORE - 1) | MORE);
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
        private int at;

        Reader(byte[] bytes) {
            this.bytes = bytes;
        }

        long longValue(long max) {
            long value = 0;
            for (int shift = 0; shift < Long.SIZE - 1; shift += BITS) {
                int next = isBit();
                value |= (long) (next & MORE - 1) << shift;
                if ((next & MORE) == 0) {
                    if (value > max) {
                        throw wrong(value, "0 to " + max);
                    }
                    return value;
                }
            }
            throw wrong("a number of over 63 bits", "up to 63 bits");
        }

        private int isBit() {
            if (at == bytes.length) {
                throw wrong("the end", "more");
            }
            return bytes[at++] & 0xff;
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
            if (count > bytes.length - at) {
                throw wrong(count, "up to " + (bytes.length - at));
            }
            return count;
        }

        double number() {
            long bits = 0;
            for (int i = 0; i < Double.BYTES; i++) {
                bits = bits << Byte.SIZE | isBit();
            }
            return Double.longBitsToDouble(bits);
        }

        byte[] block(int max) {
            byte[] block = new byte[count(max)];
            System.arraycopy(bytes, at, block, 0, block.length);
            at += block.length;
            return block;
        }

        String text(int maxBytes) {
            return new String(block(maxBytes), StandardCharsets.UTF_8);
        }

        <E extends Enum<E>> E choice(E[] of) {
            return of[smallInt(of.length - 1)];
        }

        void isAtEnd() {
            if (at < bytes.length) {
                throw wrong(bytes.length - at + " bytes more", "the end");
            }
        }

        private IllegalArgumentException wrong(Object found, String allowed) {
            return new IllegalArgumentException(
                    "byte " + at + ": found " + found + "; allowed: " + allowed);
        }
    }
}
