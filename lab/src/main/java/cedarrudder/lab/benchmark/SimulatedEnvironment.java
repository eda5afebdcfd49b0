package cedarrudder.lab.benchmark;

import cedarrudder.balancer.LoadBalancer;
import cedarrudder.balancer.LoadBalancer.LoadReport;
import cedarrudder.balancer.LoadBalancer.Outcome;
import cedarrudder.balancer.LoadBalancer.Request;
import cedarrudder.forwarding.AttemptTransport;
import cedarrudder.forwarding.EndpointDiscovery;
import cedarrudder.forwarding.Exchange;
import cedarrudder.forwarding.RequestAttempt;
import cedarrudder.forwarding.RequestForwarder;
import cedarrudder.forwarding.TimerService;
import cedarrudder.logging.Logger;
import java.io.OutputStream;
import java.io.PrintStream;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.Function;

/**
 * All that one proxy meets, in virtual time and as cheap as it can be: every attempt is served,
 * every probe answered, every timer rings. What it costs itself is shown by a balancer that decides
 * nothing.
 */
final class SimulatedEnvironment implements TimerService, EndpointDiscovery {

    /** Time between two requests of this proxy. */
    private static final long BETWEEN = Platform.MS;

    /** How long a node takes: some 20 requests are out at a time. */
    private static final long SERVICE = 20 * Platform.MS;

    private static final long PROBE_TRIP = Platform.MS / 2;

    /** One in this many requests is unsafe. */
    private static final int UNSAFE_PART = 5;

    private static final Object ANSWER = new Object();

    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final SplittableRandom random = new SplittableRandom(1);
    private final RequestForwarder<Object, Object> forwarder;
    private final Replies replies = new Replies();
    private long now = Platform.SECOND;
    private long order;
    private long requests;
    private LoadBalancer module;

    /** One thing that is to happen; equal instants keep the order in which they were scheduled. */
    private static final class Event implements Comparable<Event>, Timer {
        private final long at;
        private final long order;
        private Runnable task;

        Event(long at, long order, Runnable task) {
            this.at = at;
            this.order = order;
            this.task = task;
        }

        @Override
        public int compareTo(Event other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(order, other.order);
        }

        @Override
        public void cancel() {
            task = null;
        }
    }

    /** Counts answers, so that a benchmark can tell that its requests were served. */
    private static final class Replies implements Exchange.Reply<Object> {
        private long served;
        private long other;

        @Override
        public void served(Object answer) {
            served++;
        }

        @Override
        public void rejected(long retryAfter) {
            other++;
        }

        @Override
        public void failed() {
            other++;
        }

        @Override
        public boolean isClientWaiting() {
            return true;
        }
    }

    /** A proxy of the daemon's driver and of this module, which is told of its nodes at once. */
    SimulatedEnvironment(int nodes, Function<LoadBalancer.Actions, LoadBalancer> maker) {
        forwarder =
                new RequestForwarder<>(
                        actions -> module = maker.apply(actions),
                        4,
                        this,
                        new Logger(new PrintStream(OutputStream.nullOutputStream())));
        forwarder.attach(new Client(), this, (replica, message) -> {});
        forwarder.endpointsUpdated(LoadBalancer.EndpointListKind.FULL, Platform.nodes(nodes));
    }

    /**
     * Takes one request, after all that happens before it: in the mean one request's whole life a
     * call.
     *
     * @return requests served so far
     * @throws IllegalStateException when one was not served: then this measures something else
     */
    long request() {
        pass(BETWEEN);
        int kind = requests % UNSAFE_PART == 0 ? 1 : 0;
        forwarder.accept(
                new Exchange<>(
                        new Request(
                                ++requests,
                                kind,
                                (int) (requests & 1),
                                now + (kind == 0 ? 600 : 1500) * Platform.MS,
                                0,
                                false,
                                kind == 1,
                                15 * Platform.MS),
                        ANSWER,
                        replies));
        if (replies.other > 0) {
            throw new IllegalStateException("a request was not served");
        }
        return replies.served;
    }

    /** Takes no request for this long: after some seconds nothing is out any more. */
    void pass(long nanos) {
        long until = now + nanos;
        for (Event next = events.peek(); next != null && next.at <= until; next = events.peek()) {
            events.poll();
            now = next.at;
            if (next.task != null) {
                next.task.run();
            }
        }
        now = until;
    }

    /** Something of the list of nodes changes. */
    void changed(LoadBalancer.EndpointListKind kind, List<LoadBalancer.Endpoint> entries) {
        forwarder.endpointsUpdated(kind, entries);
    }

    /** The balancer, to hold on to it alone. */
    LoadBalancer module() {
        return module;
    }

    private final class Client implements AttemptTransport<Object, Object> {
        @Override
        public boolean knowsEndpoint(long endpoint) {
            return true;
        }

        @Override
        public void startAttempt(RequestAttempt<Object, Object> attempt) {
            if (forwarder.mayStart(attempt)) {
                attempt.writeComplete(now);
                at(now + SERVICE, () -> forwarder.served(attempt, ANSWER, null));
            }
        }

        @Override
        public void abandonAttempt(RequestAttempt<Object, Object> attempt) {
            // Its end comes later and counts no more.
        }

        @Override
        public void sendProbe(long endpoint) {
            LoadReport load =
                    new LoadReport(
                            random.nextInt(5),
                            Double.NaN,
                            0.5,
                            15 + random.nextInt(10),
                            Double.NaN,
                            Double.NaN);
            at(
                    now + PROBE_TRIP,
                    () -> forwarder.probeEnded(endpoint, Outcome.OK, PROBE_TRIP, load));
        }

        @Override
        public void closeIdleConnections(long endpoint) {
            // No connections are modelled.
        }
    }

    @Override
    public long now() {
        return now;
    }

    @Override
    public Timer at(long instant, Runnable task) {
        Event event = new Event(Math.max(instant, now + 1), order++, task);
        events.add(event);
        return event;
    }

    @Override
    public void watch(boolean on) {
        // The list comes by itself.
    }

    @Override
    public void fetchAll() {
        // The list comes by itself.
    }
}
