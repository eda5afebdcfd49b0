package cedarrudder.lab.checker;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * D2: nothing new comes to a node a stated time after the replica took it out; none is said to be
 * empty while a live replica has calls there; and of none it is left open past its time what
 * becomes of it.
 *
 * <p>It reads {@code leaving} and {@code drain} of the replicas, {@code reached} and {@code served}
 * of the nodes, {@code answered} and {@code broke} of the clients. A replica with two processes is
 * held to what both had heard. One that runs is not live where it stands still, or is held as dead
 * by who says so.
 */
public final class DrainInvariants implements Invariant {

    private static final String NAME = "D2";
    private static final long MILLI = 1_000_000L;

    /** A removal under way. */
    private record Drain(String node, long within, long begunAt) {}

    /** A call attempt at a node. */
    private record Open(String node, String request, int replica) {}

    private final long stops;
    private final long grace;
    private final ProcessTimeline world = new ProcessTimeline();
    private final MembershipClaims beliefs = new MembershipClaims();
    private final DrainedNodes removed = new DrainedNodes();
    private final Map<String, Drain> drains = new HashMap<>();
    private final Set<String> told = new HashSet<>();
    private final Set<Open> open = new HashSet<>();
    private final Map<String, Set<Open>> openOf = new HashMap<>();
    private final List<Violation> breaches = new ArrayList<>();

    /**
     * @param stops nothing new reaches a node this long after a replica had the word; nanoseconds
     * @param grace what becomes of a removal is said this long after its time at the latest;
     *     nanoseconds
     */
    public DrainInvariants(long stops, long grace) {
        this.stops = stops;
        this.grace = grace;
    }

    @Override
    public void took(HistoryEvent event) {
        switch (event.what()) {
            case "reached" -> {
                reached(event);
                Open call = open(event);
                open.add(call);
                openOf.computeIfAbsent(call.request, r -> new HashSet<>()).add(call);
            }
            case "served" -> {
                Open call = open(event);
                open.remove(call);
                openOf.computeIfPresent(
                        call.request,
                        (request, calls) -> calls.remove(call) && calls.isEmpty() ? null : calls);
            }
            case "answered", "broke" -> {
                Set<Open> of = openOf.remove(event.text("rpc"));
                if (of != null) {
                    open.removeAll(of);
                }
            }
            case "drain" -> {
                if (told.add(
                        event.text("wave")
                                + " "
                                + event.text("node")
                                + " "
                                + event.text("event"))) {
                    drain(event, event.text("wave") + " " + event.text("node"));
                }
            }
            default -> {}
        }
        world.took(event);
        beliefs.took(event);
        removed.took(event);
        if (event.what().equals("ended") && world.running(event.replica()).isEmpty()) {
            open.removeIf(call -> call.replica == event.replica());
        }
    }

    private static Open open(HistoryEvent event) {
        return new Open(event.text("node"), event.text("rpc"), event.replica());
    }

    private void reached(HistoryEvent event) {
        Set<Long> incarnations = world.running(event.replica());
        long since = incarnations.isEmpty() ? Long.MAX_VALUE : Long.MIN_VALUE;
        for (long incarnation : incarnations) {
            since =
                    Math.max(
                            since,
                            removed.of(incarnation)
                                    .getOrDefault(event.text("node"), Long.MAX_VALUE));
        }
        if (since != Long.MAX_VALUE && event.at() - since > stops) {
            breach(
                    event.at(),
                    "RPC "
                            + event.text("rpc")
                            + " of copy "
                            + event.replica()
                            + " reached node "
                            + event.text("node")
                            + " "
                            + (event.at() - since) / MILLI
                            + " ms after the copy knew that it leaves");
        }
    }

    private void drain(HistoryEvent event, String name) {
        switch (event.text("event")) {
            case "begun" ->
                    drains.put(
                            name,
                            new Drain(event.text("node"), event.number("within"), event.at()));
            case "empty" -> {
                empty(event);
                over(name, event.at());
            }
            case "let-go",
                    "given-up",
                    "alarmed",
                    "cancelled",
                    "stopped",
                    "restarted-back",
                    "gone" ->
                    over(name, event.at());
            default -> {}
        }
    }

    private void empty(HistoryEvent event) {
        for (Open call : open) {
            if (call.node.equals(event.text("node"))
                    && world.speaks(call.replica)
                    && !beliefs.dead(event.incarnation(), call.replica)) {
                breach(
                        event.at(),
                        "copy "
                                + event.replica()
                                + " says that node "
                                + call.node
                                + " is empty while RPC "
                                + call.request
                                + " of copy "
                                + call.replica
                                + " is there");
            }
        }
    }

    private void over(String name, long at) {
        Drain drain = drains.remove(name);
        if (drain != null && at - drain.begunAt > drain.within + grace) {
            breach(
                    at,
                    "the removal of node "
                            + drain.node
                            + " was under way for "
                            + (at - drain.begunAt) / MILLI
                            + " ms of "
                            + drain.within / MILLI);
        }
    }

    private void breach(long at, String why) {
        breaches.add(new Violation(NAME, at, why));
    }

    @Override
    public void ended(long at) {
        List.copyOf(drains.keySet()).forEach(name -> over(name, at));
    }

    @Override
    public List<Violation> breaches() {
        return breaches;
    }
}
