package cedarrudder.lab.checker;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Whom replicas hold as dead: a death is found within a stated time; one that runs and can be
 * reached is not held dead for longer than another, and not at all where nothing had happened to
 * either for long and nothing was lost; an old life is never believed again.
 */
public final class FailureDetection implements Invariant {

    /**
     * What is allowed, in nanoseconds.
     *
     * @param found a death is found by then
     * @param mended one that runs is held dead no longer, counted from when both were left in peace
     * @param settled what happened longer ago excuses no false death
     */
    public record Bounds(long found, long mended, long settled) {}

    private static final String NAME = "true deaths";

    private final Bounds bounds;
    private final ProcessTimeline world = new ProcessTimeline();
    private final MembershipClaims beliefs = new MembershipClaims();

    /** By the life that holds it, and whom it is about. */
    private final Map<Long, Map<Integer, Long>> buried = new HashMap<>();

    private final Map<Long, Map<Integer, Long>> wrongSince = new HashMap<>();
    private final List<Violation> breaches = new ArrayList<>();
    private long found;
    private long longestToFind;
    private long falseDeaths;

    public FailureDetection(Bounds bounds) {
        this.bounds = bounds;
    }

    @Override
    public void took(HistoryEvent event) {
        look(event);
        switch (event.what()) {
            case "alive", "suspect" -> believed(event);
            case "dead" -> buried(event);
            default -> {}
        }
        world.took(event);
        beliefs.took(event);
        if (event.what().equals("ended")) {
            buried.remove(event.incarnation());
            wrongSince.remove(event.incarnation());
        }
        look(event);
    }

    /** Looks at the pairs that an event is about; those of all others are as they were. */
    private void look(HistoryEvent event) {
        switch (event.what()) {
            case "alive", "suspect", "dead" ->
                    look(
                            event.at(),
                            event.replica(),
                            event.incarnation(),
                            (int) event.number("about"));
            case "speaks", "silent", "ended", "stopped", "continued", "flooded", "drained" ->
                    look(event.at(), event.replica());
            case "cut", "healed" -> {
                lookAround(event.at(), event.replica(), (int) event.number("to"));
                lookAround(event.at(), (int) event.number("to"), event.replica());
            }
            default -> {}
        }
    }

    /**
     * Looks at the one pair that a cut is about, and at all with this replica where so long nothing
     * had happened to it that a bound may be broken. This avoids a time that goes with the cube of
     * the replicas: halves are cut way by way.
     */
    private void lookAround(long now, int replica, int other) {
        if (now - world.disturbedAt(replica) > Math.min(bounds.found, bounds.mended)) {
            look(now, replica);
        } else {
            world.speaking(replica).forEach(incarnation -> look(now, replica, incarnation, other));
        }
    }

    /** Looks at all pairs with this replica in them. */
    private void look(long now, int replica) {
        for (int other : world.replicas()) {
            if (other != replica) {
                world.speaking(replica)
                        .forEach(incarnation -> look(now, replica, incarnation, other));
                world.speaking(other)
                        .forEach(incarnation -> look(now, other, incarnation, replica));
            }
        }
    }

    private void believed(HistoryEvent event) {
        Long grave =
                buried.getOrDefault(event.incarnation(), Map.of()).get((int) event.number("about"));
        if (grave != null && event.number("number") <= grave) {
            breach(
                    event.at(),
                    "copy "
                            + event.replica()
                            + " believed copy "
                            + event.text("about")
                            + "'s life "
                            + event.text("number")
                            + " again, which it had held as dead");
        }
    }

    private void buried(HistoryEvent event) {
        int about = (int) event.number("about");
        buried.computeIfAbsent(event.incarnation(), incarnation -> new HashMap<>())
                .merge(about, event.number("number"), Math::max);
        if (world.speaks(about)) {
            falseDeaths++;
            if (world.whole(event.replica(), about)
                    && event.at() - world.peaceSince() > bounds.settled) {
                breach(
                        event.at(),
                        "copy "
                                + event.replica()
                                + " took copy "
                                + about
                                + " for dead, and nothing had happened to any");
            }
        }
    }

    /** Looks at what was so of this pair up to now. */
    private void look(long now, int observer, long incarnation, int about) {
        boolean dead = beliefs.dead(incarnation, about);
        boolean wrong =
                world.speaks(observer)
                        && world.whole(observer, about)
                        && dead == world.speaks(about)
                        && !world.forged(observer)
                        && !world.forged(about);
        Map<Integer, Long> of = wrongSince.computeIfAbsent(incarnation, l -> new HashMap<>());
        Long since = wrong ? of.putIfAbsent(about, now) : of.remove(about);
        if (since == null) {
            return;
        }
        long peace =
                Math.max(since, Math.max(world.disturbedAt(observer), world.disturbedAt(about)));
        long bound = dead ? bounds.mended : bounds.found;
        if (!world.speaks(about)) {
            found += wrong ? 0 : 1;
            longestToFind = Math.max(longestToFind, now - peace);
        }
        if (now - peace > bound) {
            breach(
                    now,
                    "copy "
                            + observer
                            + " held copy "
                            + about
                            + (world.speaks(about)
                                    ? " as dead, which ran and could be reached, for "
                                    : " as live, which didn't run, for ")
                            + (now - peace) / 1_000_000
                            + " ms");
            of.replace(about, now); // once for each such time
        }
    }

    private void breach(long at, String why) {
        breaches.add(new Violation(NAME, at, why));
    }

    @Override
    public void ended(long at) {
        world.replicas().forEach(replica -> look(at, replica));
    }

    /** Deaths that a replica found, over pairs. */
    public long found() {
        return found;
    }

    /** The longest that one took to be found, in nanoseconds, in peace. */
    public long longestToFind() {
        return longestToFind;
    }

    /** Times that one that ran was taken for dead, with or without ground. */
    public long falseDeaths() {
        return falseDeaths;
    }

    @Override
    public List<Violation> breaches() {
        return breaches;
    }
}
