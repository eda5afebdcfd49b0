package cedarrudder.balancer;

import cedarrudder.balancer.BalancerSettings.Idempotency;
import cedarrudder.balancer.BalancerSettings.KeyScope;
import cedarrudder.balancer.BalancerSettings.Limits;
import cedarrudder.balancer.BalancerSettings.RequestClass;
import cedarrudder.balancer.BalancerSettings.SafetyRules;
import cedarrudder.balancer.BalancerSettings.ServiceGoal;
import cedarrudder.balancer.BalancerSettings.ServicePrices;
import cedarrudder.balancer.BalancerSettings.Tenant;
import cedarrudder.balancer.LoadBalancer.Endpoint;
import cedarrudder.balancer.LoadBalancer.EndpointStatus;
import cedarrudder.balancer.LoadBalancer.LoadReport;
import java.util.ArrayList;
import java.util.List;

/** Settings and values for the tests; a test changes the fields that matter to it. */
final class Site {
    static final long MS = 1_000_000L;
    static final long SECOND = 1000 * MS;

    static final RequestClass SAFE = requestClass(Idempotency.SAFE, KeyScope.ALL);
    static final RequestClass KEYED = requestClass(Idempotency.KEYED, KeyScope.ALL);
    static final RequestClass KEYED_IN_CELL = requestClass(Idempotency.KEYED, KeyScope.CELL);
    static final RequestClass KEYED_IN_ZONE = requestClass(Idempotency.KEYED, KeyScope.ZONE);
    static final RequestClass UNSAFE = requestClass(Idempotency.UNSAFE, KeyScope.ALL);

    int replicas = 1;
    int self;
    int tier;
    int tiers = 1;
    boolean pollsEndpoints;
    boolean probes = true;
    boolean cancel = true;
    boolean hedging = true;
    int maxAttempts = 4;
    long drainGrace = SECOND;
    List<RequestClass> classes = List.of(SAFE, KEYED, UNSAFE);
    List<Tenant> tenants = List.of();

    private static RequestClass requestClass(Idempotency effect, KeyScope scope) {
        return new RequestClass(
                effect.name(), effect, scope, 200 * MS, SECOND, 1, 0, 500 * MS, false);
    }

    BalancerSettings settings() {
        return new BalancerSettings(
                replicas,
                self,
                0,
                tier,
                tiers,
                pollsEndpoints,
                classes,
                tenants,
                new Limits(
                        probes, cancel, hedging, true, maxAttempts, SECOND, 50 * MS, 30 * SECOND),
                new SafetyRules(drainGrace, 0.25, 10 * SECOND, 4, SECOND, 10 * SECOND),
                new ServiceGoal(0.8, 0.1, 0.1, 0, 0.1),
                new ServicePrices(0.01, 0));
    }

    static Endpoint ready(long id) {
        return endpoint(id, 0, 0, EndpointStatus.READY, 0);
    }

    static Endpoint endpoint(long id, int zone, int cell, EndpointStatus state, long startedAt) {
        return new Endpoint(id, zone, 0, cell, state, 1, startedAt);
    }

    static List<Endpoint> readyUpTo(int count) {
        List<Endpoint> list = new ArrayList<>();
        for (int id = 1; id <= count; id++) {
            list.add(ready(id));
        }
        return list;
    }

    static LoadReport load(double inFlight, double latencyMillis) {
        return new LoadReport(
                inFlight, Double.NaN, Double.NaN, latencyMillis, Double.NaN, Double.NaN);
    }
}
