package cedarrudder.lab.judge;

import java.util.ArrayList;
import java.util.List;

/** At no time do two processes speak for one number. */
public final class OneVoice implements Rule {

    private final World world = new World();
    private final List<Breach> breaches = new ArrayList<>();

    @Override
    public void took(Event event) {
        world.took(event);
        if (event.what().equals("speaks") && world.speaking(event.copy()).size() > 1) {
            breaches.add(
                    new Breach(
                            "one voice",
                            event.at(),
                            "processes "
                                    + world.speaking(event.copy())
                                    + " speak for copy "
                                    + event.copy()));
        }
    }

    @Override
    public List<Breach> breaches() {
        return breaches;
    }
}
