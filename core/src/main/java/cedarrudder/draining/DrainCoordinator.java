package cedarrudder.draining;

import cedarrudder.draining.DrainCommand.DrainRequest;
import cedarrudder.draining.DrainCommand.PolicyChunk;
import cedarrudder.routetable.RouteTable.DrainingNode;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.function.IntPredicate;

/**
 * One replica's part in draining the nodes of a tier: it applies the committed commands to the
 * replicated state, reports to the leader, and, on the leader, computes the next command to commit.
 *
 * <p>Has no clock, socket or thread and draws no random numbers. Not thread-safe: it must be called
 * from one thread at a time, and {@link Actions} must not call it back. Throws nothing, whatever
 * bytes it receives.
 */
public final class DrainCoordinator {

    /** The highest node number. */
    public static final long MAX_NODE = DrainStateMachine.MAX_NODE;

    /** The maximum number of nodes in one drain request. */
    public static final int MAX_IDS = DrainCommand.MAX_IDS;

    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final int MAX_REPORTS = 2;

    /**
     * An event that changed a drain, and the effect to carry out.
     *
     * @param deadlineMillis how long the drain may take, in milliseconds, once its wave has begun
     */
    public record DrainChange(
            long node,
            DrainEvent event,
            DrainState before,
            DrainState after,
            int wave,
            long deadlineMillis,
            DrainTransitions.Effect effect) {}

    /** How a node's drain ended. */
    public record EndedDrain(long node, DrainEvent event) {}

    /** Receives the changes that this replica has to carry out. */
    public interface Actions {
        /** Handles a change that was committed and applied at this replica. */
        void onDrainChange(DrainChange change);
    }

    /** Local observations of this replica that it reports to the leader. */
    public interface LocalState {
        /** Returns this replica's requests in flight at a node. */
        int requestsInFlight(long node);

        /** Returns the nodes that an operator has disabled at this replica. */
        Set<Long> disabled();

        /** Returns the outcomes of the requests that ended in the last window. */
        TrafficSample trafficSample();
    }

    /** One drain, for operators. */
    public record DrainView(long node, DrainState state, int wave, int slot) {}

    /**
     * The progress of all drains, for operators.
     *
     * @param paused names of the paused policies
     * @param status what the leader found when it last committed a status
     */
    public record Progress(
            long revision,
            List<String> policies,
            List<String> paused,
            List<DrainView> drains,
            DrainCommand.WaveStatus status,
            List<EndedDrain> ended) {}

    private final int replicas;
    private final int self;
    private final ConditionCompiler conditions;
    private final Actions actions;
    private final ReportedDrainProgress reported;
    private final WaveScheduler scheduler;
    private DrainStateMachine stateMachine = new DrainStateMachine();
    private CompiledPolicies compiledPolicies;
    private List<PolicyChunk> ownPolicies = List.of();
    private long clockBase;
    private long clockBaseAt;
    private int nextReportedSlot;
    private int nextDisabled;

    /**
     * @param replicas the maximum number of replicas
     * @param self the number of this replica
     */
    public DrainCoordinator(
            int replicas,
            int self,
            DrainSettings settings,
            ConditionCompiler conditions,
            Actions actions,
            long now) {
        DrainPolicy.check(
                replicas >= 1 && replicas <= 0xffff && self >= 0 && self < replicas,
                "copy",
                self + " of " + replicas,
                "one of up to 65,535");
        this.replicas = replicas;
        this.self = self;
        this.conditions = conditions;
        this.actions = actions;
        this.clockBaseAt = now;
        reported = new ReportedDrainProgress(settings, replicas);
        reported.reset(now);
        scheduler = new WaveScheduler(settings, reported);
        compiledPolicies = new CompiledPolicies(stateMachine.policies(), conditions);
    }

    // ---- replicated state ----

