package cedarrudder.lab.checker;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/**
 * After the faults end, all live replicas hold one view of who lives, and it is true, within a
 * stated time.
 */
public final class MembershipConvergence implements Invariant {

    private static final String NAME = "views";

    /**
     * Words after which what others hold of a replica may be wrong or right, and what it holds
     * itself.
     */
    private static final Set<String> OF_REPLICA =
            Set.of("started", "speaks", "silent", "ended", "stopped", "continued");

    private final long within;
    private final ProcessTimeline world = new ProcessTimeline();
    private final MembershipClaims beliefs = new MembershipClaims();
    private final List<Violation> breaches = new ArrayList<>();
    private long wrongs;
    private long wrongUntil = Long.MIN_VALUE;

    /**
     * @param within from the end of the faults, in nanoseconds
     */
    public MembershipConvergence(long within) {
        this.within = within;
    }

    @Override
    public void took(HistoryEvent event) {
        if (world.overAt() <= event.at() && wrongs > 0) {
            wrongUntil = event.at(); // what was so until now
        }
        boolean ofPair =
                event.what().equals("alive")
                        || event.what().equals("suspect")
                        || event.what().equals("dead");
        if (!ofPair && !OF_REPLICA.contains(event.what())) {
            world.took(event);
            return;
        }
        wrongs -= ofPair ? wrong(event.incarnation(), event) : wrongs(event.replica());
        world.took(event);
        beliefs.took(event);
        wrongs += ofPair ? wrong(event.incarnation(), event) : wrongs(event.replica());
    }

    /** Whether the belief that an event is about is wrong, as a number. */
    private int wrong(long incarnation, HistoryEvent event) {
        return world.speaking(event.replica()).contains(incarnation)
                        && wrong(event.replica(), incarnation, (int) event.number("about"))
                ? 1
                : 0;
    }

    /** Wrong beliefs of this replica and about it. Those of all others are as they were. */
    private long wrongs(int replica) {
        long found = 0;
        for (int other : world.replicas()) {
            for (long incarnation : world.speaking(replica)) {
                found += wrong(replica, incarnation, other) ? 1 : 0;
            }
            for (long incarnation : world.speaking(other)) {
                found += wrong(other, incarnation, replica) ? 1 : 0;
            }
        }
        return found;
    }

    private boolean wrong(int observer, long incarnation, int about) {
        return observer != about && beliefs.dead(incarnation, about) == world.speaks(about);
    }

    /** A belief of a live replica that is not so; empty where there is none. */
    private String wrong() {
        for (int observer : world.replicas()) {
            for (long incarnation : world.speaking(observer)) {
                for (int about : world.replicas()) {
                    if (wrong(observer, incarnation, about)) {
                        return "copy "
                                + observer
                                + " holds copy "
                                + about
                                + " as "
                                + (world.speaks(about)
                                        ? "dead, which runs"
                                        : "live, which doesn't run");
                    }
                }
            }
        }
        return "";
    }

    @Override
    public void ended(long at) {
        if (at < world.overAt() || at - world.overAt() < within) {
            breaches.add(new Violation(NAME, at, "the history ends before copies have to agree"));
            return;
        }
        String wrong = wrong();
        if (!wrong.isEmpty()) {
            breaches.add(new Violation(NAME, at, wrong));
        } else if (agreedAfter() > within) {
            breaches.add(
                    new Violation(
                            NAME,
                            wrongUntil,
                            "copies agreed only after " + agreedAfter() / 1_000_000 + " ms"));
        }
    }

    /** How long after the faults' end the last wrong belief went, in nanoseconds. */
    public long agreedAfter() {
        return wrongUntil < world.overAt() ? 0 : wrongUntil - world.overAt();
    }

    @Override
    public List<Violation> breaches() {
        return breaches;
    }
}
