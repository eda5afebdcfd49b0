package cedarrudder.balancer;

import cedarrudder.balancer.BalancerSettings.SafetyRules;
import cedarrudder.balancer.LoadBalancer.Endpoint;
import cedarrudder.balancer.LoadBalancer.EndpointListKind;
import cedarrudder.balancer.LoadBalancer.EndpointStatus;
import cedarrudder.balancer.LoadBalancer.Outcome;
import cedarrudder.balancer.LoadBalancer.Request;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import java.util.stream.LongStream;

/**
 * Simulates replicas of the balancer and the endpoints of one tier in virtual time; some endpoints
 * start cold at {@link #COLD_AT}. Counts the requests that each cold endpoint receives within the
 * overload window of the settings, and compares them with {@link #bound}. The replicas send to a
 * later tier, which rejects nothing on arrival, and a client whose request is rejected or fails
 * retries it twice. Everything follows from the seed.
 */
final class ColdFleet {

    static final long COLD_AT = 6 * Site.SECOND;

    /** Safety rules of the first deployment. */
    static final SafetyRules SAFETY = safety(0.12, 23 * Site.SECOND, 3, 3 * Site.SECOND);

    /** The first deployment, and others with different settings. */
    static final Deployment FIRST = new Deployment("first", SAFETY, 1, true, true, 0);

    static final List<Deployment> OTHERS =
            List.of(
                    new Deployment(
                            "window of 1 s",
                            safety(0.12, 23 * Site.SECOND, 3, Site.SECOND),
                            1,
                            true,
                            true,
                            0),
                    new Deployment(
                            "warm sooner",
                            safety(0.4, 6 * Site.SECOND, 1.5, 3 * Site.SECOND),
                            1,
                            true,
                            true,
                            0),
                    new Deployment(
                            "colder, longer",
                            safety(0.05, 60 * Site.SECOND, 4, 5 * Site.SECOND),
                            1,
                            true,
                            true,
                            0),
                    new Deployment("two cores", SAFETY, 2, true, true, 0),
                    new Deployment("no hints", SAFETY, 1, false, true, 0),
                    new Deployment("no probes", SAFETY, 1, false, false, 0),
                    new Deployment("unlike endpoints", SAFETY, 1, true, true, 0.4));

    private static SafetyRules safety(
            double coldShare, long rampTime, double fallMultiple, long fallWindow) {
        return new SafetyRules(
                2 * Site.SECOND, coldShare, rampTime, fallMultiple, fallWindow, 10 * Site.SECOND);
    }

    /** What happens to the replicas and the requests, {@link #after} the cold start. */
    enum Trouble {
        NONE,
        /** Three times as many requests arrive, for 3 s. */
        BURST,
        /** All requests are sent to other replicas than before. */
        SHIFT,
        /** Seven in ten replicas are killed, and the others receive their requests. */
        SEVEN_IN_TEN_DIE,
        /**
         * A second process of each replica starts without a known request rate and receives half of
         * its requests.
         */
        UPGRADE,
        /**
         * Seven in ten replicas are killed at once, and restart a second later without any state.
         */
        RESTART,
        /**
         * A tenth of the replicas is killed in each second, and restarts at once without any state.
         */
        ROLL,
        /**
         * Half of the warm endpoints restart cold and a quarter more join, under a {@link #BURST}.
         */
        THRONG,
        /** All endpoints restart cold at once, while many requests are being answered. */
        BLACKOUT
    }

    /**
     * What differs from one deployment to another.
     *
     * @param cores cores of each endpoint
     * @param hints whether replicas are given the work of each request, and so learn the
     *     concurrency limit of an endpoint
     * @param probes whether endpoints may be probed for their load
     * @param spread how much the capacities of endpoints differ: a third has this fraction less, a
     *     third this fraction more
     */
    record Deployment(
            String name,
            SafetyRules safety,
            int cores,
            boolean hints,
            boolean probes,
            double spread) {
        @Override
        public String toString() {
            return name;
        }
    }

    /**
     * One simulated scenario.
     *
     * @param cold number of endpoints that start cold
     * @param capacity requests of mean work per second that a warm endpoint can serve
     * @param load arriving requests, as a fraction of the capacity of all endpoints when warm
     * @param informed whether the replicas are informed of the cold start; otherwise the slow start
     *     budget does not apply
     */
    record World(
            int replicas,
            int endpoints,
            int cold,
            double capacity,
            double load,
            Deployment deployment,
            Trouble trouble,
            long after,
            boolean informed) {}

