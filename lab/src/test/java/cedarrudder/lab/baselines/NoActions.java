package cedarrudder.lab.baselines;

import cedarrudder.balancer.LoadBalancer;

/** Actions that lead nowhere. */
final class NoActions implements LoadBalancer.Actions {

    @Override
    public void send(long request, long endpoint, long timeout) {}

    @Override
    public void refuse(long request, long retryAfter) {}

    @Override
    public void fail(long request) {}

    @Override
    public void cancel(long request, int attempt) {}

    @Override
    public void probe(long endpoint) {}

    @Override
    public void closeIdle(long endpoint) {}

    @Override
    public void schedule(long at, long token) {}

    @Override
    public void subscribe(boolean on) {}

    @Override
    public void fetchEndpoints() {}

    @Override
    public void tell(int replica, byte[] message) {}

    @Override
    public void log(String line) {}
}
