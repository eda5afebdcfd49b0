package cedarrudder.lab.baselines;

/**
 * A node at random, each with the same chance. Source: the base line of any balancer, as Envoy's
 * RANDOM.
 */
final class RandomPick implements Pick<Void> {

    @Override
    public EndpointView<Void> choose(long now, BaselineRequest call, Candidates<Void> choice) {
        return choice.draw(null);
    }
}
