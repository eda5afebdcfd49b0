package cedarrudder.consensus;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.SplittableRandom;
import org.testng.annotations.Test;

/** Splitting messages into fragments, reassembling them, and rejecting malformed bytes of peers. */
public class MessageFragmenterTest {

    private static final long MILLI = 1_000_000L;
    private static final VoterGroup GROUP = new VoterGroup(3, 1, 77);
    private static final Voter SENDER = new Voter(2, 9);

    private static byte[] bytes(int length, long seed) {
        byte[] bytes = new byte[length];
        new Random(seed).nextBytes(bytes);
        return bytes;
    }

    private static List<byte[]> split(MessageFragmenter fragmenter, byte[] message) {
        return fragmenter.split(GROUP, 5, SENDER, 1, message);
    }

    private static byte[] accept(MessageFragmenter fragmenter, long now, byte[] fragment) {
        return fragmenter.accept(now, MessageFragment.decode(fragment, 10));
    }

    @Test
    public void fragmentsFitADatagramAndDifferFromMembershipMessages() {
        for (byte[] fragment :
                split(new MessageFragmenter(new SafetyRules(), 0), bytes(1_000, 1))) {
            assertTrue(fragment.length <= 224);
            // Datagrams of membership begin with its version, a small number.
            assertTrue(fragment[0] < 0);
        }
    }

