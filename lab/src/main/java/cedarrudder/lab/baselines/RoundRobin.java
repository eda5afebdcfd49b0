package cedarrudder.lab.baselines;

import java.util.List;

/**
 * One node after another. Source: Envoy's ROUND_ROBIN without weights, which also begins somewhere
 * at random so that replicas are out of step.
 */
final class RoundRobin implements Pick<Void> {
    private int next;

    @Override
    public EndpointView<Void> choose(long now, BaselineRequest call, Candidates<Void> choice) {
        List<EndpointView<Void>> ready = choice.ready();
        for (int i = 0; i < ready.size(); i++) {
            int at = Math.floorMod(next + i, ready.size());
            if (choice.may(ready.get(at))) {
                next = at + 1;
                return ready.get(at);
            }
        }
        return null;
    }
}
