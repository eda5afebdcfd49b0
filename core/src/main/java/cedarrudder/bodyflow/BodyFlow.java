package cedarrudder.bodyflow;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Queue;

/**
 * The rest of a body on its way from the side that reads it to the side that writes it: a window of
 * pieces. The reading side puts pieces and stops reading while the flow is full; the writing side
 * takes them. Owned by the event loop; not thread-safe.
 *
 * <p>This avoids memory that grows with the bodies: whatever their size and number, each holds a
 * window.
 */
public final class BodyFlow {

    /**
     * A flow that holds this much, in bytes, is full: the protocol's largest body, whatever the
     * site.
     */
    public static final int WINDOW = 64 * 1024;

    private static final Runnable NO_LISTENER = () -> {};

    /** Pieces below this size, in bytes, are joined while they wait, up to a whole one. */
    private static final int SMALL = 1024;

    private static final int FULL_PIECE_BYTES = 8 * 1024;
    private static final int MIN_JOINED = 64;

    private final Queue<byte[]> pieces = new ArrayDeque<>();

    /** Small pieces behind the others, joined: {@code joinedLength} bytes of it. */
    private byte[] joined;

    private int joinedLength;
    private final BufferAccount account;
    private int bufferedBytes;
    private boolean ended;
    private boolean broken;
    private Runnable whenReadable = NO_LISTENER;
    private Runnable whenWritable = NO_LISTENER;

    public BodyFlow(BufferAccount account) {
        this.account = account;
    }

    /** The next piece; one that is put when the flow is full is taken all the same. */
    public void put(byte[] piece) {
        if (!broken && piece.length > 0) {
            if (piece.length < SMALL) {
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
     * This avoids a window that costs many times its bytes, since its sender cut it into single
     * ones.
     */
    private void join(byte[] piece) {
        if (joinedLength + piece.length > FULL_PIECE_BYTES) {
            endJoined();
        }
        int length = joinedLength + piece.length;
        if (joined == null) {
            joined = piece; // which is enough where nothing waits
        } else {
            if (length > joined.length) {
                joined =
                        Arrays.copyOf(
                                joined,
                                Math.min(FULL_PIECE_BYTES, Math.max(MIN_JOINED, 2 * length)));
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

    /** Whether to put nothing more for now. While the account is used up one piece is enough. */
    public boolean isFull() {
        return bufferedBytes >= WINDOW || bufferedBytes > 0 && account.isExhausted();
    }

    /** That was all. */
    public void end() {
        ended = true;
        whenReadable.run();
    }

    /**
     * The rest will not come, or nobody takes it: what is held is dropped. No effect once all was
     * taken.
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

    /** The next piece, or null where there is none now. */
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

    /** Whether all was put and taken. */
    public boolean isAtEnd() {
        return ended && bufferedBytes == 0;
    }

    /** Whether the rest will not come. */
    public boolean isBroken() {
        return broken;
    }

    /** Runs at each piece, at the end and at a break. */
    public void whenReadable(Runnable task) {
        whenReadable = task;
    }

    /** Runs at each piece that is taken. */
    public void whenWritable(Runnable task) {
        whenWritable = task;
    }
}
