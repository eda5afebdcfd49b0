package cedarrudder.lab.load;

import cedarrudder.balancer.BalancerSettings.Idempotency;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * What is sent: classes of requests and the tenants who send them, each by its share.
 *
 * @param kinds at least one; their shares need not sum to 1
 * @param tenants may be empty: then no request names its owner
 */
public record Traffic(List<Kind> kinds, List<Tenant> tenants) {

    /**
     * A class.
     *
     * @param share its weight among the classes, over 0
     * @param deadlineMillis the client's wait for an answer, counted from the intended time of
     *     sending
     */
    public record Kind(String name, Idempotency effect, double share, long deadlineMillis) {}

    /** A tenant and its weight among them, over 0. */
    public record Tenant(String name, double share) {}

    /** Checks that there is a class. */
    public Traffic {
        if (kinds.isEmpty()) {
            throw new IllegalArgumentException("no class of requests was given");
        }
        kinds = List.copyOf(kinds);
        tenants = List.copyOf(tenants);
    }

    int kind(RandomGenerator random) {
        return drawn(kinds.stream().mapToDouble(Kind::share).toArray(), random);
    }

    /** The number of a tenant; 0 where there are none. */
    int tenant(RandomGenerator random) {
        return drawn(tenants.stream().mapToDouble(Tenant::share).toArray(), random);
    }

    private static int drawn(double[] shares, RandomGenerator random) {
        double sum = 0;
        for (double share : shares) {
            sum += share;
        }
        double left = random.nextDouble() * sum;
        for (int i = 0; i < shares.length; i++) {
            left -= shares[i];
            if (left < 0) {
                return i;
            }
        }
        return Math.max(0, shares.length - 1);
    }
}
