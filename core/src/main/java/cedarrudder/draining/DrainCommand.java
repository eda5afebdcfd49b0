package cedarrudder.draining;

import cedarrudder.draining.DrainPolicy.OnDeadline;
import cedarrudder.draining.DrainPolicy.OnRestart;
import java.util.ArrayList;
import java.util.List;

/**
 * What is committed of drains. Operators' calls and policies fit a datagram, as they may have to
 * travel to the leader; steps are the leader's own.
 */
public sealed interface DrainCommand {

    /** Nodes that one call of an operator's may name. */
    int MAX_IDS = 500;

    /** Bytes of policies in one command. */
    int CHUNK_BYTES = 4_000;

    /** What replicas propose to the leader has no more bytes. */
    int MAX_BYTES = 4_080;

    /** Changes in one step. */
    int MAX_CHANGES = 512;

    /** Groups of waiting nodes, and nodes with calls, that a step tells of. */
    int MAX_STATUS_ENTRIES = 16;

    /**
     * An operator's call.
     *
     * @param cancel whether the drains are to end; else they are to begin
     * @param nodes at most {@link #MAX_IDS}
     */
    record DrainRequest(boolean cancel, List<Long> nodes) implements DrainCommand {}

    /** A part of the policies that are to count from here on, if none of a higher revision do. */
    record PolicyChunk(long revision, int checksum, int index, int count, byte[] bytes)
            implements DrainCommand {}

    /**
     * What the leader has found.
     *
     * @param baseVersion the version of the state that it looked at; where it is another by then,
     *     nothing changes
     * @param clock the time that has passed with drains open, in milliseconds, as it reckons; it
     *     only rises
     * @param pauses policies by their place that pause from here on, and those that go on
     */
    record Step(
            long baseVersion,
            long clock,
            List<Pause> pauses,
            List<Change> changes,
            WaveStatus status)
            implements DrainCommand {}

    /** A policy pauses, or goes on. */
    record Pause(int policy, boolean on) {}

