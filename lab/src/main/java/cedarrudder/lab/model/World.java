package cedarrudder.lab.model;

import cedarrudder.balancer.BalancerSettings;
import cedarrudder.lab.model.Streams.Concern;
import cedarrudder.lab.scenario.Draw;
import cedarrudder.lab.scenario.Scenario;
import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * The world of one run: every figure of a scenario, drawn. It follows from scenario and seed alone.
 */
public final class World {

    /** A machine draws no less than this share of its kind's mean speed. */
    private static final double SLOWEST = 0.2;

    /** A kind as drawn. */
    public record Kind(
            String name,
            int cores,
            double speed,
            double spread,
            int slots,
            int queue,
            double thrash,
            double thrashAt,
            double coldFrom,
            long coldTime,
            double errorRate,
            boolean stopsCancelled,
            boolean dropsExpired) {}

    /** A machine as drawn. */
    public record Machine(int kind, double speed, int zone, int cell) {}

    /** What overdriving does, as drawn. */
    public record Choking(
            double at, long over, double slower, long rest, double below, long max, double price) {}

    /**
     * A tier as drawn.
     *
     * @param replicas how many proxies send to this tier
     * @param calls calls to the next tier that a request makes here on average
     * @param visits requests that come here for each of a client
     */
    public record Tier(
            String name,
            int replicas,
            double workShare,
            double calls,
            double visits,
            boolean passesDeadline,
            List<Kind> kinds,
            List<Machine> machines,
            long reportPeriod,
            long reportDelay,
            double reportNoise,
            double handshakeTrips,
            long handshakeWork,
            long idle,
            long connectTimeout,
            double connections,
            double fullTax,
            long probeWork,
            double probesPerSecond,
            long probeTimeout,
            Choking choking) {}

    /** A class as drawn. */
    public record Kinded(
            double share, double work, Scenario.Spread spread, double cv, double attemptNoise) {

        /** The work of one request over all tiers, in nanoseconds, by chance as the bits say. */
        double drawn(long bits) {
            return work
                    * switch (spread) {
                        case FIXED -> 1;
                        case EXPONENTIAL -> -StrictMath.log(1 - HashRandom.unit(bits));
                        case LOGNORMAL -> {
                            double variance = StrictMath.log(1 + cv * cv);
                            yield StrictMath.exp(
                                    Math.sqrt(variance) * HashRandom.normal(bits) - variance / 2);
                        }
                        case PARETO -> {
                            // The shape that has this coefficient of variation.
                            double alpha = 1 + Math.sqrt(1 + 1 / (cv * cv));
                            yield (alpha - 1)
                                    / alpha
                                    * StrictMath.pow(1 - HashRandom.unit(bits), -1 / alpha);
                        }
                    };
        }
    }

    public final Scenario scenario;
    final long length;
    public final List<Tier> tiers = new ArrayList<>();
    final List<Kinded> classes = new ArrayList<>();
    final double[] traffic;
    final double[] quotas;
    final double perSecond;
    final double swing;
    final double burst;
    final double peak;
    final double riseAt;
    final double rise;
    final double hold;
    final double same;
    final double cross;
    final double client;
    final double peer;
    final double jitter;
    final int retries;
    final double tryShare;
    final double backoff;
    final double honour;
    final double listPeriod;
    final double callsPerSecond;
    final double callLines;

    /** First tries a second that the tier which runs out first can do when warm. */
    final double capacity;

    World(Scenario scenario, Streams streams) {
        this.scenario = scenario;
        RandomGenerator random = streams.of(Concern.WORLD, 0);
        Scenario.Run run = scenario.run();
        length = (long) run.length().draw(random);
        Scenario.Arrivals arrivals = scenario.arrivals();
        double share = drawn(arrivals.share(), random);
        double rate = drawn(arrivals.perSecond(), random);
        swing = drawn(arrivals.swing(), random);
        burst = drawn(arrivals.burst(), random);
        peak = drawn(arrivals.peak(), random);
        riseAt = drawn(arrivals.riseAt(), random);
        rise = drawn(arrivals.rise(), random);
        hold = drawn(arrivals.hold(), random);
        Scenario.Network network = scenario.network();
        same = network.same().draw(random);
        cross = network.cross().draw(random);
        client = network.client().draw(random);
        peer = network.peer().draw(random);
        jitter = network.jitter().draw(random);
        Scenario.Clients clients = scenario.clients();
        retries = (int) clients.retries().draw(random);
        tryShare = clients.tryShare().draw(random);
        backoff = clients.backoff().draw(random);
        honour = clients.honour().draw(random);
        Scenario.Discovery discovery = scenario.discovery();
        listPeriod = Math.max(1e6, discovery.period().draw(random));
        callsPerSecond = discovery.capacity().draw(random);
        callLines = discovery.callLines().draw(random);
        drawClasses(random);
        for (int i = 0; i < scenario.tiers().size(); i++) {
            tiers.add(draw(i, streams));
        }
        capacity = capacity();
        perSecond = arrivals.share() != null ? share * capacity : rate;
        traffic = new double[scenario.tenants().size()];
        quotas = new double[traffic.length];
        RandomGenerator tenants = streams.of(Concern.WORLD, 1);
        for (int i = 0; i < traffic.length; i++) {
            Scenario.Customer tenant = scenario.tenants().get(i);
            quotas[i] = tenant.share() * tenant.quota().draw(tenants) * capacity;
            traffic[i] = tenant.share() * tenant.usage().draw(tenants);
        }
    }

