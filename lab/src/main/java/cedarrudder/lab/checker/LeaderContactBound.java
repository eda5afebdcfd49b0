package cedarrudder.lab.checker;

import java.util.ArrayList;
import java.util.List;

/**
 * What leases rest on: no replica holds the last sure contact of a leader with a majority to be
 * younger than any of which word can have come to it.
 *
 * <p>It reads {@code sure} (since: what the replica believes, on the one clock of the run; reached:
 * what datagrams can have told it, on the same).
 */
public final class LeaderContactBound implements Invariant {

    private final List<Violation> breaches = new ArrayList<>();

    @Override
    public void took(HistoryEvent event) {
        if (event.what().equals("sure") && event.number("since") > event.number("reached")) {
            breaches.add(
                    new Violation(
                            "contact",
                            event.at(),
                            "copy "
                                    + event.replica()
                                    + " believes in a contact at "
                                    + event.text("since")
                                    + ", the last that it can know of "
                                    + "was at "
                                    + event.text("reached")));
        }
    }

    @Override
    public List<Violation> breaches() {
        return breaches;
    }
}
