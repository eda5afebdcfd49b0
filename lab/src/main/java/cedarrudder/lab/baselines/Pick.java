package cedarrudder.lab.baselines;

import cedarrudder.balancer.BalancerSettings;
import cedarrudder.balancer.LoadBalancer.Actions;
import cedarrudder.balancer.LoadBalancer.LoadReport;
import cedarrudder.lab.policy.GroundTruth;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * The choice of a node: all in which the rivals differ. {@link BaselineBalancer} does the rest for
 * each of them.
 *
 * @param <S> what it notes of a node
 */
interface Pick<S> {

    /** Makes the pick of one replica. */
    interface Maker<S> {
        Pick<S> make(BalancerSettings settings, RandomGenerator random, GroundTruth truth);
    }

    /** Notes for a node that has just been listed, or has restarted. */
    default S fresh(long now) {
        return null;
    }

    /** Whether to take a request on that has just come. Textbook policies take all. */
    default boolean admits(long now, BaselineRequest call, Candidates<S> choice) {
        return true;
    }

    /**
     * The node for the next attempt, one that {@link Candidates#may} allows; null when there is
     * none.
     */
    EndpointView<S> choose(long now, BaselineRequest call, Candidates<S> choice);

    /** The ready nodes have changed. */
    default void changed(List<EndpointView<S>> ready) {}

    /** An attempt was sent; it is counted in {@code inFlight}. */
    default void sent(long now, BaselineRequest call, EndpointView<S> to) {}

    /** An attempt ended, whatever its outcome; it is no longer counted in {@code inFlight}. */
    default void ended(long now, BaselineRequest call, EndpointView<S> from, long latency) {}

    /** A node has reported its load. */
    default void reported(long now, EndpointView<S> of, LoadReport load) {}

    /** How often {@link #tick} is wanted, in nanoseconds; 0: never. */
    default long period() {
        return 0;
    }

    /** Comes once each period; may send probes. */
    default void tick(long now, List<EndpointView<S>> ready, Actions actions) {}
}
