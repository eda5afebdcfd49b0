package cedarrudder.balancer;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cedarrudder.balancer.BalancerSettings.SafetyRules;
import cedarrudder.balancer.LoadBalancer.EndpointStatus;
import cedarrudder.balancer.LoadBalancer.Outcome;
import org.junit.jupiter.api.Test;

class EndpointStateTest {
    private static final long MS = Site.MS;

    @Test
    void isUnresponsiveWithoutResponseForTooLong() {
        EndpointState server = new EndpointState(Site.ready(1), 0, 4, 0);
        assertFalse(server.isUnresponsive(900 * MS, 100 * MS), "nothing is in flight");
        server.onAttemptSent(0, 1);
        server.onAttemptSent(50 * MS, 1);
        assertFalse(server.isUnresponsive(100 * MS, 100 * MS));
        assertTrue(server.isUnresponsive(101 * MS, 100 * MS));
        server.onAttemptEnded(110 * MS, Outcome.OK);
        assertFalse(
                server.isUnresponsive(111 * MS, 100 * MS),
                "a response makes the endpoint responsive");
    }

    @Test
    void slowStartBudgetBeginsInDebt() {
        SafetyRules safety = new Site().settings().safety();
        BalancerParameters defaults = BalancerParameters.DEFAULTS;
        EndpointState server =
                new EndpointState(Site.endpoint(1, 0, 0, EndpointStatus.READY, 1), 1, 4, 0.5);
        assertFalse(
                server.withinSlowStartBudget(2, 10, defaults, safety),
                "no replica sends its first request at once");
        assertTrue(server.withinSlowStartBudget(1 + 200 * MS, 10, defaults, safety));
        server.onAttemptSent(1 + 200 * MS, 1);
        assertFalse(
                server.withinSlowStartBudget(2 + 200 * MS, 10, defaults, safety),
                "nor the next one right after it");
    }

    /**
     * Many replicas that wait for a request must not then all send their one request at the same
     * time.
     */
    @Test
    void unusedSlowStartTokenExpires() {
        SafetyRules safety = new Site().settings().safety();
        int replicas = 1000;
        int ready = 0;
        for (int i = 0; i < replicas; i++) {
            EndpointState server =
                    new EndpointState(
                            Site.endpoint(1, 0, 0, EndpointStatus.READY, 1),
                            1,
                            4,
                            i / (double) replicas);
            // 0.02 requests per second at first: half of the overload multiple is planned, and a
            // quarter of the capacity is available while cold.
            for (long now = 1; now < 1 + 2 * Site.SECOND; now += 50 * MS) {
                server.withinSlowStartBudget(now, 0.04, BalancerParameters.DEFAULTS, safety);
            }
            ready +=
                    server.withinSlowStartBudget(
                                    1 + 2 * Site.SECOND, 0.04, BalancerParameters.DEFAULTS, safety)
                            ? 1
                            : 0;
        }
        // Half the budget of a window for each replica: 0.5 x 4 x 0.4 x 0.04 / 2.
        assertTrue(
                ready <= 0.016 * replicas + 2,
                ready + " of " + replicas + " replicas may send at once");
        assertTrue(
                ready >= 0.016 * replicas - 2,
                ready + " of " + replicas + " replicas may send at once");
    }
}
