package cedarrudder;

import cedarrudder.Balancer.Endpoint;
import cedarrudder.Balancer.ListKind;
import cedarrudder.Balancer.Outcome;
import cedarrudder.Balancer.Request;
import cedarrudder.Balancer.Safety;
import cedarrudder.Balancer.Settings;
import cedarrudder.Balancer.State;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

/**
 * Copies of the module and the endpoints of one tier in virtual time, some of which start cold at
 * {@link #COLD_AT}. Counts what reaches each of these within the time that the settings name, beside
 * {@link #bound}. The copies send to a later tier, where nothing is turned away on its coming, and who is
 * refused or fails comes again twice. Everything follows from the seed.
 */
final class ColdFleet {

    static final long COLD_AT = 6 * Site.SECOND;

    /** The figures of the rules at the site that the program is built for. */
    static final Safety SAFETY = new Safety(2 * Site.SECOND, 0.12, 23 * Site.SECOND, 3, 3 * Site.SECOND,
            10 * Site.SECOND);

    /** What happens to the copies and the calls, {@link #after} the cold start. */
    enum Trouble {
        NONE,
        /** For 3 s three times the calls come. */
        BURST,
        /** All calls go to other copies than before. */
        SHIFT,
        /** Seven in ten copies die, and the others get their calls. */
        SEVEN_IN_TEN_DIE,
        /** A second process of each copy starts, knowing no rate, and gets half of its calls. */
        UPGRADE
    }

    /**
     * One world.
     *
     * @param cold how many of the endpoints start cold
     * @param capacity requests of mean work that a warm endpoint can do in a second
     * @param load calls that come, as a part of what all endpoints could do if they were warm
     * @param hints whether copies are told of each request's work, and so learn what an endpoint may hold
     * @param told whether the copies are told of the start; if not, they go without their guard
     */
    record World(int copies, int endpoints, int cold, double capacity, double load, boolean hints,
            Trouble trouble, long after, boolean told) { }

    /**
     * What was seen at the cold endpoints.
     *
     * @param worst the most that came within the window, as a part of the bound at that moment
     * @param count that, in requests
     * @param bound and the bound, in requests
     * @param atSecond seconds after the start
     * @param toCold all that came while cold
     * @param served calls that were served, of those asked from the start of the world on
     */
    record Seen(double worst, int count, double bound, double atSecond, int toCold, double served) {
        @Override
        public String toString() {
            return String.format(Locale.ROOT, "%.2f (%d of %.1f at %.1f s), %d in all, %.3f served", worst,
                    count, bound, atSecond, toCold, served);
        }
    }

    private record Event(long at, long number, Runnable what) { }

    private final class Node {
        final long startedAt;
        final ArrayDeque<Long> came = new ArrayDeque<>();
        long busyUntil;
        int holds;

        Node(long startedAt) {
            this.startedAt = startedAt;
        }

        double speed() {
            return startedAt == 0 ? 1 : share(now - startedAt);
        }

        void takes(Copy from, long request, int attempt, long id) {
            if (startedAt != 0) {
                came.add(now);
                while (came.peek() <= now - SAFETY.fallWindow()) {
                    came.remove();
                }
                toCold++;
                double bound = bound(now - startedAt, world.capacity);
                if (now - startedAt < SAFETY.rampTime() && came.size() / bound > seen.worst) {
                    seen = new Seen(came.size() / bound, came.size(), bound,
                            (now - startedAt) / (double) Site.SECOND, 0, 0);
                }
            }
            if (holds >= 20) {
                later(now, () -> from.ended(request, attempt, id, Outcome.FULL, 0));
                return;
            }
            holds++;
            long sentAt = now;
            double work = works.get(request);
            busyUntil = Math.max(now, busyUntil) + (long) (work / speed());
            long until = Math.min(busyUntil, from.deadlines.get(request));
            Outcome how = busyUntil <= until ? Outcome.OK : Outcome.TIMEOUT;
            later(until, () -> {
                holds--;
                from.ended(request, attempt, id, how, now - sentAt);
            });
        }
    }

