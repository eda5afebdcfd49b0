package cedarrudder.balancer;

import java.util.ArrayList;
import java.util.List;

/**
 * Records the actions of a replica, one line per action, and lists of those that tests check most.
 */
final class Recorder implements LoadBalancer.Actions {
    record Sent(long request, long endpoint) {}

    record Timer(long at, long token) {}

    final List<String> lines = new ArrayList<>();
    final List<Sent> sent = new ArrayList<>();
    final List<Long> probed = new ArrayList<>();
    final List<Long> rejected = new ArrayList<>();
    final List<Long> retryAfters = new ArrayList<>();
    final List<Long> failed = new ArrayList<>();
    final List<Timer> timers = new ArrayList<>();

    void clear() {
        lines.clear();
        sent.clear();
        probed.clear();
        rejected.clear();
        failed.clear();
        timers.clear();
    }

    @Override
    public void startAttempt(long request, long endpoint, long timeout) {
        lines.add("send " + request + " " + endpoint + " " + timeout);
        sent.add(new Sent(request, endpoint));
    }

    @Override
    public void reject(long request, long retryAfter) {
        lines.add("refuse " + request);
        rejected.add(request);
        retryAfters.add(retryAfter);
    }

    @Override
    public void fail(long request) {
        lines.add("fail " + request);
        failed.add(request);
    }

    @Override
    public void cancelAttempt(long request, int attempt) {
        lines.add("cancel " + request + " " + attempt);
    }

    @Override
    public void sendProbe(long endpoint) {
        lines.add("probe " + endpoint);
        probed.add(endpoint);
    }

    @Override
    public void closeIdleConnections(long endpoint) {
        lines.add("close " + endpoint);
    }

    @Override
    public void scheduleTimer(long at, long token) {
        lines.add("schedule " + at + " " + token);
        timers.add(new Timer(at, token));
    }

    @Override
    public void watchEndpoints(boolean on) {
        lines.add("subscribe " + on);
    }

    @Override
    public void fetchEndpoints() {
        lines.add("fetch");
    }

    @Override
    public void sendToPeers(int replica, byte[] message) {
        lines.add("tell " + replica);
    }

    @Override
    public void log(String line) {
        lines.add("log " + line);
    }
}
