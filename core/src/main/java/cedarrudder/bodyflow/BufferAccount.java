package cedarrudder.bodyflow;

/**
 * Counts the buffered bytes of all bodies: those that are streamed, are being read, or belong to a
 * request in flight. Not thread-safe; used on the event loop only.
 */
public final class BufferAccount {

    /** The default bound, in bytes: an eighth of the smallest memory of a proxy. */
    public static final long MAX = 16L * 1024 * 1024;

    private long max;
    private long bufferedBytes;

    /**
     * Creates an account without buffered bytes.
     *
     * @param max the bound, in bytes; each flow may buffer one piece beyond it
     */
    public BufferAccount(long max) {
        this.max = max;
    }

    /** Sets the bound that applies from now on. */
    public void max(long bytes) {
        max = bytes;
    }

    /** Adds buffered bytes; negative if they are no longer buffered. */
    public void add(long bytes) {
        bufferedBytes += bytes;
    }

    /** Returns the number of buffered bytes. */
    public long bufferedBytes() {
        return bufferedBytes;
    }

    /**
     * Returns whether at most half of the bound is in use, so that more may be buffered than is
     * needed to make progress.
     */
    public boolean hasSpare() {
        return bufferedBytes <= max / 2;
    }

    /** Returns whether the bound is reached, so that nothing new should be read. */
    public boolean isExhausted() {
        return bufferedBytes >= max;
    }
}
