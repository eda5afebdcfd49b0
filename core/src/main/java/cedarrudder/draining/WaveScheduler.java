package cedarrudder.draining;

import cedarrudder.draining.DrainCommand.BlockedBy;
import cedarrudder.draining.DrainCommand.Bound;
import cedarrudder.draining.DrainCommand.Change;
import cedarrudder.draining.DrainCommand.Pause;
import cedarrudder.draining.DrainCommand.RemainingCalls;
import cedarrudder.draining.DrainCommand.Step;
import cedarrudder.draining.DrainCommand.WaveStatus;
import cedarrudder.draining.DrainPolicy.DrainOrder;
import cedarrudder.draining.DrainPolicy.OnDeadline;
import cedarrudder.draining.DrainPolicy.OnRestart;
import cedarrudder.draining.DrainPolicy.Window;
import cedarrudder.draining.DrainStateMachine.Drain;
import cedarrudder.draining.DrainableNode.Standing;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * What the replica that leads has committed next. It keeps nothing that another leader could not
 * find out.
 */
final class WaveScheduler {

    private static final long MILLI = 1_000_000L;

    private final DrainSettings settings;
    private final ReportedDrainProgress reported;
    private final Map<Long, Long> missingSince = new HashMap<>();

    WaveScheduler(DrainSettings settings, ReportedDrainProgress heard) {
        this.settings = settings;
        this.reported = heard;
    }

    /** This replica begins to lead. */
    void clear() {
        missingSince.clear();
    }

    /** One look at all there is. */
    private final class Pass {
        private final long now;
        private final long clock;
        private final DrainStateMachine stateMachine;
        private final CompiledPolicies rules;
        private final int minute;
        private final Map<Long, DrainableNode> nodes = new HashMap<>();
        private final Set<Long> disabled;
        private final List<DisruptionCounts> disruptions = new ArrayList<>();
        private final List<Pause> pauses = new ArrayList<>();
        private final Map<Integer, Change> changes = new LinkedHashMap<>();
        private final List<RemainingCalls> remainingCalls = new ArrayList<>();
        private final Map<BlockedBy, Integer> blocked = new LinkedHashMap<>();
        private final int open;
        private final boolean allReported;
        private final boolean unlisted;
        private int halted;

        Pass(
                long now,
                long clock,
                int minute,
                DrainStateMachine agreed,
                CompiledPolicies rules,
                Collection<DrainableNode> listed) {
            this.now = now;
            this.clock = clock;
            this.minute = minute;
            this.stateMachine = agreed;
            this.rules = rules;
            listed.forEach(node -> nodes.put(node.id(), node));
            disabled = reported.disabled(now);
            open = agreed.open();
            allReported = disabled != null && reported.isSilent(now) == 0;
            unlisted =
                    agreed.drains().stream()
                            .anyMatch(
                                    drain -> drain.state.isOut() && !nodes.containsKey(drain.node));
            for (int i = 0; i < rules.size(); i++) {
                disruptions.add(new DisruptionCounts(rules.policy(i)));
            }
            for (DrainableNode node : nodes.values()) {
                int policies = rules.of(node);
                for (int i = 0; i < rules.size(); i++) {
                    if ((policies >> i & 1) != 0) {
                        disruptions.get(i).add(node, out(node));
                    }
                }
            }
        }

        private boolean out(DrainableNode node) {
            return node.standing() != Standing.SERVING
                    || disabled != null && disabled.contains(node.id())
                    || stateMachine.state(node.id()).isOut();
        }

        /** What has become of drains that are under way. */
        void follow() {
            for (Drain drain : stateMachine.drains()) {
                DrainEvent event = event(drain, nodes.get(drain.node));
                if (event != null) {
                    DrainableNode node = nodes.get(drain.node);
                    changes.put(
                            drain.slot,
                            event == DrainEvent.RESTARTED_OUT
                                    ? new Change(
                                            event,
                                            drain.slot,
                                            node.start(),
                                            0,
                                            OnDeadline.LET_GO,
                                            OnRestart.OUT,
                                            0)
                                    : Change.of(event, drain.slot));
                }
            }
        }

