package cedarrudder.lab.benchmark;

import cedarrudder.balancer.LoadBalancer;

/**
 * Passes actions on for as long as there is somebody to pass them to, so that a module can be held
 * alone.
 */
final class ActionsRelay implements LoadBalancer.Actions {

    private LoadBalancer.Actions to;

    /** Passes on to these from now on; null: to nobody. */
    void passOn(LoadBalancer.Actions actions) {
        to = actions;
    }

    @Override
    public void startAttempt(long request, long endpoint, long timeout) {
        to.startAttempt(request, endpoint, timeout);
    }

    @Override
    public void reject(long request, long retryAfter) {
        to.reject(request, retryAfter);
    }

    @Override
    public void fail(long request) {
        to.fail(request);
    }

    @Override
    public void cancelAttempt(long request, int attempt) {
        to.cancelAttempt(request, attempt);
    }

    @Override
    public void sendProbe(long endpoint) {
        to.sendProbe(endpoint);
    }

    @Override
    public void closeIdleConnections(long endpoint) {
        to.closeIdleConnections(endpoint);
    }

    @Override
    public void scheduleTimer(long at, long token) {
        to.scheduleTimer(at, token);
    }

    @Override
    public void watchEndpoints(boolean on) {
        to.watchEndpoints(on);
    }

    @Override
    public void fetchEndpoints() {
        to.fetchEndpoints();
    }

    @Override
    public void sendToPeers(int replica, byte[] message) {
        to.sendToPeers(replica, message);
    }

    @Override
    public void log(String line) {
        to.log(line);
    }
}
