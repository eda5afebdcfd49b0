package cedarrudder.lab.rivals;

import java.util.List;

/**
 * The nodes among which a pick chooses, for one attempt.
 *
 * @param <S> the pick's notes of a node
 */
interface Choice<S> {

    /** All nodes that the list calls ready, in an order that is this copy's own. */
    List<Member<S>> ready();

    /** Whether the rules let this attempt go to this node. */
    boolean may(Member<S> member);

    /**
     * A random node to which the attempt may go, each with the same chance; null when there is
     * none.
     *
     * @param except one that is not to be drawn, or null
     */
    Member<S> draw(Member<S> except);
}
