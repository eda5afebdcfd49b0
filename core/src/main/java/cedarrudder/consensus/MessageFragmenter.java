package cedarrudder.consensus;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.BitSet;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;

/**
 * Cuts messages into pieces and puts pieces together. A message of several pieces is repeated piece
 * by piece, where the one who gets it says which have not come. All that it holds is bounded,
 * whatever comes.
 */
final class MessageFragmenter {

    /** Messages that are not whole yet. This avoids work and memory without end for a flood. */
    private static final int MAX_PARTIAL = 16;

    /** Messages that were sent, kept to be repeated. */
    private static final int MAX_SENT = 16;

    private static final int MAX_DONE = 64;
    private static final long STALE = 2_000_000_000L;
    private static final long PATIENCE = 40_000_000L;
    private static final int MAX_LACKS = 8;

    /** A message of which some pieces have come. */
    private static final class Partial {
        final MessageFragment first;
        final byte[][] parts;
        int got;
        int lacks;
        long lackAt;
        long staleAt;

        Partial(MessageFragment first) {
            this.first = first;
            this.parts = new byte[first.count()][];
        }
    }

    private record Completed(int sender, long incarnation, int message) {}

    private record Sent(int to, int message, List<byte[]> pieces) {}

    private final SafetyRules rules;
    private final List<Partial> partials = new ArrayList<>();
    private final Deque<Completed> done = new ArrayDeque<>();
    private final Deque<Sent> sent = new ArrayDeque<>();
    private int messages;

    /**
     * @param first the number of the first message; a process that goes on with a life needs others
     *     than before
     */
    MessageFragmenter(SafetyRules rules, int first) {
        this.rules = rules;
        this.messages = first;
    }

    List<byte[]> split(VoterGroup group, long term, Voter self, int to, byte[] message) {
        int count = (message.length + MessageFragment.MAX_PART - 1) / MessageFragment.MAX_PART;
        int completed = MessageFragment.checksum(message, 0, message.length);
        int number = messages++;
        List<byte[]> pieces = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            byte[] part =
                    Arrays.copyOfRange(
                            message,
                            i * MessageFragment.MAX_PART,
                            Math.min(message.length, (i + 1) * MessageFragment.MAX_PART));
            pieces.add(
                    new MessageFragment(
                                    group,
                                    term,
                                    self.replica(),
                                    self.incarnation(),
                                    number,
                                    i,
                                    count,
                                    completed,
                                    part)
                            .encode());
        }
        if (count > 1) {
            sent.add(new Sent(to, number, pieces));
            if (sent.size() > MAX_SENT) {
                sent.remove();
            }
        }
        return pieces;
    }

    /** The pieces of a message that this one says it lacks. */
    List<byte[]> resend(int to, RaftMessage.MissingFragments lack) {
        for (Sent each : sent) {
            if (each.to == to && each.message == lack.messageId()) {
                return BitSet.valueOf(lack.missing()).stream()
                        .filter(place -> place < each.pieces.size())
                        .mapToObj(each.pieces::get)
                        .toList();
            }
        }
        return List.of();
    }

    /** Takes a piece; returns the message when it is whole, else null. */
    byte[] accept(long now, MessageFragment piece) {
        if (piece.count() == 1) {
            return piece.payload();
        }
        Completed completed = new Completed(piece.sender(), piece.incarnation(), piece.messageId());
        Partial partial = done.contains(completed) ? null : buffered(piece);
        if (partial == null || partial.parts[piece.index()] != null) {
            return null;
        }
        partial.parts[piece.index()] = piece.payload();
        partial.lackAt = now + PATIENCE;
        partial.staleAt = now + STALE;
        if (++partial.got < partial.parts.length) {
            return null;
        }
        partials.remove(partial);
        done.add(completed);
        if (done.size() > MAX_DONE) {
            done.remove();
        }
        byte[] message = new byte[Arrays.stream(partial.parts).mapToInt(part -> part.length).sum()];
        int at = 0;
        for (byte[] part : partial.parts) {
            System.arraycopy(part, 0, message, at, part.length);
            at += part.length;
        }
        return rules.isIntact(partial.first, message) ? message : null;
    }

    private Partial buffered(MessageFragment piece) {
        for (Partial each : partials) {
            if (each.first.sender() == piece.sender() && rules.isSameMessage(each.first, piece)) {
                return each;
            }
        }
        if (partials.size() == MAX_PARTIAL) {
            partials.remove(0);
        }
        Partial made = new Partial(piece);
        partials.add(made);
        return made;
    }

    /** When {@link #missing} is to be called next. */
    long due() {
        long due = Long.MAX_VALUE;
        for (Partial each : partials) {
            due = Math.min(due, Math.min(each.lackAt, each.staleAt));
        }
        return due;
    }

    /** What is to be asked for again, and of whom. */
    record Missing(int of, RaftMessage.MissingFragments lack) {}

    /** Drops what is stale and says what is missing of the rest. */
    List<Missing> missing(long now) {
        List<Missing> wanted = new ArrayList<>();
        for (Iterator<Partial> all = partials.iterator(); all.hasNext(); ) {
            Partial each = all.next();
            if (now >= each.staleAt) {
                all.remove();
            } else if (now >= each.lackAt) {
                each.lackAt = ++each.lacks < MAX_LACKS ? now + PATIENCE : Long.MAX_VALUE;
                BitSet missing = new BitSet();
                for (int i = 0; i < each.parts.length; i++) {
                    missing.set(i, each.parts[i] == null);
                }
                wanted.add(
                        new Missing(
                                each.first.sender(),
                                new RaftMessage.MissingFragments(
                                        each.first.messageId(), missing.toByteArray())));
            }
        }
        return wanted;
    }

    /** Forgets what is not whole yet. */
    void clear() {
        partials.clear();
        sent.clear();
    }
}