    /**
     * Sets the policies of this replica's file, to be committed for all replicas unless policies of
     * the same or a higher revision are in force.
     *
     * @param revision from 1
     * @throws IllegalArgumentException if the policies exceed {@link PolicyCodec#MAX_BYTES} or
     *     {@link DrainPolicy#MAX_POLICIES}, or the revision is below 1
     */
    public void setPolicies(long revision, List<DrainPolicy> policies) {
        byte[] bytes = PolicyCodec.encode(policies);
        DrainPolicy.check(
                bytes.length <= PolicyCodec.MAX_BYTES,
                "policies",
                bytes.length + " bytes",
                "up to " + PolicyCodec.MAX_BYTES);
        DrainPolicy.check(
                policies.size() <= DrainPolicy.MAX_POLICIES,
                "policies",
                policies.size(),
                "up to " + DrainPolicy.MAX_POLICIES);
        DrainPolicy.check(revision >= 1, "revision", revision, "1 or more");
        int count =
                Math.max(
                        1,
                        (bytes.length + DrainCommand.CHUNK_BYTES - 1) / DrainCommand.CHUNK_BYTES);
        List<PolicyChunk> parts = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            int begin = i * DrainCommand.CHUNK_BYTES;
            byte[] part = new byte[Math.min(DrainCommand.CHUNK_BYTES, bytes.length - begin)];
            System.arraycopy(bytes, begin, part, 0, part.length);
            parts.add(new PolicyChunk(revision, PolicyTransfer.checksum(bytes), i, count, part));
        }
        ownPolicies = List.copyOf(parts);
    }

    /**
     * Returns whether the policies in force differ from those of this replica's file and have the
     * same or a higher revision.
     */
    public boolean isOverruled() {
        return !ownPolicies.isEmpty()
                && stateMachine.revision() >= ownPolicies.get(0).revision()
                && stateMachine.policyChecksum() != ownPolicies.get(0).checksum();
    }

    /** Applies a committed command. */
    public void apply(long now, byte[] command) {
        List<DrainPolicy> policies = stateMachine.policies();
        List<DrainChange> changes = stateMachine.apply(command);
        // The time that has passed here since the clock was last committed is added. Otherwise the
        // clock would fall behind by the duration of a commit each time it is committed.
        clockBase = Math.max(agreedClock(now), stateMachine.clock());
        clockBaseAt = now;
        recompileIfChanged(policies);
        changes.forEach(actions::onDrainChange);
    }

    /**
     * Replaces the state by an encoded one. Empty bytes are the state before the first command;
     * bytes that can't be decoded change nothing.
     */
    public void onRestored(long now, byte[] state) {
        DrainStateMachine next =
                state.length == 0 ? new DrainStateMachine() : DrainStateMachine.decode(state);
        if (next != null) {
            List<DrainPolicy> policies = stateMachine.policies();
            stateMachine = next;
            clockBase = stateMachine.clock();
            clockBaseAt = now;
            recompileIfChanged(policies);
        }
    }

    private void recompileIfChanged(List<DrainPolicy> before) {
        if (stateMachine.policies() != before) {
            compiledPolicies = new CompiledPolicies(stateMachine.policies(), conditions);
        }
    }

    /** Returns the replicated clock, advanced by the time that has passed here; never ahead. */
    private long agreedClock(long now) {
        return clockBase + (now - clockBaseAt) / NANOS_PER_MILLI;
    }

    /** Returns the encoded state; equal at all replicas that applied the same commands. */
    public byte[] state() {
        return stateMachine.encode();
    }

    /** Returns the nodes that must get no new requests. */
    public List<DrainingNode> drainingNodes() {
        List<DrainingNode> leaving = new ArrayList<>();
        for (Drain drain : stateMachine.drains()) {
            if (drain.state.isLeaving()) {
                leaving.add(new DrainingNode(drain.node, drain.wave));
            }
        }
        return leaving;
    }

    public DrainState state(long node) {
        return stateMachine.state(node);
    }

    /**
     * Returns whether a node counts as unavailable: it is being drained, or some replica may not
     * know yet that it serves again.
     */
    public boolean isOut(long node) {
        return stateMachine.state(node).isOut();
    }

    /** Returns the policies in force. */
    public List<DrainPolicy> agreedPolicies() {
        return stateMachine.policies();
    }

    /** Returns the current progress of all drains, for operators. */
    public Progress progress() {
        List<String> names = stateMachine.policies().stream().map(DrainPolicy::name).toList();
        List<String> paused = new ArrayList<>();
        for (int i = 0; i < names.size(); i++) {
            if (stateMachine.isPaused(i)) {
                paused.add(names.get(i));
            }
        }
        return new Progress(
                stateMachine.revision(),
                names,
                paused,
                stateMachine.drains().stream()
                        .map(
                                drain ->
                                        new DrainView(
                                                drain.node, drain.state, drain.wave, drain.slot))
                        .toList(),
                stateMachine.waveStatus(),
                stateMachine.ended());
    }

    // ---- proposals of any replica ----

    /**
     * Returns the command that requests or cancels the drains of nodes for an operator.
     *
     * @param nodes from 1 to {@link #MAX_IDS}
     */
    public static byte[] drainRequest(boolean cancel, List<Long> nodes) {
        DrainPolicy.check(
                !nodes.isEmpty()
                        && nodes.size() <= MAX_IDS
                        && nodes.stream().allMatch(node -> node >= 0 && node <= MAX_NODE),
                "nodes",
                nodes,
                "1 to " + MAX_IDS + " numbers of nodes");
        return new DrainRequest(cancel, nodes).encode();
    }

    /**
     * Returns the next command that commits the policies of this replica's file, or null if there
     * is nothing to commit.
     */
    public byte[] nextPolicyCommand() {
        for (PolicyChunk part : ownPolicies) {
            if (!stateMachine.contains(part)) {
                return part.encode();
            }
        }
        return null;
    }

    // ---- reports to the leader ----

    /**
     * Returns this replica's report to the leader, in at most two parts of at most 136 bytes. Each
     * part can be used without the other.
     */
    public List<byte[]> report(long now, LocalState local) {
        List<byte[]> parts = new ArrayList<>();
        List<Drain> open =
                stateMachine.drains().stream().filter(drain -> drain.state.isOpen()).toList();
        List<Long> disabled = local.disabled().stream().sorted().toList();
        for (int i = 0; i < MAX_REPORTS; i++) {
            int first = nextReportedSlot;
            int last = Integer.MAX_VALUE;
            List<DrainReport.RequestsInFlight> inFlight = new ArrayList<>();
            for (Drain drain : open) {
                int requests = drain.slot < first ? 0 : local.requestsInFlight(drain.node);
                if (requests > 0 && inFlight.size() == DrainReport.maxSlots()) {
                    last = drain.slot - 1;
                    break;
                } else if (requests > 0) {
                    inFlight.add(new DrainReport.RequestsInFlight(drain.slot, requests));
                }
            }
            nextReportedSlot = last == Integer.MAX_VALUE ? 0 : last + 1;
            List<Long> sample = new ArrayList<>();
            for (int j = 0; j < Math.min(DrainReport.maxDisabledSample(), disabled.size()); j++) {
                sample.add(disabled.get(nextDisabled++ % disabled.size()));
            }
            nextDisabled = disabled.isEmpty() ? 0 : nextDisabled % disabled.size();
            parts.add(
                    new DrainReport(
                                    stateMachine.version(),
                                    first,
                                    last,
                                    inFlight,
                                    disabled.size(),
                                    sample,
                                    local.trafficSample())
                            .encode());
            if (nextReportedSlot == 0) {
                break;
            }
        }
        return parts;
    }

    /** Handles the start or the end of this replica's leadership. */
    public void onLeadership(long now, boolean leads) {
        reported.reset(now);
        scheduler.reset();
    }

    /**
     * Handles, on the leader, one part of a replica's report, its own included. Malformed parts are
     * ignored.
     */
    public void onReport(long now, int sender, byte[] part) {
        if (sender < 0 || sender >= replicas) {
            return;
        }
        DrainReport report = DrainReport.decode(part);
        if (report != null) {
            reported.onReport(now, sender, report, stateMachine);
        }
    }

    /**
     * Returns the next command to commit, or null. Called on the leader, once in each period.
     *
     * @param utcMillis milliseconds since 1970, by this machine's clock
     * @param nodes the nodes as this replica sees them
     * @param alive whether a replica is alive
     */
    public byte[] nextCommand(
            long now, long utcMillis, Collection<DrainableNode> nodes, IntPredicate alive) {
        reported.update(now, replica -> replica == self || alive.test(replica));
        DrainCommand step =
                scheduler.next(
                        now,
                        agreedClock(now),
                        utcMillis,
                        stateMachine,
                        compiledPolicies,
                        nodes,
                        replicas);
        return step == null ? null : step.encode();
    }
}
