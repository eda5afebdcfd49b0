package cedarrudder.encoding;

/** Reads {@link Varint}s of up to 63 bits, which are 0 or more, from the front of an array. */
public final class VarintReader {

    private final byte[] bytes;
    private final int end;
    private int position;

    /** A reader of the bytes before {@code end}. */
    public VarintReader(byte[] bytes, int end) {
        this.bytes = bytes;
        this.end = end;
    }

    /** The index of the byte that is read next. */
    public int position() {
        return position;
    }

    /** How many bytes are left. */
    public int remaining() {
        return end - position;
    }

    /**
     * Reads a number in any of its forms.
     *
     * @throws MalformedVarintException if it does not end, or takes more than 63 bits
     */
    public long next() throws MalformedVarintException {
        return next(false);
    }

    /**
     * Reads a number in its shortest form.
     *
     * @throws MalformedVarintException if it does not end, takes more than 63 bits, or has a
     *     shorter form
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
                            "a number with a zero too much", "the shortest form");
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

    /** Reads the bytes that come next, of which as many must be {@link #remaining()}. */
    public byte[] nextBytes(int length) {
        byte[] block = new byte[length];
        System.arraycopy(bytes, position, block, 0, length);
        position += length;
        return block;
    }
}
