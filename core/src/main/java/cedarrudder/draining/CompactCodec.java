package cedarrudder.draining;

import cedarrudder.encoding.MalformedVarintException;
import cedarrudder.encoding.Varint;
import cedarrudder.encoding.VarintReader;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/**
 * The encoding of the log entries and the stored state of drains: {@link Varint}s, floating-point
 * numbers of eight bytes, and strings and byte blocks with a length prefix.
 */
final class CompactCodec {

    /** The largest value that {@link Integer#toUnsignedLong} returns. */
    static final long MAX_UNSIGNED_INT = 0xffffffffL;

    private CompactCodec() {}

    /** Appends encoded values. */
    static final class Writer {
        private final ByteArrayOutputStream out = new ByteArrayOutputStream();

        /** Appends an integer of 0 or more. */
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

    /**
     * Decodes values. Each method throws an IllegalArgumentException that names the position if the
     * bytes are malformed or a value is out of range.
     */
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
         * Reads the number of entries that follow. An entry takes at least one byte, so a count
         * above the remaining bytes is rejected before memory is allocated for it.
         */
        int count(int max) {
            int count = smallInt(max);
            if (count > in.remaining()) {
                throw invalid(count, "up to " + in.remaining());
            }
            return count;
        }

        double doubleValue() {
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

        <E extends Enum<E>> E enumConstant(E[] constants) {
            return constants[smallInt(constants.length - 1)];
        }

        void requireEnd() {
            if (in.remaining() > 0) {
                throw invalid(in.remaining() + " more bytes", "the end");
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