    @Test
    public void shuffledAndDuplicatedFragmentsYieldEachMessageOnce() {
        MessageFragmenter sender = new MessageFragmenter(new SafetyRules(), 7);
        MessageFragmenter receiver = new MessageFragmenter(new SafetyRules(), 0);
        List<byte[]> messages = new ArrayList<>();
        List<byte[]> datagrams = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            messages.add(bytes(2_000, i));
            datagrams.addAll(split(sender, messages.get(i)));
        }
        datagrams.addAll(List.copyOf(datagrams));
        Collections.shuffle(datagrams, new Random(4));
        List<byte[]> received = new ArrayList<>();
        for (byte[] fragment : datagrams) {
            byte[] complete = accept(receiver, 0, fragment);
            if (complete != null) {
                received.add(complete);
            }
        }
        assertEquals(received.size(), 8);
        messages.forEach(
                message ->
                        assertTrue(
                                received.stream()
                                        .anyMatch(
                                                c ->
                                                        ByteBuffer.wrap(c)
                                                                .equals(
                                                                        ByteBuffer.wrap(
                                                                                message)))));
    }

    @Test
    public void lostFragmentsAreRequestedAgainUntilTheMessageIsDropped() {
        MessageFragmenter sender = new MessageFragmenter(new SafetyRules(), 7);
        MessageFragmenter receiver = new MessageFragmenter(new SafetyRules(), 0);
        byte[] message = bytes(2_000, 3);
        List<byte[]> datagrams = split(sender, message);
        for (int i = 0; i < datagrams.size(); i++) {
            assertNull(i == 2 || i == 5 ? null : accept(receiver, 0, datagrams.get(i)));
        }
        assertEquals(receiver.missing(receiver.due() - 1), List.of());
        List<MessageFragmenter.Missing> requests = receiver.missing(receiver.due());
        assertEquals(requests.get(0).sender(), SENDER.replica());
        List<byte[]> repeated = sender.resend(1, requests.get(0).request());
        assertEquals(repeated, List.of(datagrams.get(2), datagrams.get(5)));
        assertEquals(sender.resend(3, requests.get(0).request()), List.of());
        assertNull(accept(receiver, 100 * MILLI, repeated.get(0)));
        assertEquals(accept(receiver, 100 * MILLI, repeated.get(1)), message);
        accept(receiver, 200 * MILLI, split(sender, message).get(0));
        int requestCount = 0;
        while (receiver.due() != Long.MAX_VALUE) {
            requestCount += receiver.missing(receiver.due()).size();
        }
        assertEquals(requestCount, 8);
    }

    /** A storage that records whether something was written since the last sync. */
    private static final class SyncTrackingStorage implements StableStorage {
        private boolean unsynced;
        private long term;

        @Override
        public Recovered recovered() {
            return null;
        }

        @Override
        public void writeHardState(HardState hardState) {
            term = hardState.term();
            unsynced = true;
        }

        @Override
        public void append(long index, LogEntry entry) {
            unsynced = true;
        }

        @Override
        public void truncateFrom(long from) {
            unsynced = true;
        }

        @Override
        public void writeSnapshot(Snapshot snapshot) {
            unsynced = true;
        }

        @Override
        public void sync() {
            unsynced = false;
        }
    }

    /**
     * Sends random bytes, and valid messages with wrong bytes but correct checksums. Each is
     * dropped or handled, and everything that the replica sends or applies is synced before.
     */
    @Test
    public void malformedMessagesAreDroppedAndNothingUnsyncedIsSent() {
        SplittableRandom random = new SplittableRandom(11);
        SyncTrackingStorage storage = new SyncTrackingStorage();
        int[] zones = new int[10];
        RaftNode replica =
                new RaftNode(
                        zones,
                        0,
                        5,
                        ConsensusSettings.DEFAULT,
                        storage,
                        random.split(),
                        new RaftNode.Actions() {
                            @Override
                            public void send(int to, byte[] fragment) {
                                assertFalse(storage.unsynced, "sent before it was synced");
                                assertTrue(
                                        MessageFragment.decode(fragment, 10).term() <= storage.term,
                                        "a term that is not persisted");
                            }

                            @Override
                            public void apply(LogPosition position, byte[] content) {
                                assertFalse(storage.unsynced, "applied before it was synced");
                            }

                            @Override
                            public byte[] state() {
                                return new byte[500];
                            }

                            @Override
                            public void restore(LogPosition position, byte[] state) {}

                            @Override
                            public void onProposalSettled(
                                    Proposal proposal,
                                    ProposalOutcome outcome,
                                    LogPosition position) {}

                            @Override
                            public void record(ConsensusEvent event) {}
                        },
                        0);
        replica.formGroup(0);
        long now = 0;
        for (int i = 0; i < 20_000; i++) {
            now = Math.max(now + 1, Math.min(replica.nextTickAt(), now + MILLI));
            replica.tick(now);
        }
        assertTrue(replica.isLeader());
        long startedAt = System.nanoTime();
        for (int i = 0; i < 200_000; i++) {
            byte[] randomBytes = new byte[random.nextInt(260)];
            random.nextBytes(randomBytes);
            if (i % 2 == 0 && randomBytes.length > 0) {
                randomBytes[0] = MessageFragment.FIRST_BYTE;
            }
            replica.onDatagram(now, 1, randomBytes);
        }
        assertEquals(replica.counts().malformed(), 200_000);
        RaftMessage[] kinds = {
            new RaftMessage.RequestVote(false, true, 4, 2),
            new RaftMessage.VoteResponse(false, true, 2),
            new RaftMessage.AppendEntries(
                    2, 2, 1, 7, List.of(new LogEntry(3, LogEntry.Kind.CONTENT, new byte[20]))),
            new RaftMessage.AppendResponse(true, 2, 7),
            new RaftMessage.TimeoutNow(),
            new RaftMessage.Digest(3, 2, 1, 1, 4, 5, 6),
            new RaftMessage.FetchRequest(0, 0, 0),
            new RaftMessage.CommittedEntries(
                    1, List.of(new LogEntry(2, LogEntry.Kind.TERM_START, new byte[0]))),
            new RaftMessage.SnapshotChunk(
                    9, 2, new VoterSet(List.of(SENDER)), 1, 900, 0, new byte[100]),
            new RaftMessage.MissingFragments(3, new byte[] {7}),
            new RaftMessage.ProposalAccepted(1, 2),
            new RaftMessage.DigestResponse(1, 2, 3),
            new RaftMessage.ForwardProposal(
                    new Proposal(1, 9, 1, new LogPosition(GROUP, 1), new byte[20]))
        };
        for (int i = 0; i < 200_000; i++) {
            byte[] body = RaftMessageCodec.encode(kinds[i % kinds.length]);
            for (int corrupted = random.nextInt(3); corrupted >= 0; corrupted--) {
                body[random.nextInt(body.length)] = (byte) random.nextInt(256);
            }
            MessageFragment fragment =
                    new MessageFragment(replica.group(), random.nextInt(4), 1, 9, i, 0, 1, 0, body);
            replica.onDatagram(now, 1, fragment.encode());
            now += MILLI;
            replica.tick(now);
        }
        long elapsed = System.nanoTime() - startedAt;
        assertTrue(elapsed < 30_000L * MILLI, "400,000 messages took " + elapsed + " ns");
    }

    @Test
    public void aFragmentWithOneWrongBitIsRejected() {
        byte[] fragment = split(new MessageFragmenter(new SafetyRules(), 0), bytes(100, 1)).get(0);
        assertNotNull(MessageFragment.decode(fragment, 10));
        for (int bit = 0; bit < fragment.length * 8; bit++) {
            byte[] corrupted = fragment.clone();
            corrupted[bit / 8] ^= (byte) (1 << bit % 8);
            assertNull(MessageFragment.decode(corrupted, 10));
        }
    }

    @Test
    public void aFloodOfIncompleteMessagesIsBufferedWithinBounds() {
        MessageFragmenter receiver = new MessageFragmenter(new SafetyRules(), 0);
        MessageFragmenter sender = new MessageFragmenter(new SafetyRules(), 0);
        for (int i = 0; i < 1_000; i++) {
            assertNull(accept(receiver, i, split(sender, bytes(40_000, i)).get(0)));
        }
        assertFalse(receiver.missing(100 * MILLI).size() > 16);
    }
}
