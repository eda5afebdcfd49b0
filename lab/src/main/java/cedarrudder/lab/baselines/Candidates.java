package cedarrudder.lab.baselines;

import java.util.List;

/**
 * The nodes among which a pick chooses, for one attempt.
 *
 * @param <S> the pick's notes of a node
 */
interface Candidates<S> {

    /** All nodes that the list calls ready, in an order that is this replica's own. */
    List<EndpointView<S>> ready();

    /** Whether the rules let this attempt go to this node. */
    boolean may(EndpointView<S> member);

    /**
     * A random node to which the attempt may go, each with the same chance; null when there is
     * none.
     *
     * @param except one that is not to be drawn, or null
     */
    EndpointView<S> draw(EndpointView<S> except);
}
