package cedarrudder.consensus;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.util.Arrays;
import org.testng.annotations.Test;

/**
 * The record of proposals that took effect: it is bounded, and keeps each from taking effect twice.
 */
public class AppliedProposalsTest {

    private static final VoterGroup GROUP = new VoterGroup(1, 0, 1);

    private static Proposal proposal(
            int replica, long incarnation, long sequence, long appliedIndex) {
        return new Proposal(
                replica, incarnation, sequence, new LogPosition(GROUP, appliedIndex), new byte[3]);
    }

    @Test
    public void aProposalTakesEffectOnceAndNotAfterALaterOne() {
        AppliedProposals applied = new AppliedProposals();
        assertTrue(applied.isNew(proposal(1, 5, 9, 0)));
        applied.onApplied(proposal(1, 5, 9, 0), new LogPosition(GROUP, 2));
        assertFalse(applied.isNew(proposal(1, 5, 9, 7)));
        assertFalse(applied.isNew(proposal(1, 5, 8, 7)));
        assertFalse(applied.isNew(proposal(1, 4, 10, 7)));
        assertTrue(applied.isNew(proposal(1, 5, 10, 0)));
        assertTrue(applied.isNew(proposal(1, 6, 1, 0)));
        assertTrue(applied.isNew(proposal(2, 5, 9, 0)));
    }

    /**
     * The record is bounded, so replicas are evicted from it. The proposals of an evicted replica
     * must not take effect again.
     */
    @Test
    public void aProposalOfAnEvictedReplicaDoesNotTakeEffectAgain() {
        AppliedProposals applied = new AppliedProposals();
        for (int replica = 0; replica <= AppliedProposals.MAX; replica++) {
            applied.onApplied(
                    proposal(replica, 1, 1, replica), new LogPosition(GROUP, replica + 1));
        }
        assertNull(applied.last(0));
        assertFalse(applied.isNew(proposal(0, 1, 1, 0)));
        assertTrue(applied.isNew(proposal(0, 1, 2, 1)));
        byte[] encoded = applied.encodeWith(new byte[] {4});
        assertTrue(encoded.length <= AppliedProposals.MAX_BYTES + 1);
        AppliedProposals.Parts decoded = AppliedProposals.decode(encoded);
        assertEquals(decoded.state(), new byte[] {4});
        assertEquals(decoded.appliedProposals().encodeWith(new byte[] {4}), encoded);
        assertFalse(decoded.appliedProposals().isNew(proposal(0, 1, 1, 0)));
        for (int length = 0; length < encoded.length - 1; length += 97) {
            AppliedProposals.Parts truncated =
                    AppliedProposals.decode(Arrays.copyOf(encoded, length));
            assertTrue(length == 0 || truncated == null || truncated.state().length == 0);
        }
    }
}
