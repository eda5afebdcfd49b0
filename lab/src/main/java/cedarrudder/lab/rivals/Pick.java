package cedarrudder.lab.rivals;

import cedarrudder.Balancer.Actions;
import cedarrudder.Balancer.Load;
import cedarrudder.Balancer.Settings;
import cedarrudder.lab.policy.Truth;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * The choice of a node: all in which the rivals differ. {@link Textbook} does the rest for each of
 * them.
 *
 * @param <S> what it notes of a node
 */
interface Pick<S> {

    /** Makes the pick of one copy. */
    interface Maker<S> {
        Pick<S> make(Settings settings, RandomGenerator random, Truth truth);
    }

    /** Notes for a node that has just been listed, or has restarted. */
    default S fresh(long now) {
        return null;
    }

    /** Whether to take an RPC on that has just come. Textbook policies take all. */
    default boolean admits(long now, Call call, Choice<S> choice) {
        return true;
    }

    /**
     * The node for the next attempt, one that {@link Choice#may} allows; null when there is none.
     */
    Member<S> choose(long now, Call call, Choice<S> choice);

    /** The ready nodes have changed. */
    default void changed(List<Member<S>> ready) {}

    /** An attempt was sent; it is counted in {@code inFlight}. */
    default void sent(long now, Call call, Member<S> to) {}

    /** An attempt ended, whatever its outcome; it is no longer counted in {@code inFlight}. */
    default void ended(long now, Call call, Member<S> from, long latency) {}

    /** A node has reported its load. */
    default void reported(long now, Member<S> of, Load load) {}

    /** How often {@link #tick} is wanted, in nanoseconds; 0: never. */
    default long period() {
        return 0;
    }

    /** Comes once each period; may send probes. */
    default void tick(long now, List<Member<S>> ready, Actions actions) {}
}
