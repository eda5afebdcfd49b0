package cedarrudder.draining;

import cedarrudder.draining.DrainCommand.Change;
import cedarrudder.draining.DrainCommand.DrainRequest;
import cedarrudder.draining.DrainCommand.Pause;
import cedarrudder.draining.DrainCommand.PolicyChunk;
import cedarrudder.draining.DrainCommand.Step;
import cedarrudder.draining.DrainCommand.WaveStatus;
import cedarrudder.draining.DrainPolicy.OnDeadline;
import cedarrudder.draining.DrainPolicy.OnRestart;
import cedarrudder.draining.DrainTransitions.Effect;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.zip.CRC32C;

/**
 * What replicas agree on of drains: the same at each that applied the same commands in their order,
 * whatever its clock, its list of nodes and its file say. Not thread-safe.
 */
final class DrainStateMachine {

    static final long MAX_NODE = (1L << 52) - 1;

    private static final int VERSION = 1;
    private static final int MAX_WAVE = 1 << 16;
    private static final int MAX_ENDED = 256;
    private static final int MAX_PARTS = PolicyCodec.MAX_BYTES / DrainCommand.PART + 1;

    /** A drain of one node. */
    static final class Drain {
        final int slot;
        final long node;
        DrainState state = DrainState.WAITING;
        int wave;

        /** The node's start when its wave began, or at the restart after it. */
        long start;

        /** In milliseconds. */
        long within;

        /** On the agreed clock, in milliseconds. */
        long until;

        OnDeadline atEnd = OnDeadline.LET_GO;
        OnRestart restarted = OnRestart.BACK;
        int policies;

        /** The version that began its present state. */
        long since;

        Drain(int slot, long node) {
            this.slot = slot;
            this.node = node;
        }
    }

    private final TreeMap<Integer, Drain> drains = new TreeMap<>();
    private final Map<Long, Drain> byNode = new HashMap<>();
    private final Deque<DrainCoordinator.EndedDrain> ended = new ArrayDeque<>();
    private long version;
    private long clock;
    private int nextSlot = 1;
    private int wave;
    private long revision;
    private int sum;
    private byte[] policyBytes = PolicyCodec.encode(List.of());
    private List<DrainPolicy> policies = List.of();
    private long[] endedAt = new long[0];
    private long[] pausedAt = new long[0];
    private long comingRevision;
    private int comingSum;
    private byte[][] coming = new byte[0][];
    private WaveStatus told = WaveStatus.NOTHING;

    // ---- what is known ----

    /** Rises with each command that changed something but the clock. */
    long version() {
        return version;
    }

    long clock() {
        return clock;
    }

    long revision() {
        return revision;
    }

    int sum() {
        return sum;
    }

    List<DrainPolicy> policies() {
        return policies;
    }

    Collection<Drain> drains() {
        return drains.values();
    }

    Drain of(long node) {
        return byNode.get(node);
    }

    Drain slot(int slot) {
        return drains.get(slot);
    }

    DrainState state(long node) {
        Drain drain = byNode.get(node);
        return drain == null ? DrainState.NONE : drain.state;
    }

    WaveStatus told() {
        return told;
    }

    List<DrainCoordinator.EndedDrain> ended() {
        return List.copyOf(ended);
    }

    boolean paused(int policy) {
        return pausedAt[policy] >= 0;
    }

    /** On the agreed clock; negative where it does not pause. */
    long pausedAt(int policy) {
        return pausedAt[policy];
    }

    /**
     * When the last wave of a policy was over, on the agreed clock; negative where there was none.
     */
    long waveEndedAt(int policy) {
        return endedAt[policy];
    }

    /** The policies that have a wave which is not over, as bits. */
    int open() {
        int open = 0;
        for (Drain drain : drains.values()) {
            open |= drain.state.isOpen() ? drain.policies : 0;
        }
        return open;
    }

    /** Whether a part of policies is here, or not wanted any more. */
    boolean contains(PolicyChunk part) {
        return part.revision() <= revision
                || part.revision() < comingRevision
                || part.revision() == comingRevision
                        && part.sum() == comingSum
                        && part.count() == coming.length
                        && coming[part.index()] != null;
    }

    // ---- commands ----

