package cedarrudder;

import cedarrudder.Balancer.Actions;
import cedarrudder.Balancer.Effect;
import cedarrudder.Balancer.Endpoint;
import cedarrudder.Balancer.Goal;
import cedarrudder.Balancer.KeyScope;
import cedarrudder.Balancer.Limits;
import cedarrudder.Balancer.ListKind;
import cedarrudder.Balancer.Outcome;
import cedarrudder.Balancer.Prices;
import cedarrudder.Balancer.Request;
import cedarrudder.Balancer.RequestClass;
import cedarrudder.Balancer.Safety;
import cedarrudder.Balancer.Settings;
import cedarrudder.Balancer.State;
import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;

/** A sidecar's use of the library, as the README shows it. */
final class Example {

    /** One copy of a sidecar before a tier whose requests are safe to repeat. */
    static Balancer start(Actions actions, long seed, long now) {
        long second = Duration.ofSeconds(1).toNanos();
        RequestClass lookup =
                new RequestClass(
                        "lookup",
                        Effect.SAFE,
                        KeyScope.ALL,
                        second / 2,
                        2 * second,
                        1,
                        0,
                        0,
                        false);
        Limits limits = new Limits(true, true, true, true, 3, 2 * second, second / 4, 30 * second);
        Safety safety = new Safety(second, 0.3, 10 * second, 4, second, 10 * second);
        Settings settings =
                new Settings(
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
                        new Goal(1, 0, 0, 0, 1),
                        new Prices(0, 0));
        Balancer balancer = new Decide(settings, new SplittableRandom(seed), actions);
        balancer.endpoints(
                now,
                ListKind.FULL,
                List.of(
                        new Endpoint(1, 0, 0, 0, State.READY, 1, 0),
                        new Endpoint(2, 0, 0, 0, State.READY, 1, 0)));
        return balancer;
    }

    /**
     * A request comes in; the balancer calls actions.send. When the answer is there, it is told.
     */
    static void serve(Balancer balancer, long now) {
        long deadline = now + Duration.ofSeconds(2).toNanos();
        balancer.request(now, new Request(42, 0, 0, deadline, 0, false, false, 0));
        long answered = now + Duration.ofMillis(30).toNanos();
        balancer.outcome(answered, 42, 0, 1, Outcome.OK, answered - now, true, null);
    }

    private Example() {}
}
