package cedarrudder.lab.checker;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * F3: no replica uses a table past its lease, by its own words where it says since when that
 * counts; and whatever it says, none uses a table for longer than that lease after it could last
 * hear of a majority of the voters by any way.
 *
 * <p>It reads {@code table}, {@code lapsed}, {@code renewed}, {@code used}, {@code seated}, and
 * what {@link ProcessTimeline} knows of replicas and ways.
 */
public final class LeaseSafety implements Invariant {

    private static final String NAME = "F3";
    private static final long MILLI = 1_000_000L;

    /** The table of a process. */
    private record Held(long number, long lease) {}

    private final long underWay;
    private final MajorityContact contact = new MajorityContact();
    private final Map<Long, Held> held = new HashMap<>();

    /** From when on a process's lease counts, where it says that. */
    private final Map<Long, Long> since = new HashMap<>();

    private final List<Violation> breaches = new ArrayList<>();

    /**
     * @param underWay a word may be so old when it arrives; nanoseconds
     */
    public LeaseSafety(long underWay) {
        this.underWay = underWay;
    }

    @Override
    public void took(HistoryEvent event) {
        contact.took(event);
        switch (event.what()) {
            case "table" ->
                    held.put(
                            event.incarnation(),
                            new Held(event.number("number"), event.number("lease")));
            case "lapsed" -> held.remove(event.incarnation());
            case "renewed" ->
                    since.merge(event.incarnation(), event.at() - event.number("age"), Math::max);
            case "used" -> used(event);
            default -> {}
        }
    }

    private void used(HistoryEvent event) {
        Held table = held.get(event.incarnation());
        if (table == null || table.number != event.number("number")) {
            breach(
                    event,
                    "uses table "
                            + event.text("number")
                            + " and holds "
                            + (table == null ? "none" : table.number));
            return;
        }
        long late = event.at() - since.getOrDefault(event.incarnation(), event.at()) - table.lease;
        if (late > 0) {
            breach(
                    event,
                    "uses table " + table.number + " " + late / MILLI + " ms after its lease");
        }
        long apart =
                event.at() - contact.last(event.replica(), event.at()) - table.lease - underWay;
        if (apart > 0) {
            breach(
                    event,
                    "uses table "
                            + table.number
                            + " "
                            + apart / MILLI
                            + " ms after its lease, counted"
                            + " from when it could last hear of a majority");
        }
    }

    private void breach(HistoryEvent event, String why) {
        breaches.add(new Violation(NAME, event.at(), "copy " + event.replica() + " " + why));
    }

    @Override
    public List<Violation> breaches() {
        return breaches;
    }
}
