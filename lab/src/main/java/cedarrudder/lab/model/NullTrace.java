package cedarrudder.lab.model;

import cedarrudder.balancer.BalancerSettings.Idempotency;
import cedarrudder.balancer.BalancerSettings.KeyScope;
import cedarrudder.balancer.LoadBalancer.EndpointStatus;
import cedarrudder.balancer.LoadBalancer.Outcome;
import cedarrudder.lab.trace.Trace;

/** A trace that nobody reads. */
public final class NullTrace implements Trace {

    @Override
    public void proxyStarted(long now, int proxy, int tier) {}

    @Override
    public void proxyDied(long now, int proxy) {}

    @Override
    public void told(
            long now,
            int proxy,
            long endpoint,
            int cell,
            int zone,
            EndpointStatus state,
            long startedAt) {}

    @Override
    public void toldWhole(long now, int proxy) {}

    @Override
    public void taken(
            long now,
            int proxy,
            long request,
            Idempotency effect,
            KeyScope scope,
            long repeatWindow,
            long deadline) {}

    @Override
    public void sent(long now, int proxy, long request, int attempt, long endpoint, double work) {}

    @Override
    public void ended(long now, int proxy, long request, int attempt, Outcome outcome) {}

    @Override
    public void reached(long now, int proxy, long request, int attempt, long endpoint) {}

    @Override
    public void answered(long now, int proxy, long request, Final how, int attempt) {}

    @Override
    public void callerLeft(long now, int proxy, long request) {}

    @Override
    public void nodeStarted(
            long now, long endpoint, double capacity, double coldShare, long warmAt) {}

    @Override
    public void nodeEnded(long now, long endpoint) {}
}
