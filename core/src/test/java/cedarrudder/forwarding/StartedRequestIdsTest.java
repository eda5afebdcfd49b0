package cedarrudder.forwarding;

import static org.testng.Assert.assertEquals;

import java.nio.ByteBuffer;
import org.testng.annotations.Test;

/** Tests what is remembered of request ids, within one process and between several. */
public class StartedRequestIdsTest {

    private static final long START = 1_000;
    private static final int IDS_OF_A_LONG_RUN = 200_000;

    /** As many as 300 clients a second leave behind within the time for which ids are kept. */
    private static final int IDS_OF_A_CROWD = 18_000;

    /** Guards against an id that is forgotten while its client may still send it. */
    @Test
    public void anIdIsPresentUntilItIsRemovedOrExpires() {
        StartedRequestIds ids = new StartedRequestIds();
        assertEquals(ids.addIfAbsent("a", START), StartedRequestIds.ABSENT);
        assertEquals(ids.addIfAbsent("a", START + 5), START);
        assertEquals(ids.addIfAbsent("b", START + 5), StartedRequestIds.ABSENT);
        ids.remove("a");
        assertEquals(ids.addIfAbsent("a", START + 6), StartedRequestIds.ABSENT);
        long expired = START + 6 + StartedRequestIds.RETENTION_NANOS;
        assertEquals(ids.addIfAbsent("a", expired - 1), START + 6);
        assertEquals(ids.addIfAbsent("a", expired), StartedRequestIds.ABSENT);
    }

    /** Guards against an id that runs at both processes of an upgrade, or after a restart. */
    @Test
    public void processesThatShareMemorySeeEachOthersIds() {
        ByteBuffer shared = ByteBuffer.allocate(StartedRequestIds.SHARED_BYTES);
        StartedRequestIds first = new StartedRequestIds();
        first.addIfAbsent("before", START);
        first.share(shared, 0, START);
        first.addIfAbsent("after", START);
        StartedRequestIds second = new StartedRequestIds();
        second.share(shared, 1, START);
        assertEquals(second.addIfAbsent("before", START + 1), START);
        assertEquals(second.addIfAbsent("after", START + 1), START);
        second.remove("after"); // which is not its own
        assertEquals(second.addIfAbsent("after", START + 1), START);
        StartedRequestIds third = new StartedRequestIds();
        third.share(shared, 0, START + 1);
        assertEquals(third.addIfAbsent("after", START + 2), START);
    }

    /** Guards against memory that grows with the number of ids, and against false matches. */
    @Test
    public void theNewestIdsArePresentAndUnusedOnesAreNot() {
        StartedRequestIds ids = new StartedRequestIds();
        for (int i = 0; i < IDS_OF_A_LONG_RUN; i++) {
            assertEquals(ids.addIfAbsent("id-" + i, START + i), StartedRequestIds.ABSENT);
            assertEquals(ids.addIfAbsent("id-" + i, START + i + 1), START + i);
        }
    }

    /** Guards against ids that run twice since those of other clients that left replaced them. */
    @Test
    public void idsOfACrowdThatLeftArePresentForAsLongAsTheyAreKept() {
        StartedRequestIds ids = new StartedRequestIds();
        for (int i = 0; i < IDS_OF_A_CROWD; i++) {
            ids.addIfAbsent("left-" + i, START + i);
        }
        for (int i = 0; i < IDS_OF_A_CROWD; i++) {
            assertEquals(ids.addIfAbsent("left-" + i, START + IDS_OF_A_CROWD), START + i);
        }
    }

    /**
     * Guards against an id that runs twice since many others were answered after its client left.
     */
    @Test
    public void answeredIdsAreReplacedBeforeOthers() {
        StartedRequestIds ids = new StartedRequestIds();
        ids.addIfAbsent("left", START);
        for (int i = 0; i < IDS_OF_A_LONG_RUN; i++) {
            ids.addIfAbsent("id-" + i, START + i);
            ids.markAnswered("id-" + i);
            assertEquals(ids.addIfAbsent("id-" + i, START + i + 1), START + i);
        }
        assertEquals(ids.addIfAbsent("left", START + IDS_OF_A_LONG_RUN), START);
    }
}