    /**
     * An event of one drain. What follows the slot counts where a wave begins; of a restart the
     * start does.
     *
     * @param slot the drain's own number
     * @param nodeStart of the node, as listed
     * @param deadlineMillis how long it may take, in milliseconds
     * @param policies that are for it, as bits
     */
    record Change(
            DrainEvent event,
            int slot,
            long nodeStart,
            long deadlineMillis,
            OnDeadline onDeadline,
            OnRestart onRestart,
            int policies) {
        /** An event that says nothing but itself. */
        static Change of(DrainEvent event, int slot) {
            return new Change(event, slot, 0, 0, OnDeadline.LET_GO, OnRestart.BACK, 0);
        }

        /** The node restarted at that time, and stays out. */
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

    /** What keeps a node waiting. */
    enum Bound {
        /** No policy is for it. */
        NO_POLICY,
        /** Some live replica has said nothing lately. */
        REPORTS,
        /** A node that is out is listed no more, and it is not agreed on yet that it is gone. */
        UNLISTED,
        /** A window in which nothing begins. */
        CLOSED,
        /** A condition, or nodes that died. */
        PAUSED,
        /** Another wave is open, or this one is full. */
        WAVE,
        /** The last wave ended a short while ago. */
        PACE,
        /** Another pod or zone goes first. */
        ORDER,
        /** This many are out in its pod. */
        POD,
        /** In its zone. */
        ZONE,
        /** In its tier. */
        TIER,
        /** So few would be left in its pod. */
        LEFT_POD,
        /** In its zone. */
        LEFT_ZONE,
        /** In its tier. */
        LEFT_TIER,
        /** So little weight would be left in its tier. */
        LEFT_WEIGHT
    }

    /**
     * This many nodes wait for a bound of a policy; the policy is -1 where the bound is of none.
     */
    record BlockedBy(int policy, Bound bound, int nodes) {}

    /** A node that leaves has this many calls of a replica; -1: that replica has not said yet. */
    record RemainingRequests(int slot, int replica, long requests) {}

    /** What the leader knows that others don't, for operators. */
    record WaveStatus(List<BlockedBy> blocked, List<RemainingRequests> remaining) {
        static final WaveStatus NOTHING = new WaveStatus(List.of(), List.of());
    }

    /** As bytes. */
    default byte[] encode() {
        CompactCodec.Writer out = new CompactCodec.Writer();
        if (this instanceof DrainRequest call) {
            out.put(0).put(call.cancel ? 1 : 0).put(call.nodes.size());
            call.nodes.forEach(out::put);
        } else if (this instanceof PolicyChunk part) {
            out.put(1)
                    .put(part.revision)
                    .put(Integer.toUnsignedLong(part.checksum))
                    .put(part.index)
                    .put(part.count)
                    .put(part.bytes);
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

    /** Reads a command; null where the bytes are none. It throws nothing. */
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
        int sum = (int) in.longValue(CompactCodec.MAX_UNSIGNED_INT);
        int index = in.smallInt(PolicyCodec.MAX_BYTES / CHUNK_BYTES);
        int count = in.smallInt(PolicyCodec.MAX_BYTES / CHUNK_BYTES + 1);
        if (index >= count) {
            throw new IllegalArgumentException("part " + index + " of " + count);
        }
        return new PolicyChunk(revision, sum, index, count, in.block(CHUNK_BYTES));
    }

    private static Step readStep(CompactCodec.Reader in) {
        long basis = in.longValue(Long.MAX_VALUE);
        long clock = in.longValue(Long.MAX_VALUE);
        List<Pause> pauses = new ArrayList<>();
        for (int left = in.count(DrainPolicy.MAX_POLICIES); left > 0; left--) {
            pauses.add(new Pause(in.smallInt(DrainPolicy.MAX_POLICIES - 1), in.smallInt(1) == 1));
        }
        List<Change> changes = new ArrayList<>();
        for (int left = in.count(MAX_CHANGES); left > 0; left--) {
            DrainEvent event = in.choice(DrainEvent.values());
            int slot = in.smallInt(Integer.MAX_VALUE);
            changes.add(
                    event == DrainEvent.BEGUN
                            ? new Change(
                                    event,
                                    slot,
                                    in.longValue(Long.MAX_VALUE),
                                    in.longValue(DrainPolicy.MAX_DURATION_NANOS),
                                    in.choice(OnDeadline.values()),
                                    in.choice(OnRestart.values()),
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
        return new Step(basis, clock, pauses, changes, readStatus(in));
    }

    /** Writes what the leader reports. */
    static void writeStatus(CompactCodec.Writer out, WaveStatus status) {
        out.put(status.blocked.size());
        status.blocked.forEach(each -> out.put(each.policy + 1).put(each.bound).put(each.nodes));
        out.put(status.remaining.size());
        status.remaining.forEach(
                each -> out.put(each.slot).put(each.replica).put(each.requests + 1));
    }

    /** Reads what {@link #writeStatus} wrote. */
    static WaveStatus readStatus(CompactCodec.Reader in) {
        List<BlockedBy> waits = new ArrayList<>();
        for (int left = in.count(MAX_STATUS_ENTRIES); left > 0; left--) {
            waits.add(
                    new BlockedBy(
                            in.smallInt(DrainPolicy.MAX_POLICIES) - 1,
                            in.choice(Bound.values()),
                            in.smallInt(DrainPolicy.MAX_NODES)));
        }
        List<RemainingRequests> still = new ArrayList<>();
        for (int left = in.count(MAX_STATUS_ENTRIES); left > 0; left--) {
            still.add(
                    new RemainingRequests(
                            in.smallInt(Integer.MAX_VALUE),
                            in.smallInt(0xffff),
                            in.longValue(Integer.MAX_VALUE) - 1));
        }
        return new WaveStatus(List.copyOf(waits), List.copyOf(still));
    }
}
