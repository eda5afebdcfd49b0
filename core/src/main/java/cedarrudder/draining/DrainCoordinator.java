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
 * The drains of a tier's nodes, as one replica takes part: a state that all replicas change alike
 * by the commands that they agree on; what this replica says to the one that leads; and what it has
 * committed where it leads.
 *
 * <p>It has no clock, no socket and no thread, and draws nothing. Not thread-safe: from one thread
 * at a time, and its outlet must not call it. Whatever bytes it is given it throws nothing.
 */
public final class DrainCoordinator {

    /** The largest number of a node. */
    public static final long MAX_NODE = DrainStateMachine.MAX_NODE;

    /** Nodes that one call may name. */
    public static final int MAX_IDS = DrainCommand.MAX_IDS;

    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final int MAX_REPORTS = 2;

    /**
     * An event that changed something, and what follows beside the state.
     *
     * @param deadlineMillis the time that the node may take, in milliseconds, once its wave has
     *     begun
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

    /** What it causes. */
    public interface Actions {
        /** This was committed, and has taken effect here. */
        void onDrainChange(DrainChange happened);
    }

    /** What this replica has itself. */
    public interface LocalState {
        /** Its calls at a node. */
        int requestsInFlight(long node);

        /** The nodes that are left out here by hand. */
        Set<Long> disabled();

        /** What became of the calls of the last window. */
        TrafficSample trafficSample();
    }

    /** One drain, for operators. */
    public record DrainView(long node, DrainState state, int wave, int slot) {}

    /**
     * All drains, for operators.
     *
     * @param paused names of policies that pause
     * @param status what the replica that leads had found when it last said so
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
     * @param replicas how many there may be, and {@code self} the number of this one
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

    // ---- what is agreed on ----

    /**
     * This replica's file has these policies: they are to count for all replicas, if none of a
     * higher revision do.
     *
     * @param revision from 1
     * @throws IllegalArgumentException if they are more than {@link PolicyCodec#MAX_BYTES}
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
     * Whether other policies of the same or a higher revision count than those of this replica's
     * file.
     */
    public boolean isOverruled() {
        return !ownPolicies.isEmpty()
                && stateMachine.revision() >= ownPolicies.get(0).revision()
                && stateMachine.policyChecksum() != ownPolicies.get(0).checksum();
    }

    /** A command is committed. */
    public void apply(long now, byte[] command) {
        List<DrainPolicy> policies = stateMachine.policies();
        List<DrainChange> happened = stateMachine.apply(command);
        // What has passed here since the agreed clock came last counts. This avoids a clock that
        // falls
        // behind by the time of a commit each time that it is committed.
        clockBase = Math.max(agreedClock(now), stateMachine.clock());
        clockBaseAt = now;
        recompileIfChanged(policies);
        happened.forEach(actions::onDrainChange);
    }

    /** This state takes the place of the one that is; empty is that before the first command. */
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

    /** The agreed clock as it stands now, by what has passed here; it is never ahead. */
    private long agreedClock(long now) {
        return clockBase + (now - clockBaseAt) / NANOS_PER_MILLI;
    }

    /** The state; the same at each replica that applied the same. */
    public byte[] state() {
        return stateMachine.encode();
    }

    /** The nodes to which nothing new goes, by number. */
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
     * Whether a node counts as out: it leaves, or not all replicas may know yet that it is back.
     */
    public boolean isOut(long node) {
        return stateMachine.state(node).isOut();
    }

    /** The policies that count. */
    public List<DrainPolicy> agreedPolicies() {
        return stateMachine.policies();
    }

    /** All drains as they stand now, for operators. */
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

    // ---- what any replica proposes ----

    /**
     * The command by which operators ask for drains of nodes, or cancel them.
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
     * A command by which the policies of this replica's file come to count for all; null where they
     * may not.
     */
    public byte[] nextPolicyCommand() {
        for (PolicyChunk part : ownPolicies) {
            if (!stateMachine.contains(part)) {
                return part.encode();
            }
        }
        return null;
    }

    // ---- what replicas say to the one that leads ----

    /**
     * What this replica has to say, in parts of at most 136 bytes that stand for themselves, at
     * most two.
     */
    public List<byte[]> report(long now, LocalState local) {
        List<byte[]> parts = new ArrayList<>();
        List<Drain> open =
                stateMachine.drains().stream().filter(drain -> drain.state.isOpen()).toList();
        List<Long> disabled = local.disabled().stream().sorted().toList();
        for (int i = 0; i < MAX_REPORTS; i++) {
            int first = nextReportedSlot;
            int last = Integer.MAX_VALUE;
            List<DrainReport.Calls> held = new ArrayList<>();
            for (Drain drain : open) {
                int calls = drain.slot < first ? 0 : local.requestsInFlight(drain.node);
                if (calls > 0 && held.size() == DrainReport.maxCalls()) {
                    last = drain.slot - 1;
                    break;
                } else if (calls > 0) {
                    held.add(new DrainReport.Calls(drain.slot, calls));
                }
            }
            nextReportedSlot = last == Integer.MAX_VALUE ? 0 : last + 1;
            List<Long> some = new ArrayList<>();
            for (int j = 0; j < Math.min(DrainReport.maxDisabledSample(), disabled.size()); j++) {
                some.add(disabled.get(nextDisabled++ % disabled.size()));
            }
            nextDisabled = disabled.isEmpty() ? 0 : nextDisabled % disabled.size();
            parts.add(
                    new DrainReport(
                                    stateMachine.version(),
                                    first,
                                    last,
                                    held,
                                    disabled.size(),
                                    some,
                                    local.trafficSample())
                            .encode());
            if (nextReportedSlot == 0) {
                break;
            }
        }
        return parts;
    }

    /** This replica leads from here on, or no longer. */
    public void onLeadership(long now, boolean leads) {
        reported.reset(now);
        scheduler.reset();
    }

    /**
     * At the replica that leads: a part of what another says, or this one itself. It may be no such
     * part.
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
     * At the replica that leads, each period: what is to be committed, or null.
     *
     * @param utcMillis since 1970, by this machine's clock
     * @param nodes as this replica sees them
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
