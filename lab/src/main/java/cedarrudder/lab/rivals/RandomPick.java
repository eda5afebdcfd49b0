package cedarrudder.lab.rivals;

/**
 * A node at random, each with the same chance. Source: the base line of any balancer, as Envoy's
 * RANDOM.
 */
final class RandomPick implements Pick<Void> {

    @Override
    public Member<Void> choose(long now, Call call, Choice<Void> choice) {
        return choice.draw(null);
    }
}
