package cedarrudder.lab.checker;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/** Which nodes each process keeps out by common decision, by its own words, and since when. */
final class DrainedNodes {

    private final Map<Long, Map<String, Long>> byLife = new HashMap<>();

    void took(HistoryEvent event) {
        if (event.what().equals("ended")) {
            byLife.remove(event.incarnation());
        } else if (event.what().equals("leaving")) {
            Map<String, Long> of =
                    byLife.computeIfAbsent(event.incarnation(), incarnation -> new HashMap<>());
            Set<String> now = names(event.text("nodes"));
            of.keySet().retainAll(now);
            now.forEach(node -> of.putIfAbsent(node, event.at()));
        }
    }

    static Set<String> names(String text) {
        return text.isEmpty() ? Set.of() : Set.of(text.split(","));
    }

    /** The nodes that a process keeps out, each with the instant since when. */
    Map<String, Long> of(long incarnation) {
        return byLife.getOrDefault(incarnation, Map.of());
    }
}
