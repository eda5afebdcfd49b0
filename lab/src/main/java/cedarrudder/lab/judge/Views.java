package cedarrudder.lab.judge;

import java.util.ArrayList;
import java.util.List;

/** After the faults end, all live copies hold one view of who lives, and it is true, within a stated time. */
public final class Views implements Rule {

    private static final String NAME = "views";

    private final long within;
    private final World world = new World();
    private final Beliefs beliefs = new Beliefs();
    private final List<Breach> breaches = new ArrayList<>();
    private String wrong = "";
    private long wrongUntil = Long.MIN_VALUE;

    /** @param within from the end of the faults, in nanoseconds */
    public Views(long within) {
        this.within = within;
    }

    @Override
    public void took(Event event) {
        if (world.overAt() <= event.at() && !wrong().isEmpty()) {
            wrongUntil = event.at(); // what was so until now
        }
        world.took(event);
        beliefs.took(event);
    }

    /** A belief of a live copy that is not so; empty where there is none. */
    private String wrong() {
        for (int observer : world.copies()) {
            for (long life : world.speaking(observer)) {
                for (int about : world.copies()) {
                    if (about != observer && beliefs.dead(life, about) == world.speaks(about)) {
                        return "copy " + observer + " holds copy " + about + " as "
                                + (world.speaks(about) ? "dead, which runs" : "live, which doesn't run");
                    }
                }
            }
        }
        return "";
    }

    @Override
    public void ended(long at) {
        if (at < world.overAt() || at - world.overAt() < within) {
            breaches.add(new Breach(NAME, at, "the history ends before copies have to agree"));
            return;
        }
        wrong = wrong();
        if (!wrong.isEmpty()) {
            breaches.add(new Breach(NAME, at, wrong));
        } else if (agreedAfter() > within) {
            breaches.add(new Breach(NAME, wrongUntil, "copies agreed only after "
                    + agreedAfter() / 1_000_000 + " ms"));
        }
    }

    /** How long after the faults' end the last wrong belief went, in nanoseconds. */
    public long agreedAfter() {
        return wrongUntil < world.overAt() ? 0 : wrongUntil - world.overAt();
    }

    @Override
    public List<Breach> breaches() {
        return breaches;
    }
}
