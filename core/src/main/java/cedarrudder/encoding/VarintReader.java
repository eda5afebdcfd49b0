package cedarrudder.encoding;

/**
 * Reads {@link Varint}s from the front of an array: numbers of up to 63 bits, which are 0 or more.
 */
public final class VarintReader {

    private final byte[] bytes;
    private final int end;
    private int position;

    /** Creates a reader of the bytes before the index {@code end}. */
    public VarintReader(byte[] bytes, int end) {
        this.bytes = bytes;
        this.end = end;
    }

    /** Returns the index of the byte that is read next. */
    public int position() {
        return position;
    }

    /** Returns the number of bytes that are left. */
    public int remaining() {
        return end - position;
    }

    /**
     * Reads a number in any of its encodings, also longer ones than necessary.
     *
     * @throws MalformedVarintException if the number does not end, or takes more than 63 bits
     */
    public long next() throws MalformedVarintException {
        return next(false);
    }

    /**
     * Reads a number in its shortest form.
     *
     * @throws MalformedVarintException if the number does not end, takes more than 63 bits, or has
     *     a shorter form
     */
    public long nextShortest() throws MalformedVarintException {
        return next(true);
    }

    private long next(boolean shortestOnly) throws MalformedVarintException {
        long value = 0;
        for (int shift = 0; shift < Long.SIZE - 1; shift += Varint.BITS_PER_BYTE) {
            byte next = nextByte();
            value |= (long) (next & Varint.VALUE_MASK) << shift;
            if (next >= 0) {
                if (shortestOnly && next == 0 && shift > 0) {
                    throw new MalformedVarintException(
                            "a number with a redundant zero byte", "the shortest form");
                }
                return value;
            }
        }
        throw new MalformedVarintException("a number of over 63 bits", "up to 63 bits");
    }

    /**
     * Reads one byte.
     *
     * @throws MalformedVarintException if none is left
     */
    public byte nextByte() throws MalformedVarintException {
        if (position == end) {
            throw new MalformedVarintException("the end", "a number");
        }
        return bytes[position++];
    }

    /** Reads the next bytes. The length must be at most {@link #remaining()}. */
    public byte[] nextBytes(int length) {
        byte[] result = new byte[length];
        System.arraycopy(bytes, position, result, 0, length);
        position += length;
        return result;
    }
}