    /**
     * What was observed at the cold endpoints.
     *
     * @param worst the largest number of requests within the window, as a fraction of the bound at
     *     that moment
     * @param count that number, in requests
     * @param bound that bound, in requests
     * @param atSecond seconds after the start
     * @param byWork the same fraction, with each request counted by its own work; a single heavy
     *     request may exceed 1
     * @param toCold all requests that arrived while cold
     * @param served fraction of the requests that were served, from the start of the scenario on
     */
    record Observation(
            double worst,
            int count,
            double bound,
            double atSecond,
            double byWork,
            int toCold,
            double served) {
        @Override
        public String toString() {
            return String.format(
                    Locale.ROOT,
                    "%.2f (%d of %.1f at %.1f s), by work %.2f, %d in total, " + "%.3f served",
                    worst,
                    count,
                    bound,
                    atSecond,
                    byWork,
                    toCold,
                    served);
        }
    }

    private record Arrival(long at, double work) {}

    private record Event(long at, long order, Runnable what) {}

    private final class Node {
        final long startedAt;
        final double capacity;
        final ArrayDeque<Arrival> arrivals = new ArrayDeque<>();
        final long[] busyUntil = new long[world.deployment.cores];
        double arrivedWork;
        int inFlight;

        Node(long id, long startedAt) {
            this.startedAt = startedAt;
            this.capacity = world.capacity * (1 + (id % 3 - 1) * world.deployment.spread);
        }

        double speed() {
            return capacity
                    / world.capacity
                    * (startedAt == 0 ? 1 : capacityShare(safety, now - startedAt));
        }

        /** Counts a request that arrives while the endpoint is cold. */
        private void count(double work) {
            arrivals.add(new Arrival(now, work));
            arrivedWork += work;
            while (arrivals.peek().at <= now - safety.overloadWindowNanos()) {
                arrivedWork -= arrivals.remove().work;
            }
            toCold++;
            double bound = bound(safety, now - startedAt, capacity);
            double byWork =
                    arrivedWork * world.capacity / world.deployment.cores / Site.SECOND / bound;
            if (arrivals.size() / bound > observed.worst) {
                observed =
                        new Observation(
                                arrivals.size() / bound,
                                arrivals.size(),
                                bound,
                                (now - startedAt) / (double) Site.SECOND,
                                observed.byWork,
                                0,
                                0);
            }
            if (byWork > observed.byWork) {
                observed =
                        new Observation(
                                observed.worst,
                                observed.count,
                                observed.bound,
                                observed.atSecond,
                                byWork,
                                0,
                                0);
            }
        }

        void receive(Replica from, long request, int attempt, long id) {
            double work = workOf.get(request);
            if (startedAt != 0 && now - startedAt < safety.slowStartNanos()) {
                count(work);
            }
            if (inFlight >= 20) {
                schedule(now, () -> from.ended(request, attempt, id, Outcome.REJECTED, 0));
                return;
            }
            inFlight++;
            long sentAt = now;
            int core =
                    IntStream.range(0, busyUntil.length)
                            .boxed()
                            .min(Comparator.comparingLong(i -> busyUntil[i]))
                            .get();
            busyUntil[core] = Math.max(now, busyUntil[core]) + (long) (work / speed());
            long until = Math.min(busyUntil[core], from.deadlines.get(request));
            Outcome result = busyUntil[core] <= until ? Outcome.OK : Outcome.TIMEOUT;
            schedule(
                    until,
                    () -> {
                        inFlight--;
                        // The requests that it was serving when it restarted cold are lost.
                        from.ended(
                                request,
                                attempt,
                                id,
                                nodes.get(id) == this ? result : Outcome.RESET,
                                now - sentAt);
                    });
        }
    }

    private final class Replica implements LoadBalancer.Actions {
        final LoadBalancer balancer;
        final Map<Long, Long> deadlines = new HashMap<>();
        final Map<Long, Integer> attempts = new HashMap<>();
        boolean killed;

        Replica(int self, long seed) {
            Site site = new Site();
            site.replicas = world.replicas;
            site.probes = world.deployment.probes;
            site.self = self;
            site.classes =
                    List.of(
                            new BalancerSettings.RequestClass(
                                    "status",
                                    BalancerSettings.Idempotency.SAFE,
                                    BalancerSettings.KeyScope.ALL,
                                    latencyObjective,
                                    requestTimeout,
                                    1,
                                    0,
                                    Site.SECOND,
                                    false));
            BalancerSettings s = site.settings();
            balancer =
                    new PrequalBalancer(
                            new BalancerSettings(
                                    s.replicas(),
                                    self,
                                    0,
                                    1,
                                    2,
                                    false,
                                    s.classes(),
                                    s.tenants(),
                                    s.limits(),
                                    safety,
                                    s.goal(),
                                    s.prices()),
                            parameters,
                            new SplittableRandom(seed),
                            this);
            balancer.onEndpoints(now, EndpointListKind.CACHED, endpointList);
        }