    /** Applies a command; one that can't be read, or that was overtaken, changes nothing. */
    List<DrainCoordinator.DrainChange> apply(byte[] bytes) {
        List<DrainCoordinator.DrainChange> happened = new ArrayList<>();
        DrainCommand command = DrainCommand.decode(bytes);
        long before = version;
        int open = open();
        if (command instanceof DrainRequest call) {
            call(call, happened);
        } else if (command instanceof PolicyChunk part) {
            part(part);
        } else if (command instanceof Step step) {
            step(step, happened);
        }
        if (version != before) {
            int over = open & ~open();
            for (int i = 0; i < endedAt.length; i++) {
                endedAt[i] = (over >> i & 1) != 0 ? clock : endedAt[i];
            }
        }
        return happened;
    }

    private void call(DrainRequest call, List<DrainCoordinator.DrainChange> happened) {
        version++;
        for (long node : call.nodes()) {
            if (!call.cancel()
                    && !byNode.containsKey(node)
                    && drains.size() < DrainPolicy.MAX_NODES
                    && nextSlot < Integer.MAX_VALUE) {
                Drain drain = new Drain(nextSlot++, node);
                drain.state = DrainState.NONE;
                drains.put(drain.slot, drain);
                byNode.put(node, drain);
            }
            Drain drain = byNode.get(node);
            if (drain != null) {
                onEvent(drain, call.cancel() ? DrainEvent.CANCELLED : DrainEvent.ASKED, happened);
            }
        }
    }

    private void step(Step step, List<DrainCoordinator.DrainChange> happened) {
        clock = Math.max(clock, step.clock());
        told = step.told();
        if (step.basis() != version || step.pauses().isEmpty() && step.changes().isEmpty()) {
            return;
        }
        version++;
        for (Pause pause : step.pauses()) {
            if (pause.policy() < pausedAt.length) {
                pausedAt[pause.policy()] = pause.on() ? clock : -1;
            }
        }
        if (step.changes().stream().anyMatch(each -> each.event() == DrainEvent.BEGUN)) {
            wave = (wave + 1) % MAX_WAVE;
        }
        for (Change change : step.changes()) {
            Drain drain = drains.get(change.slot());
            if (drain == null) {
                continue;
            }
            if (change.event() == DrainEvent.BEGUN && drain.state == DrainState.WAITING) {
                drain.wave = wave;
                drain.start = change.start();
                drain.within = change.time();
                drain.until = clock + change.time();
                drain.atEnd = change.atEnd();
                drain.restarted = change.restarted();
                drain.policies = change.policies();
            } else if (change.event() == DrainEvent.RESTARTED_OUT) {
                drain.start = change.start();
            }
            onEvent(drain, change.event(), happened);
        }
    }

    private void onEvent(
            Drain drain, DrainEvent event, List<DrainCoordinator.DrainChange> happened) {
        DrainState before = drain.state;
        DrainTransitions.Row row = DrainTransitions.of(before, event);
        if (row == null) {
            return;
        }
        drain.state = row.next();
        if (before != drain.state) {
            drain.since = version;
        }
        happened.add(
                new DrainCoordinator.DrainChange(
                        drain.node,
                        event,
                        before,
                        drain.state,
                        drain.wave,
                        drain.within,
                        row.effect()));
        if (row.effect() == Effect.END) {
            drains.remove(drain.slot);
            byNode.remove(drain.node);
            ended.addLast(new DrainCoordinator.EndedDrain(drain.node, event));
            if (ended.size() > MAX_ENDED) {
                ended.removeFirst();
            }
        }
    }

    private void part(PolicyChunk part) {
        if (contains(part)) {
            return;
        }
        if (part.revision() > comingRevision) {
            comingRevision = part.revision();
            comingSum = part.sum();
            coming = new byte[part.count()][];
        } else if (part.sum() != comingSum || part.count() != coming.length) {
            return; // of one revision those count that came first
        }
        version++;
        coming[part.index()] = part.bytes();
        int size = 0;
        for (byte[] each : coming) {
            if (each == null) {
                return;
            }
            size += each.length;
        }
        byte[] joined = new byte[size];
        int at = 0;
        for (byte[] each : coming) {
            System.arraycopy(each, 0, joined, at, each.length);
            at += each.length;
        }
        List<DrainPolicy> next = sum(joined) == comingSum ? PolicyCodec.decode(joined) : null;
        coming = new byte[0][];
        if (next != null) {
            revision = comingRevision;
            sum = comingSum;
            replace(joined, next);
            // What is under way was begun by others: until it is over it holds up the waves of each
            // new one.
            drains.values().stream()
                    .filter(drain -> drain.state.isOut())
                    .forEach(drain -> drain.policies = -1);
        }
    }

    private void replace(byte[] bytes, List<DrainPolicy> next) {
        policyBytes = bytes;
        policies = next;
        endedAt = new long[next.size()];
        pausedAt = new long[next.size()];
        Arrays.fill(endedAt, -1);
        Arrays.fill(pausedAt, -1);
    }

