package cedarrudder.lab.baselines;

import cedarrudder.balancer.BalancerSettings;
import cedarrudder.balancer.BalancerSettings.Idempotency;
import cedarrudder.balancer.BalancerSettings.KeyScope;
import cedarrudder.balancer.BalancerSettings.Limits;
import cedarrudder.balancer.BalancerSettings.RequestClass;
import cedarrudder.balancer.BalancerSettings.SafetyRules;
import cedarrudder.balancer.BalancerSettings.ServiceGoal;
import cedarrudder.balancer.BalancerSettings.ServicePrices;
import cedarrudder.balancer.LoadBalancer;
import cedarrudder.balancer.LoadBalancer.Endpoint;
import cedarrudder.balancer.LoadBalancer.EndpointListKind;
import cedarrudder.balancer.LoadBalancer.EndpointStatus;
import cedarrudder.balancer.LoadBalancer.LoadReport;
import cedarrudder.balancer.LoadBalancer.Outcome;
import cedarrudder.balancer.LoadBalancer.Request;
import cedarrudder.lab.policy.GroundTruth;
import cedarrudder.lab.policy.Policy;
import cedarrudder.lab.trace.Trace;
import cedarrudder.lab.trace.TracingBalancer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

/**
 * A small world for balancers, in virtual time: proxies, each with a balancer, before some nodes.
 * It stands in for the driver and the model, so that a test sees a referee and a balancer alone.
 * Requests come every {@link #STEP}, number n at n steps; on a quiet day each attempt is served
 * after {@link #SERVICE}.
 */
public final class SmallWorld {
    public static final long MS = 1_000_000L;
    public static final long SECOND = 1000 * MS;
    public static final long STEP = 10 * MS;
    public static final long SERVICE = 20 * MS;
    public static final long WORK = 20 * MS;
    public static final long WAY = MS;
    public static final int NODES = 9;
    public static final long ORIGIN = 5 * SECOND;

    /** Classes in the order in which requests have them: number n has class (n - 1) % 5. */
    public static final List<RequestClass> CLASSES =
            List.of(
                    kind("safe", Idempotency.SAFE, KeyScope.ALL),
                    kind("unsafe", Idempotency.UNSAFE, KeyScope.ALL),
                    kind("cell", Idempotency.KEYED, KeyScope.CELL),
                    kind("all", Idempotency.KEYED, KeyScope.ALL),
                    kind("zone", Idempotency.KEYED, KeyScope.ZONE));

    private record Due(long at, long order, Runnable what) {}

    private static final class Rpc {
        final int proxy;
        final int incarnation;
        final long deadline;
        final List<Long> to = new ArrayList<>();
        final List<Long> sentAt = new ArrayList<>();
        final List<Boolean> ended = new ArrayList<>();
        boolean over;

        Rpc(int proxy, int incarnation, long deadline) {
            this.proxy = proxy;
            this.incarnation = incarnation;
            this.deadline = deadline;
        }
    }

    private final Policy policy;
    private final Trace trace;
    private final SplittableRandom random;
    private final boolean quiet;
    private final boolean secondCopies;
    private final LoadBalancer[] proxies;
    private final int[] incarnations;
    private final PriorityQueue<Due> agenda =
            new PriorityQueue<>(
                    (a, b) ->
                            a.at != b.at
                                    ? Long.compare(a.at, b.at)
                                    : Long.compare(a.order, b.order));
    private final Map<Long, Rpc> requests = new HashMap<>();
    private final Map<Long, Endpoint> nodes = new HashMap<>();
    private final StringBuilder transcript = new StringBuilder();
    private long now = ORIGIN;
    private long order;
    private int served;

    public SmallWorld(
            Policy policy,
            int replicas,
            boolean quiet,
            boolean secondCopies,
            long seed,
            Trace trace) {
        this.policy = policy;
        this.trace = trace;
        this.random = new SplittableRandom(seed);
        this.quiet = quiet;
        this.secondCopies = secondCopies;
        this.proxies = new LoadBalancer[replicas];
        this.incarnations = new int[replicas];
        for (long id = 1; id <= NODES; id++) {
            nodes.put(id, node(id, EndpointStatus.READY, 0));
        }
        for (int i = 0; i < replicas; i++) {
            start(i);
        }
    }

    private static RequestClass kind(String name, Idempotency effect, KeyScope scope) {
        return new RequestClass(name, effect, scope, 200 * MS, SECOND, 1, 0, 500 * MS, false);
    }

    /** Neighbours are in different zones and cells. */
    private static Endpoint node(long id, EndpointStatus state, long startedAt) {
        return new Endpoint(id, (int) id % 2, 0, (int) id % 3, state, 1, startedAt);
    }