    private final class Copy implements Balancer.Actions {
        final Balancer module;
        final Map<Long, Long> deadlines = new HashMap<>();
        final Map<Long, Integer> attempts = new HashMap<>();
        boolean dead;

        Copy(int self, long seed) {
            Site site = new Site();
            site.copies = world.copies;
            site.self = self;
            site.classes = List.of(new Balancer.RequestClass("status", Balancer.Effect.SAFE,
                    Balancer.KeyScope.ALL, aim, patience, 1, 0, Site.SECOND, false));
            Settings s = site.settings();
            module = new Decide(new Settings(s.copies(), self, 0, 1, 2, false, s.classes(), s.tenants(),
                    s.limits(), SAFETY, s.goal(), s.prices()), tuning, new SplittableRandom(seed), this);
            module.endpoints(now, ListKind.CACHED, warm);
        }

        void call(long id, int tries, double work) {
            long until = now + patience;
            deadlines.put(id, until);
            triesLeft.put(id, tries);
            works.put(id, work);
            module.request(now, new Request(id, 0, 0, until, 0, false, false,
                    world.hints ? (long) work : 0));
        }

        void ended(long request, int attempt, long node, Outcome outcome, long latency) {
            if (!dead) {
                boolean settled = outcome == Outcome.OK && triesLeft.containsKey(request);
                if (settled) {
                    triesLeft.remove(request);
                    served++;
                }
                module.outcome(now, request, attempt, node, outcome, latency, settled, null);
            }
        }

        @Override
        public void send(long request, long endpoint, long timeout) {
            int attempt = attempts.merge(request, 1, Integer::sum) - 1;
            later(now, () -> nodes.get(endpoint).takes(this, request, attempt, endpoint));
        }

        @Override
        public void refuse(long request, long retryAfter) {
            over(request);
        }

        @Override
        public void fail(long request) {
            over(request);
        }

        /** Its client comes again, with what is left of its tries, to any copy. */
        private void over(long request) {
            Integer tries = triesLeft.remove(request);
            if (tries != null && tries > 0) {
                later(now + (long) (random.nextDouble(0.015, 0.12) * Site.SECOND),
                        () -> deal(tries - 1, works.get(request)));
            }
        }

        @Override
        public void probe(long endpoint) {
            later(now + Site.MS, () -> {
                if (!dead) {
                    Node node = nodes.get(endpoint);
                    module.probed(now, endpoint, Outcome.OK, Site.MS,
                            Site.load(node.holds, 1000 / world.capacity / node.speed()));
                }
            });
        }

        @Override
        public void schedule(long at, long token) {
            later(at, () -> {
                if (!dead) {
                    module.timer(now, token);
                }
            });
        }

        @Override
        public void cancel(long request, int attempt) { }

        @Override
        public void closeIdle(long endpoint) { }

        @Override
        public void subscribe(boolean on) { }

        @Override
        public void fetchEndpoints() { }

        @Override
        public void tell(int copy, byte[] message) { }

        @Override
        public void log(String line) { }
    }

