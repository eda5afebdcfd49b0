package cedarrudder.lab.checker;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * A2: one leader a term; a replica that forgot voted in nothing before its new life was committed.
 *
 * <p>It reads {@code started} (kept: 1 where the life begins with what the last one had stored),
 * {@code seated} (group, voters), {@code voted} (group, term, as: its life as a voter, for) and
 * {@code leads} (group, term, as).
 */
public final class SingleLeader implements Invariant {

    private final List<Violation> breaches = new ArrayList<>();
    private final Map<String, String> leaders = new HashMap<>();
    private final Map<String, String> votes = new HashMap<>();
    private final Set<String> seated = new HashSet<>();

    /**
     * The process in which a voter first spoke, and those that began with all that it had stored.
     */
    private final Map<String, Set<Long>> remembers = new HashMap<>();

    private final Map<Integer, Long> lastIncarnation = new HashMap<>();

    @Override
    public void took(HistoryEvent event) {
        switch (event.what()) {
            case "started", "joins" -> {
                if (!event.fields().containsKey("kept")) {
                    return; // the world's word of a process, which says itself when it takes part
                }
                boolean keeps = event.number("kept") == 1;
                Long before = lastIncarnation.put(event.replica(), event.incarnation());
                remembers.forEach(
                        (who, incarnations) -> {
                            if (keeps
                                    && incarnations.contains(before)
                                    && who.startsWith(event.replica() + ":")) {
                                incarnations.add(event.incarnation());
                            }
                        });
            }
            case "seated" -> {
                for (String voter : event.text("voters").split(",")) {
                    seated.add(event.text("group") + " " + voter);
                }
            }
            case "voted" -> voted(event);
            case "leads" -> {
                String who = event.replica() + ":" + event.text("as");
                String other = leaders.putIfAbsent(term(event), who);
                if (other != null && !other.equals(who)) {
                    breach(event, "leads " + term(event) + ", which " + other + " led");
                }
            }
            default -> {}
        }
    }

    private void voted(HistoryEvent event) {
        String who = event.replica() + ":" + event.text("as");
        if (!remembers
                .computeIfAbsent(who, w -> new HashSet<>(Set.of(event.incarnation())))
                .contains(event.incarnation())) {
            breach(event, "votes as " + who + ", of which it remembers nothing");
        }
        if (!seated.contains(event.text("group") + " " + who)) {
            breach(event, "votes as " + who + " before that was committed as a voter");
        }
        String other = votes.putIfAbsent(term(event) + " " + who, event.text("for"));
        if (other != null && !other.equals(event.text("for"))) {
            breach(
                    event,
                    "votes for " + event.text("for") + " and " + other + " in " + term(event));
        }
    }

    private static String term(HistoryEvent event) {
        return event.text("group") + " term " + event.text("term");
    }

    private void breach(HistoryEvent event, String why) {
        breaches.add(new Violation("A2", event.at(), "copy " + event.replica() + ": " + why));
    }

    @Override
    public List<Violation> breaches() {
        return breaches;
    }
}