    private BalancerSettings settings(int proxy) {
        return new BalancerSettings(
                proxies.length,
                proxy,
                0,
                1,
                2,
                !quiet,
                CLASSES,
                List.of(),
                new Limits(true, true, secondCopies, true, 4, SECOND, 50 * MS, 30 * SECOND),
                new SafetyRules(SECOND, 0.25, 10 * SECOND, 4, SECOND, 10 * SECOND),
                new ServiceGoal(0.8, 0.1, 0.1, 0, 0.1),
                new ServicePrices(0.01, 0));
    }

    public void at(long when, Runnable what) {
        agenda.add(new Due(when, order++, what));
    }

    /**
     * Plays this many requests and the time in which they must be answered, and returns the last
     * instant.
     */
    public long play(int requests) {
        for (long id = 1; id <= requests; id++) {
            long number = id;
            at(ORIGIN + id * STEP, () -> arrive(number));
        }
        long end = ORIGIN + requests * STEP + 5 * SECOND;
        for (long t = ORIGIN; t < end && !quiet; t += 500 * MS) {
            at(t, this::stir);
        }
        while (!agenda.isEmpty() && agenda.peek().at <= end) {
            Due next = agenda.poll();
            now = Math.max(now, next.at);
            next.what.run();
        }
        return end;
    }

    public int served() {
        return served;
    }

    public String transcript() {
        return transcript.toString();
    }

    // ---- what happens ----

    private void start(int proxy) {
        incarnations[proxy]++;
        trace.proxyStarted(now, proxy, 0);
        BalancerSettings settings = settings(proxy);
        Hands hands = new Hands(proxy, incarnations[proxy]);
        proxies[proxy] =
                new TracingBalancer(
                        trace,
                        () -> proxy,
                        settings,
                        id -> WORK,
                        hands,
                        actions -> policy.create(settings, random.split(), actions, truth()));
        proxies[proxy].onEndpoints(now, EndpointListKind.CACHED, list());
    }

    private List<Endpoint> list() {
        return nodes.values().stream().filter(n -> n.status() != EndpointStatus.REMOVED).toList();
    }

    private void tell(Endpoint entry) {
        for (LoadBalancer proxy : proxies) {
            if (proxy != null) {
                proxy.onEndpoints(now, EndpointListKind.DELTA, List.of(entry));
            }
        }
    }

    /** A node is listed as draining. */
    public void drain(long id) {
        nodes.put(id, node(id, EndpointStatus.DRAINING, nodes.get(id).startedAt()));
        tell(nodes.get(id));
    }

    /** A node restarts cold, and all proxies are told at once. */
    public void restart(long id) {
        trace.nodeEnded(now, id);
        trace.nodeStarted(now, id, 1, 0.25, now + 10 * SECOND);
        nodes.put(id, node(id, EndpointStatus.READY, now));
        tell(nodes.get(id));
    }

    /** Something changes, by chance. */
    private void stir() {
        long id = 1 + random.nextInt(NODES);
        switch (random.nextInt(6)) {
            case 0, 1 -> restart(id);
            case 2 -> drain(id);
            case 3 -> {
                nodes.put(id, node(id, EndpointStatus.REMOVED, 0));
                tell(nodes.get(id));
            }
            case 4 -> {
                int proxy = random.nextInt(proxies.length);
                if (proxies[proxy] != null) {
                    proxies[proxy].onEndpoints(now, EndpointListKind.FULL, list());
                }
            }
            default -> {
                int proxy = random.nextInt(proxies.length);
                if (proxies[proxy] != null) {
                    trace.proxyDied(now, proxy);
                    proxies[proxy] = null;
                    at(now + random.nextLong(SECOND), () -> start(proxy));
                }
            }
        }
    }

    private void arrive(long id) {
        int proxy = (int) (id % proxies.length);
        if (proxies[proxy] == null) {
            return;
        }
        int index = (int) ((id - 1) % CLASSES.size());
        long wait = quiet ? SECOND : 1 + random.nextLong(SECOND);
        Rpc request = new Rpc(proxy, incarnations[proxy], now + wait);
        requests.put(id, request);
        at(request.deadline, () -> expire(id, request));
        if (!quiet && random.nextInt(20) == 0) {
            at(now + random.nextLong(200 * MS), () -> leave(id, request));
        }
        proxies[proxy].onRequest(
                now, new Request(id, index, 0, request.deadline, id, false, false, WORK));
    }

    private boolean incarnations(Rpc request) {
        return proxies[request.proxy] != null && incarnations[request.proxy] == request.incarnation;
    }

    private void expire(long id, Rpc request) {
        for (int i = 0; i < request.to.size(); i++) {
            ended(id, request, i, Outcome.TIMEOUT);
        }
        at(now + 5 * MS, () -> leave(id, request));
    }

    private void leave(long id, Rpc request) {
        if (!request.over && incarnations(request)) {
            request.over = true;
            proxies[request.proxy].onClientLeft(now, id);
        }
    }

