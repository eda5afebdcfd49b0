package cedarrudder.lab.checker;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * A1: one number, one table, whoever loaded it; numbers rise in each life; whatever was loaded had
 * been stored by a majority of the voters, each in the life in which it was a voter.
 *
 * <p>It reads {@code stored} (group, index, as: the life as a voter, sum, and voters where the
 * entry names them), {@code seated} (group, index, voters), {@code loaded} (group, index, sum of
 * the entry, state after it) and {@code restored} (group, index, state, as). Groups are texts that
 * sort as they follow one another; voters are {@code copy:life}, with commas between.
 */
public final class SingleTable implements Invariant {

    private record Place(String group, long index) {}

    /** Voters that an entry names, which may yet be taken back. */
    private record Proposed(Place place, String sum, Set<String> voters) {}

    private final long unwritten;
    private final List<Violation> breaches = new ArrayList<>();
    private final Map<Place, Long> firstStored = new HashMap<>();
    private final Map<Integer, List<Long>> kills = new HashMap<>();
    private final Map<Place, String> states = new HashMap<>();
    private final Map<Place, String> sums = new HashMap<>();
    private final Map<Place, Map<String, Set<String>>> stored = new HashMap<>();
    private final Map<String, Map<String, Long>> whole = new HashMap<>();
    private final Map<String, TreeMap<Long, Set<String>>> seated = new HashMap<>();
    private final Map<String, Set<Proposed>> proposed = new HashMap<>();
    private final Map<String, Place> newest = new HashMap<>();

    /** For histories without holes. */
    public SingleTable() {
        this(0);
    }

    /**
     * @param unwritten what a process that is killed did so shortly before may be missing from its
     *     history; nanoseconds. A voter killed so soon after an entry was first stored may have had
     *     it.
     */
    public SingleTable(long unwritten) {
        this.unwritten = unwritten;
    }

    @Override
    public void took(HistoryEvent event) {
        switch (event.what()) {
            case "doomed" ->
                    kills.computeIfAbsent(event.replica(), c -> new ArrayList<>()).add(event.at());
            case "stored" -> {
                firstStored.putIfAbsent(place(event), event.at());
                stored.computeIfAbsent(place(event), p -> new HashMap<>())
                        .computeIfAbsent(event.text("sum"), s -> new HashSet<>())
                        .add(event.replica() + ":" + event.text("as"));
                if (event.fields().containsKey("voters")) {
                    proposed.computeIfAbsent(event.text("group"), g -> new LinkedHashSet<>())
                            .add(new Proposed(place(event), event.text("sum"), voters(event)));
                }
            }
            case "seated" ->
                    seated.computeIfAbsent(event.text("group"), g -> new TreeMap<>())
                            .put(event.number("index"), voters(event));
            case "loaded" -> {
                Place place = place(event);
                same(event, place, sums, event.text("sum"), "entry");
                same(event, place, states, event.text("state"), "state");
                rises(event, place);
                remembered(event, place);
            }
            case "restored" -> {
                Place place = place(event);
                same(event, place, states, event.text("state"), "state");
                rises(event, place);
                whole.computeIfAbsent(place.group, g -> new HashMap<>())
                        .merge(event.replica() + ":" + event.text("as"), place.index, Math::max);
            }
            default -> {}
        }
    }

    private static Place place(HistoryEvent event) {
        return new Place(event.text("group"), event.number("index"));
    }

    private static Set<String> voters(HistoryEvent event) {
        return Set.of(event.text("voters").split(","));
    }

    private void same(
            HistoryEvent event, Place place, Map<Place, String> held, String found, String what) {
        String other = held.putIfAbsent(place, found);
        if (other != null && !other.equals(found)) {
            breach(event, "two of " + place + ": " + what + " " + other + " and " + found);
        }
    }

    private void rises(HistoryEvent event, Place place) {
        Place before = newest.put(event.replica() + ":" + event.incarnation(), place);
        if (before != null
                && (before.group.compareTo(place.group) > 0
                        || before.group.equals(place.group) && before.index >= place.index)) {
            breach(event, place + " after " + before);
        }
    }

    /**
     * By the voters of its index, or by later ones that had it with the entry that made them
     * voters.
     */
    private void remembered(HistoryEvent event, Place place) {
        Set<String> have = holders(place, event.text("sum"));
        TreeMap<Long, Set<String>> all = seated.getOrDefault(place.group, new TreeMap<>());
        Map.Entry<Long, Set<String>> then = all.floorEntry(place.index);
        boolean enough = then != null && majority(then.getValue(), have);
        for (Proposed later :
                enough ? Set.<Proposed>of() : proposed.getOrDefault(place.group, Set.of())) {
            if (later.place.index > place.index) {
                Set<String> both = holders(later.place, later.sum);
                both.retainAll(have);
                enough |= majority(later.voters, both);
            }
        }
        if (!enough) {
            breach(event, place + " loaded, but held only by " + have + " of " + all);
        }
    }

    private static boolean majority(Set<String> of, Set<String> have) {
        return of.stream().filter(have::contains).count() * 2 > of.size();
    }

    private Set<String> holders(Place place, String sum) {
        Set<String> have =
                new HashSet<>(stored.getOrDefault(place, Map.of()).getOrDefault(sum, Set.of()));
        whole.getOrDefault(place.group, Map.of())
                .forEach(
                        (who, upTo) -> {
                            if (upTo >= place.index) {
                                have.add(who);
                            }
                        });
        if (unwritten > 0 && firstStored.containsKey(place)) {
            // The life is not told of here, nor needed: a replica that comes back in another is no
            // voter yet.
            for (String voter : voters(place)) {
                if (killedWith(Integer.parseInt(voter.split(":")[0]), firstStored.get(place))) {
                    have.add(voter);
                }
            }
        }
        return have;
    }

    private Set<String> voters(Place place) {
        Map.Entry<Long, Set<String>> then =
                seated.getOrDefault(place.group, new TreeMap<>()).floorEntry(place.index);
        return then == null ? Set.of() : then.getValue();
    }

    private boolean killedWith(int replica, long stored) {
        return kills.getOrDefault(replica, List.of()).stream()
                .anyMatch(at -> at >= stored && at - stored <= unwritten);
    }

    private void breach(HistoryEvent event, String why) {
        breaches.add(new Violation("A1", event.at(), "copy " + event.replica() + ": " + why));
    }

    @Override
    public List<Violation> breaches() {
        return breaches;
    }
}
