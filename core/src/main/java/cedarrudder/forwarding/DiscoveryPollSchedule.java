package cedarrudder.forwarding;

import cedarrudder.balancer.LoadBalancer.BalancerSettings;
import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * When discovery is asked, and when what was asked counts as lost: for the watch, or for one call
 * for the whole list. Pure: events with their time in nanoseconds come in, actions go out; a call
 * is a number.
 *
 * <p>An object or an empty line that is whole counts as life, and so does the first byte of an
 * object, once. Guards against a watch that goes on with pieces of an object that never ends. So a
 * watch is lost at the latest {@code watch + spread} after its last byte, and is opened anew at
 * once. While no call has an answer one more is made each {@code again} (a hedged request), on
 * another connection, and those before are waited for all the same: who queues at a busy discovery
 * loses no place. So {@code call / again} and one are out at a time at the most; of a whole list
 * two. For the next of them a spare connection is dialled while the one before has no answer:
 * guards against two connections in a row that come up late.
 *
 * <p>Once all has failed the watch is asked for after a backoff with jitter: {@code spread} at the
 * most where a watch ended, a quarter of it where the first call failed or the last fell silent,
 * then {@link #longest}. The cap is low: guards against a list that is late once discovery is back,
 * however long it was away. {@link Actions#failed} tells the module once for all that fails until
 * the watch is told again; its own waits neither lengthen nor shorten these.
 */
public final class DiscoveryPollSchedule {

    /**
     * The backoff's cap, in nanoseconds. Guards against a change that is told over 6 s after
     * discovery is back: the cap, a connection that comes up a second late and a refusal, and all
     * of these once more, take 5.1 s.
     */
    private static final long LONGEST = 1_500_000_000L;

    /**
     * So much of the time in which one must have asked at the most. The rest is for a call that
     * waits and a connection that comes up late.
     */
    private static final double LONGEST_PART = 0.6;

    /**
     * Where lists are pushed: what the agent has counts at once, and it serves this machine alone.
     */
    private static final long LONGEST_PUSHED = 750_000_000L;

    /**
     * So much of the cap is by chance. Guards against a storm: with what is left no copy calls
     * twice in a second, and with the chance copies that failed together drift apart.
     */
    private static final double JITTER = 1.0 / 3;

    /** The connection attempt delay that RFC 8305, 5 recommends, in nanoseconds. */
    private static final long DIAL = 250_000_000L;

    private static final long NEVER = Long.MAX_VALUE;

    /** What comes of the events. */
    public interface Actions {

        /** Makes a call, on a connection of its own, the spare one if there is one. */
        void open(int call);

        /** Dials a spare connection, or closes the one there is. */
        void spare(boolean wanted);

        /**
         * Gives a call up; {@code why} is null where nothing failed and another takes its place.
         */
        void drop(int call, String why);

        /**
         * Wants {@link DiscoveryPollSchedule#due} at an instant; an earlier wish no longer counts.
         */
        void wake(long at);

        /** Nothing that was asked is left to wait for. */
        void failed();
    }

    private static final class Ask {
        private final int number;
        private final long openedAt;
        private final long spread;
        private long heardAt;
        private boolean up;
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

        long overAt(DiscoveryTimeouts patience) {
            return alive ? heardAt + patience.watch() + spread : openedAt + patience.call();
        }
    }

    private final boolean follows;
    private final long longest;
    private final RandomGenerator random;
    private final Actions actions;
    private DiscoveryTimeouts patience;

    /** Calls without an answer, the oldest first. */
    private final List<Ask> asked = new ArrayList<>(2);

    /** The watch that tells; while discovery moves, the one at its former address. */
    private Ask standing;

    private boolean wanted;
    private boolean moving;
    private boolean reported;
    private int failures;

    /**
     * Whether discovery ended what went wrong last, by a refusal or a close: it is there, maybe
     * busy.
     */
    private boolean answers;

    /** When one more call is made, unless there is an answer by then. */
    private long nextAt = NEVER;

    private long dialAt = NEVER;
    private long armed = NEVER;
    private int last;

    /**
     * @param follows whether it is the watch that is asked for, else one whole list
     * @param longest at most so long after a failure it is asked for again, in nanoseconds; 0 where
     *     others see to it
     */
    public DiscoveryPollSchedule(
            boolean follows,
            long longest,
            DiscoveryTimeouts patience,
            RandomGenerator random,
            Actions actions) {
        this.follows = follows;
        this.longest = longest;
        this.patience = patience;
        this.random = random;
        this.actions = actions;
    }

    /** The backoff's cap at a site, in nanoseconds. */
    public static long longest(BalancerSettings settings) {
        return settings.askForEndpoints()
                ? Math.min(LONGEST, (long) (LONGEST_PART * settings.safety().askWithin()))
                : LONGEST_PUSHED;
    }

    /** These figures count from now on; a wait that has begun may last for as long as it was to. */
    public void apply(DiscoveryTimeouts next) {
        patience = next;
    }

    /** Whether the watch stands, or is asked for. */
    public boolean busy() {
        return standing != null || !asked.isEmpty();
    }

    /**
     * The list is wanted. Without effect while it is asked for, told, or soon to be asked for
     * again.
     */
    public void ask(long now) {
        wanted = true;
        if (asked.isEmpty() && (standing == null || moving) && nextAt == NEVER) {
            reported = false;
            open(now);
        }
    }

    /**
     * Discovery has moved: it is asked at its new address at once, also where a failed call at the
     * old one is to be made again only later. A watch that stands tells on until the new one does.
     */
    public void move(long now) {
        if (wanted) {
            dropAsked();
            moving = standing != null;
            failures = 0;
            answers = false; // of the new address nothing is known
            open(now);
        }
    }

    /** The list is no longer wanted. */
    public void end() {
        wanted = false;
        moving = false;
        nextAt = NEVER;
        dialAt = NEVER;
        actions.spare(false);
        dropAsked();
        dropStanding(null);
    }

    /** The connection of a call is up: it may have a place in discovery's queue from now on. */
    public void connected(int call) {
        Ask ask = asked(call);
        if (ask != null) {
            ask.up = true;
        }
    }

    /** The first byte of an object came. */
    public void begun(long now, int call) {
        if (stands(call)) {
            standing.heard(now);
        }
    }

    /**
     * An empty line came: nothing has changed. It doesn't speak for an address at which nothing was
     * told.
     */
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

    /**
     * An object of the list came whole, and could be read. What else was asked is no longer needed.
     */
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
            reported = false;
            nextAt = NEVER;
            dialAt = NEVER;
            actions.spare(false);
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
            lost(now);
            return;
        }
        Ask ask = asked(call);
        answers |= ask != null && ask.up;
        if (asked.remove(ask) && asked.isEmpty()) {
            failed(now, patience.spread() / 4); // calls are spread already
        }
    }

    /** The instant that was wished for has come, or is past. */
    public void due(long now) {
        armed = NEVER;
        if (standing != null && now >= standing.overAt(patience)) {
            answers = false;
            dropStanding("silent");
            if (!moving) {
                failures = 0;
                nextAt = now;
            }
            moving = false;
        }
        boolean waited = !asked.isEmpty();
        for (Ask ask : List.copyOf(asked)) {
            if (now >= ask.overAt(patience)) {
                answers = false;
                asked.remove(ask);
                actions.drop(ask.number, "silent");
            }
        }
        if (waited && asked.isEmpty()) {
            failures = 0; // guards against a wait on top of a whole patience, in which nothing was
            // called
            failed(now, patience.spread() / 4); // calls are spread already
        }
        if (now >= callAt()) {
            open(now);
        } else if (now >= dialAt) {
            dialAt = NEVER;
            actions.spare(!queues());
        }
        arm();
    }

    /**
     * Guards against a storm when the network is back: of the calls that wait for a connection only
     * the newest is kept, since what was lost of the others is sent again too.
     */
    private void open(long now) {
        for (Ask ask : List.copyOf(asked)) {
            if (!ask.up) {
                asked.remove(ask);
                actions.drop(ask.number, null);
            }
        }
        Ask ask = new Ask(++last, now, (long) (random.nextDouble() * patience.spread()));
        asked.add(ask);
        nextAt = longest > 0 || asked.size() == 1 ? now + patience.again() : NEVER;
        dialAt = longest > 0 ? now + DIAL : NEVER;
        arm();
        actions.open(ask.number);
    }

    /** The watch at a former address was to end; the one that takes its place reports for both. */
    private void lost(long now) {
        if (now - standing.openedAt >= longest) {
            failures = 0; // else one that ends as soon as it has told would be asked for without a
            // pause
        }
        standing = null;
        if (!moving) {
            answers = true;
            failed(now, patience.spread());
        }
        moving = false;
    }

    /**
     * @param first at most so long the backoff is where nothing failed before, in nanoseconds
     */
    private void failed(long now, long first) {
        nextAt = longest > 0 ? now + backoff(Math.min(first, longest)) : NEVER;
        dialAt = NEVER;
        arm();
        if (!reported) {
            reported = longest > 0;
            actions.failed();
        }
    }

    private long backoff(long first) {
        return failures++ == 0
                ? (long) (random.nextDouble() * first)
                : longest - (long) (random.nextDouble() * JITTER * longest);
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

    /** None is made beside one that is alive, or has its place. */
    private long callAt() {
        return queues() || asked.stream().anyMatch(ask -> ask.alive) ? NEVER : nextAt;
    }

    /**
     * Whether a call has a place in the queue of a discovery that is there. Guards against a storm
     * of hedged calls: at one that serves a few in a second, each copy's second call makes all wait
     * twice as long.
     */
    private boolean queues() {
        return answers && asked.stream().anyMatch(ask -> ask.up);
    }

    private void arm() {
        long next = Math.min(callAt(), dialAt);
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
