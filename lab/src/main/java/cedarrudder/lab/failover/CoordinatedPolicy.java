package cedarrudder.lab.failover;

import cedarrudder.balancer.LoadBalancer.EndpointListKind;
import cedarrudder.consensus.ConsensusSettings;
import cedarrudder.coordination.CoordinatedReplica;
import cedarrudder.coordination.CoordinationSettings;
import cedarrudder.coordination.DrainCoordination;
import cedarrudder.coordination.FailoverTraffic;
import cedarrudder.coordination.TierView;
import cedarrudder.coordination.TrafficCoordination;
import cedarrudder.failover.FailoverCoordinator;
import cedarrudder.failover.FailoverSettings;
import cedarrudder.failover.Regions;
import cedarrudder.failover.Regions.Region;
import cedarrudder.failover.ZoneTrafficCounter;
import cedarrudder.footprint.RouteTableCapacity;
import cedarrudder.lab.checker.HistoryEvent;
import cedarrudder.lab.consensus.ConsensusSimulation.Network;
import cedarrudder.lab.coordination.CoordinationSimulation;
import cedarrudder.routetable.RouteTable;
import cedarrudder.routetable.RouteTable.ZoneRoute;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/** Replicas that decide in common: the parts that the daemon has, with their datagrams. */
final class CoordinatedPolicy extends Policy {

    static final FailoverSettings SETTINGS =
            FailoverSettings.DEFAULT.regions(
                    new Regions(
                            List.of(
                                    new Region("east", List.of("a", "b", "c"), List.of()),
                                    new Region("west", List.of("d", "e"), List.of()))));

    private static final long MIN_DELAY = 2 * Site.MILLI;
    private static final long MAX_DELAY = 21 * Site.MILLI;

    /** More calls a second than are sent to a zone so that it is seen, with their repeats. */
    private static final double WATCHED = 30;

    /** What makes a replica's plan, so that a broken one can be put in its place. */
    interface Maker {
        /** The shares of a replica, and where to tell of the tables it loads. */
        Part make(FailoverSettings settings, int[] zoneOf, ZoneTrafficCounter tally, long now);
    }

    /** One replica's part in it. */
    record Part(TrafficCoordination shares, Consumer<RouteTable> loaded) {}

    /** As it is built. */
    static Part real(
            FailoverSettings settings,
            int[] zoneOf,
            ZoneTrafficCounter tally,
            long now,
            Site site) {
        FailoverCoordinator failover =
                new FailoverCoordinator(settings, Site.NAMES, zoneOf, tally, now);
        return new Part(
                new FailoverTraffic(failover), table -> failover.onTableLoaded(site.now(), table));
    }

    private final Site site;
    private final Consumer<HistoryEvent> listener;
    private final CoordinationSimulation world;
    private final int[] zoneOf;
    private final Part[] parts;
    private final RouteTable[] held;
    private final long[] incarnations;
    private final long startedAt;
    private final long worldStartedAt;
    private final boolean keepsPastLease;
    private final boolean[][] said = new boolean[Site.ZONES * Site.REPLICAS][Site.ZONES];
    private final long[] capacities = new long[Site.ZONES];
    private long reportedAt;

