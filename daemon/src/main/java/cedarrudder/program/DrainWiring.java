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

/**
 * Connects drains by policies to the state and the actions of this replica. Runs on the loop's
 * thread.
 */
final class DrainWiring
        implements DrainCoordination, DrainCoordinator.LocalState, DrainCoordinator.Actions {

    /** The time window over which traffic is counted, in nanoseconds. */
    private static final long TRAFFIC_WINDOW_NANOS = 10_000_000_000L;

    /** The interval at which the policies are proposed until they are in force. */
    private static final long PROPOSAL_INTERVAL_NANOS = 1_000_000_000L;

    /** The time within which an operator's request has to be agreed on. */
    private static final long ADMIN_REQUEST_TIMEOUT_NANOS = 4_000_000_000L;

    private record TimedSample(long at, TrafficSample totals) {}

    /** A request of an operator, with the number of its proposals that are not settled yet. */
    private static final class AdminRequest {
        private final Consumer<OperationResult> listener;
        private final boolean cancel;
        private final List<Long> nodes;
        private int openProposals;
        private boolean failed;

        AdminRequest(boolean cancel, List<Long> nodes, Consumer<OperationResult> listener) {
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
    private final Map<ProposalKey, AdminRequest> adminRequests = new HashMap<>();
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

    /** Starts with this process's participation; discards the state of an earlier one. */
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

    /**
     * Proposes the policies of this replica's file at intervals until they are in force, and logs
     * when other policies overrule them.
     */
    void proposePolicies(ReplicaCoordinator fleet) {
        loop.at(loop.now() + PROPOSAL_INTERVAL_NANOS, () -> proposePolicies(fleet));
        byte[] command = drains == null ? null : drains.nextPolicyCommand();
        if (command != null) {
            fleet.propose(command, PROPOSAL_INTERVAL_NANOS);
        }
        boolean overruled = drains != null && drains.isOverruled();
        if (overruled && !wasOverruled) {
            log.warn("drain.policies_overruled")
                    .with("own_revision", configuration.revision())
                    .with("agreed_revision", drains.progress().revision())
                    .write();
        }
        wasOverruled = overruled;
    }

    /** Applies the policies of the operator's file; null changes nothing. */
    void setPolicies(DrainsConfiguration next) {
        if (next != null) {
            configuration = next;
            if (drains != null) {
                drains.setPolicies(next.revision(), next.policies());
            }
        }
    }

    // ---- operators' requests ----

    /** Proposes to drain endpoints, or to cancel their drains. */
    void proposeAdminRequest(
            ReplicaCoordinator fleet,
            boolean cancel,
            List<Long> nodes,
            Consumer<OperationResult> then) {
        if (drains == null) {
            then.accept(OperationResult.UNAVAILABLE);
            return;
        }
        AdminRequest request = new AdminRequest(cancel, nodes, then);
        for (int from = 0; from < nodes.size(); from += DrainCoordinator.MAX_IDS) {
            request.openProposals++;
            Proposal proposal =
                    fleet.propose(
                            DrainCoordinator.drainRequest(
                                    cancel,
                                    nodes.subList(
                                            from,
                                            Math.min(
                                                    nodes.size(),
                                                    from + DrainCoordinator.MAX_IDS))),
                            ADMIN_REQUEST_TIMEOUT_NANOS);
            if (proposal == null) {
                request.openProposals--;
                request.failed = true;
            } else {
                adminRequests.put(
                        new ProposalKey(proposal.incarnation(), proposal.sequence()), request);
            }
        }
        completeIfSettled(request);
    }

    /** Records the outcome of a proposal; returns false if it belongs to none of these requests. */
    boolean onProposalSettled(Proposal proposal, ProposalOutcome outcome) {
        AdminRequest request =
                adminRequests.remove(new ProposalKey(proposal.incarnation(), proposal.sequence()));
        if (request != null) {
            request.openProposals--;
            request.failed |= outcome != ProposalOutcome.COMMITTED;
            completeIfSettled(request);
        }
        return request != null;
    }

    /**
     * Reports the result once all proposals are settled; a request that there was no capacity to
     * carry out is never reported as done.
     */
    private void completeIfSettled(AdminRequest request) {
        if (request.openProposals == 0) {
            boolean anyNotAccepted =
                    !request.cancel
                            && request.nodes.stream()
                                    .anyMatch(node -> drains.state(node) == DrainState.NONE);
            request.listener.accept(
                    request.failed || anyNotAccepted
                            ? OperationResult.UNAVAILABLE
                            : OperationResult.DONE);
        }
    }

    DrainCoordinator.Progress progress() {
        return drains == null ? null : drains.progress();
    }

    // ---- agreement among replicas ----

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

    // ---- state of this replica ----

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
    public void onDrainChange(DrainCoordinator.DrainChange change) {
        String event = change.event().name().toLowerCase(Locale.ROOT).replace('_', '-');
        if (change.effect() == Effect.ALARM) {
            log.warn("drain.deadline_exceeded")
                    .with("endpoint", change.node())
                    .with("event", event)
                    .write();
        }
        if (history != null) {
            history.record(
                    "drain",
                    change.event() == DrainEvent.BEGUN
                            ? Map.of(
                                    "node",
                                    change.node(),
                                    "wave",
                                    change.wave(),
                                    "event",
                                    event,
                                    "within",
                                    change.deadlineMillis() * 1_000_000)
                            : Map.of("node", change.node(), "wave", change.wave(), "event", event));
        }
    }
}
