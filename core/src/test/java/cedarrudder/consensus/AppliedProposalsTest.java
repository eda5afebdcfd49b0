package cedarrudder.consensus;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.util.Arrays;
import org.testng.annotations.Test;

/** What is remembered of proposals that took effect: bounded, the same at all, and enough. */
public class AppliedProposalsTest {

    private static final VoterGroup GROUP = new VoterGroup(1, 0, 1);

    private static Proposal proposal(int replica, long incarnation, long sequence, long after) {
        return new Proposal(
                replica, incarnation, sequence, new LogPosition(GROUP, after), new byte[3]);
    }

    @Test
    public void eachTakesEffectOnceAndNoneAfterALaterOne() {
        AppliedProposals proposers = new AppliedProposals();
        assertTrue(proposers.isNew(proposal(1, 5, 9, 0)));
        proposers.onApplied(proposal(1, 5, 9, 0), new LogPosition(GROUP, 2));
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
        AppliedProposals proposers = new AppliedProposals();
        for (int replica = 0; replica <= AppliedProposals.MAX; replica++) {
            proposers.onApplied(
                    proposal(replica, 1, 1, replica), new LogPosition(GROUP, replica + 1));
        }
        assertNull(proposers.last(0));
        assertFalse(proposers.isNew(proposal(0, 1, 1, 0)));
        assertTrue(proposers.isNew(proposal(0, 1, 2, 1)));
        byte[] held = proposers.encodeWith(new byte[] {4});
        assertTrue(held.length <= AppliedProposals.MAX_BYTES + 1);
        AppliedProposals.Parts read = AppliedProposals.decode(held);
        assertEquals(read.state(), new byte[] {4});
        assertEquals(read.appliedProposals().encodeWith(new byte[] {4}), held);
        assertFalse(read.appliedProposals().isNew(proposal(0, 1, 1, 0)));
        for (int length = 0; length < held.length - 1; length += 97) {
            AppliedProposals.Parts part = AppliedProposals.decode(Arrays.copyOf(held, length));
            assertTrue(length == 0 || part == null || part.state().length == 0);
        }
    }
}
