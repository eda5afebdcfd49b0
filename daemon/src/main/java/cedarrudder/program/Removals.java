package cedarrudder.program;

import cedarrudder.agreement.Outcome;
import cedarrudder.agreement.Proposal;
import cedarrudder.drainage.DrainEvent;
import cedarrudder.drainage.DrainSettings;
import cedarrudder.drainage.DrainState;
import cedarrudder.drainage.Drains;
import cedarrudder.drainage.Flow;
import cedarrudder.drainage.Transitions.Effect;
import cedarrudder.fleet.Removal;
import cedarrudder.fleet.Tier;
import cedarrudder.logging.Logger;
import cedarrudder.operator.DrainsFile;
import cedarrudder.table.RouteTable;
import cedarrudder.transport.Desk.Done;
import cedarrudder.transport.Fleet;
import cedarrudder.transport.Loop;
import cedarrudder.transport.Notes;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/** Drains by policies, wired to what this copy sees and does. On the loop's thread. */
final class Removals implements Removal, Drains.Local, Drains.Outlet {

    /** Figures are those of so long, in nanoseconds. */
    private static final long WINDOW = 10_000_000_000L;

    /** Policies are proposed so often, until they count. */
    private static final long AGAIN = 1_000_000_000L;

    /** An operator's call has so long to be agreed on. */
    private static final long PATIENCE = 4_000_000_000L;

    private record Sample(long at, Flow all) {}

    /** A call of operators, of which so many parts are not settled yet. */
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

    private record Key(long life, long sequence) {}

    private final Loop loop;
    private final int copies;
    private final int self;
    private final Seen view;
    private final Notes notes;
    private final Logger log;
    private final Map<Key, Call> calls = new HashMap<>();
    private final Deque<Sample> samples = new ArrayDeque<>();
    private DrainsFile file;
    private Drains drains;
    private Map<Long, Integer> out = Map.of();
    private boolean overruled;

    Removals(Loop loop, int copies, int self, DrainsFile file, Seen view, Notes notes, Logger log) {
        this.loop = loop;
        this.copies = copies;
        this.self = self;
        this.file = file;
        this.view = view;
        this.notes = notes;
        this.log = log;
    }

    /** This process takes part from now on; what it knew before counts no more. */
    Removal begin(long now) {
        drains = new Drains(copies, self, DrainSettings.DEFAULT, file.conditions(), this, now);
        drains.policies(file.revision(), file.policies());
        return this;
    }

    /** Sees to it that the policies of this copy's file count, where they may. */
    void propose(Fleet fleet) {
        loop.at(loop.now() + AGAIN, () -> propose(fleet));
        byte[] wanted = drains == null ? null : drains.wanted();
        if (wanted != null) {
            fleet.propose(wanted, AGAIN);
        }
        boolean over = drains != null && drains.overruled();
        if (over && !overruled) {
            log.warn("drains.overruled")
                    .with("own", file.revision())
                    .with("agreed", drains.progress().revision())
                    .write();
        }
        overruled = over;
    }

    /** The operator's file says this now. */
    void apply(DrainsFile next) {
        if (next != null) {
            file = next;
            if (drains != null) {
                drains.policies(next.revision(), next.policies());
            }
        }
    }

    // ---- operators ----

    /** Has nodes leave, or ends that. */
    void call(Fleet fleet, boolean cancel, List<Long> nodes, Consumer<Done> then) {
        if (drains == null) {
            then.accept(Done.NO);
            return;
        }
        Call call = new Call(cancel, nodes, then);
        for (int from = 0; from < nodes.size(); from += Drains.MOST_IDS) {
            call.left++;
            Proposal made =
                    fleet.propose(
                            Drains.call(
                                    cancel,
                                    nodes.subList(
                                            from, Math.min(nodes.size(), from + Drains.MOST_IDS))),
                            PATIENCE);
            if (made == null) {
                call.left--;
                call.failed = true;
            } else {
                calls.put(new Key(made.life(), made.sequence()), call);
            }
        }
        end(call);
    }

    /** What became of a proposal; false where it is none of these. */
    boolean settled(Proposal proposal, Outcome outcome) {
        Call call = calls.remove(new Key(proposal.life(), proposal.sequence()));
        if (call != null) {
            call.left--;
            call.failed |= outcome != Outcome.COMMITTED;
            end(call);
        }
        return call != null;
    }

    /** Guards against a yes to what there was no room for. */
    private void end(Call call) {
        if (call.left == 0) {
            boolean none =
                    !call.cancel
                            && call.nodes.stream()
                                    .anyMatch(node -> drains.state(node) == DrainState.NONE);
            call.then.accept(call.failed || none ? Done.NO : Done.YES);
        }
    }

    Drains.Progress progress() {
        return drains == null ? null : drains.progress();
    }

    // ---- what copies agree on ----

    @Override
    public List<byte[]> report(long now) {
        out = view.calls();
        samples.addLast(new Sample(now, view.ended()));
        while (samples.size() > 1 && now - samples.getFirst().at > WINDOW) {
            samples.removeFirst();
        }
        return drains.report(now, this);
    }

    @Override
    public void reported(long now, int from, byte[] part) {
        drains.reported(now, from, part);
    }

    @Override
    public byte[] next(long now, Tier tier) {
        return drains.next(now, view.wallClock(), view.nodes(), tier::lives);
    }

    @Override
    public void leads(long now, boolean leads) {
        drains.leads(now, leads);
    }

    @Override
    public void apply(long now, byte[] command) {
        drains.apply(now, command);
    }

    @Override
    public List<RouteTable.Leaving> leaving() {
        return drains.leaving();
    }

    @Override
    public byte[] state() {
        return drains.state();
    }

    @Override
    public void restored(long now, byte[] state) {
        drains.restored(now, state);
    }

    // ---- what this copy has ----

    @Override
    public int calls(long node) {
        return out.getOrDefault(node, 0);
    }

    @Override
    public Set<Long> disabled() {
        return view.disabled();
    }

    @Override
    public Flow flow() {
        Flow first = samples.getFirst().all;
        Flow last = samples.getLast().all;
        return new Flow(
                last.ended() - first.ended(),
                last.refused() - first.refused(),
                last.failed() - first.failed(),
                last.late() - first.late());
    }

    @Override
    public void happened(Drains.Happened happened) {
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
