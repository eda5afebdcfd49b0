package cedarrudder.lab.baselines;

import cedarrudder.balancer.LoadBalancer;

/** Actions that lead nowhere. */
final class NoActions implements LoadBalancer.Actions {

    @Override
    public void startAttempt(long request, long endpoint, long timeout) {}

    @Override
    public void reject(long request, long retryAfter) {}

    @Override
    public void fail(long request) {}

    @Override
    public void cancelAttempt(long request, int attempt) {}

    @Override
    public void sendProbe(long endpoint) {}

    @Override
    public void closeIdleConnections(long endpoint) {}

    @Override
    public void scheduleTimer(long at, long token) {}

    @Override
    public void watchEndpoints(boolean on) {}

    @Override
    public void fetchEndpoints() {}

    @Override
    public void sendToPeers(int replica, byte[] message) {}

    @Override
    public void log(String line) {}
}
