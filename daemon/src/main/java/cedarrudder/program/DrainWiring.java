package cedarrudder.program;

import cedarrudder.consensus.Proposal;
import cedarrudder.consensus.ProposalOutcome;
import cedarrudder.coordination.DrainCoordination;
import cedarrudder.coordination.TierView;
import cedarrudder.draining.DrainCoordinator;
import cedarrudder.draining.DrainEvent;
import cedarrudder.draining.DrainSettings;
import cedarrudder.draining.DrainState;
import cedarrudder.draining.DrainTransitions.Effect;
import cedarrudder.draining.TrafficSample;
import cedarrudder.logging.Logger;
import cedarrudder.operator.DrainsConfiguration;
import cedarrudder.routetable.RouteTable;
import cedarrudder.transport.AdminOperations.OperationResult;
import cedarrudder.transport.EventRecorder;
import cedarrudder.transport.ProxyEventLoop;
import cedarrudder.transport.ReplicaCoordinator;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/** Drains by policies, wired to what this replica sees and does. On the loop's thread. */
final class DrainWiring
        implements DrainCoordination, DrainCoordinator.LocalState, DrainCoordinator.Actions {

    /** Figures are those of so long, in nanoseconds. */
    private static final long TRAFFIC_WINDOW_NANOS = 10_000_000_000L;

    /** Policies are proposed so often, until they count. */
    private static final long PROPOSAL_INTERVAL_NANOS = 1_000_000_000L;

    /** An operator's call has so long to be agreed on. */
    private static final long CALL_TIMEOUT_NANOS = 4_000_000_000L;

    private record TimedSample(long at, TrafficSample totals) {}

    /** A call of operators, of which this many parts are not settled yet. */
    private static final class AdminCall {
        private final Consumer<OperationResult> listener;
        private final boolean cancel;
        private final List<Long> nodes;
        private int openProposals;
        private boolean failed;

        AdminCall(boolean cancel, List<Long> nodes, Consumer<OperationResult> listener) {
            this.cancel = cancel;
            this.nodes = nodes;
            this.listener = listener;
        }
    }

    private record ProposalKey(long incarnation, long sequence) {}

    private final ProxyEventLoop loop;
    private final int replicas;
    private final int self;
    private final LocalTrafficView view;
    private final EventRecorder history;
    private final Logger log;
    private final Map<ProposalKey, AdminCall> calls = new HashMap<>();
    private final Deque<TimedSample> samples = new ArrayDeque<>();
    private DrainsConfiguration configuration;
    private DrainCoordinator drains;
    private Map<Long, Integer> attemptsInFlight = Map.of();
    private boolean wasOverruled;

    DrainWiring(
            ProxyEventLoop loop,
            int replicas,
            int self,
            DrainsConfiguration configuration,
            LocalTrafficView view,
            EventRecorder history,
            Logger log) {
        this.loop = loop;
        this.replicas = replicas;
        this.self = self;
        this.configuration = configuration;
        this.view = view;
        this.history = history;
        this.log = log;
    }

    /** This process takes part from now on; what it knew before counts no more. */
    DrainCoordination start(long now) {
        drains =
                new DrainCoordinator(
                        replicas,
                        self,
                        DrainSettings.DEFAULT,
                        configuration.conditions(),
                        this,
                        now);
        drains.setPolicies(configuration.revision(), configuration.policies());
        return this;
    }

    /** Sees to it that the policies of this replica's file count, where they may. */
    void proposePolicies(ReplicaCoordinator fleet) {
        loop.at(loop.now() + PROPOSAL_INTERVAL_NANOS, () -> proposePolicies(fleet));
        byte[] wanted = drains == null ? null : drains.nextPolicyCommand();
        if (wanted != null) {
            fleet.propose(wanted, PROPOSAL_INTERVAL_NANOS);
        }
        boolean over = drains != null && drains.isOverruled();
        if (over && !wasOverruled) {
            log.warn("drain.policies_overruled")
                    .with("own_revision", configuration.revision())
                    .with("agreed_revision", drains.progress().revision())
                    .write();
        }
        wasOverruled = over;
    }

    /** The operator's file says this now. */
    void setPolicies(DrainsConfiguration next) {
        if (next != null) {
            configuration = next;
            if (drains != null) {
                drains.setPolicies(next.revision(), next.policies());
            }
        }
    }

    // ---- operators ----

    /** Has endpoints leave, or ends that. */
    void proposeAdminCall(
            ReplicaCoordinator fleet,
            boolean cancel,
            List<Long> nodes,
            Consumer<OperationResult> then) {
        if (drains == null) {
            then.accept(OperationResult.UNAVAILABLE);
            return;
        }
        AdminCall call = new AdminCall(cancel, nodes, then);
        for (int from = 0; from < nodes.size(); from += DrainCoordinator.MAX_IDS) {
            call.openProposals++;
            Proposal made =
                    fleet.propose(
                            DrainCoordinator.drainRequest(
                                    cancel,
                                    nodes.subList(
                                            from,
                                            Math.min(
                                                    nodes.size(),
                                                    from + DrainCoordinator.MAX_IDS))),
                            CALL_TIMEOUT_NANOS);
            if (made == null) {
                call.openProposals--;
                call.failed = true;
            } else {
                calls.put(new ProposalKey(made.incarnation(), made.sequence()), call);
            }
        }
        completeIfSettled(call);
    }

    /** What became of a proposal; false where it is none of these. */
    boolean onProposalSettled(Proposal proposal, ProposalOutcome outcome) {
        AdminCall call = calls.remove(new ProposalKey(proposal.incarnation(), proposal.sequence()));
        if (call != null) {
            call.openProposals--;
            call.failed |= outcome != ProposalOutcome.COMMITTED;
            completeIfSettled(call);
        }
        return call != null;
    }

    /** This avoids a yes to what there was no room for. */
    private void completeIfSettled(AdminCall call) {
        if (call.openProposals == 0) {
            boolean none =
                    !call.cancel
                            && call.nodes.stream()
                                    .anyMatch(node -> drains.state(node) == DrainState.NONE);
            call.listener.accept(
                    call.failed || none ? OperationResult.UNAVAILABLE : OperationResult.DONE);
        }
    }

    DrainCoordinator.Progress progress() {
        return drains == null ? null : drains.progress();
    }

    // ---- what replicas agree on ----

    @Override
    public List<byte[]> reportParts(long now) {
        attemptsInFlight = view.attemptsInFlight();
        samples.addLast(new TimedSample(now, view.requestTotals()));
        while (samples.size() > 1 && now - samples.getFirst().at > TRAFFIC_WINDOW_NANOS) {
            samples.removeFirst();
        }
        return drains.report(now, this);
    }

    @Override
    public void onReportPart(long now, int from, byte[] part) {
        drains.onReport(now, from, part);
    }

    @Override
    public byte[] nextCommand(long now, TierView tier) {
        return drains.nextCommand(now, view.wallClock(), view.nodes(), tier::isAlive);
    }

    @Override
    public void onLeadership(long now, boolean leads) {
        drains.onLeadership(now, leads);
    }

    @Override
    public void apply(long now, byte[] command) {
        drains.apply(now, command);
    }

    @Override
    public List<RouteTable.DrainingNode> drainingNodes() {
        return drains.drainingNodes();
    }

    @Override
    public byte[] state() {
        return drains.state();
    }

    @Override
    public void restore(long now, byte[] state) {
        drains.onRestored(now, state);
    }

    // ---- what this replica has ----

    @Override
    public int requestsInFlight(long node) {
        return attemptsInFlight.getOrDefault(node, 0);
    }

    @Override
    public Set<Long> disabled() {
        return view.disabled();
    }

    @Override
    public TrafficSample trafficSample() {
        TrafficSample first = samples.getFirst().totals;
        TrafficSample last = samples.getLast().totals;
        return new TrafficSample(
                last.ended() - first.ended(),
                last.refused() - first.refused(),
                last.failed() - first.failed(),
                last.deadlineMissed() - first.deadlineMissed());
    }

    @Override
    public void onDrainChange(DrainCoordinator.DrainChange happened) {
        String event = happened.event().name().toLowerCase(Locale.ROOT).replace('_', '-');
        if (happened.effect() == Effect.ALARM) {
            log.warn("drain.deadline_exceeded")
                    .with("endpoint", happened.node())
                    .with("event", event)
                    .write();
        }
        if (history != null) {
            history.record(
                    "drain",
                    happened.event() == DrainEvent.BEGUN
                            ? Map.of(
                                    "node",
                                    happened.node(),
                                    "wave",
                                    happened.wave(),
                                    "event",
                                    event,
                                    "within",
                                    happened.deadlineMillis() * 1_000_000)
                            : Map.of(
                                    "node",
                                    happened.node(),
                                    "wave",
                                    happened.wave(),
                                    "event",
                                    event));
        }
    }
}
