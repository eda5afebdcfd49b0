package cedarrudder.lab.baselines;

/**
 * Of two different nodes at random the one where this replica has fewer attempts out. Source: M.
 * Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", IEEE TPDS 12(10), 2001;
 * Envoy's LEAST_REQUEST with its default of two choices.
 */
final class LeastRequests implements Pick<Void> {

    @Override
    public EndpointView<Void> choose(long now, BaselineRequest call, Candidates<Void> choice) {
        EndpointView<Void> one = choice.draw(null);
        EndpointView<Void> other = one == null ? null : choice.draw(one);
        return other != null && other.inFlight < one.inFlight ? other : one;
    }
}
