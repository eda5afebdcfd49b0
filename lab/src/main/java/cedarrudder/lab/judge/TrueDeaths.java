package cedarrudder.lab.judge;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Whom copies hold as dead: a death is found within a stated time; one that runs and can be reached is not
 * held dead for longer than another, and not at all where nothing had happened to either for long and
 * nothing was lost; an old life is never believed again.
 */
public final class TrueDeaths implements Rule {

    /**
     * What is allowed, in nanoseconds.
     *
     * @param found a death is found by then
     * @param mended one that runs is held dead no longer, counted from when both were left in peace
     * @param settled what happened longer ago excuses no false death
     */
    public record Bounds(long found, long mended, long settled) { }

    private static final String NAME = "true deaths";

    private final Bounds bounds;
    private final World world = new World();
    private final Beliefs beliefs = new Beliefs();
    private final Map<Long, Long> buried = new HashMap<>();
    private final Map<Long, Long> wrongSince = new HashMap<>();
    private final List<Breach> breaches = new ArrayList<>();
    private long found;
    private long longestToFind;
    private long falseDeaths;

    public TrueDeaths(Bounds bounds) {
        this.bounds = bounds;
    }

    @Override
    public void took(Event event) {
        look(event);
        switch (event.what()) {
            case "alive", "suspect" -> believed(event);
            case "dead" -> buried(event);
            default -> { }
        }
        world.took(event);
        beliefs.took(event);
        if (event.what().equals("ended")) {
            buried.keySet().removeIf(key -> key >> 16 == event.life());
            wrongSince.keySet().removeIf(key -> key >> 16 == event.life());
        }
        look(event);
    }

    /** Looks at the pairs that an event is about; those of all others are as they were. */
    private void look(Event event) {
        switch (event.what()) {
            case "alive", "suspect", "dead" ->
                    look(event.at(), event.copy(), event.life(), (int) event.number("about"));
            case "speaks", "silent", "ended", "stopped", "continued", "flooded", "drained" -> look(event.at(),
                    event.copy());
            case "cut", "healed" -> {
                look(event.at(), event.copy());
                look(event.at(), (int) event.number("to"));
            }
            default -> { }
        }
    }

    /** Looks at all pairs with this copy in them. */
    private void look(long now, int copy) {
        for (int other : world.copies()) {
            if (other != copy) {
                world.speaking(copy).forEach(life -> look(now, copy, life, other));
                world.speaking(other).forEach(life -> look(now, other, life, copy));
            }
        }
    }

    private static long key(long life, int about) {
        return life << 16 | about;
    }

    private void believed(Event event) {
        Long grave = buried.get(key(event.life(), (int) event.number("about")));
        if (grave != null && event.number("number") <= grave) {
            breach(event.at(), "copy " + event.copy() + " believed copy " + event.text("about") + "'s life "
                    + event.text("number") + " again, which it had held as dead");
        }
    }

    private void buried(Event event) {
        int about = (int) event.number("about");
        buried.merge(key(event.life(), about), event.number("number"), Math::max);
        if (world.speaks(about)) {
            falseDeaths++;
            if (world.whole(event.copy(), about) && event.at() - world.peaceSince() > bounds.settled) {
                breach(event.at(), "copy " + event.copy() + " took copy " + about
                        + " for dead, and nothing had happened to any");
            }
        }
    }

    /** Looks at what was so of this pair up to now. */
    private void look(long now, int observer, long life, int about) {
        boolean dead = beliefs.dead(life, about);
        boolean wrong = world.speaks(observer) && world.whole(observer, about) && dead == world.speaks(about)
                && !world.forged(observer) && !world.forged(about);
        long key = key(life, about);
        Long since = wrong ? wrongSince.putIfAbsent(key, now) : wrongSince.remove(key);
        if (since == null) {
            return;
        }
        long peace = Math.max(since, Math.max(world.disturbedAt(observer), world.disturbedAt(about)));
        long bound = dead ? bounds.mended : bounds.found;
        if (!world.speaks(about)) {
            found += wrong ? 0 : 1;
            longestToFind = Math.max(longestToFind, now - peace);
        }
        if (now - peace > bound) {
            breach(now, "copy " + observer + " held copy " + about + (world.speaks(about)
                    ? " as dead, which ran and could be reached, for " : " as live, which didn't run, for ")
                    + (now - peace) / 1_000_000 + " ms");
            wrongSince.replace(key, now); // once for each such time
        }
    }

    private void breach(long at, String why) {
        breaches.add(new Breach(NAME, at, why));
    }

    @Override
    public void ended(long at) {
        world.copies().forEach(copy -> look(at, copy));
    }

    /** Deaths that a copy found, over pairs. */
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
    public List<Breach> breaches() {
        return breaches;
    }
}