        private DrainEvent event(Drain drain, DrainableNode node) {
            if (node == null && !nodes.isEmpty()) {
                Long since = missingSince.putIfAbsent(drain.node, now);
                if (since != null && now - since >= settings.unlisted()) {
                    return DrainEvent.GONE;
                }
            } else {
                missingSince.remove(drain.node);
            }
            if (node != null && drain.state.isLeaving() && node.start() > drain.start) {
                return drain.restarted == OnRestart.BACK
                        ? DrainEvent.RESTARTED_BACK
                        : DrainEvent.RESTARTED_OUT;
            }
            if (drain.state.isOpen()) {
                List<RemainingCalls> there = reported.remainingCalls(now, drain);
                remainingCalls.addAll(there);
                if (there.isEmpty()) {
                    return DrainEvent.EMPTY;
                }
                return drain.state == DrainState.OVERDUE || clock < drain.until
                        ? null
                        : switch (drain.atEnd) {
                            case LET_GO -> DrainEvent.LET_GO;
                            case GIVE_BACK -> DrainEvent.GIVEN_UP;
                            case KEEP_WAITING -> DrainEvent.ALARMED;
                        };
            }
            return drain.state.isOut()
                            && drain.state != DrainState.OUT
                            && reported.allHaveSeen(now, drain.since)
                    ? DrainEvent.RETURNED
                    : null;
        }

        /** Which policies pause, go on or give back. */
        void halt(int replicas) {
            double listed = 0;
            double serving = 0;
            int out = 0;
            for (DrainableNode node : nodes.values()) {
                listed += node.weight();
                serving += out(node) ? 0 : node.weight();
                out += out(node) ? 1 : 0;
            }
            TrafficSample flow = reported.flow(now);
            double ended = Math.max(1, flow.ended());
            for (int i = 0; i < rules.size(); i++) {
                PolicyConditionInputs figures =
                        new PolicyConditionInputs(
                                flow.refused() / ended,
                                flow.failed() / ended,
                                flow.late() / ended,
                                listed == 0 ? 0 : serving / listed,
                                reported.isLive(now),
                                replicas,
                                out,
                                died(i));
                boolean back = rules.givesBack(i, figures) == CompiledPolicies.Verdict.YES;
                boolean halt =
                        back
                                || rules.pauses(i, figures) != CompiledPolicies.Verdict.NO
                                || rules.givesBack(i, figures)
                                        == CompiledPolicies.Verdict.UNDECIDED;
                if (halt && !stateMachine.paused(i)) {
                    pauses.add(new Pause(i, true));
                } else if (!halt
                        && stateMachine.paused(i)
                        && rules.goesOn(i, figures) == CompiledPolicies.Verdict.YES
                        && clock - stateMachine.pausedAt(i)
                                >= rules.policy(i).minWaveInterval() / MILLI) {
                    pauses.add(new Pause(i, false));
                }
                halted |= halt || stateMachine.paused(i) ? 1 << i : 0;
                if (back) {
                    stop(i);
                }
            }
        }

        private void stop(int policy) {
            for (Drain drain : stateMachine.drains()) {
                if (drain.state.isOpen() && (drain.policies >> policy & 1) != 0) {
                    changes.putIfAbsent(drain.slot, Change.of(DrainEvent.STOPPED, drain.slot));
                }
            }
        }

        private int died(int policy) {
            int died = 0;
            for (DrainableNode node : nodes.values()) {
                died +=
                        node.standing() == Standing.FAILED
                                        && stateMachine.state(node.id()) != DrainState.OUT
                                        && (rules.of(node) >> policy & 1) != 0
                                ? 1
                                : 0;
            }
            return died;
        }

        /** Begins a wave of those that may go. */
        void begin() {
            List<Drain> waiting = new ArrayList<>();
            for (Drain drain : stateMachine.drains()) {
                if (drain.state == DrainState.WAITING && nodes.containsKey(drain.node)) {
                    waiting.add(drain);
                }
            }
            waiting.sort(
                    Comparator.<Drain>comparingInt(
                                    drain -> Integer.numberOfTrailingZeros(policies(drain)))
                            .thenComparing(this::byOrder)
                            .thenComparingInt(drain -> drain.slot));
            int[] inWave = new int[rules.size()];
            Object[] only = new Object[rules.size()];
            for (Drain drain : waiting) {
                BlockedBy wait = wait(drain, inWave, only);
                if (wait != null || changes.size() >= DrainCommand.MAX_CHANGES) {
                    blocked.merge(
                            wait == null ? new BlockedBy(-1, Bound.WAVE, 0) : wait,
                            1,
                            Integer::sum);
                    continue;
                }
                DrainableNode node = nodes.get(drain.node);
                boolean counts = !out(node);
                long time = Long.MAX_VALUE;
                OnDeadline atEnd = OnDeadline.LET_GO;
                OnRestart restarted = OnRestart.BACK;
                int policies = policies(drain);
                for (int i = 0; i < rules.size(); i++) {
                    if ((policies >> i & 1) != 0) {
                        DrainPolicy policy = rules.policy(i);
                        inWave[i]++;
                        if (counts) {
                            disruptions.get(i).leaves(node);
                        }
                        atEnd = policy.deadlineNanos() < time ? policy.onDeadline() : atEnd;
                        time = Math.min(time, policy.deadlineNanos());
                        restarted = policy.onRestart() == OnRestart.OUT ? OnRestart.OUT : restarted;
                    }
                }
                changes.put(
                        drain.slot,
                        new Change(
                                DrainEvent.BEGUN,
                                drain.slot,
                                node.start(),
                                time / MILLI,
                                atEnd,
                                restarted,
                                policies));
            }
        }

