package cedarrudder.lab.model;

import cedarrudder.balancer.BalancerSettings.Idempotency;
import cedarrudder.balancer.BalancerSettings.KeyScope;
import cedarrudder.balancer.LoadBalancer.EndpointStatus;
import cedarrudder.balancer.LoadBalancer.Outcome;
import cedarrudder.lab.trace.Trace;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

/** A trace that is written down. */
final class Notes implements Trace {

    /**
     * One line; {@code word} is an outcome, a state or the like, {@code figure} a time or a work.
     */
    record Note(
            String what,
            double at,
            int proxy,
            long request,
            int attempt,
            long endpoint,
            String word,
            double figure) {}

    final List<Note> all = new ArrayList<>();

    private void note(
            String what,
            long now,
            int proxy,
            long request,
            int attempt,
            long endpoint,
            Object word,
            double figure) {
        all.add(
                new Note(
                        what,
                        (now - Model.START) / 1e9,
                        proxy,
                        request,
                        attempt,
                        endpoint,
                        String.valueOf(word),
                        figure));
    }

    List<Note> find(String what, Predicate<Note> such) {
        return all.stream().filter(n -> n.what().equals(what) && such.test(n)).toList();
    }

    List<Note> between(String what, double from, double to) {
        return find(what, n -> n.at() >= from && n.at() < to);
    }

    @Override
    public void proxyStarted(long now, int proxy, int tier) {
        note("proxyStarted", now, proxy, 0, tier, 0, "", 0);
    }

    @Override
    public void proxyDied(long now, int proxy) {
        note("proxyDied", now, proxy, 0, 0, 0, "", 0);
    }

    @Override
    public void told(
            long now,
            int proxy,
            long endpoint,
            int cell,
            int zone,
            EndpointStatus state,
            long startedAt) {
        note("told", now, proxy, 0, cell, endpoint, state, startedAt);
    }

    @Override
    public void toldWhole(long now, int proxy) {
        note("toldWhole", now, proxy, 0, 0, 0, "", 0);
    }

    @Override
    public void taken(
            long now,
            int proxy,
            long request,
            Idempotency effect,
            KeyScope scope,
            long repeatWindow,
            long deadline) {
        note("taken", now, proxy, request, 0, 0, effect, deadline);
    }

    @Override
    public void sent(long now, int proxy, long request, int attempt, long endpoint, double work) {
        note("sent", now, proxy, request, attempt, endpoint, "", work);
    }

    @Override
    public void ended(long now, int proxy, long request, int attempt, Outcome outcome) {
        note("ended", now, proxy, request, attempt, 0, outcome, 0);
    }

    @Override
    public void reached(long now, int proxy, long request, int attempt, long endpoint) {
        note("reached", now, proxy, request, attempt, endpoint, "", 0);
    }

    @Override
    public void answered(long now, int proxy, long request, Final how, int attempt) {
        note("answered", now, proxy, request, attempt, 0, how, 0);
    }

    @Override
    public void callerLeft(long now, int proxy, long request) {
        note("callerLeft", now, proxy, request, 0, 0, "", 0);
    }

    @Override
    public void nodeStarted(
            long now, long endpoint, double capacity, double coldShare, long warmAt) {
        note("nodeStarted", now, 0, 0, 0, endpoint, coldShare, capacity);
    }

    @Override
    public void nodeEnded(long now, long endpoint) {
        note("nodeEnded", now, 0, 0, 0, endpoint, "", 0);
    }
}
