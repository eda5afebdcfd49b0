package cedarrudder.bodyflow;

/**
 * The account of the bytes of bodies: those that flow, are being read, or belong to a request under
 * way. Owned by the event loop; not thread-safe.
 */
public final class BufferAccount {

    /**
     * What counts where nothing is set: an eighth of the least memory seen for a proxy, in bytes.
     */
    public static final long MAX = 16L * 1024 * 1024;

    private long max;
    private long bufferedBytes;

    /**
     * @param max the bound, in bytes; each flow may hold one piece beyond it
     */
    public BufferAccount(long max) {
        this.max = max;
    }

    /** From now on this is the bound. */
    public void max(long bytes) {
        max = bytes;
    }

    /** This many bytes more are held, or fewer. */
    public void add(long bytes) {
        bufferedBytes += bytes;
    }

    /** How many bytes are held. */
    public long bufferedBytes() {
        return bufferedBytes;
    }

    /** Whether nothing new should be read. */
    public boolean isExhausted() {
        return bufferedBytes >= max;
    }
}