        private int policies(Drain drain) {
            return rules.of(nodes.get(drain.node));
        }

        private int byOrder(Drain a, Drain b) {
            int policies = policies(a);
            if (policies == 0) {
                return 0;
            }
            DrainableNode one = nodes.get(a.node);
            DrainableNode other = nodes.get(b.node);
            return switch (rules.policy(Integer.numberOfTrailingZeros(policies)).order()) {
                case AS_ASKED -> 0;
                case POD_BY_POD -> Integer.compare(one.pod(), other.pod());
                case ZONE_BY_ZONE -> one.zone().compareTo(other.zone());
                case LIGHT_FIRST -> Double.compare(one.weight(), other.weight());
                case HEAVY_FIRST -> Double.compare(other.weight(), one.weight());
            };
        }

        /** What keeps a node waiting; null where nothing does. */
        private BlockedBy wait(Drain drain, int[] inWave, Object[] only) {
            DrainableNode node = nodes.get(drain.node);
            int policies = policies(drain);
            if (policies == 0) {
                return new BlockedBy(-1, Bound.NO_POLICY, 0);
            }
            if (!allReported) {
                return new BlockedBy(-1, Bound.REPORTS, 0);
            }
            if (unlisted) {
                return new BlockedBy(-1, Bound.UNLISTED, 0);
            }
            BlockedBy wait = null;
            for (int i = 0; i < rules.size(); i++) {
                if ((policies >> i & 1) != 0) {
                    Bound bound = bound(i, node, inWave[i], only);
                    wait = wait == null && bound != null ? new BlockedBy(i, bound, 0) : wait;
                }
            }
            return wait;
        }

        private Bound bound(int policy, DrainableNode node, int inWave, Object[] only) {
            DrainPolicy of = rules.policy(policy);
            Object group =
                    of.order() == DrainOrder.POD_BY_POD
                            ? (Object) node.pod()
                            : of.order() == DrainOrder.ZONE_BY_ZONE ? node.zone() : "";
            only[policy] = only[policy] == null ? group : only[policy];
            if ((halted >> policy & 1) != 0) {
                return Bound.PAUSED;
            } else if (of.isClosedAt(minute)) {
                return Bound.CLOSED;
            } else if ((open >> policy & 1) != 0 || inWave >= of.maxWaveSize()) {
                return Bound.WAVE;
            } else if (stateMachine.waveEndedAt(policy) >= 0
                    && clock - stateMachine.waveEndedAt(policy) < of.minWaveInterval() / MILLI) {
                return Bound.PACE;
            } else if (!only[policy].equals(group)) {
                return Bound.ORDER;
            }
            return disruptions.get(policy).breaks(node, out(node));
        }

        Step step() {
            List<BlockedBy> told = new ArrayList<>();
            blocked.forEach(
                    (wait, count) -> told.add(new BlockedBy(wait.policy(), wait.bound(), count)));
            return new Step(
                    stateMachine.version(),
                    clock,
                    pauses,
                    List.copyOf(changes.values()),
                    new WaveStatus(
                            told.subList(0, Math.min(DrainCommand.MAX_TOLD, told.size())),
                            List.copyOf(
                                    remainingCalls.subList(
                                            0,
                                            Math.min(
                                                    DrainCommand.MAX_TOLD,
                                                    remainingCalls.size())))));
        }
    }

    /**
     * The next step; null where there is nothing to say.
     *
     * @param clock the agreed one, as this replica reckons that it stands now; milliseconds
     * @param utcMillis since 1970, by this machine's clock
     */
    Step next(
            long now,
            long clock,
            long utcMillis,
            DrainStateMachine agreed,
            CompiledPolicies rules,
            Collection<DrainableNode> listed,
            int replicas) {
        if (agreed.drains().isEmpty()) {
            missingSince.clear();
            return null;
        }
        Pass look = new Pass(now, clock, Window.minute(utcMillis), agreed, rules, listed);
        look.follow();
        look.halt(replicas);
        look.begin();
        Step step = look.step();
        boolean open = agreed.drains().stream().anyMatch(drain -> drain.state.isOpen());
        boolean late = clock - agreed.clock() >= settings.beat() / MILLI;
        return !step.changes().isEmpty()
                        || !step.pauses().isEmpty()
                        || late && (open || !step.told().equals(agreed.told()))
                ? step
                : null;
    }
}
