package cedarrudder.lab.checker;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * A3: what a replica hands on takes effect at most once, and the one final word on it is true:
 * committed under that number, or never.
 *
 * <p>It reads {@code started}, {@code handed} (proposal, sum of its content, which no other has),
 * {@code settled} (proposal, sum, outcome, and group and index where it is committed), {@code
 * loaded} (group, index, sum, state after it) and {@code restored} (state). A group that began
 * without what an older one decided may decide it once more: what counts is what led to one state.
 */
public final class AtMostOnceEffect implements Invariant {

    private final List<Violation> breaches = new ArrayList<>();
    private final Set<String> handed = new HashSet<>();
    private final Map<String, String> outcomes = new HashMap<>();
    private final Map<String, Set<String>> takenBy = new HashMap<>();
    private final Map<String, Set<String>> effects = new HashMap<>();
    private final Map<String, String> states = new HashMap<>();
    private final Map<String, HistoryEvent> refused = new HashMap<>();
    private final Set<String> loaded = new HashSet<>();

    @Override
    public void took(HistoryEvent event) {
        String process = event.replica() + ":" + event.incarnation();
        switch (event.what()) {
            case "started" -> states.put(process, "");
            case "handed" -> handed.add(event.text("sum"));
            case "settled" -> settled(event);
            case "restored" -> states.put(process, event.text("state"));
            case "loaded" -> {
                Set<String> before =
                        effects.getOrDefault(states.getOrDefault(process, ""), Set.of());
                String sum = event.text("sum");
                if (handed.contains(sum)) {
                    loaded.add(sum);
                    takenBy.computeIfAbsent(
                                    event.text("group") + " " + event.text("index"),
                                    n -> new HashSet<>())
                            .add(sum);
                    if (before.contains(sum)) {
                        breach(event, "loads " + sum + " twice, again at " + event.text("index"));
                    }
                }
                Set<String> after = new HashSet<>(before);
                after.add(sum);
                effects.put(event.text("state"), after);
                states.put(process, event.text("state"));
            }
            default -> {}
        }
    }

    private void settled(HistoryEvent event) {
        String outcome = event.text("outcome");
        String before = outcomes.put(event.text("proposal"), outcome);
        if (before != null && !before.equals("UNKNOWN")) {
            breach(event, event.text("proposal") + " is " + outcome + " after " + before);
        }
        if (outcome.equals("COMMITTED")
                && !takenBy.getOrDefault(event.text("group") + " " + event.text("index"), Set.of())
                        .contains(event.text("sum"))) {
            breach(event, event.text("proposal") + " is said to be committed where another is");
        }
        if (outcome.equals("NOT_TAKEN")) {
            refused.put(event.text("sum"), event);
        }
    }

    @Override
    public void ended(long at) {
        refused.forEach(
                (sum, event) -> {
                    if (loaded.contains(sum)) {
                        breach(
                                event,
                                event.text("proposal")
                                        + " was said not to be taken, and took effect");
                    }
                });
    }

    private void breach(HistoryEvent event, String why) {
        breaches.add(new Violation("A3", event.at(), "copy " + event.replica() + ": " + why));
    }

    @Override
    public List<Violation> breaches() {
        return breaches;
    }
}
