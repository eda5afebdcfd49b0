package cedarrudder.consensus;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.BitSet;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;

/**
 * Splits messages into fragments and reassembles them. The receiver of a message of several
 * fragments requests those that are missing, and the sender repeats only these. All buffers are
 * bounded, whatever is received.
 */
final class MessageFragmenter {

    /**
     * The maximum number of incomplete messages, so that a flood of fragments can't cause unbounded
     * work and memory use.
     */
    private static final int MAX_PARTIAL = 16;

    /** The maximum number of sent messages that are buffered to be repeated. */
    private static final int MAX_SENT = 16;

    private static final int MAX_RECENTLY_COMPLETED = 64;
    private static final long PARTIAL_TIMEOUT_NANOS = 2_000_000_000L;
    private static final long REQUEST_DELAY_NANOS = 40_000_000L;
    private static final int MAX_REQUESTS = 8;

    /** A message of which some fragments were received. */
    private static final class PartialMessage {
        final MessageFragment first;
        final byte[][] payloads;
        int receivedCount;
        int requestCount;
        long requestAt;
        long staleAt;

        PartialMessage(MessageFragment first) {
            this.first = first;
            this.payloads = new byte[first.count()][];
        }
    }

    private record Completed(int sender, long incarnation, int messageId) {}

    private record Sent(int to, int messageId, List<byte[]> fragments) {}

    private final SafetyRules rules;
    private final List<PartialMessage> partials = new ArrayList<>();
    private final Deque<Completed> recentlyCompleted = new ArrayDeque<>();
    private final Deque<Sent> sent = new ArrayDeque<>();
    private int nextMessageId;

    /**
     * Creates a fragmenter without buffered messages.
     *
     * @param firstId the ID of the first message; a process that continues with an earlier
     *     incarnation needs other IDs than before
     */
    MessageFragmenter(SafetyRules rules, int firstId) {
        this.rules = rules;
        this.nextMessageId = firstId;
    }

    List<byte[]> split(VoterGroup group, long term, Voter self, int to, byte[] message) {
        int count =
                (message.length + MessageFragment.MAX_PAYLOAD_BYTES - 1)
                        / MessageFragment.MAX_PAYLOAD_BYTES;
        int messageChecksum = MessageFragment.checksum(message, 0, message.length);
        int messageId = nextMessageId++;
        List<byte[]> fragments = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            byte[] payload =
                    Arrays.copyOfRange(
                            message,
                            i * MessageFragment.MAX_PAYLOAD_BYTES,
                            Math.min(message.length, (i + 1) * MessageFragment.MAX_PAYLOAD_BYTES));
            fragments.add(
                    new MessageFragment(
                                    group,
                                    term,
                                    self.replica(),
                                    self.incarnation(),
                                    messageId,
                                    i,
                                    count,
                                    messageChecksum,
                                    payload)
                            .encode());
        }
        if (count > 1) {
            sent.add(new Sent(to, messageId, fragments));
            if (sent.size() > MAX_SENT) {
                sent.remove();
            }
        }
        return fragments;
    }

    /** Returns the fragments of a sent message that its receiver requests again. */
    List<byte[]> resend(int to, RaftMessage.MissingFragments request) {
        for (Sent each : sent) {
            if (each.to == to && each.messageId == request.messageId()) {
                return BitSet.valueOf(request.missing()).stream()
                        .filter(index -> index < each.fragments.size())
                        .mapToObj(each.fragments::get)
                        .toList();
            }
        }
        return List.of();
    }

    /** Accepts a fragment; returns the message when it is complete, otherwise null. */
    byte[] accept(long now, MessageFragment fragment) {
        if (fragment.count() == 1) {
            return fragment.payload();
        }
        Completed completed =
                new Completed(fragment.sender(), fragment.incarnation(), fragment.messageId());
        PartialMessage partial =
                recentlyCompleted.contains(completed) ? null : findOrAddPartial(fragment);
        if (partial == null || partial.payloads[fragment.index()] != null) {
            return null;
        }
        partial.payloads[fragment.index()] = fragment.payload();
        partial.requestAt = now + REQUEST_DELAY_NANOS;
        partial.staleAt = now + PARTIAL_TIMEOUT_NANOS;
        if (++partial.receivedCount < partial.payloads.length) {
            return null;
        }
        partials.remove(partial);
        recentlyCompleted.add(completed);
        if (recentlyCompleted.size() > MAX_RECENTLY_COMPLETED) {
            recentlyCompleted.remove();
        }
        byte[] message =
                new byte[Arrays.stream(partial.payloads).mapToInt(payload -> payload.length).sum()];
        int offset = 0;
        for (byte[] payload : partial.payloads) {
            System.arraycopy(payload, 0, message, offset, payload.length);
            offset += payload.length;
        }
        return rules.isIntact(partial.first, message) ? message : null;
    }

    private PartialMessage findOrAddPartial(MessageFragment fragment) {
        for (PartialMessage each : partials) {
            if (each.first.sender() == fragment.sender()
                    && rules.isSameMessage(each.first, fragment)) {
                return each;
            }
        }
        if (partials.size() == MAX_PARTIAL) {
            partials.remove(0);
        }
        PartialMessage created = new PartialMessage(fragment);
        partials.add(created);
        return created;
    }

    /** Returns when {@link #missing} is to be called next. */
    long due() {
        long due = Long.MAX_VALUE;
        for (PartialMessage each : partials) {
            due = Math.min(due, Math.min(each.requestAt, each.staleAt));
        }
        return due;
    }

    /** A request for missing fragments and the replica that it is to be sent to. */
    record Missing(int sender, RaftMessage.MissingFragments request) {}

    /**
     * Drops stale incomplete messages, and returns the requests for missing fragments of the
     * others.
     */
    List<Missing> missing(long now) {
        List<Missing> requests = new ArrayList<>();
        for (Iterator<PartialMessage> all = partials.iterator(); all.hasNext(); ) {
            PartialMessage each = all.next();
            if (now >= each.staleAt) {
                all.remove();
            } else if (now >= each.requestAt) {
                each.requestAt =
                        ++each.requestCount < MAX_REQUESTS
                                ? now + REQUEST_DELAY_NANOS
                                : Long.MAX_VALUE;
                BitSet missing = new BitSet();
                for (int i = 0; i < each.payloads.length; i++) {
                    missing.set(i, each.payloads[i] == null);
                }
                requests.add(
                        new Missing(
                                each.first.sender(),
                                new RaftMessage.MissingFragments(
                                        each.first.messageId(), missing.toByteArray())));
            }
        }
        return requests;
    }

    /** Drops all incomplete messages, and the sent ones. */
    void clear() {
        partials.clear();
        sent.clear();
    }
}
