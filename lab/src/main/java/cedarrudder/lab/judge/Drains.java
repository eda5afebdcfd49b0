package cedarrudder.lab.judge;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * D2: nothing new comes to a node a stated time after the copy took it out; no removal is said done while a
 * live copy has calls there; and none is under way past its time, nor are calls there.
 *
 * <p>It reads {@code leaving} and {@code drain} of the copies, {@code reached} and {@code served} of the
 * nodes, {@code answered} and {@code broke} of the callers. A copy with two processes is held to what both
 * had heard. One that runs is not live where it stands still, or is held as dead by who says that it is done.
 */
public final class Drains implements Rule {

    private static final String NAME = "D2";
    private static final long MILLI = 1_000_000L;

    /** A removal under way. */
    private static final class Drain {
        final String node;
        final long within;
        final long begunAt;
        long paused;
        long pausedAt = Long.MAX_VALUE;

        Drain(String node, long within, long begunAt) {
            this.node = node;
            this.within = within;
            this.begunAt = begunAt;
        }

        /** How long it has taken, without its pauses. */
        long took(long now) {
            return Math.min(now, pausedAt) - begunAt - paused;
        }
    }

    /** A call attempt at a node. */
    private record Open(String node, String rpc, int copy) { }

    private final long stops;
    private final long grace;
    private final World world = new World();
    private final Beliefs beliefs = new Beliefs();
    private final Removed removed = new Removed();
    private final Map<String, Drain> drains = new HashMap<>();
    private final Map<String, Long> lateAt = new HashMap<>();
    private final Set<String> told = new HashSet<>();
    private final Set<Open> open = new HashSet<>();
    private final Map<String, Set<Open>> openOf = new HashMap<>();
    private final List<Breach> breaches = new ArrayList<>();

    /**
     * @param stops nothing new reaches a node so long after a copy had the word; nanoseconds
     * @param grace what is over its time has ended by then; nanoseconds
     */
    public Drains(long stops, long grace) {
        this.stops = stops;
        this.grace = grace;
    }

    @Override
    public void took(Event event) {
        switch (event.what()) {
            case "reached" -> {
                reached(event);
                Open call = open(event);
                open.add(call);
                openOf.computeIfAbsent(call.rpc, r -> new HashSet<>()).add(call);
            }
            case "served" -> {
                Open call = open(event);
                close(event.at(), call);
                openOf.getOrDefault(call.rpc, Set.of()).remove(call);
            }
            case "answered", "broke" -> {
                Set<Open> of = openOf.remove(event.text("rpc"));
                if (of != null) {
                    of.forEach(call -> close(event.at(), call));
                }
            }
            case "drain" -> {
                if (told.add(event.text("drain") + " " + event.text("node") + " " + event.text("step"))
                        || event.text("step").equals("paused") || event.text("step").equals("resumed")) {
                    drain(event, event.text("drain") + " " + event.text("node"));
                }
            }
            default -> { }
        }
        world.took(event);
        beliefs.took(event);
        removed.took(event);
        if (event.what().equals("ended") && world.running(event.copy()).isEmpty()) {
            open.removeIf(call -> call.copy == event.copy());
        }
    }

    private static Open open(Event event) {
        return new Open(event.text("node"), event.text("rpc"), event.copy());
    }

    private void reached(Event event) {
        Set<Long> lives = world.running(event.copy());
        long since = lives.isEmpty() ? Long.MAX_VALUE : Long.MIN_VALUE;
        for (long life : lives) {
            since = Math.max(since, removed.of(life).getOrDefault(event.text("node"), Long.MAX_VALUE));
        }
        if (since != Long.MAX_VALUE && event.at() - since > stops) {
            breach(event.at(), "RPC " + event.text("rpc") + " of copy " + event.copy() + " reached node "
                    + event.text("node") + " " + (event.at() - since) / MILLI
                    + " ms after the copy knew that it leaves");
        }
    }

    private void drain(Event event, String name) {
        Drain drain = drains.get(name);
        if (event.text("step").equals("begun")) {
            drains.put(name, new Drain(event.text("node"), event.number("within_ms") * MILLI, event.at()));
            lateAt.remove(event.text("node"));
        } else if (drain != null) {
            switch (event.text("step")) {
                case "paused" -> drain.pausedAt = Math.min(drain.pausedAt, event.at());
                case "resumed" -> {
                    drain.paused += Math.max(0, event.at() - drain.pausedAt);
                    drain.pausedAt = Long.MAX_VALUE;
                }
                case "done" -> {
                    done(event);
                    over(name, event.at());
                }
                case "late" -> {
                    lateAt.put(drain.node, event.at());
                    over(name, event.at());
                }
                default -> over(name, event.at());
            }
        }
    }

    private void done(Event event) {
        for (Open call : open) {
            if (call.node.equals(event.text("node")) && world.speaks(call.copy)
                    && !beliefs.dead(event.life(), call.copy)) {
                breach(event.at(), "copy " + event.copy() + " says that the removal of node " + call.node
                        + " is done while RPC " + call.rpc + " of copy " + call.copy + " is there");
            }
        }
    }

    private void over(String name, long at) {
        Drain drain = drains.remove(name);
        if (drain.took(at) > drain.within + grace) {
            breach(at, "the removal of node " + drain.node + " took " + drain.took(at) / MILLI + " ms of "
                    + drain.within / MILLI);
        }
    }

    private void close(long at, Open call) {
        if (open.remove(call) && lateAt.containsKey(call.node) && at - lateAt.get(call.node) > grace) {
            breach(at, "RPC " + call.rpc + " of copy " + call.copy + " was at node " + call.node + " for "
                    + (at - lateAt.get(call.node)) / MILLI + " ms after its time was over");
        }
    }

    private void breach(long at, String why) {
        breaches.add(new Breach(NAME, at, why));
    }

    @Override
    public void ended(long at) {
        List.copyOf(drains.keySet()).forEach(name -> over(name, at));
        List.copyOf(open).forEach(call -> close(at, call));
    }

    @Override
    public List<Breach> breaches() {
        return breaches;
    }
}
