package cedarrudder.draining;

import cedarrudder.draining.DrainPolicy.OnDeadline;
import cedarrudder.draining.DrainPolicy.OnRestart;
import java.util.ArrayList;
import java.util.List;

/**
 * A command that changes the replicated state of drains. Requests of operators and chunks of
 * policies fit a datagram, as other replicas may have to send them to the leader; only the leader
 * itself proposes steps.
 */
public sealed interface DrainCommand {

    /** The maximum number of nodes in one request of an operator. */
    int MAX_IDS = 500;

    /** The maximum size of a chunk of policies in one command, in bytes. */
    int CHUNK_BYTES = 4_000;

    /** The maximum size of a command that a replica sends to the leader, in bytes. */
    int MAX_BYTES = 4_080;

    /** The maximum number of changes in one step. */
    int MAX_CHANGES = 512;

    /** The maximum number of entries in each list of a {@link WaveStatus}. */
    int MAX_STATUS_ENTRIES = 16;

    /**
     * An operator's request to drain nodes, or to cancel their drains.
     *
     * @param cancel whether to cancel the drains
     * @param nodes the numbers of at most {@link #MAX_IDS} nodes
     */
    record DrainRequest(boolean cancel, List<Long> nodes) implements DrainCommand {}

    /**
     * One chunk of policies that come into force when all chunks are committed, unless policies of
     * the same or a higher revision already are.
     *
     * @param checksum the checksum of all chunks together
     * @param index the number of this chunk, from 0
     * @param count the number of chunks
     */
    record PolicyChunk(long revision, int checksum, int index, int count, byte[] bytes)
            implements DrainCommand {}

    /**
     * The changes and the status that the leader has derived from the state and the reports.
     *
     * @param baseVersion the version of the state from which the leader derived the changes; if the
     *     state has another version by then, no pause or change applies
     * @param clock the leader's estimate of the time that has passed while drains were open, in
     *     milliseconds; never decreases
     * @param pauses the policies that pause or resume
     */
    record Step(
            long baseVersion,
            long clock,
            List<Pause> pauses,
            List<Change> changes,
            WaveStatus status)
            implements DrainCommand {}

    /**
     * A change of one policy between paused and running.
     *
     * @param policy the index of the policy
     * @param on true if the policy pauses, false if it resumes
     */
    record Pause(int policy, boolean on) {}

    /**
     * An event of one drain. The components after the slot are used where a wave begins; a restart
     * uses {@code nodeStart} alone.
     *
     * @param slot the number of the drain
     * @param nodeStart the start time of the node, as listed
     * @param deadlineMillis how long the drain may take, in milliseconds
     * @param policies the policies that apply to the drain, as a bit set
     */
    record Change(
            DrainEvent event,
            int slot,
            long nodeStart,
            long deadlineMillis,
            OnDeadline onDeadline,
            OnRestart onRestart,
            int policies) {
        /** Returns a change that carries only the event. */
        static Change of(DrainEvent event, int slot) {
            return new Change(event, slot, 0, 0, OnDeadline.LET_GO, OnRestart.BACK, 0);
        }

        /** Returns the change for a node that restarted at a time and stays out of service. */
        static Change restartedOut(int slot, long nodeStart) {
            return new Change(
                    DrainEvent.RESTARTED_OUT,
                    slot,
                    nodeStart,
                    0,
                    OnDeadline.LET_GO,
                    OnRestart.BACK,
                    0);
        }
    }

    /** What keeps a drain waiting. */
    enum Bound {
        /** No policy selects the node. */
        NO_POLICY,
        /** Some live replica has not reported recently. */
        REPORTS,
        /** An unavailable node is no longer listed, and not yet committed as gone. */
        UNLISTED,
        /** A closed window of the policy is in effect. */
        CLOSED,
        /** A condition, or the number of failed nodes, pauses the policy. */
        PAUSED,
        /** Another wave is open, or this one is full. */
        WAVE,
        /** The last wave ended too recently. */
        PACE,
        /** Another pod or zone is drained first. */
        ORDER,
        /** Too many nodes would be unavailable in the pod. */
        POD,
        /** Too many nodes would be unavailable in the zone. */
        ZONE,
        /** Too many nodes would be unavailable in the tier. */
        TIER,
        /** Too few nodes would remain available in the pod. */
        LEFT_POD,
        /** Too few nodes would remain available in the zone. */
        LEFT_ZONE,
        /** Too few nodes would remain available in the tier. */
        LEFT_TIER,
        /** Too little weight would remain available in the tier. */
        LEFT_WEIGHT
    }

    /**
     * The number of nodes that wait because of one bound.
     *
     * @param policy the index of the policy that sets the bound; -1 if no policy does
     */
    record BlockedBy(int policy, Bound bound, int nodes) {}

    /**
     * The requests that a replica has in flight at a node being drained.
     *
     * @param requests their number; -1 if the replica has not reported it yet
     */
    record RemainingRequests(int slot, int replica, long requests) {}

    /** The progress that only the leader can derive, for operators of all replicas. */
    record WaveStatus(List<BlockedBy> blocked, List<RemainingRequests> remaining) {
        static final WaveStatus NOTHING = new WaveStatus(List.of(), List.of());
    }