    private void ended(long id, Rpc request, int attempt, Outcome outcome) {
        if (request.ended.get(attempt) || !incarnations(request)) {
            return;
        }
        request.ended.set(attempt, true);
        if (outcome == Outcome.OK && !request.over) {
            request.over = true;
            served++;
        }
        proxies[request.proxy].onAttemptEnded(
                now,
                id,
                attempt,
                request.to.get(attempt),
                outcome,
                now - request.sentAt.get(attempt),
                request.over,
                null);
    }

    /** All nodes look alike; those that the list has as ready take requests. */
    private GroundTruth truth() {
        return new GroundTruth() {
            @Override
            public boolean takes(long endpoint) {
                return nodes.get(endpoint).status() == EndpointStatus.READY;
            }

            @Override
            public double capacity(long endpoint) {
                return 1;
            }

            @Override
            public double backlog(long endpoint) {
                return 0;
            }

            @Override
            public int held(long endpoint) {
                return 0;
            }

            @Override
            public boolean sound(long endpoint) {
                return true;
            }
        };
    }

    private final class Hands implements LoadBalancer.Actions {
        private final int proxy;
        private final int incarnation;

        Hands(int proxy, int incarnation) {
            this.proxy = proxy;
            this.incarnation = incarnation;
        }

        private void later(long when, Runnable what) {
            at(
                    when,
                    () -> {
                        if (proxies[proxy] != null && incarnations[proxy] == incarnation) {
                            what.run();
                        }
                    });
        }

        @Override
        public void startAttempt(long id, long endpoint, long timeout) {
            transcript
                    .append(now)
                    .append(" send ")
                    .append(id)
                    .append(' ')
                    .append(endpoint)
                    .append('\n');
            Rpc request = requests.get(id);
            int attempt = request.to.size();
            request.to.add(endpoint);
            request.sentAt.add(now);
            request.ended.add(false);
            if (request.over || now >= request.deadline || attempt >= 4) {
                at(now, () -> ended(id, request, attempt, Outcome.NOT_STARTED));
                return;
            }
            Outcome outcome =
                    quiet
                            ? Outcome.OK
                            : switch (random.nextInt(10)) {
                                case 0 -> Outcome.ERROR;
                                case 1 -> Outcome.REJECTED;
                                case 2 -> Outcome.CONNECT_FAILED;
                                case 3 -> Outcome.RESET;
                                case 4 -> Outcome.TIMEOUT;
                                default -> Outcome.OK;
                            };
            if (!outcome.provesNotRun()) {
                at(now + WAY, () -> trace.reached(now, proxy, id, attempt, endpoint));
            }
            if (timeout > 0) {
                at(now + timeout, () -> ended(id, request, attempt, Outcome.TIMEOUT));
            }
            if (outcome != Outcome.TIMEOUT) {
                long lasts = quiet ? SERVICE : WAY + random.nextLong(300 * MS);
                at(now + lasts, () -> ended(id, request, attempt, outcome));
            }
        }

        @Override
        public void reject(long id, long retryAfter) {
            transcript.append(now).append(" refuse ").append(id).append('\n');
            requests.get(id).over = true;
        }

        @Override
        public void fail(long id) {
            transcript.append(now).append(" fail ").append(id).append('\n');
            requests.get(id).over = true;
        }

        @Override
        public void cancelAttempt(long id, int attempt) {
            at(now, () -> ended(id, requests.get(id), attempt, Outcome.CANCELLED));
        }

        @Override
        public void sendProbe(long endpoint) {
            transcript.append(now).append(" probe ").append(endpoint).append('\n');
            boolean lost = !quiet && random.nextInt(5) == 0;
            later(
                    now + 2 * WAY,
                    () ->
                            proxies[proxy].onProbeEnded(
                                    now,
                                    endpoint,
                                    lost ? Outcome.TIMEOUT : Outcome.OK,
                                    2 * WAY,
                                    lost
                                            ? null
                                            : new LoadReport(
                                                    random.nextInt(5),
                                                    Double.NaN,
                                                    0.5,
                                                    1 + random.nextInt(50),
                                                    Double.NaN,
                                                    Double.NaN)));
        }

        @Override
        public void closeIdleConnections(long endpoint) {}

        @Override
        public void scheduleTimer(long when, long token) {
            later(Math.max(when, now + 1), () -> proxies[proxy].onTimer(now, token));
        }

        @Override
        public void watchEndpoints(boolean on) {
            boolean fails = random.nextBoolean();
            later(
                    now + 100 * MS,
                    () -> {
                        if (fails) {
                            proxies[proxy].onEndpointsUnavailable(now);
                        } else {
                            proxies[proxy].onEndpoints(now, EndpointListKind.FULL, list());
                        }
                    });
        }

        @Override
        public void fetchEndpoints() {}

        @Override
        public void sendToPeers(int replica, byte[] message) {}

        @Override
        public void log(String line) {}
    }
}
