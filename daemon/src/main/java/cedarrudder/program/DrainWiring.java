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
import cedarrudder.transport.AdminOperations.Done;
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
    private static final long WINDOW = 10_000_000_000L;

    /** Policies are proposed so often, until they count. */
    private static final long AGAIN = 1_000_000_000L;

    /** An operator's call has so long to be agreed on. */
    private static final long PATIENCE = 4_000_000_000L;

    private record Sample(long at, TrafficSample all) {}

    /** A call of operators, of which this many parts are not settled yet. */
    private static final class Call {
        private final Consumer<Done> then;
        private final boolean cancel;
        private final List<Long> nodes;
        private int left;
        private boolean failed;

        Call(boolean cancel, List<Long> nodes, Consumer<Done> then) {
            this.cancel = cancel;
            this.nodes = nodes;
            this.then = then;
        }
    }

    private record Key(long incarnation, long sequence) {}

    private final ProxyEventLoop loop;
    private final int replicas;
    private final int self;
    private final LocalTrafficView view;
    private final EventRecorder notes;
    private final Logger log;
    private final Map<Key, Call> calls = new HashMap<>();
    private final Deque<Sample> samples = new ArrayDeque<>();
    private DrainsConfiguration file;
    private DrainCoordinator drains;
    private Map<Long, Integer> out = Map.of();
    private boolean overruled;

    DrainWiring(
            ProxyEventLoop loop,
            int replicas,
            int self,
            DrainsConfiguration file,
            LocalTrafficView view,
            EventRecorder notes,
            Logger log) {
        this.loop = loop;
        this.replicas = replicas;
        this.self = self;
        this.file = file;
        this.view = view;
        this.notes = notes;
        this.log = log;
    }

    /** This process takes part from now on; what it knew before counts no more. */
    DrainCoordination begin(long now) {
        drains =
                new DrainCoordinator(
                        replicas, self, DrainSettings.DEFAULT, file.conditions(), this, now);
        drains.policies(file.revision(), file.policies());
        return this;
    }

    /** Sees to it that the policies of this replica's file count, where they may. */
    void propose(ReplicaCoordinator fleet) {
        loop.at(loop.now() + AGAIN, () -> propose(fleet));
        byte[] wanted = drains == null ? null : drains.wantedCommand();
        if (wanted != null) {
            fleet.propose(wanted, AGAIN);
        }
        boolean over = drains != null && drains.isOverruled();
        if (over && !overruled) {
            log.warn("drains.overruled")
                    .with("own", file.revision())
                    .with("agreed", drains.progress().revision())
                    .write();
        }
        overruled = over;
    }

    /** The operator's file says this now. */
    void apply(DrainsConfiguration next) {
        if (next != null) {
            file = next;
            if (drains != null) {
                drains.policies(next.revision(), next.policies());
            }
        }
    }

    // ---- operators ----

    /** Has endpoints leave, or ends that. */
    void call(ReplicaCoordinator fleet, boolean cancel, List<Long> nodes, Consumer<Done> then) {
        if (drains == null) {
            then.accept(Done.NO);
            return;
        }
        Call call = new Call(cancel, nodes, then);
        for (int from = 0; from < nodes.size(); from += DrainCoordinator.MAX_IDS) {
            call.left++;
            Proposal made =
                    fleet.propose(
                            DrainCoordinator.call(
                                    cancel,
                                    nodes.subList(
                                            from,
                                            Math.min(
                                                    nodes.size(),
                                                    from + DrainCoordinator.MAX_IDS))),
                            PATIENCE);
            if (made == null) {
                call.left--;
                call.failed = true;
            } else {
                calls.put(new Key(made.incarnation(), made.sequence()), call);
            }
        }
        end(call);
    }

    /** What became of a proposal; false where it is none of these. */
    boolean settled(Proposal proposal, ProposalOutcome outcome) {
        Call call = calls.remove(new Key(proposal.incarnation(), proposal.sequence()));
        if (call != null) {
            call.left--;
            call.failed |= outcome != ProposalOutcome.COMMITTED;
            end(call);
        }
        return call != null;
    }

    /** This avoids a yes to what there was no room for. */
    private void end(Call call) {
        if (call.left == 0) {
            boolean none =
                    !call.cancel
                            && call.nodes.stream()
                                    .anyMatch(node -> drains.state(node) == DrainState.NONE);
            call.then.accept(call.failed || none ? Done.NO : Done.YES);
        }
    }

    DrainCoordinator.Progress progress() {
        return drains == null ? null : drains.progress();
    }

    // ---- what replicas agree on ----

    @Override
    public List<byte[]> report(long now) {
        out = view.attemptsInFlight();
        samples.addLast(new Sample(now, view.ended()));
        while (samples.size() > 1 && now - samples.getFirst().at > WINDOW) {
            samples.removeFirst();
        }
        return drains.report(now, this);
    }

    @Override
    public void reported(long now, int from, byte[] part) {
        drains.onReport(now, from, part);
    }

    @Override
    public byte[] nextCommand(long now, TierView tier) {
        return drains.next(now, view.wallClock(), view.nodes(), tier::isAlive);
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
    public void restored(long now, byte[] state) {
        drains.onRestored(now, state);
    }

    // ---- what this replica has ----

    @Override
    public int calls(long node) {
        return out.getOrDefault(node, 0);
    }

    @Override
    public Set<Long> disabled() {
        return view.disabled();
    }

    @Override
    public TrafficSample flow() {
        TrafficSample first = samples.getFirst().all;
        TrafficSample last = samples.getLast().all;
        return new TrafficSample(
                last.ended() - first.ended(),
                last.refused() - first.refused(),
                last.failed() - first.failed(),
                last.late() - first.late());
    }

    @Override
    public void onDrainChange(DrainCoordinator.DrainChange happened) {
        String event = happened.event().name().toLowerCase(Locale.ROOT).replace('_', '-');
        if (happened.effect() == Effect.ALARM) {
            log.warn("drain.overdue").with("node", happened.node()).with("then", event).write();
        }
        if (notes != null) {
            notes.note(
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
                                    happened.within() * 1_000_000)
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
