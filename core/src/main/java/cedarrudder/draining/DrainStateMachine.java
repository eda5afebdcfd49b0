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

/**
 * The replicated state of drains: the same at each replica that applied the same commands in their
 * order, whatever its own clock, endpoint list and policy file contain. Not thread-safe.
 */
final class DrainStateMachine {

    static final long MAX_NODE = (1L << 52) - 1;

    private static final int FORMAT_VERSION = 1;
    private static final int MAX_WAVE = 1 << 16;
    private static final int MAX_ENDED = 256;
    private static final int ALL_POLICIES = -1;

    /** The value that means no instant on the replicated clock. */
    private static final long NEVER = -1;

    private final TreeMap<Integer, Drain> drains = new TreeMap<>();
    private final Map<Long, Drain> byNode = new HashMap<>();
    private final Deque<DrainCoordinator.EndedDrain> ended = new ArrayDeque<>();
    private long version;
    private long clock;
    private int nextSlot = 1;
    private int wave;
    private long revision;
    private int policyChecksum;
    private byte[] policyBytes = PolicyCodec.encode(List.of());
    private List<DrainPolicy> policies = List.of();
    private long[] waveEndedAt = {};
    private long[] pausedAt = {};
    private PolicyTransfer transfer = new PolicyTransfer();
    private WaveStatus waveStatus = WaveStatus.NOTHING;

    // ---- the state ----

    /** Returns the version, which rises with each command that changed more than the clock. */
    long version() {
        return version;
    }

    /** Returns the replicated clock: milliseconds that have passed while drains were open. */
    long clock() {
        return clock;
    }

    /** Returns the revision of the policies in force; 0 before the first. */
    long revision() {
        return revision;
    }

    /** Returns the checksum of the policies in force. */
    int policyChecksum() {
        return policyChecksum;
    }

    /** Returns the policies in force. */
    List<DrainPolicy> policies() {
        return policies;
    }

    /** Returns all drains in the order of their slots. */
    Collection<Drain> drains() {
        return drains.values();
    }

    /** Returns the drain in a slot, or null if there is none. */
    Drain drainInSlot(int slot) {
        return drains.get(slot);
    }

    /** Returns the state of a node's drain. */
    DrainState state(long node) {
        Drain drain = byNode.get(node);
        return drain == null ? DrainState.NONE : drain.state;
    }

    /** Returns the status of the waves that the leader last reported. */
    WaveStatus waveStatus() {
        return waveStatus;
    }

    /** Returns the drains that ended last, oldest first. */
    List<DrainCoordinator.EndedDrain> ended() {
        return List.copyOf(ended);
    }

    boolean isPaused(int policy) {
        return pausedAt[policy] != NEVER;
    }

    /** Returns since when a policy is paused, on the replicated clock; negative if it is not. */
    long pausedAt(int policy) {
        return pausedAt[policy];
    }

    /** Returns when a policy's last wave ended, on the replicated clock; negative if none has. */
    long waveEndedAt(int policy) {
        return waveEndedAt[policy];
    }

    /** Returns the policies with an open wave as a bit set. */
    int policiesWithOpenWave() {
        int open = 0;
        for (Drain drain : drains.values()) {
            open |= drain.state.isOpen() ? drain.policies : 0;
        }
        return open;
    }

    /** Returns whether a chunk of policies is already stored, or no longer needed. */
    boolean contains(PolicyChunk chunk) {
        return chunk.revision() <= revision || transfer.contains(chunk);
    }

    // ---- commands ----

    /** Applies a command; one that is unreadable or outdated changes nothing. */
    List<DrainCoordinator.DrainChange> apply(byte[] bytes) {
        List<DrainCoordinator.DrainChange> changes = new ArrayList<>();
        DrainCommand command = DrainCommand.decode(bytes);
        long versionBefore = version;
        int openBefore = policiesWithOpenWave();
        if (command instanceof DrainRequest request) {
            applyRequest(request, changes);
        } else if (command instanceof PolicyChunk chunk) {
            applyChunk(chunk);
        } else if (command instanceof Step step) {
            applyStep(step, changes);
        }
        if (version != versionBefore) {
            recordEndedWaves(openBefore & ~policiesWithOpenWave());
        }
        return changes;
    }

    private void recordEndedWaves(int policiesWithEndedWave) {
        for (int i = 0; i < waveEndedAt.length; i++) {
            if ((policiesWithEndedWave >> i & 1) != 0) {
                waveEndedAt[i] = clock;
            }
        }
    }

