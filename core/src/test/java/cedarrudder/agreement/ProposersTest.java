package cedarrudder.agreement;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.util.Arrays;
import org.testng.annotations.Test;

/** What is remembered of proposals that took effect: bounded, the same at all, and enough. */
public class ProposersTest {

    private static final Group GROUP = new Group(1, 0, 1);

    private static Proposal proposal(int copy, long life, long sequence, long after) {
        return new Proposal(copy, life, sequence, new LogNumber(GROUP, after), new byte[3]);
    }

    @Test
    public void eachTakesEffectOnceAndNoneAfterALaterOne() {
        Proposers proposers = new Proposers();
        assertTrue(proposers.isNew(proposal(1, 5, 9, 0)));
        proposers.took(proposal(1, 5, 9, 0), new LogNumber(GROUP, 2));
        assertFalse(proposers.isNew(proposal(1, 5, 9, 7)));
        assertFalse(proposers.isNew(proposal(1, 5, 8, 7)));
        assertFalse(proposers.isNew(proposal(1, 4, 10, 7)));
        assertTrue(proposers.isNew(proposal(1, 5, 10, 0)));
        assertTrue(proposers.isNew(proposal(1, 6, 1, 0)));
        assertTrue(proposers.isNew(proposal(2, 5, 9, 0)));
    }

    /** Forgetting one must not let what it had proposed take effect again. */
    @Test
    public void oneThatWasForgottenIsNotTakenAgain() {
        Proposers proposers = new Proposers();
        for (int copy = 0; copy <= Proposers.MOST; copy++) {
            proposers.took(proposal(copy, 1, 1, copy), new LogNumber(GROUP, copy + 1));
        }
        assertNull(proposers.last(0));
        assertFalse(proposers.isNew(proposal(0, 1, 1, 0)));
        assertTrue(proposers.isNew(proposal(0, 1, 2, 1)));
        byte[] held = proposers.with(new byte[] {4});
        assertTrue(held.length <= Proposers.MOST_BYTES + 1);
        Proposers.Parts read = Proposers.decode(held);
        assertEquals(read.state(), new byte[] {4});
        assertEquals(read.proposers().with(new byte[] {4}), held);
        assertFalse(read.proposers().isNew(proposal(0, 1, 1, 0)));
        for (int length = 0; length < held.length - 1; length += 97) {
            Proposers.Parts part = Proposers.decode(Arrays.copyOf(held, length));
            assertTrue(length == 0 || part == null || part.state().length == 0);
        }
    }
}