    /** A figure that may be left out; a number is taken for it in any case. */
    private static double drawn(Draw figure, RandomGenerator random) {
        return (figure == null ? Draw.fixed(0) : figure).draw(random);
    }

    private void drawClasses(RandomGenerator random) {
        double sum = 0;
        List<Kinded> raw = new ArrayList<>();
        for (Scenario.RequestKind kind : scenario.classes()) {
            Kinded drawn =
                    new Kinded(
                            kind.share().draw(random),
                            kind.work().draw(random),
                            kind.spread(),
                            drawn(kind.cv(), random),
                            drawn(kind.attemptNoise(), random));
            sum += drawn.share();
            raw.add(drawn);
        }
        for (Kinded kind : raw) {
            classes.add(
                    new Kinded(
                            kind.share() / sum,
                            kind.work(),
                            kind.spread(),
                            kind.cv(),
                            kind.attemptNoise()));
        }
    }

    private Tier draw(int index, Streams streams) {
        Scenario.Tier tier = scenario.tiers().get(index);
        RandomGenerator random = streams.of(Concern.WORLD, 2 + index);
        double drawnNodes = tier.nodes().draw(random);
        double relativeTo = tier.relative() && index > 0 ? tiers.get(0).machines().size() : 1;
        int nodes = (int) Math.max(1, Math.round(drawnNodes * relativeTo));
        int proxies = (int) Math.max(1, Math.round(drawn(tier.proxies(), random)));
        double calls = index + 1 == scenario.tiers().size() ? 0 : drawn(tier.calls(), random);
        double visits =
                index == 0 ? 1 : tiers.get(index - 1).visits() * tiers.get(index - 1).calls();
        int cellSize = (int) Math.max(1, Math.round(drawn(tier.cellSize(), random)));
        boolean passes = random.nextDouble() < tier.passesDeadline();
        List<Kind> kinds = new ArrayList<>();
        double[] shares = new double[tier.kinds().size()];
        for (int i = 0; i < shares.length; i++) {
            shares[i] = tier.kinds().get(i).share().draw(random);
            kinds.add(draw(tier.kinds().get(i), random));
        }
        List<Machine> machines = new ArrayList<>();
        int[] kindOf = deal(shares, nodes, random);
        int zones = Math.max(1, scenario.network().zones().size());
        int cells = (nodes + cellSize - 1) / cellSize;
        int[] cellOf = shuffled(nodes, random);
        for (int i = 0; i < nodes; i++) {
            Kind kind = kinds.get(kindOf[i]);
            RandomGenerator own = streams.of(Concern.MACHINE, (long) index << 32 | i);
            double speed = kind.speed() * Math.max(SLOWEST, 1 + kind.spread() * own.nextGaussian());
            machines.add(new Machine(kindOf[i], speed, i % zones, cellOf[i] % cells));
        }
        Scenario.Connections connections = tier.connections();
        Scenario.Probing probing = tier.probing();
        Scenario.Report report = tier.report();
        return new Tier(
                tier.name(),
                index == 0 ? proxies : tiers.get(index - 1).machines().size(),
                tier.workShare(),
                calls,
                visits,
                passes,
                List.copyOf(kinds),
                List.copyOf(machines),
                (long) Math.max(1e6, report.period().draw(random)),
                (long) report.delay().draw(random),
                report.noise().draw(random),
                connections.handshakeTrips().draw(random),
                (long) connections.handshakeWork().draw(random),
                connections.idle(),
                connections.connectTimeout(),
                connections.capPerCore().draw(random),
                connections.fullTax().draw(random),
                (long) probing.work().draw(random),
                probing.capPerCore().draw(random),
                probing.timeout(),
                choking(tier.choke(), random));
    }

    private static Kind draw(Scenario.Kind kind, RandomGenerator random) {
        double speed = kind.speed().draw(random);
        double spread = drawn(kind.speedSpread(), random);
        int slots = (int) Math.max(1, Math.round(kind.slots().draw(random) * kind.cores()));
        int queue = (int) Math.max(0, Math.round(kind.queue().draw(random) * kind.cores()));
        double thrash = drawn(kind.thrash(), random);
        double thrashAt = drawn(kind.thrashAt(), random);
        double coldFrom = kind.coldFrom().draw(random);
        long coldTime = (long) kind.coldTime().draw(random);
        double errorRate = drawn(kind.errorRate(), random);
        return new Kind(
                kind.name(),
                kind.cores(),
                speed,
                spread,
                slots,
                queue,
                thrash,
                thrashAt,
                coldFrom,
                coldTime,
                errorRate,
                kind.stopsCancelled(),
                random.nextDouble() < kind.dropsExpired());
    }

