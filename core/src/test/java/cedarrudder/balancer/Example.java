package cedarrudder.balancer;

import cedarrudder.balancer.BalancerSettings.Idempotency;
import cedarrudder.balancer.BalancerSettings.KeyScope;
import cedarrudder.balancer.BalancerSettings.Limits;
import cedarrudder.balancer.BalancerSettings.RequestClass;
import cedarrudder.balancer.BalancerSettings.SafetyRules;
import cedarrudder.balancer.BalancerSettings.ServiceGoal;
import cedarrudder.balancer.BalancerSettings.ServicePrices;
import cedarrudder.balancer.LoadBalancer.Actions;
import cedarrudder.balancer.LoadBalancer.Endpoint;
import cedarrudder.balancer.LoadBalancer.EndpointListKind;
import cedarrudder.balancer.LoadBalancer.EndpointStatus;
import cedarrudder.balancer.LoadBalancer.Outcome;
import cedarrudder.balancer.LoadBalancer.Request;
import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;

/** Example of a sidecar that uses the library, as shown in the README. */
final class Example {

    /** One replica of a sidecar before a tier whose requests are safe to repeat. */
    static LoadBalancer start(Actions actions, long seed, long now) {
        long second = Duration.ofSeconds(1).toNanos();
        RequestClass lookup =
                new RequestClass(
                        "lookup",
                        Idempotency.SAFE,
                        KeyScope.ALL,
                        second / 2,
                        2 * second,
                        1,
                        0,
                        0,
                        false);
        Limits limits = new Limits(true, true, true, true, 3, 2 * second, second / 4, 30 * second);
        SafetyRules safety = new SafetyRules(second, 0.3, 10 * second, 4, second, 10 * second);
        BalancerSettings settings =
                new BalancerSettings(
                        20,
                        7,
                        0,
                        0,
                        1,
                        false,
                        List.of(lookup),
                        List.of(),
                        limits,
                        safety,
                        new ServiceGoal(1, 0, 0, 0, 1),
                        new ServicePrices(0, 0));
        LoadBalancer balancer = new PrequalBalancer(settings, new SplittableRandom(seed), actions);
        balancer.onEndpoints(
                now,
                EndpointListKind.FULL,
                List.of(
                        new Endpoint(1, 0, 0, 0, EndpointStatus.READY, 1, 0),
                        new Endpoint(2, 0, 0, 0, EndpointStatus.READY, 1, 0)));
        return balancer;
    }

    /**
     * A request comes in; the balancer calls actions.send. When the answer is there, it is told.
     */
    static void serve(LoadBalancer balancer, long now) {
        long deadline = now + Duration.ofSeconds(2).toNanos();
        balancer.onRequest(now, new Request(42, 0, 0, deadline, 0, false, false, 0));
        long answered = now + Duration.ofMillis(30).toNanos();
        balancer.onAttemptEnded(answered, 42, 0, 1, Outcome.OK, answered - now, true, null);
    }

    private Example() {}
}
