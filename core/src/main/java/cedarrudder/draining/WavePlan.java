package cedarrudder.draining;

import cedarrudder.draining.DrainCommand.BlockedBy;
import cedarrudder.draining.DrainCommand.Bound;
import cedarrudder.draining.DrainCommand.Change;
import cedarrudder.draining.DrainCommand.Pause;
import cedarrudder.draining.DrainCommand.RemainingRequests;
import cedarrudder.draining.DrainCommand.Step;
import cedarrudder.draining.DrainCommand.WaveStatus;
import cedarrudder.draining.DrainPolicy.OnDeadline;
import cedarrudder.draining.DrainPolicy.OnRestart;
import cedarrudder.draining.DrainableNode.NodeStatus;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * One evaluation of all drains by the leader: which events have occurred, which policies pause or
 * resume, and which waiting drains begin. {@link #step} returns the resulting proposal.
 */
final class WavePlan {

    /** Decides whether a node that is not listed is gone. */
    interface UnlistedNodes {
        /** Called once per evaluation for each drain, also if its node is listed. */
        boolean isGone(long now, long node, boolean isListed);
    }

    private static final long NANOS_PER_MILLI = 1_000_000L;

    /** The policy index that means that no policy sets the bound. */
    private static final int NO_POLICY = -1;

    private final long now;
    private final long clock;
    private final int minuteOfWeek;
    private final DrainStateMachine state;
    private final CompiledPolicies policies;
    private final ReportedDrainProgress reported;
    private final UnlistedNodes unlistedNodes;
    private final Map<Long, DrainableNode> nodes = new HashMap<>();
    private final WaitingDrains waitingDrains;

    /** The nodes disabled at some replica; null if not all replicas have reported theirs. */
    private final Set<Long> disabled;

    /** The counts of each policy, by its index. */
    private final List<DisruptionCounts> disruptions = new ArrayList<>();

    private final int policiesWithOpenWave;
    private final boolean allReported;
    private final boolean outNodeUnlisted;

    private final List<Pause> pauses = new ArrayList<>();
    private final Map<Integer, Change> changesBySlot = new LinkedHashMap<>();
    private final List<RemainingRequests> remaining = new ArrayList<>();
    private final Map<BlockedBy, Integer> blocked = new LinkedHashMap<>();

    /** The paused policies as a bit set. */
    private int paused;

    /**
     * Creates a plan for one instant.
     *
     * @param clock the replicated clock, in milliseconds
     * @param minuteOfWeek the minute of the week by this machine's clock
     */
    WavePlan(
            long now,
            long clock,
            int minuteOfWeek,
            DrainStateMachine state,
            CompiledPolicies policies,
            Collection<DrainableNode> listed,
            ReportedDrainProgress reported,
            UnlistedNodes unlistedNodes) {
        this.now = now;
        this.clock = clock;
        this.minuteOfWeek = minuteOfWeek;
        this.state = state;
        this.policies = policies;
        this.reported = reported;
        this.unlistedNodes = unlistedNodes;
        listed.forEach(node -> nodes.put(node.id(), node));
        waitingDrains = new WaitingDrains(nodes, policies);
        disabled = reported.disabled(now);
        policiesWithOpenWave = state.policiesWithOpenWave();
        allReported = disabled != null && reported.liveReplicasWithoutReport(now) == 0;
        outNodeUnlisted =
                state.drains().stream()
                        .anyMatch(drain -> drain.state.isOut() && !nodes.containsKey(drain.node));
        countDisruptions();
    }

    private void countDisruptions() {
        for (int i = 0; i < policies.size(); i++) {
            disruptions.add(new DisruptionCounts(policies.policy(i)));
        }
        for (DrainableNode node : nodes.values()) {
            int applicable = policies.policiesFor(node);
            for (int i = 0; i < policies.size(); i++) {
                if (hasBit(applicable, i)) {
                    disruptions.get(i).add(node, isOut(node));
                }
            }
        }
    }

    private static boolean hasBit(int bits, int policy) {
        return (bits >> policy & 1) != 0;
    }

    private boolean isOut(DrainableNode node) {
        return node.status() != NodeStatus.SERVING
                || disabled != null && disabled.contains(node.id())
                || state.state(node.id()).isOut();
    }

    // ---- open drains ----

    /** Collects the events that have occurred to drains. */
    void collectEvents() {
        for (Drain drain : state.drains()) {
            DrainEvent event = event(drain, nodes.get(drain.node));
            if (event == DrainEvent.RESTARTED_OUT) {
                long nodeStart = nodes.get(drain.node).start();
                changesBySlot.put(drain.slot, Change.restartedOut(drain.slot, nodeStart));
            } else if (event != null) {
                changesBySlot.put(drain.slot, Change.of(event, drain.slot));
            }
        }
    }

    private DrainEvent event(Drain drain, DrainableNode node) {
        // An empty list does not show that the node is gone.
        boolean isListed = node != null || nodes.isEmpty();
        if (unlistedNodes.isGone(now, drain.node, isListed)) {
            return DrainEvent.GONE;
        }
        if (node != null && drain.state.isLeaving() && node.start() > drain.nodeStart) {
            return drain.onRestart == OnRestart.BACK
                    ? DrainEvent.RESTARTED_BACK
                    : DrainEvent.RESTARTED_OUT;
        }
        if (drain.state.isOpen()) {
            return openDrainEvent(drain);
        }
        boolean isReturning = drain.state.isOut() && drain.state != DrainState.OUT;
        boolean returned = isReturning && reported.allHaveApplied(now, drain.stateVersion);
        return returned ? DrainEvent.RETURNED : null;
    }

    private DrainEvent openDrainEvent(Drain drain) {
        List<RemainingRequests> requests = reported.remainingRequests(now, drain);
        remaining.addAll(requests);
        if (requests.isEmpty()) {
            return DrainEvent.EMPTY;
        }
        if (drain.state == DrainState.OVERDUE || clock < drain.deadlineAt) {
            return null;
        }
        return switch (drain.onDeadline) {
            case LET_GO -> DrainEvent.LET_GO;
            case GIVE_BACK -> DrainEvent.GIVEN_UP;
            case KEEP_WAITING -> DrainEvent.ALARMED;
        };
    }

    // ---- conditions of policies ----

    /**
     * Evaluates the conditions of all policies: which of them pause or resume, and which return the
     * nodes of their open drains to service.
     */
    void pauseAndResume(int replicas) {
        TrafficSample traffic = reported.trafficSample(now);
        for (int i = 0; i < policies.size(); i++) {
            PolicyConditionInputs inputs = conditionInputs(i, traffic, replicas);
            CompiledPolicies.Verdict giveBack = policies.giveBackVerdict(i, inputs);
            boolean mustPause =
                    giveBack != CompiledPolicies.Verdict.NO
                            || policies.pauseVerdict(i, inputs) != CompiledPolicies.Verdict.NO;
            if (mustPause && !state.isPaused(i)) {
                pauses.add(new Pause(i, true));
            } else if (!mustPause && state.isPaused(i) && mayResume(i, inputs)) {
                pauses.add(new Pause(i, false));
            }
            paused |= mustPause || state.isPaused(i) ? 1 << i : 0;
            if (giveBack == CompiledPolicies.Verdict.YES) {
                stopOpenDrains(i);
            }
        }
    }

    private boolean mayResume(int policy, PolicyConditionInputs inputs) {
        long pausedMillis = clock - state.pausedAt(policy);
        return policies.resumeVerdict(policy, inputs) == CompiledPolicies.Verdict.YES
                && pausedMillis >= waveIntervalMillis(policy);
    }

    private long waveIntervalMillis(int policy) {
        return policies.policy(policy).minWaveInterval() / NANOS_PER_MILLI;
    }

    private PolicyConditionInputs conditionInputs(int policy, TrafficSample traffic, int replicas) {
        double listedWeight = 0;
        double servingWeight = 0;
        int out = 0;
        for (DrainableNode node : nodes.values()) {
            boolean isOut = isOut(node);
            listedWeight += node.weight();
            servingWeight += isOut ? 0 : node.weight();
            out += isOut ? 1 : 0;
        }
        double ended = Math.max(1, traffic.ended());
        return new PolicyConditionInputs(
                traffic.refused() / ended,
                traffic.failed() / ended,
                traffic.deadlineMissed() / ended,
                listedWeight == 0 ? 0 : servingWeight / listedWeight,
                reported.liveReplicas(now),
                replicas,
                out,
                failedNodes(policy));
    }

    /** Returns the number of nodes of a policy that have failed without being drained. */
    private int failedNodes(int policy) {
        int failed = 0;
        for (DrainableNode node : nodes.values()) {
            boolean hasFailed =
                    node.status() == NodeStatus.FAILED
                            && state.state(node.id()) != DrainState.OUT
                            && hasBit(policies.policiesFor(node), policy);
            failed += hasFailed ? 1 : 0;
        }
        return failed;
    }

    private void stopOpenDrains(int policy) {
        for (Drain drain : state.drains()) {
            if (drain.state.isOpen() && drain.isUnder(policy)) {
                changesBySlot.putIfAbsent(drain.slot, Change.of(DrainEvent.STOPPED, drain.slot));
            }
        }
    }

    // ---- waves ----

    /** Begins a wave of all waiting drains that no bound blocks. */
    void beginWaves() {
        int[] waveSizes = new int[policies.size()];
        Object[] firstGroups = new Object[policies.size()];
        for (Drain drain : waitingDrains.inOrder(state.drains())) {
            BlockedBy blockedBy = blockedBy(drain, waveSizes, firstGroups);
            if (blockedBy == null && changesBySlot.size() >= DrainCommand.MAX_CHANGES) {
                blockedBy = new BlockedBy(NO_POLICY, Bound.WAVE, 0);
            }
            if (blockedBy == null) {
                begin(drain, waveSizes);
            } else {
                blocked.merge(blockedBy, 1, Integer::sum);
            }
        }
    }

    private void begin(Drain drain, int[] waveSizes) {
        DrainableNode node = nodes.get(drain.node);
        boolean wasServing = !isOut(node);
        long deadlineNanos = Long.MAX_VALUE;
        OnDeadline onDeadline = OnDeadline.LET_GO;
        OnRestart onRestart = OnRestart.BACK;
        int applicable = waitingDrains.policiesFor(drain);
        for (int i = 0; i < policies.size(); i++) {
            if (!hasBit(applicable, i)) {
                continue;
            }
            DrainPolicy policy = policies.policy(i);
            waveSizes[i]++;
            if (wasServing) {
                disruptions.get(i).addUnavailable(node);
            }
            if (policy.deadlineNanos() < deadlineNanos) {
                deadlineNanos = policy.deadlineNanos();
                onDeadline = policy.onDeadline();
            }
            if (policy.onRestart() == OnRestart.OUT) {
                onRestart = OnRestart.OUT;
            }
        }
        changesBySlot.put(
                drain.slot,
                new Change(
                        DrainEvent.BEGUN,
                        drain.slot,
                        node.start(),
                        deadlineNanos / NANOS_PER_MILLI,
                        onDeadline,
                        onRestart,
                        applicable));
    }

    /** Returns what keeps a drain waiting, or null if nothing does. */
    private BlockedBy blockedBy(Drain drain, int[] waveSizes, Object[] firstGroups) {
        int applicable = waitingDrains.policiesFor(drain);
        if (applicable == 0) {
            return new BlockedBy(NO_POLICY, Bound.NO_POLICY, 0);
        }
        if (!allReported) {
            return new BlockedBy(NO_POLICY, Bound.REPORTS, 0);
        }
        if (outNodeUnlisted) {
            return new BlockedBy(NO_POLICY, Bound.UNLISTED, 0);
        }
        BlockedBy first = null;
        for (int i = 0; i < policies.size(); i++) {
            if (hasBit(applicable, i)) {
                // Evaluated for every policy, also after the first that blocks, as bound() records
                // the first group of each.
                Bound bound = bound(i, nodes.get(drain.node), waveSizes[i], firstGroups);
                first = first == null && bound != null ? new BlockedBy(i, bound, 0) : first;
            }
        }
        return first;
    }

    private Bound bound(int index, DrainableNode node, int waveSize, Object[] firstGroups) {
        DrainPolicy policy = policies.policy(index);
        Object group = WaitingDrains.group(policy.order(), node);
        if (firstGroups[index] == null) {
            firstGroups[index] = group;
        }
        if (hasBit(paused, index)) {
            return Bound.PAUSED;
        }
        if (policy.isClosedAt(minuteOfWeek)) {
            return Bound.CLOSED;
        }
        if (hasBit(policiesWithOpenWave, index) || waveSize >= policy.maxWaveSize()) {
            return Bound.WAVE;
        }
        if (isTooSoon(index)) {
            return Bound.PACE;
        }
        if (!firstGroups[index].equals(group)) {
            return Bound.ORDER;
        }
        return disruptions.get(index).exceededBound(node, isOut(node));
    }

    private boolean isTooSoon(int policy) {
        long endedAt = state.waveEndedAt(policy);
        return endedAt >= 0 && clock - endedAt < waveIntervalMillis(policy);
    }

    // ---- the result ----

    /** Returns the step to propose; its changes and pauses may be empty. */
    Step step() {
        List<BlockedBy> counts = new ArrayList<>();
        blocked.forEach(
                (key, count) -> counts.add(new BlockedBy(key.policy(), key.bound(), count)));
        return new Step(
                state.version(),
                clock,
                pauses,
                List.copyOf(changesBySlot.values()),
                new WaveStatus(firstEntries(counts), firstEntries(remaining)));
    }

    private static <T> List<T> firstEntries(List<T> all) {
        return List.copyOf(all.subList(0, Math.min(DrainCommand.MAX_STATUS_ENTRIES, all.size())));
    }
}