    private static Choking choking(Scenario.Choke choke, RandomGenerator random) {
        if (choke == null || random.nextDouble() >= choke.chance()) {
            return null;
        }
        return new Choking(
                choke.at().draw(random),
                (long) choke.over().draw(random),
                Math.max(1, choke.slower().draw(random)),
                (long) choke.rest().draw(random),
                choke.below().draw(random),
                (long) choke.max().draw(random),
                choke.price());
    }

    /** Deals kinds to nodes by their shares, largest remainders first, in an order of chance. */
    private static int[] deal(double[] shares, int nodes, RandomGenerator random) {
        double sum = 0;
        for (double share : shares) {
            sum += share;
        }
        int[] kindOf = new int[nodes];
        double[] owed = new double[shares.length];
        for (int i = 0; i < nodes; i++) {
            int max = 0;
            for (int k = 0; k < shares.length; k++) {
                owed[k] += shares[k] / sum;
                max = owed[k] > owed[max] + 1e-9 ? k : max;
            }
            owed[max]--;
            kindOf[i] = max;
        }
        int[] order = shuffled(nodes, random);
        int[] dealt = new int[nodes];
        for (int i = 0; i < nodes; i++) {
            dealt[i] = kindOf[order[i]];
        }
        return dealt;
    }

    /** The numbers below a count in an order of chance (Fisher and Yates). */
    static int[] shuffled(int count, RandomGenerator random) {
        int[] order = new int[count];
        for (int i = 0; i < count; i++) {
            int j = random.nextInt(i + 1);
            order[i] = order[j];
            order[j] = i;
        }
        return order;
    }

    /** The mean work of a client's request over all tiers' shares, in nanoseconds. */
    double meanWork() {
        double work = 0;
        for (Kinded kind : classes) {
            work += kind.share() * kind.work();
        }
        return work;
    }

    /**
     * What the tiers behind the first do for a client's request on average, as a multiple of mean
     * work.
     */
    double shareBehind() {
        double share = 0;
        for (Tier tier : tiers.subList(1, tiers.size())) {
            share += tier.visits() * tier.workShare();
        }
        return share;
    }

    private double capacity() {
        double min = Double.POSITIVE_INFINITY;
        for (Tier tier : tiers) {
            double cores = 0;
            for (Machine machine : tier.machines()) {
                cores += machine.speed() * tier.kinds().get(machine.kind()).cores();
            }
            double work = meanWork() * tier.workShare() * tier.visits();
            if (work > 0) {
                min = Math.min(min, cores * 1e9 / work);
            }
        }
        return min;
    }

    /** What the proxies of a tier are told of it, as the platform would tell them. */
    public BalancerSettings settings(int index, int self, int zone) {
        Tier tier = tiers.get(index);
        List<BalancerSettings.RequestClass> kinds = new ArrayList<>();
        for (Scenario.RequestKind kind : scenario.classes()) {
            kinds.add(
                    new BalancerSettings.RequestClass(
                            kind.name(),
                            kind.effect(),
                            kind.keyScope(),
                            kind.aim(),
                            kind.deadline(),
                            kind.worth(),
                            kind.lateWorth(),
                            kind.repeatWindow(),
                            false));
        }
        List<BalancerSettings.Tenant> tenants = new ArrayList<>();
        for (int i = 0; i < quotas.length; i++) {
            Scenario.Customer tenant = scenario.tenants().get(i);
            tenants.add(new BalancerSettings.Tenant(tenant.name(), tenant.share(), quotas[i]));
        }
        double coldShare = 1;
        double rampTime = 0;
        for (Scenario.Kind kind : scenario.tiers().get(index).kinds()) {
            coldShare = Math.min(coldShare, kind.coldFrom().low());
            rampTime = Math.max(rampTime, kind.coldTime().high());
        }
        Scenario.Allowed allowed = scenario.allowed();
        Scenario.Rules rules = scenario.rules();
        Scenario.Goal goal = scenario.goal();
        return new BalancerSettings(
                tier.replicas(),
                self,
                zone,
                index,
                tiers.size(),
                scenario.discovery().ask(),
                List.copyOf(kinds),
                List.copyOf(tenants),
                new BalancerSettings.Limits(
                        allowed.probes(),
                        allowed.cancel(),
                        allowed.secondCopies(),
                        allowed.retryAfter(),
                        allowed.attempts(),
                        scenario.clients().maxRetryAfter(),
                        tier.connectTimeout(),
                        tier.idle()),
                new BalancerSettings.SafetyRules(
                        rules.drainGrace(),
                        coldShare,
                        (long) rampTime,
                        rules.fallMultiple(),
                        rules.fallWindow(),
                        scenario.discovery().askWithin()),
                new BalancerSettings.ServiceGoal(
                        goal.whole(),
                        goal.worstWindow(),
                        goal.worstClass(),
                        goal.worstTenant(),
                        goal.overShareWorth(),
                        true),
                new BalancerSettings.ServicePrices(scenario.prices().probe(), 0));
    }
}
