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
    public void send(long request, long endpoint, long timeout) {
        to.send(request, endpoint, timeout);
    }

    @Override
    public void refuse(long request, long retryAfter) {
        to.refuse(request, retryAfter);
    }

    @Override
    public void fail(long request) {
        to.fail(request);
    }

    @Override
    public void cancel(long request, int attempt) {
        to.cancel(request, attempt);
    }

    @Override
    public void probe(long endpoint) {
        to.probe(endpoint);
    }

    @Override
    public void closeIdle(long endpoint) {
        to.closeIdle(endpoint);
    }

    @Override
    public void schedule(long at, long token) {
        to.schedule(at, token);
    }

    @Override
    public void subscribe(boolean on) {
        to.subscribe(on);
    }

    @Override
    public void fetchEndpoints() {
        to.fetchEndpoints();
    }

    @Override
    public void tell(int replica, byte[] message) {
        to.tell(replica, message);
    }

    @Override
    public void log(String line) {
        to.log(line);
    }
}
