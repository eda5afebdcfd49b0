package cedarrudder.lab.emulator;

import cedarrudder.balancer.BalancerSettings.Idempotency;
import cedarrudder.balancer.BalancerSettings.KeyScope;
import cedarrudder.balancer.LoadBalancer.EndpointStatus;
import cedarrudder.balancer.LoadBalancer.Outcome;
import cedarrudder.lab.trace.Trace;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * Puts right what several sockets told in the wrong order, and passes it on some time later. What a
 * proxy does in one order on different connections may be read in another: it closes an attempt's
 * connection and sends the next one, or sends one more and then answers. Within the hold, an
 * attempt that the proxy closed counts as ended before a later one was sent, and what was sent
 * counts as sent before its request's end.
 */
final class ReorderBuffer implements Trace {

    /** Time that events are held back, in nanoseconds; the limits of the rules grow by as much. */
    static final long HOLD = 50_000_000L;

    /** How an event is passed on. */
    private interface Passing {
        void to(Trace trace, long at);
    }

    private enum What {
        SENT,
        OVER,
        OTHER
    }

    private record Held(long at, What what, long request, int attempt, Passing passing) {}

    private final Trace next;
    private Deque<Held> held = new ArrayDeque<>();

    ReorderBuffer(Trace next) {
        this.next = next;
    }

    private void add(long now, What what, long request, int attempt, Passing passing) {
        while (!held.isEmpty() && held.peek().at <= now - HOLD) {
            pass(held.poll());
        }
        held.add(new Held(now, what, request, attempt, passing));
    }

    private void pass(Held event) {
        event.passing.to(next, event.at);
    }

    /** Passes on all that is held; the run is over. */
    void finish() {
        held.forEach(this::pass);
        held.clear();
    }

    /** Adds an event before the first of its request that it must not come after. */
    private void addBefore(
            What first, long now, What what, long request, int attempt, Passing passing) {
        Held before = null;
        for (Held event : held) {
            if (event.what == first
                    && event.request == request
                    && (first == What.OVER || event.attempt > attempt)) {
                before = event;
                break;
            }
        }
        if (before == null || before.at <= now - HOLD) {
            add(now, what, request, attempt, passing);
            return;
        }
        List<Held> all = new ArrayList<>(held);
        all.add(all.indexOf(before), new Held(before.at, what, request, attempt, passing));
        held = new ArrayDeque<>(all);
    }

    @Override
    public void proxyStarted(long now, int proxy, int tier) {
        add(now, What.OTHER, -1, -1, (trace, at) -> trace.proxyStarted(at, proxy, tier));
    }

    @Override
    public void proxyDied(long now, int proxy) {
        add(now, What.OTHER, -1, -1, (trace, at) -> trace.proxyDied(at, proxy));
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
        add(
                now,
                What.OTHER,
                -1,
                -1,
                (trace, at) -> trace.told(at, proxy, endpoint, cell, zone, state, startedAt));
    }

    @Override
    public void toldWhole(long now, int proxy) {
        add(now, What.OTHER, -1, -1, (trace, at) -> trace.toldWhole(at, proxy));
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
        add(
                now,
                What.OTHER,
                request,
                -1,
                (trace, at) ->
                        trace.taken(at, proxy, request, effect, scope, repeatWindow, deadline));
    }

    @Override
    public void sent(long now, int proxy, long request, int attempt, long endpoint, double work) {
        addBefore(
                What.OVER,
                now,
                What.SENT,
                request,
                attempt,
                (trace, at) -> trace.sent(at, proxy, request, attempt, endpoint, work));
    }

    @Override
    public void ended(long now, int proxy, long request, int attempt, Outcome outcome) {
        Passing passing = (trace, at) -> trace.ended(at, proxy, request, attempt, outcome);
        if (outcome == Outcome.CANCELLED) {
            addBefore(What.SENT, now, What.OTHER, request, attempt, passing);
        } else {
            add(now, What.OTHER, request, attempt, passing);
        }
    }

    @Override
    public void reached(long now, int proxy, long request, int attempt, long endpoint) {
        add(
                now,
                What.OTHER,
                request,
                attempt,
                (trace, at) -> trace.reached(at, proxy, request, attempt, endpoint));
    }

    @Override
    public void answered(long now, int proxy, long request, Final how, int attempt) {
        add(
                now,
                What.OVER,
                request,
                -1,
                (trace, at) -> trace.answered(at, proxy, request, how, attempt));
    }

    @Override
    public void callerLeft(long now, int proxy, long request) {
        add(now, What.OVER, request, -1, (trace, at) -> trace.callerLeft(at, proxy, request));
    }

    @Override
    public void nodeStarted(
            long now, long endpoint, double capacity, double coldShare, long warmAt) {
        add(
                now,
                What.OTHER,
                -1,
                -1,
                (trace, at) -> trace.nodeStarted(at, endpoint, capacity, coldShare, warmAt));
    }

    @Override
    public void nodeEnded(long now, long endpoint) {
        add(now, What.OTHER, -1, -1, (trace, at) -> trace.nodeEnded(at, endpoint));
    }
}