    /**
     * @param settings as the operator's file has them
     * @param maker null: what is built
     * @param keepsPastLease a broken one, that goes on with a table whose lease is over
     * @param listener hears what a judge needs
     */
    CoordinatedPolicy(
            Site site,
            FailoverSettings settings,
            Maker maker,
            boolean keepsPastLease,
            double loss,
            long seed,
            Consumer<HistoryEvent> listener) {
        this.site = site;
        this.listener = listener;
        this.keepsPastLease = keepsPastLease;
        this.zoneOf = Arrays.stream(site.replicas).mapToInt(replica -> replica.zone).toArray();
        this.parts = new Part[zoneOf.length];
        this.held = new RouteTable[zoneOf.length];
        this.incarnations = new long[zoneOf.length];
        this.startedAt = site.now();
        this.world =
                new CoordinationSimulation(
                        zoneOf,
                        new Network(loss, 0.01, 0, MIN_DELAY, MAX_DELAY),
                        false,
                        seed,
                        (zones, self, incarnation, store, random, outlet, now) -> {
                            SimulatedReplica replica = site.replicas[self];
                            replica.tally =
                                    new ZoneTrafficCounter(
                                            self,
                                            replica.zone,
                                            incarnation,
                                            Site.ZONES,
                                            settings.period(),
                                            SimulatedReplica.SAFETY,
                                            site.now());
                            replica.tally.onEndpoints(EndpointListKind.FULL, site.list());
                            incarnations[self] = incarnation;
                            held[self] = null;
                            parts[self] =
                                    maker == null
                                            ? real(settings, zones, replica.tally, site.now(), site)
                                            : maker.make(
                                                    settings, zones, replica.tally, site.now());
                            return new CoordinatedReplica(
                                    zones,
                                    self,
                                    incarnation,
                                    ConsensusSettings.DEFAULT,
                                    CoordinationSettings.DEFAULT,
                                    store,
                                    random,
                                    new OnSiteTime(parts[self].shares),
                                    DrainCoordination.NONE,
                                    () -> RouteTableCapacity.ANY,
                                    outlet,
                                    now);
                        },
                        this::hears);
        this.worldStartedAt = world.now();
        for (SimulatedReplica replica : site.replicas) {
            say(replica.number, "placed", Map.of("zone", Integer.toString(replica.zone)));
            say(replica.number, "started", Map.of());
            say(replica.number, "speaks", Map.of());
        }
        world.form(0);
    }

    /**
     * What a replica counts runs on the time of the site, which its own clock is beside by a part
     * in 1,000.
     */
    private final class OnSiteTime implements TrafficCoordination {
        private final TrafficCoordination shares;

        OnSiteTime(TrafficCoordination shares) {
            this.shares = shares;
        }

        @Override
        public List<byte[]> reportParts(long now) {
            return shares.reportParts(site.now());
        }

        @Override
        public void onReportPart(long now, int from, byte[] part) {
            shares.onReportPart(site.now(), from, part);
        }

        @Override
        public List<ZoneRoute> plan(long now, TierView tier) {
            return shares.plan(
                    site.now(),
                    new TierView() {
                        @Override
                        public int replicas() {
                            return tier.replicas();
                        }

                        @Override
                        public int self() {
                            return tier.self();
                        }

                        @Override
                        public int zone(int replica) {
                            return tier.zone(replica);
                        }

                        @Override
                        public boolean isAlive(int replica) {
                            return tier.isAlive(replica);
                        }

                        @Override
                        public RouteTable agreed() {
                            return tier.agreed();
                        }

                        @Override
                        public long leaseEndsAt(int replica) {
                            return site.now() + tier.leaseEndsAt(replica) - now;
                        }
                    });
        }

        @Override
        public void onLeadership(long now, boolean leads) {
            shares.onLeadership(site.now(), leads);
        }
    }

    /**
     * What replicas say, but for their starts, which are told once it is known what life that is.
     */
    private void hears(HistoryEvent event) {
        if (!event.what().equals("started")) {
            say(event.replica(), event.what(), event.fields());
        }
    }

    private long incarnation(int replica) {
        return replica < 0 ? 0 : (long) replica << 16 | incarnations[replica];
    }

    private void say(int replica, String what, Map<String, String> fields) {
        listener.accept(new HistoryEvent(site.now(), replica, incarnation(replica), what, fields));
    }

    // ---- time ----