        void sendRequest(long id, int retries, double work) {
            long until = now + requestTimeout;
            deadlines.put(id, until);
            retriesLeft.put(id, retries);
            workOf.put(id, work);
            balancer.onRequest(
                    now,
                    new Request(
                            id,
                            0,
                            0,
                            until,
                            0,
                            false,
                            false,
                            world.deployment.hints ? (long) work : 0));
        }

        void ended(long request, int attempt, long node, Outcome outcome, long latency) {
            if (!killed) {
                boolean settled = outcome == Outcome.OK && retriesLeft.containsKey(request);
                if (settled) {
                    retriesLeft.remove(request);
                    served++;
                }
                balancer.onAttemptEnded(
                        now, request, attempt, node, outcome, latency, settled, null);
            }
        }

        @Override
        public void startAttempt(long request, long endpoint, long timeout) {
            int attempt = attempts.merge(request, 1, Integer::sum) - 1;
            schedule(now, () -> nodes.get(endpoint).receive(this, request, attempt, endpoint));
        }

        @Override
        public void reject(long request, long retryAfter) {
            retryByClient(request);
        }

        @Override
        public void fail(long request) {
            retryByClient(request);
        }

        /** Kills the replica: the clients of all its requests retry. */
        void kill() {
            killed = true;
            deadlines.keySet().forEach(this::retryByClient);
        }

        /** The client retries the request at any replica, if it has retries left. */
        private void retryByClient(long request) {
            Integer retries = retriesLeft.remove(request);
            if (retries != null && retries > 0) {
                schedule(
                        now + (long) (random.nextDouble(0.015, 0.12) * Site.SECOND),
                        () -> dispatch(retries - 1, workOf.get(request)));
            }
        }

        @Override
        public void sendProbe(long endpoint) {
            schedule(
                    now + Site.MS,
                    () -> {
                        if (!killed) {
                            Node node = nodes.get(endpoint);
                            balancer.onProbeEnded(
                                    now,
                                    endpoint,
                                    Outcome.OK,
                                    Site.MS,
                                    Site.load(node.inFlight, meanWork / Site.MS / node.speed()));
                        }
                    });
        }

        @Override
        public void scheduleTimer(long at, long token) {
            schedule(
                    at,
                    () -> {
                        if (!killed) {
                            balancer.onTimer(now, token);
                        }
                    });
        }

        @Override
        public void cancelAttempt(long request, int attempt) {}

        @Override
        public void closeIdleConnections(long endpoint) {}

        @Override
        public void watchEndpoints(boolean on) {}

        @Override
        public void fetchEndpoints() {}

        @Override
        public void sendToPeers(int replica, byte[] message) {}

        @Override
        public void log(String line) {}
    }

    private final World world;
    private final BalancerParameters parameters;
    private final SplittableRandom random;
    private final SafetyRules safety;

    /** Mean work of a request on one core of a warm endpoint, in nanoseconds. */
    private final double meanWork;

