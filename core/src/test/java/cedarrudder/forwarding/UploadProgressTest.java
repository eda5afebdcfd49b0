package cedarrudder.forwarding;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Tests from which instant the wait of a request counts while its body is not read at once. */
public class UploadProgressTest {

    private static final long SOCKETS = 4_000;
    private static final long SECOND = 1_000_000_000L;

    /** Guards against a wait that does not begin while an endpoint reads nothing. */
    @Test
    public void waitCountsFromWhenTheClientMayHaveWrittenAll() {
        UploadProgress progress = new UploadProgress(UploadProgress.UNKNOWN_LENGTH);
        assertEquals(progress.mayBeCompleteSince(SECOND), SECOND);
        progress.received(100, SOCKETS, SECOND);
        progress.received(100, SOCKETS, 2 * SECOND);
        assertEquals(progress.mayBeCompleteSince(9 * SECOND), SECOND);
        progress.receivedAll(200);
        assertEquals(progress.mayBeCompleteSince(9 * SECOND), 9 * SECOND);
    }

    /** Guards against ending an upload whose client can't have written all of it. */
    @Test
    public void waitDoesNotCountWhileMoreIsMissingThanTheSocketsHold() {
        UploadProgress progress = new UploadProgress(10 * SOCKETS);
        for (int second = 1; second < 9; second++) {
            progress.received(second * SOCKETS, SOCKETS, second * SECOND);
            assertEquals(progress.mayBeCompleteSince(9 * SECOND), second * SECOND);
        }
        progress.received(9 * SOCKETS, SOCKETS, 9 * SECOND);
        assertEquals(progress.mayBeCompleteSince(20 * SECOND), 8 * SECOND);
    }

    /** Guards against an upload without progress that goes on because it is large. */
    @Test
    public void waitCountsFromTheLastProgress() {
        UploadProgress progress = new UploadProgress(10 * SOCKETS);
        progress.received(100, SOCKETS, SECOND);
        progress.received(100, SOCKETS, 5 * SECOND);
        assertEquals(progress.mayBeCompleteSince(9 * SECOND), SECOND);
    }

    /** Guards against ending a chunked upload that its endpoint reads steadily. */
    @Test
    public void waitOfABodyWithoutALengthFollowsWhatWasReceived() {
        UploadProgress progress = new UploadProgress(UploadProgress.UNKNOWN_LENGTH);
        for (int tenth = 0; tenth <= 300; tenth++) {
            progress.received(tenth * SOCKETS / 10, SOCKETS, tenth * SECOND / 10);
        }
        long since = progress.mayBeCompleteSince(60 * SECOND);
        assertTrue(since >= 28.7 * SECOND && since < 29 * SECOND, since + " ns");
    }

    /** Guards against a last byte that was read and waits undecoded without a wait. */
    @Test
    public void undecodedBytesMayContainTheLastOneUnlessTheyAreTooFew() {
        UploadProgress declared = new UploadProgress(1_000);
        assertFalse(declared.mayEndWithin(0, 900));
        assertFalse(declared.mayEndWithin(99, 900));
        assertTrue(declared.mayEndWithin(100, 900));
        assertTrue(new UploadProgress(UploadProgress.UNKNOWN_LENGTH).mayEndWithin(1, 900));
    }
}
