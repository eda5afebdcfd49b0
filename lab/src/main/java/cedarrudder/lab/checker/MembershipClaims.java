package cedarrudder.lab.checker;

import java.util.HashMap;
import java.util.Map;

/**
 * Whom each process holds as dead, by its own words; before it says anything of a replica it holds
 * it as live.
 */
final class MembershipClaims {

    private final Map<Long, Map<Integer, Boolean>> byLife = new HashMap<>();

    void took(HistoryEvent event) {
        switch (event.what()) {
            case "alive", "suspect", "dead" ->
                    byLife.computeIfAbsent(event.incarnation(), l -> new HashMap<>())
                            .put((int) event.number("about"), event.what().equals("dead"));
            default -> {}
        }
    }

    boolean dead(long incarnation, int about) {
        return byLife.getOrDefault(incarnation, Map.of()).getOrDefault(about, false);
    }
}