    private void applyRequest(DrainRequest request, List<DrainCoordinator.DrainChange> changes) {
        version++;
        DrainEvent event = request.cancel() ? DrainEvent.CANCELLED : DrainEvent.ASKED;
        for (long node : request.nodes()) {
            if (!request.cancel()) {
                addDrain(node);
            }
            Drain drain = byNode.get(node);
            if (drain != null) {
                onEvent(drain, event, changes);
            }
        }
    }

    /** Adds a drain for a node that has none, if there is capacity for it. */
    private void addDrain(long node) {
        boolean hasCapacity = drains.size() < DrainPolicy.MAX_NODES && nextSlot < Integer.MAX_VALUE;
        if (hasCapacity && !byNode.containsKey(node)) {
            Drain drain = new Drain(nextSlot++, node);
            drain.state = DrainState.NONE;
            drains.put(drain.slot, drain);
            byNode.put(node, drain);
        }
    }

    private void applyStep(Step step, List<DrainCoordinator.DrainChange> changes) {
        clock = Math.max(clock, step.clock());
        waveStatus = step.status();
        boolean isEmpty = step.pauses().isEmpty() && step.changes().isEmpty();
        if (step.baseVersion() != version || isEmpty) {
            return;
        }
        version++;
        for (Pause pause : step.pauses()) {
            if (pause.policy() < pausedAt.length) {
                pausedAt[pause.policy()] = pause.on() ? clock : NEVER;
            }
        }
        if (step.changes().stream().anyMatch(change -> change.event() == DrainEvent.BEGUN)) {
            wave = (wave + 1) % MAX_WAVE;
        }
        for (Change change : step.changes()) {
            Drain drain = drains.get(change.slot());
            if (drain != null) {
                applyChange(drain, change);
                onEvent(drain, change.event(), changes);
            }
        }
    }

    private void applyChange(Drain drain, Change change) {
        if (change.event() == DrainEvent.BEGUN && drain.state == DrainState.WAITING) {
            drain.wave = wave;
            drain.nodeStart = change.nodeStart();
            drain.deadlineMillis = change.deadlineMillis();
            drain.deadlineAt = clock + change.deadlineMillis();
            drain.onDeadline = change.onDeadline();
            drain.onRestart = change.onRestart();
            drain.policies = change.policies();
        } else if (change.event() == DrainEvent.RESTARTED_OUT) {
            drain.nodeStart = change.nodeStart();
        }
    }

    private void onEvent(
            Drain drain, DrainEvent event, List<DrainCoordinator.DrainChange> changes) {
        DrainState before = drain.state;
        DrainTransitions.Row row = DrainTransitions.of(before, event);
        if (row == null) {
            return;
        }
        drain.state = row.next();
        if (before != drain.state) {
            drain.stateVersion = version;
        }
        changes.add(
                new DrainCoordinator.DrainChange(
                        drain.node,
                        event,
                        before,
                        drain.state,
                        drain.wave,
                        drain.deadlineMillis,
                        row.effect()));
        if (row.effect() == Effect.END) {
            remove(drain, event);
        }
    }

    private void remove(Drain drain, DrainEvent event) {
        drains.remove(drain.slot);
        byNode.remove(drain.node);
        ended.addLast(new DrainCoordinator.EndedDrain(drain.node, event));
        if (ended.size() > MAX_ENDED) {
            ended.removeFirst();
        }
    }

    private void applyChunk(PolicyChunk chunk) {
        if (contains(chunk) || !transfer.add(chunk)) {
            return;
        }
        version++;
        if (!transfer.isComplete()) {
            return;
        }
        byte[] bytes = transfer.removeBytes();
        List<DrainPolicy> decoded = bytes == null ? null : PolicyCodec.decode(bytes);
        if (decoded != null) {
            revision = transfer.revision();
            policyChecksum = transfer.checksum();
            setPolicies(bytes, decoded);
            // The open drains began under the former policies, so they block the waves of every new
            // policy until they end.
            drains.values().stream()
                    .filter(drain -> drain.state.isOut())
                    .forEach(drain -> drain.policies = ALL_POLICIES);
        }
    }

    private void setPolicies(byte[] bytes, List<DrainPolicy> newPolicies) {
        policyBytes = bytes;
        policies = newPolicies;
        waveEndedAt = new long[newPolicies.size()];
        pausedAt = new long[newPolicies.size()];
        Arrays.fill(waveEndedAt, NEVER);
        Arrays.fill(pausedAt, NEVER);
    }

    // ---- encoding ----

