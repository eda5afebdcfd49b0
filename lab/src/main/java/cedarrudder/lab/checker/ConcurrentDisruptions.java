package cedarrudder.lab.checker;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * D1: never more nodes out at once than the strictest bound allows. A node is out from the first
 * word of any replica that it leaves until it is not listed any more, or was taken back and the
 * last replica that can hear of it has followed; and while it is dead, silent, or cold. A bound is
 * broken by a removal that begins where it is full, not by a node that dies.
 *
 * <p>It reads {@code bound}, {@code node}, {@code leaving}, {@code drain}, and which replicas can
 * be heard.
 */
public final class ConcurrentDisruptions implements Invariant {

    private record Bound(Set<String> nodes, long max) {}

    private final long known;
    private final ProcessTimeline world = new ProcessTimeline();
    private final DrainedNodes removed = new DrainedNodes();
    private final Map<String, Bound> bounds = new HashMap<>();
    private final Map<String, Long> downSince = new HashMap<>();

    /** Nodes whose removal is under way, is over, or was taken back, by the latest word. */
    private final Set<String> begun = new HashSet<>();

    private final Set<String> over = new HashSet<>();
    private final Set<String> returned = new HashSet<>();
    private final Set<String> told = new HashSet<>();
    private final List<Violation> breaches = new ArrayList<>();

    /**
     * @param known replicas need not know yet of a node that went down less long ago; nanoseconds
     */
    public ConcurrentDisruptions(long known) {
        this.known = known;
    }

    @Override
    public void took(HistoryEvent event) {
        switch (event.what()) {
            case "bound" ->
                    bounds.put(
                            event.text("name"),
                            new Bound(
                                    DrainedNodes.names(event.text("nodes")), event.number("most")));
            case "node" -> {
                if (event.text("mood").equals("well") || event.text("mood").equals("slow")) {
                    downSince.remove(event.text("node"));
                } else {
                    downSince.putIfAbsent(event.text("node"), event.at());
                }
            }
            case "leaving" -> {
                Set<String> nodes = DrainedNodes.names(event.text("nodes"));
                for (String node : List.copyOf(over)) {
                    if (removed.of(event.incarnation()).containsKey(node)
                            && !nodes.contains(node)
                            && lastToKeep(event, node)) {
                        over.remove(node);
                        returned.add(node); // one that begins anew goes through all of it once more
                    }
                }
                Set<String> before = out(event.incarnation(), nodes);
                for (String node : nodes) {
                    // Not what was taken back: this avoids holding it against a replica that is
                    // behind.
                    if (!over.contains(node) && !returned.contains(node) && before.add(node)) {
                        check(event, before, node);
                    }
                }
            }
            case "drain" -> drain(event);
            default -> {}
        }
        world.took(event);
        removed.took(event);
    }

    private void drain(HistoryEvent event) {
        String node = event.text("node");
        if (!told.add(event.text("wave") + " " + node + " " + event.text("event"))) {
            return; // another replica has said it
        }
        switch (event.text("event")) {
            case "begun" -> {
                over.remove(node);
                returned.remove(node);
                Set<String> before = out(0, Set.of());
                begun.add(node);
                if (before.add(node)) {
                    check(event, before, node);
                }
            }
            case "gone" -> {
                begun.remove(node);
                over.add(node);
            }
            case "cancelled", "given-up", "stopped", "restarted-back" -> {
                begun.remove(node);
                returned.add(node);
            }
            default -> {}
        }
    }

    /** Whether no other process keeps this node out. */
    private boolean lastToKeep(HistoryEvent event, String node) {
        return world.replicas().stream()
                .flatMap(replica -> world.speaking(replica).stream())
                .noneMatch(
                        incarnation ->
                                incarnation != event.incarnation()
                                        && removed.of(incarnation).containsKey(node));
    }

    /** All that are out by a decision; of what one process kept out only these count. */
    private Set<String> out(long process, Set<String> still) {
        Set<String> out = new HashSet<>(begun);
        for (int replica : world.replicas()) {
            if (world.speaks(replica) && !world.apart(replica)) {
                world.speaking(replica)
                        .forEach(
                                incarnation ->
                                        removed.of(incarnation).keySet().stream()
                                                .filter(
                                                        node ->
                                                                incarnation != process
                                                                        || still.contains(node))
                                                .forEach(out::add));
            }
        }
        out.removeAll(over);
        return out;
    }

    /** Holds those that are out, this node among them, against the bounds that it is under. */
    private void check(HistoryEvent event, Set<String> decided, String node) {
        bounds.forEach(
                (name, bound) -> {
                    Set<String> out = new TreeSet<>(decided);
                    downSince.forEach(
                            (down, since) -> {
                                if (event.at() - since > known) {
                                    out.add(down);
                                }
                            });
                    out.retainAll(bound.nodes);
                    if (bound.nodes.contains(node) && out.size() > bound.max) {
                        breaches.add(
                                new Violation(
                                        "D1",
                                        event.at(),
                                        "copy "
                                                + event.replica()
                                                + " takes node "
                                                + node
                                                + " out, which makes "
                                                + out
                                                + " of "
                                                + name
                                                + ", where "
                                                + bound.max
                                                + " may be"));
                    }
                });
    }

    @Override
    public List<Violation> breaches() {
        return breaches;
    }
}
