package cedarrudder.draining;

import cedarrudder.encoding.MalformedVarintException;
import cedarrudder.encoding.Varint;
import cedarrudder.encoding.VarintReader;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/**
 * What the log entries and the stored state of drains are made of: {@link Varint}s, numbers of
 * eight bytes, and texts and blocks with their length before them.
 */
final class CompactCodec {

    /** The largest integer that {@link Integer#toUnsignedLong} makes. */
    static final long MAX_UNSIGNED_INT = 0xffffffffL;

    private CompactCodec() {}

    /** Writes. */
    static final class Writer {
        private final ByteArrayOutputStream out = new ByteArrayOutputStream();

        /** A number of 0 or more. */
        Writer put(long value) {
            Varint.write(out, value);
            return this;
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
        private final VarintReader in;

        Reader(byte[] bytes) {
            this.in = new VarintReader(bytes, bytes.length);
        }

        long longValue(long max) {
            long value;
            try {
                value = in.next();
            } catch (MalformedVarintException e) {
                throw invalid(e);
            }
            if (value > max) {
                throw invalid(value, "0 to " + max);
            }
            return value;
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
            if (count > in.remaining()) {
                throw invalid(count, "up to " + in.remaining());
            }
            return count;
        }

        double number() {
            long bits = 0;
            try {
                for (int i = 0; i < Double.BYTES; i++) {
                    bits = bits << Byte.SIZE | Byte.toUnsignedLong(in.nextByte());
                }
            } catch (MalformedVarintException e) {
                throw invalid(e);
            }
            return Double.longBitsToDouble(bits);
        }

        byte[] block(int max) {
            return in.nextBytes(count(max));
        }

        String text(int maxBytes) {
            return new String(block(maxBytes), StandardCharsets.UTF_8);
        }

        <E extends Enum<E>> E choice(E[] of) {
            return of[smallInt(of.length - 1)];
        }

        void requireEnd() {
            if (in.remaining() > 0) {
                throw invalid(in.remaining() + " bytes more", "the end");
            }
        }

        private IllegalArgumentException invalid(MalformedVarintException cause) {
            return new IllegalArgumentException(
                    "byte " + in.position() + ": " + cause.getMessage(), cause);
        }

        private IllegalArgumentException invalid(Object found, String allowed) {
            return new IllegalArgumentException(
                    "byte " + in.position() + ": found " + found + "; allowed: " + allowed);
        }
    }
}