    /** The checksum by which policies are told apart. */
    static int sum(byte[] bytes) {
        CRC32C sum = new CRC32C();
        sum.update(bytes);
        return (int) sum.getValue();
    }

    // ---- the state ----

    byte[] encode() {
        CompactCodec.Writer out =
                new CompactCodec.Writer()
                        .put(VERSION)
                        .put(version)
                        .put(clock)
                        .put(nextSlot)
                        .put(wave)
                        .put(revision)
                        .put(sum & 0xffffffffL)
                        .put(policyBytes);
        for (int i = 0; i < policies.size(); i++) {
            out.put(endedAt[i] + 1).put(pausedAt[i] + 1);
        }
        out.put(comingRevision).put(comingSum & 0xffffffffL).put(coming.length);
        for (byte[] each : coming) {
            out.put(each == null ? 0 : 1).put(each == null ? new byte[0] : each);
        }
        out.put(drains.size());
        for (Drain drain : drains.values()) {
            out.put(drain.slot)
                    .put(drain.node)
                    .put(drain.state)
                    .put(drain.wave)
                    .put(drain.start)
                    .put(drain.within)
                    .put(drain.until)
                    .put(drain.atEnd)
                    .put(drain.restarted)
                    .put(drain.policies & 0xffffffffL)
                    .put(drain.since);
        }
        out.put(ended.size());
        ended.forEach(each -> out.put(each.node()).put(each.how()));
        DrainCommand.write(out, told);
        return out.bytes();
    }

    /** Reads a state; null where the bytes are none. It throws nothing. */
    static DrainStateMachine decode(byte[] bytes) {
        try {
            CompactCodec.Reader in = new CompactCodec.Reader(bytes);
            DrainStateMachine state = new DrainStateMachine();
            if (in.smallInt(VERSION) != VERSION) {
                return null;
            }
            state.version = in.longValue(Long.MAX_VALUE);
            state.clock = in.longValue(Long.MAX_VALUE);
            state.nextSlot = in.smallInt(Integer.MAX_VALUE);
            state.wave = in.smallInt(MAX_WAVE - 1);
            state.revision = in.longValue(Long.MAX_VALUE);
            state.sum = (int) in.longValue(0xffffffffL);
            byte[] policyBytes = in.block(PolicyCodec.MAX_BYTES);
            List<DrainPolicy> policies = PolicyCodec.decode(policyBytes);
            if (policies == null) {
                return null;
            }
            state.replace(policyBytes, policies);
            for (int i = 0; i < policies.size(); i++) {
                state.endedAt[i] = in.longValue(Long.MAX_VALUE) - 1;
                state.pausedAt[i] = in.longValue(Long.MAX_VALUE) - 1;
            }
            state.comingRevision = in.longValue(Long.MAX_VALUE);
            state.comingSum = (int) in.longValue(0xffffffffL);
            state.coming = new byte[in.count(MAX_PARTS)][];
            for (int i = 0; i < state.coming.length; i++) {
                boolean here = in.smallInt(1) == 1;
                byte[] part = in.block(DrainCommand.PART);
                state.coming[i] = here ? part : null;
            }
            for (int left = in.count(DrainPolicy.MAX_NODES); left > 0; left--) {
                Drain drain = new Drain(in.smallInt(Integer.MAX_VALUE), in.longValue(MAX_NODE));
                drain.state = in.choice(DrainState.values());
                drain.wave = in.smallInt(MAX_WAVE - 1);
                drain.start = in.longValue(Long.MAX_VALUE);
                drain.within = in.longValue(Long.MAX_VALUE);
                drain.until = in.longValue(Long.MAX_VALUE);
                drain.atEnd = in.choice(OnDeadline.values());
                drain.restarted = in.choice(OnRestart.values());
                drain.policies = (int) in.longValue(0xffffffffL);
                drain.since = in.longValue(Long.MAX_VALUE);
                if (drain.state == DrainState.NONE
                        || state.drains.put(drain.slot, drain) != null
                        || state.byNode.put(drain.node, drain) != null) {
                    return null;
                }
            }
            for (int left = in.count(MAX_ENDED); left > 0; left--) {
                state.ended.addLast(
                        new DrainCoordinator.EndedDrain(
                                in.longValue(MAX_NODE), in.choice(DrainEvent.values())));
            }
            state.told = DrainCommand.told(in);
            in.isAtEnd();
            return state;
        } catch (IllegalArgumentException e) {
            return null;
        }
    }
}
