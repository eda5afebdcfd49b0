package cedarrudder.balancer;

import cedarrudder.balancer.LoadBalancer.Actions;
import cedarrudder.balancer.LoadBalancer.EndpointListKind;
import java.util.random.RandomGenerator;

/**
 * Decides when the endpoint list is polled: once after the start, at a random time, and again with
 * backoff and jitter after a failure, so that replicas do not all poll at the same time a service
 * that takes seconds to serve them all.
 */
final class DiscoveryPolling {

    /**
     * The first poll is spread over this fraction of the time within which a replica must have
     * polled.
     */
    private static final double FIRST_POLL_SPREAD = 0.4;

    private static final long INITIAL_BACKOFF_NANOS = 1_000_000_000L;
    private static final int MAX_DOUBLINGS = 3;

    private final BalancerSettings settings;
    private final RandomGenerator random;
    private final Actions actions;
    private int failures;

    DiscoveryPolling(BalancerSettings settings, RandomGenerator random, Actions actions) {
        this.settings = settings;
        this.random = random;
        this.actions = actions;
    }

    /** Schedules the first poll; called with the first list, which is that of the configuration. */
    void onStart(long now) {
        if (settings.pollsEndpoints()) {
            double spread = FIRST_POLL_SPREAD * settings.safety().pollIntervalNanos();
            schedule(now + 1 + (long) (random.nextDouble() * spread));
        }
    }

    void onList(EndpointListKind kind) {
        if (kind != EndpointListKind.CACHED) {
            failures = 0;
        }
    }

    void onUnavailable(long now) {
        long backoff = INITIAL_BACKOFF_NANOS << Math.min(failures, MAX_DOUBLINGS);
        failures++;
        schedule(now + 1 + backoff / 2 + (long) (random.nextDouble() * backoff));
    }

    private void schedule(long at) {
        actions.scheduleTimer(at, TimerToken.of(TimerToken.Kind.POLL));
    }

    /** Starts the watch after the timer of {@link TimerToken.Kind#POLL} has expired. */
    void onTimer() {
        actions.watchEndpoints(true);
    }
}
