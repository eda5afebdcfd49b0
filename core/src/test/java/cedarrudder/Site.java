package cedarrudder;

import cedarrudder.Balancer.Effect;
import cedarrudder.Balancer.Endpoint;
import cedarrudder.Balancer.Goal;
import cedarrudder.Balancer.KeyScope;
import cedarrudder.Balancer.Limits;
import cedarrudder.Balancer.Load;
import cedarrudder.Balancer.Prices;
import cedarrudder.Balancer.RequestClass;
import cedarrudder.Balancer.Safety;
import cedarrudder.Balancer.Settings;
import cedarrudder.Balancer.State;
import cedarrudder.Balancer.Tenant;
import java.util.ArrayList;
import java.util.List;

/** Settings and values for the tests, with the parts that a test cares about changed by hand. */
final class Site {
    static final long MS = 1_000_000L;
    static final long SECOND = 1000 * MS;

    static final RequestClass SAFE = requestClass(Effect.SAFE, KeyScope.ALL);
    static final RequestClass KEYED = requestClass(Effect.KEYED, KeyScope.ALL);
    static final RequestClass KEYED_IN_CELL = requestClass(Effect.KEYED, KeyScope.CELL);
    static final RequestClass KEYED_IN_ZONE = requestClass(Effect.KEYED, KeyScope.ZONE);
    static final RequestClass UNSAFE = requestClass(Effect.UNSAFE, KeyScope.ALL);

    int copies = 1;
    int self;
    int tier;
    int tiers = 1;
    boolean ask;
    boolean probes = true;
    boolean cancel = true;
    boolean parallelTries = true;
    int maxAttempts = 4;
    long drainGrace = SECOND;
    List<RequestClass> classes = List.of(SAFE, KEYED, UNSAFE);
    List<Tenant> tenants = List.of();

    private static RequestClass requestClass(Effect effect, KeyScope scope) {
        return new RequestClass(
                effect.name(), effect, scope, 200 * MS, SECOND, 1, 0, 500 * MS, false);
    }

    Settings settings() {
        return new Settings(
                copies,
                self,
                0,
                tier,
                tiers,
                ask,
                classes,
                tenants,
                new Limits(
                        probes,
                        cancel,
                        parallelTries,
                        true,
                        maxAttempts,
                        SECOND,
                        50 * MS,
                        30 * SECOND),
                new Safety(drainGrace, 0.25, 10 * SECOND, 4, SECOND, 10 * SECOND),
                new Goal(0.8, 0.1, 0.1, 0, 0.1),
                new Prices(0.01, 0));
    }

    static Endpoint ready(long id) {
        return endpoint(id, 0, 0, State.READY, 0);
    }

    static Endpoint endpoint(long id, int zone, int cell, State state, long startedAt) {
        return new Endpoint(id, zone, 0, cell, state, 1, startedAt);
    }

    static List<Endpoint> readyUpTo(int count) {
        List<Endpoint> list = new ArrayList<>();
        for (int id = 1; id <= count; id++) {
            list.add(ready(id));
        }
        return list;
    }

    static Load load(double inFlight, double latencyMillis) {
        return new Load(inFlight, Double.NaN, Double.NaN, latencyMillis, Double.NaN, Double.NaN);
    }
}
