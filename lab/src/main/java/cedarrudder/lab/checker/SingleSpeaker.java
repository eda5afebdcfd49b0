package cedarrudder.lab.checker;

import java.util.ArrayList;
import java.util.List;

/** At no time do two processes speak for one number. */
public final class SingleSpeaker implements Invariant {

    private final ProcessTimeline world = new ProcessTimeline();
    private final List<Violation> breaches = new ArrayList<>();

    @Override
    public void took(HistoryEvent event) {
        world.took(event);
        if (event.what().equals("speaks") && world.speaking(event.replica()).size() > 1) {
            breaches.add(
                    new Violation(
                            "one voice",
                            event.at(),
                            "processes "
                                    + world.speaking(event.replica())
                                    + " speak for copy "
                                    + event.replica()));
        }
    }

    @Override
    public List<Violation> breaches() {
        return breaches;
    }
}
