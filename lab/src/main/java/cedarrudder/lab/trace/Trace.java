package cedarrudder.lab.trace;

import cedarrudder.balancer.BalancerSettings.Idempotency;
import cedarrudder.balancer.BalancerSettings.KeyScope;
import cedarrudder.balancer.LoadBalancer.EndpointStatus;
import cedarrudder.balancer.LoadBalancer.Outcome;

/**
 * What can be seen of a run from outside, in the order in which it happens: of each proxy its
 * messages, of each node its starts and what reaches it. Whoever judges a run reads this and
 * nothing else.
 *
 * <p>Proxies and requests are numbered over the whole run; a proxy that comes back after a crash
 * keeps its number, its requests have new ones. {@code endpoint} is the id by which lists name a
 * node; a node that restarts keeps it. Instants are nanoseconds of the run's clock and never go
 * back; the first event is of the run's start. An attempt that is moot is never sent: it has an
 * outcome and nothing else.
 */
public interface Trace {

    /** How a proxy ended a request. */
    enum Final {
        SERVED,
        REFUSED,
        FAILED
    }

    /** A proxy of a tier starts, or starts again. */
    void proxyStarted(long now, int proxy, int tier);

    /** A proxy dies with all that it has taken. */
    void proxyDied(long now, int proxy);

    /** A proxy was told of one entry of a list. {@code startedAt}: 0 for long ago. */
    void told(
            long now,
            int proxy,
            long endpoint,
            int cell,
            int zone,
            EndpointStatus state,
            long startedAt);

    /**
     * A proxy was told a whole list; what it didn't name is gone. Comes before the entries of that
     * list.
     */
    void toldWhole(long now, int proxy);

    /** A proxy has taken a request; {@code deadline} is when its client gives up. */
    void taken(
            long now,
            int proxy,
            long request,
            Idempotency effect,
            KeyScope scope,
            long repeatWindow,
            long deadline);

    /** A proxy writes an attempt to a node. {@code work}: on a core of speed 1 at this tier. */
    void sent(long now, int proxy, long request, int attempt, long endpoint, double work);

    /** The outcome that an attempt had for the proxy. */
    void ended(long now, int proxy, long request, int attempt, Outcome outcome);

    /** A node has begun to work on an attempt, or has taken it into its queue. */
    void reached(long now, int proxy, long request, int attempt, long endpoint);

    /**
     * A proxy gives a request its final answer. SERVED names the attempt whose answer it is; else
     * -1.
     */
    void answered(long now, int proxy, long request, Final how, int attempt);

    /** The client of a request has gone before it was answered; nothing is owed any more. */
    void callerLeft(long now, int proxy, long request);

    /**
     * A node has started cold.
     *
     * @param capacity what it can do when warm, in cores of speed 1
     * @param coldShare it begins with this share of it
     * @param warmAt and has the whole from this instant on, having risen evenly
     */
    void nodeStarted(long now, long endpoint, double capacity, double coldShare, long warmAt);

    /** A node's process has ended. */
    void nodeEnded(long now, long endpoint);
}
