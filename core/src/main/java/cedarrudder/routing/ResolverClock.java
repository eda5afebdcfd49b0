package cedarrudder.routing;

import cedarrudder.Balancer.Settings;
import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * When discovery is asked, and when what was asked counts as lost: for the watch, or for one call for the
 * whole list. Pure: events with their time in nanoseconds come in, actions go out; a call is a number.
 *
 * <p>An object or an empty line that is whole counts as life, and so does the first byte of an object, once.
 * Guards against a watch that goes on with pieces of an object that never ends. So a watch is lost at the
 * latest {@code watch + spread} after its last byte, and is opened anew at once. A call without an answer is
 * made a second time, on another connection, and the first is waited for all the same: who queues at a busy
 * discovery loses no place. No more than two are out at a time.
 *
 * <p>Once all has failed, {@link Actions#failed} tells the module, which asks again, later each time; but so
 * late as {@link #longest} at the latest the watch is asked for in any case. Of what fails then the module,
 * whose turn is still to come, hears nothing: guards against two turns of its own for one.
 */
public final class ResolverClock {

    /**
     * So much of the time in which one must have asked, which counts anew when discovery is back. The rest is
     * for a call that waits and a connection that comes up late.
     */
    private static final double LONGEST = 0.6;

    /** Where lists are pushed: what the agent has counts at once, and it serves this machine alone. */
    private static final long LONGEST_PUSHED = 750_000_000L;

    private static final long NEVER = Long.MAX_VALUE;

    /** What comes of the events. */
    public interface Actions {

        /** Makes a call, on a connection of its own. */
        void open(int call);

        /** Gives a call up; {@code why} is null where nothing failed and another takes its place. */
        void drop(int call, String why);

        /** Wants {@link ResolverClock#due} at an instant; an earlier wish no longer counts. */
        void wake(long at);

        /** Nothing that was asked is left to wait for. */
        void failed();
    }

    private static final class Ask {
        private final int number;
        private final long openedAt;
        private final long spread;
        private long heardAt;
        private boolean alive;

        Ask(int number, long now, long spread) {
            this.number = number;
            this.openedAt = now;
            this.spread = spread;
        }

        void heard(long now) {
            heardAt = now;
            alive = true;
        }

        long overAt(ResolverPatience patience) {
            return alive ? heardAt + patience.watch() + spread : openedAt + patience.call();
        }
    }

    private final boolean follows;
    private final long longest;
    private final RandomGenerator random;
    private final Actions actions;
    private ResolverPatience patience;

    /** Calls without an answer, the oldest first. */
    private final List<Ask> asked = new ArrayList<>(2);

    /** The watch that tells; while discovery moves, the one at its former address. */
    private Ask standing;
    private boolean wanted;
    private boolean moving;
    private boolean twice;
    private boolean untold;
    private long retryAt = NEVER;
    private long armed = NEVER;
    private int last;

    /**
     * @param follows whether it is the watch that is asked for, else one whole list
     * @param longest at most so long after a failure the watch is asked for again; 0 where others see to it
     */
    public ResolverClock(boolean follows, long longest, ResolverPatience patience, RandomGenerator random,
            Actions actions) {
        this.follows = follows;
        this.longest = longest;
        this.patience = patience;
        this.random = random;
        this.actions = actions;
    }

    /** The longest wait after a failure at a site. */
    public static long longest(Settings settings) {
        return settings.askForEndpoints() ? (long) (LONGEST * settings.safety().askWithin()) : LONGEST_PUSHED;
    }

    /** These figures count from now on; a wait that has begun may last for as long as it was to. */
    public void apply(ResolverPatience next) {
        patience = next;
    }

    /** Whether the watch stands, or is asked for. */
    public boolean busy() {
        return standing != null || !asked.isEmpty();
    }

    /** The list is wanted. Without effect while it is asked for, or told. */
    public void ask(long now) {
        wanted = true;
        if (asked.isEmpty() && (standing == null || moving)) {
            begin(now);
        }
    }

    /**
     * Discovery has moved: it is asked at its new address at once, also where a failed call at the old one is
     * to be made again only later. A watch that stands tells on until the new one does.
     */
    public void move(long now) {
        if (wanted) {
            dropAsked();
            moving = standing != null;
            begin(now);
        }
    }

    /** The list is no longer wanted. */
    public void end() {
        wanted = false;
        moving = false;
        retryAt = NEVER;
        dropAsked();
        dropStanding(null);
    }

    /** The first byte of an object came. */
    public void begun(long now, int call) {
        if (stands(call)) {
            standing.heard(now);
        }
    }

    /** An empty line came: nothing has changed. It doesn't speak for an address at which nothing was told. */
    public void blank(long now, int call) {
        if (!moving || stands(call)) {
            told(now, call);
            return;
        }
        Ask ask = asked(call);
        if (ask != null) {
            ask.heard(now);
        }
    }

    /** An object of the list came whole, and could be read. What else was asked is no longer needed. */
    public void told(long now, int call) {
        if (stands(call)) {
            standing.heard(now);
            arm();
            return;
        }
        Ask ask = asked(call);
        if (ask != null) {
            asked.remove(ask);
            dropAsked();
            dropStanding(null);
            moving = false;
            untold = false;
            wanted = follows;
            if (follows) {
                standing = ask;
                ask.heard(now);
                arm();
            }
        }
    }

    /** A call ended, or can't be made or read. */
    public void broke(long now, int call) {
        if (stands(call)) {
            standing = null;
            lost(now);
        } else if (asked.remove(asked(call)) && asked.isEmpty()) {
            failed(now);
        }
    }

    /** The instant that was wished for has come, or is past. */
    public void due(long now) {
        armed = NEVER;
        if (retryAt <= now) {
            begin(now);
            untold = true;
        }
        if (standing != null && now >= standing.overAt(patience)) {
            dropStanding("silent");
            if (!moving && asked.isEmpty()) {
                begin(now);
            }
            moving = false;
        }
        boolean waited = !asked.isEmpty();
        for (Ask ask : List.copyOf(asked)) {
            if (now >= ask.overAt(patience)) {
                asked.remove(ask);
                actions.drop(ask.number, "silent");
            }
        }
        if (waited && asked.isEmpty()) {
            failed(now);
        } else if (now >= againAt()) {
            twice = true;
            open(now);
        }
        arm();
    }

    private void begin(long now) {
        twice = false;
        untold = false;
        retryAt = NEVER;
        open(now);
    }

    private void open(long now) {
        Ask ask = new Ask(++last, now, (long) (random.nextDouble() * patience.spread()));
        asked.add(ask);
        arm();
        actions.open(ask.number);
    }

    /** The watch at a former address was to end; the one that takes its place reports for both. */
    private void lost(long now) {
        boolean former = moving;
        moving = false;
        if (!former && asked.isEmpty()) {
            failed(now);
        }
    }

    private void failed(long now) {
        if (longest > 0) {
            retryAt = now + longest - (long) (random.nextDouble() * longest / 2);
            arm();
        }
        if (!untold) {
            actions.failed();
        }
    }

    private boolean stands(int call) {
        return standing != null && standing.number == call;
    }

    private Ask asked(int call) {
        return asked.stream().filter(ask -> ask.number == call).findFirst().orElse(null);
    }

    private void dropAsked() {
        asked.forEach(ask -> actions.drop(ask.number, null));
        asked.clear();
    }

    private void dropStanding(String why) {
        if (standing != null) {
            actions.drop(standing.number, why);
            standing = null;
        }
    }

    private long againAt() {
        return twice || asked.isEmpty() || asked.get(0).alive ? NEVER
                : asked.get(0).openedAt + patience.again();
    }

    private void arm() {
        long next = Math.min(retryAt, againAt());
        if (standing != null) {
            next = Math.min(next, standing.overAt(patience));
        }
        for (Ask ask : asked) {
            next = Math.min(next, ask.overAt(patience));
        }
        if (next < armed) {
            armed = next;
            actions.wake(next);
        }
    }
}
