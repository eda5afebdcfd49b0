package cedarrudder.lab.referee;

import cedarrudder.balancer.BalancerSettings.Idempotency;
import cedarrudder.balancer.BalancerSettings.KeyScope;
import cedarrudder.balancer.LoadBalancer.Outcome;
import java.util.Arrays;

/** A request that a proxy has taken, and its attempts in the order sent. */
final class ObservedRequest {
    final int proxy;
    final int incarnation;
    final Idempotency effect;
    final KeyScope scope;
    final long repeatWindow;
    final long deadline;

    /** Whether a final answer was given. */
    boolean answered;

    /** Whether the proxy was told of the end: an answer was served, or the client left. */
    boolean told;

    long toldAt;

    /**
     * Whether nothing more is owed, though nothing was answered: the client left, or it is lost
     * already.
     */
    boolean closed;

    int attempts;
    int out;
    long[] endpoints = new long[2];
    int[] cells = new int[2];
    int[] zones = new int[2];
    long[] sentAt = new long[2];
    double[] works = new double[2];
    Outcome[] ended = new Outcome[2];
    boolean[] reached = new boolean[2];

    /** Whether the proxy knew then that the node had just started. */
    boolean[] knew = new boolean[2];

    /** {@code incarnation} tells one life of the proxy from the next. */
    ObservedRequest(
            int proxy,
            int incarnation,
            Idempotency effect,
            KeyScope scope,
            long repeatWindow,
            long deadline) {
        this.proxy = proxy;
        this.incarnation = incarnation;
        this.effect = effect;
        this.scope = scope;
        this.repeatWindow = repeatWindow;
        this.deadline = deadline;
    }

    void add(long now, long endpoint, int cell, int zone, double work) {
        if (attempts == endpoints.length) {
            endpoints = Arrays.copyOf(endpoints, 2 * attempts);
            cells = Arrays.copyOf(cells, 2 * attempts);
            zones = Arrays.copyOf(zones, 2 * attempts);
            sentAt = Arrays.copyOf(sentAt, 2 * attempts);
            works = Arrays.copyOf(works, 2 * attempts);
            ended = Arrays.copyOf(ended, 2 * attempts);
            reached = Arrays.copyOf(reached, 2 * attempts);
            knew = Arrays.copyOf(knew, 2 * attempts);
        }
        endpoints[attempts] = endpoint;
        cells[attempts] = cell;
        zones[attempts] = zone;
        sentAt[attempts] = now;
        works[attempts] = work;
        attempts++;
        out++;
    }

    /** The first attempt that isn't proven never to have run, as far as the proxy knows; or -1. */
    int mayHaveRun() {
        for (int i = 0; i < attempts; i++) {
            if (ended[i] == null || !ended[i].provesNotRun()) {
                return i;
            }
        }
        return -1;
    }
}
