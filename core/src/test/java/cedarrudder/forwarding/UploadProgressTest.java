package cedarrudder.forwarding;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Tests from which instant the wait of a request counts while its body is not read at once. */
public class UploadProgressTest {

    private static final long SOCKETS = 4_000;
    private static final long SECOND = 1_000_000_000L;

    private static final long QUIET = UploadProgress.MIN_QUIET_NANOS;

    /** Guards against a wait that does not begin while an endpoint reads nothing. */
    @Test
    public void waitCountsFromWhenTheClientMayHaveWrittenAll() {
        UploadProgress progress = new UploadProgress(UploadProgress.UNKNOWN_LENGTH);
        progress.received(100, SOCKETS, false, SECOND);
        assertEquals(progress.mayBeCompleteSince(2 * SECOND), 2 * SECOND);
        progress.stopped(2 * SECOND);
        progress.stopped(3 * SECOND);
        assertEquals(progress.mayBeCompleteSince(9 * SECOND), 2 * SECOND);
    }

    /** Guards against a socket that is empty only until the client's socket sends the rest. */
    @Test
    public void waitStopsOnlyOnceTheSocketHasBeenEmptyForAWhile() {
        UploadProgress progress = new UploadProgress(UploadProgress.UNKNOWN_LENGTH);
        progress.stopped(SECOND);
        progress.received(200, SOCKETS, true, 2 * SECOND);
        progress.received(300, SOCKETS, true, 2 * SECOND + QUIET - 1);
        progress.foundEmpty(2 * SECOND + QUIET);
        assertEquals(progress.mayBeCompleteSince(9 * SECOND), SECOND);
        progress.received(400, SOCKETS, true, 2 * SECOND + 2 * QUIET);
        assertEquals(progress.mayBeCompleteSince(9 * SECOND), 9 * SECOND);
        progress.stopped(3 * SECOND);
        progress.received(500, SOCKETS, true, 4 * SECOND);
        progress.foundEmpty(4 * SECOND + QUIET);
        assertEquals(progress.mayBeCompleteSince(9 * SECOND), 9 * SECOND);
    }

    /** Guards against ending an upload whose client can't have written all of it. */
    @Test
    public void waitDoesNotCountWhileMoreIsMissingThanTheSocketsHold() {
        UploadProgress progress = new UploadProgress(10 * SOCKETS);
        progress.stopped(0);
        for (int second = 1; second < 9; second++) {
            progress.received(second * SOCKETS, SOCKETS, false, second * SECOND);
            assertEquals(progress.mayBeCompleteSince(9 * SECOND), second * SECOND);
        }
        progress.received(9 * SOCKETS, SOCKETS, false, 9 * SECOND);
        assertEquals(progress.mayBeCompleteSince(20 * SECOND), 8 * SECOND);
    }

    /** Guards against an upload without progress that goes on because it is large. */
    @Test
    public void waitCountsFromTheLastProgress() {
        UploadProgress progress = new UploadProgress(10 * SOCKETS);
        progress.stopped(SECOND / 2);
        progress.received(100, SOCKETS, false, SECOND);
        progress.received(100, SOCKETS, false, 5 * SECOND);
        assertEquals(progress.mayBeCompleteSince(9 * SECOND), SECOND);
    }

    /** Guards against ending a chunked upload that its endpoint reads steadily. */
    @Test
    public void waitOfABodyWithoutALengthFollowsWhatWasReceived() {
        UploadProgress progress = new UploadProgress(UploadProgress.UNKNOWN_LENGTH);
        progress.stopped(0);
        for (int tenth = 0; tenth <= 300; tenth++) {
            progress.received(tenth * SOCKETS / 10, SOCKETS, false, tenth * SECOND / 10);
        }
        long since = progress.mayBeCompleteSince(60 * SECOND);
        assertTrue(since >= 28.7 * SECOND && since < 29 * SECOND, since + " ns");
    }
}
