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
 * Replicas of the balancer and the endpoints of one tier in virtual time, some of which start cold
 * at {@link #COLD_AT}. Counts what reaches each of these within the time that the settings name,
 * beside {@link #bound}. The replicas send to a later tier, where nothing is rejected on its
 * coming, and who is refused or fails comes again twice. Everything follows from the seed.
 */
final class ColdFleet {

    static final long COLD_AT = 6 * Site.SECOND;

    /** The figures of the rules at the site that the program is built for. */
    static final SafetyRules SAFETY = safety(0.12, 23 * Site.SECOND, 3, 3 * Site.SECOND);

    /** That site, and others whose settings are otherwise. */
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

    /** What happens to the replicas and the calls, {@link #after} the cold start. */
    enum Trouble {
        NONE,
        /** For 3 s three times the calls come. */
        BURST,
        /** All calls go to other replicas than before. */
        SHIFT,
        /** Seven in ten replicas die, and the others get their calls. */
        SEVEN_IN_TEN_DIE,
        /** A second process of each replica starts, knowing no rate, and gets half of its calls. */
        UPGRADE,
        /**
         * Seven in ten replicas are killed at once, and are back a second later, knowing nothing.
         */
        RESTART,
        /**
         * A tenth of the replicas is killed in each second, and is back at once, knowing nothing.
         */
        ROLL,
        /**
         * Half of the warm endpoints come back cold and a quarter more join, under a {@link
         * #BURST}.
         */
        THRONG,
        /** All endpoints come back cold at once, while many calls are being answered. */
        BLACKOUT
    }

    /**
     * What differs from one deployment to another.
     *
     * @param cores of each endpoint
     * @param hints whether replicas are told of each request's work, and so learn what an endpoint
     *     may hold
     * @param probes whether endpoints may be asked for their load
     * @param spread how far what endpoints can do lies apart: a third does this much less, a third
     *     so much more
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
     * One world.
     *
     * @param cold how many of the endpoints start cold
     * @param capacity requests of mean work that a warm endpoint can do in a second
     * @param load calls that come, as a part of what all endpoints could do if they were warm
     * @param told whether the replicas are told of the start; if not, they go without their guard
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
            boolean told) {}

    /**
     * What was seen at the cold endpoints.
     *
     * @param worst the most that came within the window, as a part of the bound at that moment
     * @param count that, in requests
     * @param bound and the bound, in requests
     * @param atSecond seconds after the start
     * @param byWork the same part, with each request counted by its own work; a heavy one alone may
     *     pass it
     * @param toCold all that came while cold
     * @param served calls that were served, of those asked from the start of the world on
     */
    record Seen(
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
                    "%.2f (%d of %.1f at %.1f s), by work %.2f, %d in all, " + "%.3f served",
                    worst,
                    count,
                    bound,
                    atSecond,
                    byWork,
                    toCold,
                    served);
        }
    }

    private record Came(long at, double work) {}

    private record Event(long at, long number, Runnable what) {}

    private final class Node {
        final long startedAt;
        final double capacity;
        final ArrayDeque<Came> came = new ArrayDeque<>();
        final long[] busyUntil = new long[world.deployment.cores];
        double workCame;
        int holds;

        Node(long id, long startedAt) {
            this.startedAt = startedAt;
            this.capacity = world.capacity * (1 + (id % 3 - 1) * world.deployment.spread);
        }

        double speed() {
            return capacity
                    / world.capacity
                    * (startedAt == 0 ? 1 : share(safety, now - startedAt));
        }

        /** Counts what comes while it is cold. */
        private void count(double work) {
            came.add(new Came(now, work));
            workCame += work;
            while (came.peek().at <= now - safety.overloadWindowNanos()) {
                workCame -= came.remove().work;
            }
            toCold++;
            double bound = bound(safety, now - startedAt, capacity);
            double byWork =
                    workCame * world.capacity / world.deployment.cores / Site.SECOND / bound;
            if (came.size() / bound > seen.worst) {
                seen =
                        new Seen(
                                came.size() / bound,
                                came.size(),
                                bound,
                                (now - startedAt) / (double) Site.SECOND,
                                seen.byWork,
                                0,
                                0);
            }
            if (byWork > seen.byWork) {
                seen = new Seen(seen.worst, seen.count, seen.bound, seen.atSecond, byWork, 0, 0);
            }
        }

        void takes(Copy from, long request, int attempt, long id) {
            double work = works.get(request);
            if (startedAt != 0 && now - startedAt < safety.slowStartNanos()) {
                count(work);
            }
            if (holds >= 20) {
                later(now, () -> from.ended(request, attempt, id, Outcome.REJECTED, 0));
                return;
            }
            holds++;
            long sentAt = now;
            int core =
                    IntStream.range(0, busyUntil.length)
                            .boxed()
                            .min(Comparator.comparingLong(i -> busyUntil[i]))
                            .get();
            busyUntil[core] = Math.max(now, busyUntil[core]) + (long) (work / speed());
            long until = Math.min(busyUntil[core], from.deadlines.get(request));
            Outcome how = busyUntil[core] <= until ? Outcome.OK : Outcome.TIMEOUT;
            later(
                    until,
                    () -> {
                        holds--;
                        // What it was at work on when it came back cold is lost.
                        from.ended(
                                request,
                                attempt,
                                id,
                                nodes.get(id) == this ? how : Outcome.RESET,
                                now - sentAt);
                    });
        }
    }

    private final class Copy implements LoadBalancer.Actions {
        final LoadBalancer module;
        final Map<Long, Long> deadlines = new HashMap<>();
        final Map<Long, Integer> attempts = new HashMap<>();
        boolean dead;

        Copy(int self, long seed) {
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
                                    aim,
                                    patience,
                                    1,
                                    0,
                                    Site.SECOND,
                                    false));
            BalancerSettings s = site.settings();
            module =
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
                            tuning,
                            new SplittableRandom(seed),
                            this);
            module.onEndpoints(now, EndpointListKind.CACHED, listed);
        }

        void call(long id, int tries, double work) {
            long until = now + patience;
            deadlines.put(id, until);
            triesLeft.put(id, tries);
            works.put(id, work);
            module.onRequest(
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
            if (!dead) {
                boolean settled = outcome == Outcome.OK && triesLeft.containsKey(request);
                if (settled) {
                    triesLeft.remove(request);
                    served++;
                }
                module.onAttemptEnded(now, request, attempt, node, outcome, latency, settled, null);
            }
        }

        @Override
        public void startAttempt(long request, long endpoint, long timeout) {
            int attempt = attempts.merge(request, 1, Integer::sum) - 1;
            later(now, () -> nodes.get(endpoint).takes(this, request, attempt, endpoint));
        }

        @Override
        public void reject(long request, long retryAfter) {
            over(request);
        }

        @Override
        public void fail(long request) {
            over(request);
        }

        /** Killed: the clients of all its calls come again. */
        void die() {
            dead = true;
            deadlines.keySet().forEach(this::over);
        }

        /** Its client comes again, with what is left of its tries, to any replica. */
        private void over(long request) {
            Integer tries = triesLeft.remove(request);
            if (tries != null && tries > 0) {
                later(
                        now + (long) (random.nextDouble(0.015, 0.12) * Site.SECOND),
                        () -> deal(tries - 1, works.get(request)));
            }
        }

        @Override
        public void sendProbe(long endpoint) {
            later(
                    now + Site.MS,
                    () -> {
                        if (!dead) {
                            Node node = nodes.get(endpoint);
                            module.onProbeEnded(
                                    now,
                                    endpoint,
                                    Outcome.OK,
                                    Site.MS,
                                    Site.load(node.holds, meanWork / Site.MS / node.speed()));
                        }
                    });
        }

        @Override
        public void scheduleTimer(long at, long token) {
            later(
                    at,
                    () -> {
                        if (!dead) {
                            module.onTimer(now, token);
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
    private final BalancerParameters tuning;
    private final SplittableRandom random;
    private final SafetyRules safety;

    /** Of a request, on one core of a warm endpoint; nanoseconds. */
    private final double meanWork;

    private final long aim;
    private final long patience;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::at).thenComparingLong(Event::number));
    private final Map<Long, Node> nodes = new HashMap<>();
    private final Map<Long, Integer> triesLeft = new HashMap<>();
    private final Map<Long, Double> works = new HashMap<>();

    /** What discovery has: what a replica that starts now is told. */
    private final List<Endpoint> listed = new ArrayList<>();

    private final List<Copy> replicas = new ArrayList<>();
    private final double[] weights;
    private Seen seen = new Seen(0, 0, 0, 0, 0, 0, 0);
    private long now = 1;
    private long number;
    private long ids;
    private int toCold;
    private int served;
    private int asked;

    private ColdFleet(World world, BalancerParameters tuning, long seed) {
        this.world = world;
        this.tuning = tuning;
        this.random = new SplittableRandom(seed);
        this.safety = world.deployment.safety;
        this.meanWork = world.deployment.cores * Site.SECOND / world.capacity;
        this.aim = (long) (10 * meanWork);
        this.patience = 5 * aim / 2;
        for (long id = world.cold + 1; id <= world.endpoints; id++) {
            start(id, 0);
        }
        weights = new double[world.replicas];
        for (int i = 0; i < weights.length; i++) {
            replicas.add(new Copy(i, random.nextLong()));
            // Some see several times the mean.
            weights[i] = random.nextInt(5) == 0 ? 4 : random.nextDouble(0.1, 1);
        }
    }

    /** An endpoint is there from now on, in a new life; returns what discovery says of it. */
    private Endpoint start(long id, long at) {
        nodes.put(id, new Node(id, at));
        Endpoint entry = Site.endpoint(id, 0, 0, EndpointStatus.READY, world.told ? at : 0);
        listed.removeIf(e -> e.id() == id);
        listed.add(entry);
        return entry;
    }

    private void startCold(long from, long to) {
        List<Endpoint> fresh =
                LongStream.rangeClosed(from, to).mapToObj(id -> start(id, now)).toList();
        replicas.stream()
                .filter(c -> !c.dead)
                .forEach(c -> c.module.onEndpoints(now, EndpointListKind.DELTA, fresh));
    }

    /** Plays a world to the end of the warm-up. */
    static Seen play(World world, BalancerParameters tuning, long seed) {
        return new ColdFleet(world, tuning, seed).play();
    }

    /** The share of its capacity that an endpoint has at this age. */
    static double share(SafetyRules safety, long age) {
        return safety.coldCapacityShare()
                + (1 - safety.coldCapacityShare())
                        * Math.min(1, age / (double) safety.slowStartNanos());
    }

    /**
     * What the settings allow an endpoint of this age within the window, in requests of mean work.
     */
    static double allowed(SafetyRules safety, long age, double capacity) {
        return safety.overloadMultiple()
                * share(safety, age)
                * capacity
                * safety.overloadWindowNanos()
                / 1e9;
    }

    /** More than this pushes it over. */
    static double bound(SafetyRules safety, long age, double capacity) {
        double allowed = allowed(safety, age, capacity);
        return allowed + 2 * Math.sqrt(allowed) + 2;
    }

    private void later(long at, Runnable what) {
        events.add(new Event(Math.max(at, now), number++, what));
    }

    private Seen play() {
        later(COLD_AT, () -> startCold(1, world.cold));
        later(COLD_AT + world.after, this::trouble);
        later(now, this::arrive);
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
        return new Seen(
                seen.worst,
                seen.count,
                seen.bound,
                seen.atSecond,
                seen.byWork,
                toCold,
                served / (double) asked);
    }

    private void arrive() {
        boolean burst =
                (world.trouble == Trouble.BURST || world.trouble == Trouble.THRONG)
                        && now >= COLD_AT + world.after
                        && now < COLD_AT + world.after + 3 * Site.SECOND;
        double rate = world.load * world.endpoints * world.capacity * (burst ? 3 : 1);
        asked++;
        deal(2, -Math.log(1 - random.nextDouble()) * meanWork);
        later(
                now + 1 + (long) (-Math.log(1 - random.nextDouble()) * Site.SECOND / rate),
                this::arrive);
    }

    private void deal(int tries, double work) {
        int at;
        do {
            at = random.nextInt(weights.length);
        } while (random.nextDouble() * 4 > weights[at] || replicas.get(at).dead);
        boolean second = replicas.size() > weights.length && random.nextBoolean();
        replicas.get(second ? at + weights.length : at).call(++ids, tries, work);
    }

    private void trouble() {
        switch (world.trouble) {
            case SHIFT -> {
                for (int i = 0; i < weights.length; i++) {
                    weights[i] = weights[i] > 0.5 ? 0.02 : 4;
                }
            }
            case SEVEN_IN_TEN_DIE -> killSevenInTen();
            case RESTART -> {
                killSevenInTen();
                later(
                        now + Site.SECOND,
                        () ->
                                IntStream.range(0, weights.length)
                                        .filter(i -> replicas.get(i).dead)
                                        .forEach(this::restart));
            }
            case ROLL -> {
                for (int i = 0; i < weights.length; i++) {
                    int self = i;
                    later(
                            now + i * 10L / weights.length * Site.SECOND,
                            () -> {
                                replicas.get(self).die();
                                restart(self);
                            });
                }
            }
            case UPGRADE -> {
                for (int i = 0; i < weights.length; i++) {
                    replicas.add(new Copy(i, random.nextLong()));
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
                .forEach(i -> replicas.get(i).die());
    }

    /** A new life of a replica knows what discovery says, and nothing else. */
    private void restart(int self) {
        replicas.set(self, new Copy(self, random.nextLong()));
    }
}
