package cedarrudder.balancer;

import java.util.ArrayList;
import java.util.List;

/** Keeps what a replica does, one line an action, and what tests ask for most. */
final class Recorder implements LoadBalancer.Actions {
    record Sent(long request, long endpoint) {}

    record Timer(long at, long token) {}

    final List<String> lines = new ArrayList<>();
    final List<Sent> sent = new ArrayList<>();
    final List<Long> probed = new ArrayList<>();
    final List<Long> refused = new ArrayList<>();
    final List<Long> comeBack = new ArrayList<>();
    final List<Long> failed = new ArrayList<>();
    final List<Timer> timers = new ArrayList<>();

    void clear() {
        lines.clear();
        sent.clear();
        probed.clear();
        refused.clear();
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
        refused.add(request);
        comeBack.add(retryAfter);
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