    /** Encodes the command. */
    default byte[] encode() {
        CompactCodec.Writer out = new CompactCodec.Writer();
        if (this instanceof DrainRequest request) {
            out.put(0).put(request.cancel ? 1 : 0).put(request.nodes.size());
            request.nodes.forEach(out::put);
        } else if (this instanceof PolicyChunk chunk) {
            out.put(1)
                    .put(chunk.revision)
                    .put(Integer.toUnsignedLong(chunk.checksum))
                    .put(chunk.index)
                    .put(chunk.count)
                    .put(chunk.bytes);
        } else if (this instanceof Step step) {
            out.put(2).put(step.baseVersion).put(step.clock).put(step.pauses.size());
            step.pauses.forEach(each -> out.put(each.policy).put(each.on ? 1 : 0));
            out.put(step.changes.size());
            for (Change each : step.changes) {
                out.put(each.event).put(each.slot);
                if (each.event == DrainEvent.BEGUN) {
                    out.put(each.nodeStart)
                            .put(each.deadlineMillis)
                            .put(each.onDeadline)
                            .put(each.onRestart)
                            .put(Integer.toUnsignedLong(each.policies));
                } else if (each.event == DrainEvent.RESTARTED_OUT) {
                    out.put(each.nodeStart);
                }
            }
            writeStatus(out, step.status);
        }
        return out.bytes();
    }

    /** Decodes a command; returns null if the bytes are not a valid one. Never throws. */
    static DrainCommand decode(byte[] bytes) {
        try {
            CompactCodec.Reader in = new CompactCodec.Reader(bytes);
            DrainCommand command =
                    switch (in.smallInt(2)) {
                        case 0 -> readRequest(in);
                        case 1 -> readChunk(in);
                        default -> readStep(in);
                    };
            in.requireEnd();
            return command;
        } catch (IllegalArgumentException e) {
            return null;
        }
    }

    private static DrainRequest readRequest(CompactCodec.Reader in) {
        boolean cancel = in.smallInt(1) == 1;
        List<Long> nodes = new ArrayList<>();
        for (int left = in.count(MAX_IDS); left > 0; left--) {
            nodes.add(in.longValue(DrainStateMachine.MAX_NODE));
        }
        return new DrainRequest(cancel, nodes);
    }

    private static PolicyChunk readChunk(CompactCodec.Reader in) {
        long revision = in.longValue(Long.MAX_VALUE);
        int checksum = (int) in.longValue(CompactCodec.MAX_UNSIGNED_INT);
        int index = in.smallInt(PolicyCodec.MAX_BYTES / CHUNK_BYTES);
        int count = in.smallInt(PolicyCodec.MAX_BYTES / CHUNK_BYTES + 1);
        if (index >= count) {
            throw new IllegalArgumentException("chunk " + index + " of " + count);
        }
        return new PolicyChunk(revision, checksum, index, count, in.block(CHUNK_BYTES));
    }

    private static Step readStep(CompactCodec.Reader in) {
        long baseVersion = in.longValue(Long.MAX_VALUE);
        long clock = in.longValue(Long.MAX_VALUE);
        List<Pause> pauses = new ArrayList<>();
        for (int left = in.count(DrainPolicy.MAX_POLICIES); left > 0; left--) {
            pauses.add(new Pause(in.smallInt(DrainPolicy.MAX_POLICIES - 1), in.smallInt(1) == 1));
        }
        List<Change> changes = new ArrayList<>();
        for (int left = in.count(MAX_CHANGES); left > 0; left--) {
            DrainEvent event = in.enumConstant(DrainEvent.values());
            int slot = in.smallInt(Integer.MAX_VALUE);
            changes.add(
                    event == DrainEvent.BEGUN
                            ? new Change(
                                    event,
                                    slot,
                                    in.longValue(Long.MAX_VALUE),
                                    in.longValue(DrainPolicy.MAX_DURATION_NANOS),
                                    in.enumConstant(OnDeadline.values()),
                                    in.enumConstant(OnRestart.values()),
                                    (int) in.longValue(CompactCodec.MAX_UNSIGNED_INT))
                            : event == DrainEvent.RESTARTED_OUT
                                    ? new Change(
                                            event,
                                            slot,
                                            in.longValue(Long.MAX_VALUE),
                                            0,
                                            OnDeadline.LET_GO,
                                            OnRestart.BACK,
                                            0)
                                    : Change.of(event, slot));
        }
        return new Step(baseVersion, clock, pauses, changes, readStatus(in));
    }

    /** Encodes the status of the waves. */
    static void writeStatus(CompactCodec.Writer out, WaveStatus status) {
        out.put(status.blocked.size());
        status.blocked.forEach(each -> out.put(each.policy + 1).put(each.bound).put(each.nodes));
        out.put(status.remaining.size());
        status.remaining.forEach(
                each -> out.put(each.slot).put(each.replica).put(each.requests + 1));
    }

    /** Decodes what {@link #writeStatus} wrote. */
    static WaveStatus readStatus(CompactCodec.Reader in) {
        List<BlockedBy> blocked = new ArrayList<>();
        for (int left = in.count(MAX_STATUS_ENTRIES); left > 0; left--) {
            blocked.add(
                    new BlockedBy(
                            in.smallInt(DrainPolicy.MAX_POLICIES) - 1,
                            in.enumConstant(Bound.values()),
                            in.smallInt(DrainPolicy.MAX_NODES)));
        }
        List<RemainingRequests> remaining = new ArrayList<>();
        for (int left = in.count(MAX_STATUS_ENTRIES); left > 0; left--) {
            remaining.add(
                    new RemainingRequests(
                            in.smallInt(Integer.MAX_VALUE),
                            in.smallInt(0xffff),
                            in.longValue(Integer.MAX_VALUE) - 1));
        }
        return new WaveStatus(List.copyOf(blocked), List.copyOf(remaining));
    }
}
