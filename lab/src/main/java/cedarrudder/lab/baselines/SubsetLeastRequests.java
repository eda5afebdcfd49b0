package cedarrudder.lab.baselines;

import cedarrudder.balancer.BalancerSettings;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Each replica sends only to a subset of the nodes, and there to the one where it has fewest
 * attempts out, at random among equals. Source: deterministic subsetting in Beyer et al., "Site
 * Reliability Engineering", O'Reilly 2016, chapter 20, with least requests inside the subset as
 * there.
 *
 * <p>Replicas come in rounds of as many as there are subsets. The replicas of a round shuffle the
 * nodes alike and cut the order in subsets, one for each; the next round shuffles anew. Here the
 * shuffle is a sort by a number made of node and round, so that a change of the list moves few
 * nodes. A subset has {@link #MIN} nodes, or more where so few replicas come that nodes would be
 * left out: as many as that two rounds of replicas cover them all. Where none of the subset may
 * take an attempt, any node may.
 */
final class SubsetLeastRequests implements Pick<Void> {

    /** Nodes in a subset at least; Finagle's for its deterministic aperture. */
    static final int MIN = 12;

    private record Placed(EndpointView<Void> member, long order) {}

    private final BalancerSettings settings;
    private final RandomGenerator random;
    private final List<EndpointView<Void>> subset = new ArrayList<>();

    SubsetLeastRequests(BalancerSettings settings, RandomGenerator random) {
        this.settings = settings;
        this.random = random;
    }

    @Override
    public void changed(List<EndpointView<Void>> ready) {
        subset.clear();
        int replicas = Math.max(1, settings.replicas());
        int size =
                Math.min(ready.size(), Math.max(MIN, (2 * ready.size() + replicas - 1) / replicas));
        if (size == 0) {
            return;
        }
        int subsets = ready.size() / size;
        long round = settings.self() / subsets;
        List<Placed> order = new ArrayList<>();
        for (EndpointView<Void> member : ready) {
            order.add(new Placed(member, scramble(member.id + scramble(round + 1))));
        }
        order.sort(Comparator.comparingLong(Placed::order).thenComparingLong(p -> p.member().id));
        int from = settings.self() % subsets * size;
        for (int i = 0; i < size; i++) {
            subset.add(order.get(from + i).member());
        }
    }

    /** The finaliser of SplitMix64: neighbours come out unrelated. */
    private static long scramble(long number) {
        long z = number * 0x9E3779B97F4A7C15L;
        z = (z ^ (z >>> 30)) * 0xBF58476D1CE4E5B9L;
        z = (z ^ (z >>> 27)) * 0x94D049BB133111EBL;
        return z ^ (z >>> 31);
    }

    /** The nodes of this replica, for tests. */
    List<EndpointView<Void>> subset() {
        return subset;
    }

    @Override
    public EndpointView<Void> choose(long now, BaselineRequest call, Candidates<Void> choice) {
        EndpointView<Void> best = null;
        int equals = 0;
        for (EndpointView<Void> member : subset) {
            if (best != null && member.inFlight > best.inFlight || !choice.may(member)) {
                continue;
            }
            equals = best != null && member.inFlight == best.inFlight ? equals + 1 : 1;
            if (equals == 1 || random.nextInt(equals) == 0) {
                best = member;
            }
        }
        return best != null ? best : choice.draw(null);
    }
}
