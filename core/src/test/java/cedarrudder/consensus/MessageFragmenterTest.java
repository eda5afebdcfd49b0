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

/** Bytes of peers: pieces, what they are put together to, and what is none. */
public class MessageFragmenterTest {

    private static final long MILLI = 1_000_000L;
    private static final VoterGroup GROUP = new VoterGroup(3, 1, 77);
    private static final Voter SENDER = new Voter(2, 9);

    private static byte[] bytes(int length, long seed) {
        byte[] bytes = new byte[length];
        new Random(seed).nextBytes(bytes);
        return bytes;
    }

    private static List<byte[]> cut(MessageFragmenter pieces, byte[] message) {
        return pieces.split(GROUP, 5, SENDER, 1, message);
    }

    private static byte[] take(MessageFragmenter pieces, long now, byte[] piece) {
        return pieces.accept(now, MessageFragment.decode(piece, 10));
    }

    @Test
    public void piecesFitTheWireAndBeginAsNoMessageOfMembership() {
        for (byte[] piece : cut(new MessageFragmenter(new SafetyRules(), 0), bytes(1_000, 1))) {
            assertTrue(piece.length <= 224);
            // Membership's begin with its version, a small number.
            assertTrue(piece[0] < 0);
        }
    }

    @Test
    public void shuffledDoubledAndMixedPiecesGiveEachMessageOnce() {
        MessageFragmenter sender = new MessageFragmenter(new SafetyRules(), 7);
        MessageFragmenter receiver = new MessageFragmenter(new SafetyRules(), 0);
        List<byte[]> messages = new ArrayList<>();
        List<byte[]> wire = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            messages.add(bytes(2_000, i));
            wire.addAll(cut(sender, messages.get(i)));
        }
        wire.addAll(List.copyOf(wire));
        Collections.shuffle(wire, new Random(4));
        List<byte[]> came = new ArrayList<>();
        for (byte[] piece : wire) {
            byte[] whole = take(receiver, 0, piece);
            if (whole != null) {
                came.add(whole);
            }
        }
        assertEquals(came.size(), 8);
        messages.forEach(
                message ->
                        assertTrue(
                                came.stream()
                                        .anyMatch(
                                                c ->
                                                        ByteBuffer.wrap(c)
                                                                .equals(
                                                                        ByteBuffer.wrap(
                                                                                message)))));
    }

    @Test
    public void whatWasLostIsAskedForAndRepeatedAndInTheEndForgotten() {
        MessageFragmenter sender = new MessageFragmenter(new SafetyRules(), 7);
        MessageFragmenter receiver = new MessageFragmenter(new SafetyRules(), 0);
        byte[] message = bytes(2_000, 3);
        List<byte[]> wire = cut(sender, message);
        for (int i = 0; i < wire.size(); i++) {
            assertNull(i == 2 || i == 5 ? null : take(receiver, 0, wire.get(i)));
        }
        assertEquals(receiver.missing(receiver.due() - 1), List.of());
        List<MessageFragmenter.Missing> wanted = receiver.missing(receiver.due());
        assertEquals(wanted.get(0).sender(), SENDER.replica());
        List<byte[]> again = sender.resend(1, wanted.get(0).request());
        assertEquals(again, List.of(wire.get(2), wire.get(5)));
        assertEquals(sender.resend(3, wanted.get(0).request()), List.of());
        assertNull(take(receiver, 100 * MILLI, again.get(0)));
        assertEquals(take(receiver, 100 * MILLI, again.get(1)), message);
        take(receiver, 200 * MILLI, cut(sender, message).get(0));
        int asked = 0;
        while (receiver.due() != Long.MAX_VALUE) {
            asked += receiver.missing(receiver.due()).size();
        }
        assertEquals(asked, 8);
    }

    /** A store that knows whether something was written since the last sync. */
    private static final class Unsynced implements StableStorage {
        private boolean unsynced;
        private long term;

        @Override
        public Recovered recovered() {
            return null;
        }

        @Override
        public void writeHardState(HardState promise) {
            term = promise.term();
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
     * Random bytes, and good pieces with wrong bytes whose checksums are put right: all is dropped
     * or read, and what is said of it is synced before.
     */
    @Test
    public void garbageIsDroppedWithoutAWord() {
        SplittableRandom random = new SplittableRandom(11);
        Unsynced store = new Unsynced();
        int[] zones = new int[10];
        RaftNode replica =
                new RaftNode(
                        zones,
                        0,
                        5,
                        ConsensusSettings.DEFAULT,
                        store,
                        random.split(),
                        new RaftNode.Actions() {
                            @Override
                            public void send(int to, byte[] piece) {
                                assertFalse(store.unsynced, "spoken of before it was synced");
                                assertTrue(
                                        MessageFragment.decode(piece, 10).term() <= store.term,
                                        "a term that is not kept");
                            }

                            @Override
                            public void apply(LogPosition number, byte[] content) {
                                assertFalse(store.unsynced, "loaded before it was synced");
                            }

                            @Override
                            public byte[] state() {
                                return new byte[500];
                            }

                            @Override
                            public void restore(LogPosition number, byte[] state) {}

                            @Override
                            public void onProposalSettled(
                                    Proposal proposal,
                                    ProposalOutcome outcome,
                                    LogPosition number) {}

                            @Override
                            public void record(ConsensusEvent note) {}
                        },
                        0);
        replica.formGroup(0);
        long now = 0;
        for (int i = 0; i < 20_000; i++) {
            now = Math.max(now + 1, Math.min(replica.nextTickAt(), now + MILLI));
            replica.tick(now);
        }
        assertTrue(replica.isLeader());
        long began = System.nanoTime();
        for (int i = 0; i < 200_000; i++) {
            byte[] noise = new byte[random.nextInt(260)];
            random.nextBytes(noise);
            if (i % 2 == 0 && noise.length > 0) {
                noise[0] = MessageFragment.FIRST;
            }
            replica.onDatagram(now, 1, noise);
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
            for (int wrong = random.nextInt(3); wrong >= 0; wrong--) {
                body[random.nextInt(body.length)] = (byte) random.nextInt(256);
            }
            MessageFragment piece =
                    new MessageFragment(replica.group(), random.nextInt(4), 1, 9, i, 0, 1, 0, body);
            replica.onDatagram(now, 1, piece.encode());
            now += MILLI;
            replica.tick(now);
        }
        long took = System.nanoTime() - began;
        assertTrue(took < 30_000L * MILLI, "400,000 messages took " + took + " ns");
    }

    @Test
    public void oneWrongBitIsNoPiece() {
        byte[] piece = cut(new MessageFragmenter(new SafetyRules(), 0), bytes(100, 1)).get(0);
        assertNotNull(MessageFragment.decode(piece, 10));
        for (int bit = 0; bit < piece.length * 8; bit++) {
            byte[] wrong = piece.clone();
            wrong[bit / 8] ^= (byte) (1 << bit % 8);
            assertNull(MessageFragment.decode(wrong, 10));
        }
    }

    @Test
    public void aFloodOfBeginningsHoldsLittle() {
        MessageFragmenter receiver = new MessageFragmenter(new SafetyRules(), 0);
        MessageFragmenter sender = new MessageFragmenter(new SafetyRules(), 0);
        for (int i = 0; i < 1_000; i++) {
            assertNull(take(receiver, i, cut(sender, bytes(40_000, i)).get(0)));
        }
        assertFalse(receiver.missing(100 * MILLI).size() > 16);
    }
}