    @Override
    void step(Site of) {
        world.play(site.now() - startedAt - (world.now() - worldStartedAt));
        boolean says = site.now() - reportedAt >= SETTINGS.period();
        for (SimulatedReplica replica : site.replicas) {
            if (!replica.up || replica.stalled()) {
                continue;
            }
            RouteTable uses = world.uses(replica.number);
            if (uses == null && keepsPastLease) {
                uses = held[replica.number];
            }
            if (uses != null && uses != held[replica.number]) {
                parts[replica.number].loaded.accept(uses);
                apply(replica, uses);
            } else if (uses == null) {
                replica.near();
            }
            held[replica.number] = uses;
            if (says && uses != null) {
                say(replica.number, "used", Map.of("number", Long.toString(uses.number())));
            }
            if (says) {
                saw(replica);
            }
        }
        for (int zone = 0; zone < Site.ZONES && says; zone++) {
            // The watch share goes to one that is lost; the judge is not to take that for too much.
            long now = Math.round(Math.max(WATCHED, site.capacity(zone)));
            if (Math.abs(now - capacities[zone]) > capacities[zone] / 20) {
                capacities[zone] = now;
                say(
                        -1,
                        "capacity",
                        Map.of("zone", Integer.toString(zone), "per_s", Long.toString(now)));
            }
        }
        reportedAt = says ? site.now() : reportedAt;
    }

    private void saw(SimulatedReplica replica) {
        for (int zone = 0; zone < Site.ZONES; zone++) {
            int[] saw = replica.saw[zone];
            boolean any = saw[0] + saw[1] + saw[2] > 0;
            if (any || said[replica.number][zone]) {
                say(
                        replica.number,
                        "saw",
                        Map.of(
                                "zone",
                                Integer.toString(zone),
                                "served",
                                Integer.toString(saw[0]),
                                "failed",
                                Integer.toString(saw[1]),
                                "silent",
                                Integer.toString(saw[2]),
                                "span",
                                Long.toString(site.now() - reportedAt)));
            }
            said[replica.number][zone] = any;
            Arrays.fill(saw, 0);
        }
    }

    /** The bound on a zone's calls is divided among the replicas of it that are there. */
    private void apply(SimulatedReplica replica, RouteTable table) {
        Arrays.fill(replica.shares, 0);
        Arrays.fill(replica.bounds, 0);
        for (ZoneRoute share : table.routes()) {
            if (share.from() == replica.zone) {
                replica.shares[share.to()] = share.weight() / (double) RouteTable.TOTAL_WEIGHT;
                replica.bounds[share.to()] = share.maxPerSecond() / (double) Site.REPLICAS;
            }
        }
    }

    // ---- faults ----

    int leader() {
        return world.leader();
    }

    void kill(int replica) {
        world.kill(replica);
        say(replica, "silent", Map.of());
        say(replica, "ended", Map.of());
    }

    void restart(int replica) {
        world.restart(replica);
        say(replica, "started", Map.of());
        say(replica, "speaks", Map.of());
    }

    void stall(int replica, long length) {
        world.stall(replica, length);
        say(replica, "stopped", Map.of());
        site.after(length, () -> say(replica, "continued", Map.of()));
    }

    /** Datagrams between a replica and all others pass, or don't. */
    void link(int replica, boolean passes) {
        for (int other = 0; other < zoneOf.length; other++) {
            if (other != replica) {
                way(replica, other, passes);
                way(other, replica, passes);
            }
        }
    }

    private void way(int from, int to, boolean passes) {
        world.cut(from, to, !passes);
        say(from, passes ? "healed" : "cut", Map.of("to", Integer.toString(to)));
    }

    /** Nothing passes between a zone's replicas and all others, or all does. */
    void cutOff(int zone, boolean off) {
        List<Integer> these = new ArrayList<>();
        for (SimulatedReplica replica : site.replicas) {
            if (replica.zone == zone) {
                these.add(replica.number);
            }
        }
        if (off) {
            world.cutOff(these);
        } else {
            world.heal();
        }
        for (int one : these) {
            for (SimulatedReplica other : site.replicas) {
                if (other.zone != zone) {
                    say(one, off ? "cut" : "healed", Map.of("to", Integer.toString(other.number)));
                    say(other.number, off ? "cut" : "healed", Map.of("to", Integer.toString(one)));
                }
            }
        }
    }

    /** The newest table that any replica uses; null where none does. */
    RouteTable newest() {
        RouteTable newest = null;
        for (RouteTable table : held) {
            newest =
                    table != null && (newest == null || table.number() > newest.number())
                            ? table
                            : newest;
        }
        return newest;
    }
}