    private final World world;
    private final Tuning tuning;
    private final SplittableRandom random;
    private final long aim;
    private final long patience;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::number));
    private final Map<Long, Node> nodes = new HashMap<>();
    private final Map<Long, Integer> triesLeft = new HashMap<>();
    private final Map<Long, Double> works = new HashMap<>();
    private final List<Endpoint> warm = new ArrayList<>();
    private final List<Endpoint> fresh = new ArrayList<>();
    private final List<Copy> copies = new ArrayList<>();
    private final double[] weights;
    private Seen seen = new Seen(0, 0, 0, 0, 0, 0);
    private long now = 1;
    private long number;
    private long ids;
    private int toCold;
    private int served;
    private int asked;

    private ColdFleet(World world, Tuning tuning, long seed) {
        this.world = world;
        this.tuning = tuning;
        this.random = new SplittableRandom(seed);
        this.aim = (long) (10 * Site.SECOND / world.capacity);
        this.patience = 5 * aim / 2;
        for (long id = 1; id <= world.endpoints; id++) {
            boolean cold = id <= world.cold;
            nodes.put(id, new Node(cold ? COLD_AT : 0));
            (cold ? fresh : warm).add(Site.endpoint(id, 0, 0, State.READY, cold && world.told ? COLD_AT : 0));
        }
        weights = new double[world.copies];
        for (int i = 0; i < weights.length; i++) {
            copies.add(new Copy(i, random.nextLong()));
            // Some see several times the mean.
            weights[i] = random.nextInt(5) == 0 ? 4 : random.nextDouble(0.1, 1);
        }
    }

    /** Plays a world to the end of the warm-up. */
    static Seen play(World world, Tuning tuning, long seed) {
        return new ColdFleet(world, tuning, seed).play();
    }

    /** The share of its capacity that an endpoint has at this age. */
    static double share(long age) {
        return SAFETY.coldShare() + (1 - SAFETY.coldShare()) * Math.min(1, age / (double) SAFETY.rampTime());
    }

    /** What the settings allow an endpoint of this age within the window, in requests of mean work. */
    static double allowed(long age, double capacity) {
        return SAFETY.fallMultiple() * share(age) * capacity * SAFETY.fallWindow() / 1e9;
    }

    /** More than this pushes it over. */
    static double bound(long age, double capacity) {
        double allowed = allowed(age, capacity);
        return allowed + 3 * Math.sqrt(allowed) + 3;
    }

    private void later(long at, Runnable what) {
        events.add(new Event(Math.max(at, now), number++, what));
    }

    private Seen play() {
        later(COLD_AT, () -> copies.forEach(c -> c.module.endpoints(now, ListKind.CHANGES, fresh)));
        later(COLD_AT + world.after, this::trouble);
        later(now, this::arrive);
        while (events.peek().at < COLD_AT + SAFETY.rampTime()) {
            Event event = events.remove();
            now = event.at;
            event.what.run();
        }
        return new Seen(seen.worst, seen.count, seen.bound, seen.atSecond, toCold,
                served / (double) asked);
    }

    private void arrive() {
        boolean burst = world.trouble == Trouble.BURST && now >= COLD_AT + world.after
                && now < COLD_AT + world.after + 3 * Site.SECOND;
        double rate = world.load * world.endpoints * world.capacity * (burst ? 3 : 1);
        asked++;
        deal(2, -Math.log(1 - random.nextDouble()) * Site.SECOND / world.capacity);
        later(now + 1 + (long) (-Math.log(1 - random.nextDouble()) * Site.SECOND / rate), this::arrive);
    }

    private void deal(int tries, double work) {
        int at;
        do {
            at = random.nextInt(weights.length);
        } while (random.nextDouble() * 4 > weights[at] || copies.get(at).dead);
        boolean second = copies.size() > weights.length && random.nextBoolean();
        copies.get(second ? at + weights.length : at).call(++ids, tries, work);
    }

    private void trouble() {
        switch (world.trouble) {
            case SHIFT -> {
                for (int i = 0; i < weights.length; i++) {
                    weights[i] = weights[i] > 0.5 ? 0.02 : 4;
                }
            }
            case SEVEN_IN_TEN_DIE -> {
                for (int i = 0; i < weights.length; i++) {
                    copies.get(i).dead = i % 10 >= 3;
                }
            }
            case UPGRADE -> {
                for (int i = 0; i < weights.length; i++) {
                    copies.add(new Copy(i, random.nextLong()));
                    copies.get(i + weights.length).module.endpoints(now, ListKind.CHANGES, fresh);
                }
            }
            default -> { }
        }
    }
}