    /** Encodes the state. */
    byte[] encode() {
        CompactCodec.Writer out =
                new CompactCodec.Writer()
                        .put(FORMAT_VERSION)
                        .put(version)
                        .put(clock)
                        .put(nextSlot)
                        .put(wave)
                        .put(revision)
                        .put(Integer.toUnsignedLong(policyChecksum))
                        .put(policyBytes);
        for (int i = 0; i < policies.size(); i++) {
            out.put(waveEndedAt[i] - NEVER).put(pausedAt[i] - NEVER);
        }
        transfer.writeTo(out);
        out.put(drains.size());
        drains.values().forEach(drain -> write(out, drain));
        out.put(ended.size());
        ended.forEach(drain -> out.put(drain.node()).put(drain.event()));
        DrainCommand.writeStatus(out, waveStatus);
        return out.bytes();
    }

    private static void write(CompactCodec.Writer out, Drain drain) {
        out.put(drain.slot)
                .put(drain.node)
                .put(drain.state)
                .put(drain.wave)
                .put(drain.nodeStart)
                .put(drain.deadlineMillis)
                .put(drain.deadlineAt)
                .put(drain.onDeadline)
                .put(drain.onRestart)
                .put(Integer.toUnsignedLong(drain.policies))
                .put(drain.stateVersion);
    }

    /** Decodes a state; returns null if the bytes are not a valid one. Never throws. */
    static DrainStateMachine decode(byte[] bytes) {
        try {
            DrainStateMachine state = new DrainStateMachine();
            state.readFrom(new CompactCodec.Reader(bytes));
            return state;
        } catch (IllegalArgumentException unreadable) {
            return null;
        }
    }

    private void readFrom(CompactCodec.Reader in) {
        require(in.smallInt(FORMAT_VERSION) == FORMAT_VERSION, "format version");
        version = in.longValue(Long.MAX_VALUE);
        clock = in.longValue(Long.MAX_VALUE);
        nextSlot = in.smallInt(Integer.MAX_VALUE);
        wave = in.smallInt(MAX_WAVE - 1);
        revision = in.longValue(Long.MAX_VALUE);
        policyChecksum = (int) in.longValue(CompactCodec.MAX_UNSIGNED_INT);
        byte[] newPolicyBytes = in.block(PolicyCodec.MAX_BYTES);
        List<DrainPolicy> newPolicies = PolicyCodec.decode(newPolicyBytes);
        require(newPolicies != null, "policies");
        setPolicies(newPolicyBytes, newPolicies);
        for (int i = 0; i < policies.size(); i++) {
            waveEndedAt[i] = in.longValue(Long.MAX_VALUE) + NEVER;
            pausedAt[i] = in.longValue(Long.MAX_VALUE) + NEVER;
        }
        transfer = PolicyTransfer.readFrom(in);
        for (int left = in.count(DrainPolicy.MAX_NODES); left > 0; left--) {
            Drain drain = readDrain(in);
            boolean isNew =
                    drains.put(drain.slot, drain) == null && byNode.put(drain.node, drain) == null;
            require(drain.state != DrainState.NONE && isNew, "drain");
        }
        for (int left = in.count(MAX_ENDED); left > 0; left--) {
            long node = in.longValue(MAX_NODE);
            DrainEvent event = in.enumConstant(DrainEvent.values());
            ended.addLast(new DrainCoordinator.EndedDrain(node, event));
        }
        waveStatus = DrainCommand.readStatus(in);
        in.requireEnd();
    }

    private static Drain readDrain(CompactCodec.Reader in) {
        Drain drain = new Drain(in.smallInt(Integer.MAX_VALUE), in.longValue(MAX_NODE));
        drain.state = in.enumConstant(DrainState.values());
        drain.wave = in.smallInt(MAX_WAVE - 1);
        drain.nodeStart = in.longValue(Long.MAX_VALUE);
        drain.deadlineMillis = in.longValue(Long.MAX_VALUE);
        drain.deadlineAt = in.longValue(Long.MAX_VALUE);
        drain.onDeadline = in.enumConstant(OnDeadline.values());
        drain.onRestart = in.enumConstant(OnRestart.values());
        drain.policies = (int) in.longValue(CompactCodec.MAX_UNSIGNED_INT);
        drain.stateVersion = in.longValue(Long.MAX_VALUE);
        return drain;
    }

    private static void require(boolean valid, String what) {
        if (!valid) {
            throw new IllegalArgumentException("the " + what + " is invalid");
        }
    }
}