    private final long latencyObjective;
    private final long requestTimeout;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::at).thenComparingLong(Event::order));
    private final Map<Long, Node> nodes = new HashMap<>();
    private final Map<Long, Integer> retriesLeft = new HashMap<>();
    private final Map<Long, Double> workOf = new HashMap<>();

    /** The endpoint list of discovery, which a starting replica receives. */
    private final List<Endpoint> endpointList = new ArrayList<>();

    private final List<Replica> replicas = new ArrayList<>();
    private final double[] weights;
    private Observation observed = new Observation(0, 0, 0, 0, 0, 0, 0);
    private long now = 1;
    private long order;
    private long lastRequest;
    private int toCold;
    private int served;
    private int arrived;

    private ColdFleet(World world, BalancerParameters parameters, long seed) {
        this.world = world;
        this.parameters = parameters;
        this.random = new SplittableRandom(seed);
        this.safety = world.deployment.safety;
        this.meanWork = world.deployment.cores * Site.SECOND / world.capacity;
        this.latencyObjective = (long) (10 * meanWork);
        this.requestTimeout = 5 * latencyObjective / 2;
        for (long id = world.cold + 1; id <= world.endpoints; id++) {
            start(id, 0);
        }
        weights = new double[world.replicas];
        for (int i = 0; i < weights.length; i++) {
            replicas.add(new Replica(i, random.nextLong()));
            // Some replicas receive several times the mean.
            weights[i] = random.nextInt(5) == 0 ? 4 : random.nextDouble(0.1, 1);
        }
    }

    /** Starts an endpoint in a new incarnation; returns its entry in the list of discovery. */
    private Endpoint start(long id, long at) {
        nodes.put(id, new Node(id, at));
        Endpoint entry = Site.endpoint(id, 0, 0, EndpointStatus.READY, world.informed ? at : 0);
        endpointList.removeIf(e -> e.id() == id);
        endpointList.add(entry);
        return entry;
    }

    private void startCold(long from, long to) {
        List<Endpoint> started =
                LongStream.rangeClosed(from, to).mapToObj(id -> start(id, now)).toList();
        replicas.stream()
                .filter(c -> !c.killed)
                .forEach(c -> c.balancer.onEndpoints(now, EndpointListKind.DELTA, started));
    }

    /** Runs a scenario to the end of the warm-up. */
    static Observation run(World world, BalancerParameters parameters, long seed) {
        return new ColdFleet(world, parameters, seed).run();
    }

    /** Returns the fraction of its capacity that an endpoint of this age has. */
    static double capacityShare(SafetyRules safety, long age) {
        return safety.coldCapacityShare()
                + (1 - safety.coldCapacityShare())
                        * Math.min(1, age / (double) safety.slowStartNanos());
    }

    /**
     * Returns what the settings allow an endpoint of this age within the window, in requests of
     * mean work.
     */
    static double allowed(SafetyRules safety, long age, double capacity) {
        return safety.overloadMultiple()
                * capacityShare(safety, age)
                * capacity
                * safety.overloadWindowNanos()
                / 1e9;
    }

    /**
     * Returns the number of requests within the window above which an endpoint counts as
     * overloaded.
     */
    static double bound(SafetyRules safety, long age, double capacity) {
        double allowed = allowed(safety, age, capacity);
        return allowed + 2 * Math.sqrt(allowed) + 2;
    }

    private void schedule(long at, Runnable what) {
        events.add(new Event(Math.max(at, now), order++, what));
    }

    private Observation run() {
        schedule(COLD_AT, () -> startCold(1, world.cold));
        schedule(COLD_AT + world.after, this::disturb);
        schedule(now, this::arrive);
        long end =
                COLD_AT
                        + (world.trouble == Trouble.THRONG || world.trouble == Trouble.BLACKOUT
                                ? world.after
                                : 0)
                        + safety.slowStartNanos();
        while (events.peek().at < end) {
            Event event = events.remove();
            now = event.at;
            event.what.run();
        }
        return new Observation(
                observed.worst,
                observed.count,
                observed.bound,
                observed.atSecond,
                observed.byWork,
                toCold,
                served / (double) arrived);
    }

    private void arrive() {
        boolean burst =
                (world.trouble == Trouble.BURST || world.trouble == Trouble.THRONG)
                        && now >= COLD_AT + world.after
                        && now < COLD_AT + world.after + 3 * Site.SECOND;
        double rate = world.load * world.endpoints * world.capacity * (burst ? 3 : 1);
        arrived++;
        dispatch(2, -Math.log(1 - random.nextDouble()) * meanWork);
        schedule(
                now + 1 + (long) (-Math.log(1 - random.nextDouble()) * Site.SECOND / rate),
                this::arrive);
    }

    private void dispatch(int retries, double work) {
        int at;
        do {
            at = random.nextInt(weights.length);
        } while (random.nextDouble() * 4 > weights[at] || replicas.get(at).killed);
        boolean second = replicas.size() > weights.length && random.nextBoolean();
        replicas.get(second ? at + weights.length : at).sendRequest(++lastRequest, retries, work);
    }

    private void disturb() {
        switch (world.trouble) {
            case SHIFT -> {
                for (int i = 0; i < weights.length; i++) {
                    weights[i] = weights[i] > 0.5 ? 0.02 : 4;
                }
            }
            case SEVEN_IN_TEN_DIE -> killSevenInTen();
            case RESTART -> {
                killSevenInTen();
                schedule(
                        now + Site.SECOND,
                        () ->
                                IntStream.range(0, weights.length)
                                        .filter(i -> replicas.get(i).killed)
                                        .forEach(this::restart));
            }
            case ROLL -> {
                for (int i = 0; i < weights.length; i++) {
                    int self = i;
                    schedule(
                            now + i * 10L / weights.length * Site.SECOND,
                            () -> {
                                replicas.get(self).kill();
                                restart(self);
                            });
                }
            }
            case UPGRADE -> {
                for (int i = 0; i < weights.length; i++) {
                    replicas.add(new Replica(i, random.nextLong()));
                }
            }
            case THRONG ->
                    startCold((world.cold + world.endpoints) / 2 + 1, world.endpoints * 5L / 4);
            case BLACKOUT -> startCold(1, world.endpoints);
            default -> {}
        }
    }

    private void killSevenInTen() {
        IntStream.range(0, weights.length)
                .filter(i -> i % 10 >= 3)
                .forEach(i -> replicas.get(i).kill());
    }

    /** Starts a new incarnation of a replica, which knows only the list of discovery. */
    private void restart(int self) {
        replicas.set(self, new Replica(self, random.nextLong()));
    }
}
