package cedarrudder.bodyflow;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Queue;

/**
 * A bounded buffer that streams the rest of a body, in pieces, from the side that reads it to the
 * side that writes it. The reading side puts pieces and stops reading while the flow is full; the
 * writing side takes them. Not thread-safe; used on the event loop only.
 *
 * <p>So memory doesn't grow with the bodies: whatever their size, each buffers about one window.
 */
public final class BodyFlow {

    /**
     * The size at which a flow is full, in bytes: the largest body that the protocol allows at any
     * site.
     */
    public static final int WINDOW = 64 * 1024;

    private static final Runnable NO_LISTENER = () -> {};

    /** Pieces below this size, in bytes, are joined while they wait, up to a full piece. */
    private static final int SMALL_PIECE_BYTES = 1024;

    private static final int FULL_PIECE_BYTES = 8 * 1024;
    private static final int MIN_JOINED_BYTES = 64;

    private final Queue<byte[]> pieces = new ArrayDeque<>();

    /** Small pieces after the others, joined; the first {@code joinedLength} bytes are used. */
    private byte[] joined;

    private int joinedLength;
    private final BufferAccount account;
    private int bufferedBytes;
    private boolean ended;
    private boolean broken;
    private Runnable whenReadable = NO_LISTENER;
    private Runnable whenWritable = NO_LISTENER;

    /** Creates an empty flow whose buffered bytes are counted in this account. */
    public BodyFlow(BufferAccount account) {
        this.account = account;
    }

    /** Adds the next piece, which is accepted even if the flow is full. */
    public void put(byte[] piece) {
        if (!broken && piece.length > 0) {
            if (piece.length < SMALL_PIECE_BYTES) {
                join(piece);
            } else {
                endJoined();
                pieces.add(piece);
            }
            bufferedBytes += piece.length;
            account.add(piece.length);
            whenReadable.run();
        }
    }

    /**
     * Appends a small piece to the joined ones. Otherwise a window that its sender cut into single
     * bytes would need many times its size in memory.
     */
    private void join(byte[] piece) {
        if (joinedLength + piece.length > FULL_PIECE_BYTES) {
            endJoined();
        }
        int length = joinedLength + piece.length;
        if (joined == null) {
            joined = piece; // not copied if it is the only one
        } else {
            if (length > joined.length) {
                joined =
                        Arrays.copyOf(
                                joined,
                                Math.min(FULL_PIECE_BYTES, Math.max(MIN_JOINED_BYTES, 2 * length)));
            }
            System.arraycopy(piece, 0, joined, joinedLength, piece.length);
        }
        joinedLength = length;
    }

    private void endJoined() {
        if (joined != null) {
            pieces.add(
                    joinedLength == joined.length ? joined : Arrays.copyOf(joined, joinedLength));
            joined = null;
            joinedLength = 0;
        }
    }

    /**
     * Returns whether nothing more should be put for now. While the account is exhausted, a flow
     * with one piece is full.
     */
    public boolean isFull() {
        return bufferedBytes >= WINDOW || bufferedBytes > 0 && account.isExhausted();
    }

    /** Records that the last piece was put. */
    public void end() {
        ended = true;
        whenReadable.run();
    }

    /**
     * Breaks the flow and drops what is buffered, since the rest will not arrive or no one will
     * take it. Has no effect once everything was taken.
     */
    public void fail() {
        if (!broken && !isAtEnd()) {
            broken = true;
            account.add(-bufferedBytes);
            bufferedBytes = 0;
            pieces.clear();
            joined = null;
            joinedLength = 0;
            whenReadable.run();
        }
    }

    /** Removes and returns the next piece; null if there is none now. */
    public byte[] take() {
        if (pieces.isEmpty()) {
            endJoined();
        }
        byte[] piece = pieces.poll();
        if (piece != null) {
            bufferedBytes -= piece.length;
            account.add(-piece.length);
            whenWritable.run();
        }
        return piece;
    }

    /** Returns whether the last piece was put and everything was taken. */
    public boolean isAtEnd() {
        return ended && bufferedBytes == 0;
    }

    /** Returns whether the flow was broken, so that the rest will not arrive. */
    public boolean isBroken() {
        return broken;
    }

    /** Sets the task that runs when a piece is put, at the end and at a break. */
    public void whenReadable(Runnable task) {
        whenReadable = task;
    }

    /** Sets the task that runs when a piece is taken. */
    public void whenWritable(Runnable task) {
        whenWritable = task;
    }
}
