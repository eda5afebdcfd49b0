package cedarrudder.lab.policy;

import cedarrudder.balancer.BalancerSettings;
import cedarrudder.balancer.LoadBalancer;
import java.util.random.RandomGenerator;

/** A way of deciding: makes the balancer of one proxy. */
public interface Policy {

    /** The name in plans and reports. */
    String name();

    /**
     * Makes the balancer of one proxy that starts.
     *
     * @param random the balancer's own source of random numbers
     * @param truth the true state of the tier it sends to; for bounds only
     */
    LoadBalancer create(
            BalancerSettings settings,
            RandomGenerator random,
            LoadBalancer.Actions actions,
            GroundTruth truth);

    /** The budgets that its proxies have beside it; null: none. */
    default TierBudgets budgets() {
        return null;
    }
}
