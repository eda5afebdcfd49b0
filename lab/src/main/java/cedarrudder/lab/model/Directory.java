package cedarrudder.lab.model;

import cedarrudder.balancer.LoadBalancer.Endpoint;
import cedarrudder.balancer.LoadBalancer.EndpointListKind;
import cedarrudder.balancer.LoadBalancer.EndpointStatus;
import cedarrudder.lab.scenario.Scenario;
import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Discovery: one service that lists the nodes of all tiers. It learns late of what happens, knows
 * only of processes that run, drain or are gone, and serves calls in turn.
 */
public final class Directory {

    /**
     * A proxy that is this many changes behind, as a share of the list, is told the whole of it.
     */
    private static final double FAR_BEHIND = 0.5;

    /** One that lacks fewer changes than this is told these. */
    private static final int FEW = 16;

    /** A line of a list as a proxy holds it, and where the node is reached. */
    public record Entry(Endpoint told, Node node) {}

    private final Run run;
    private final Scenario.Discovery figures;
    private final RandomGenerator random;
    private final List<Listing> listings = new ArrayList<>();
    private long workerFreeAt;
    private int down;
    private long outages;

    Directory(Run run) {
        this.run = run;
        this.figures = run.scenario.discovery();
        this.random = run.streams.of(Streams.Concern.DISCOVERY, 0);
        for (int i = 0; i < run.world.tiers.size(); i++) {
            listings.add(new Listing(i));
        }
    }

    public Listing listing(int tier) {
        return listings.get(tier);
    }

    /** The list of one tier. */
    public final class Listing {
        private final int tier;
        private final List<Line> lines = new ArrayList<>();
        private final LongMap<Line> byId = new LongMap<>();
        private final List<DiscoveryClientModel> watchers = new ArrayList<>();
        private int listed;
        private long version = 1;
        private long published = 1;
        private final Task publishing =
                new Task() {
                    @Override
                    protected void run() {
                        publish();
                    }
                };

        Listing(int tier) {
            this.tier = tier;
        }

        public long version() {
            return published;
        }

        private void set(Node node, long endpoint, EndpointStatus state, long startedAt) {
            Line line = byId.get(endpoint);
            if (line == null) {
                line = new Line();
                line.node = node;
                byId.put(endpoint, line);
                lines.add(line);
                listed++;
            } else if (line.told.status() == EndpointStatus.REMOVED
                    && state != EndpointStatus.REMOVED) {
                listed++;
            }
            listed -=
                    state == EndpointStatus.REMOVED
                                    && (line.told == null
                                            || line.told.status() != EndpointStatus.REMOVED)
                            ? 1
                            : 0;
            double size = node.kind.cores() * node.kind.speed();
            line.told =
                    new Endpoint(
                            endpoint,
                            node.zone,
                            node.machine.kind(),
                            node.machine.cell(),
                            state,
                            Math.max(0.5, Math.rint(2 * size) / 2),
                            startedAt);
            line.changedIn = ++version;
            if (publishing.place < 0) {
                long start = run.start;
                long periods = (long) ((run.agenda.now() - start) / run.world.listPeriod) + 1;
                run.agenda.at(start + (long) (periods * run.world.listPeriod), publishing);
            }
        }

        /** Tells the watchers, in the order in which they asked, of what has changed. */
        private void publish() {
            published = version;
            if (down > 0) {
                return;
            }
            for (DiscoveryClientModel who : List.copyOf(watchers)) {
                if (who.deliveredVersion() < version) {
                    tell(who, who.deliveredVersion());
                }
            }
        }

        /** The whole list as it is published. */
        public void whole(List<Endpoint> list, List<Node> nodes) {
            for (Line line : lines) {
                if (line.told.status() != EndpointStatus.REMOVED) {
                    list.add(line.told);
                    nodes.add(line.node);
                }
            }
        }

        private boolean farBehind(long since) {
            return version - since > Math.max(FEW, FAR_BEHIND * lines.size());
        }

        /** Tells a proxy what has changed since a version, or the whole list if that is much. */
        private int tell(DiscoveryClientModel who, long since) {
            List<Endpoint> list = new ArrayList<>();
            List<Node> nodes = new ArrayList<>();
            boolean whole = since == 0 || farBehind(since);
            if (whole) {
                whole(list, nodes);
            } else {
                for (Line line : lines) {
                    if (line.changedIn > since) {
                        list.add(line.told);
                        nodes.add(line.node);
                    }
                }
            }
            who.deliveredVersion(version);
            who.tellLater(
                    whole ? EndpointListKind.FULL : EndpointListKind.DELTA, list, nodes, version);
            return list.size();
        }

        /** What a call costs, in parts of one that brings the whole list. */
        private double cost(long since) {
            int lacking = listed;
            if (since != 0 && !farBehind(since)) {
                lacking = 0;
                for (Line line : lines) {
                    lacking += line.changedIn > since ? 1 : 0;
                }
            }
            return (run.world.callLines + lacking) / (run.world.callLines + listed);
        }
    }

    private static final class Line {
        Node node;
        Endpoint told;
        long changedIn;
    }

    // ---- what happens to nodes ----

    /** A node that runs since long ago, before the run begins. */
    void listAtOnce(Node node) {
        Listing listing = listings.get(node.tier);
        listing.set(node, node.endpoint, EndpointStatus.READY, 0);
        listing.published = listing.version;
        run.agenda.cancel(listing.publishing);
    }

    /** A machine has started. */
    void started(Node node) {
        long endpoint = node.endpoint;
        long startedAt = node.startedAt;
        int incarnation = node.incarnation;
        after(
                figures.add().draw(random),
                () -> {
                    if (node.incarnation == incarnation) {
                        listings.get(node.tier)
                                .set(node, endpoint, EndpointStatus.READY, startedAt);
                    }
                });
    }

    /** A machine has ended; with {@code silently} it could be told only by its silence. */
    void ended(Node node, boolean silently) {
        long endpoint = node.endpoint;
        after(
                (silently ? figures.silentNotice() : figures.notice()).draw(random),
                () -> {
                    // This avoids late news: what has come back by now is not gone.
                    if (!node.up() || node.endpoint != endpoint || node.draining) {
                        listings.get(node.tier).set(node, endpoint, EndpointStatus.REMOVED, 0);
                    }
                });
    }

    /** A node doesn't answer any more, or answers again. */
    void silence(Node node, boolean begins) {
        long endpoint = node.endpoint;
        int incarnation = node.incarnation;
        after(
                (begins ? figures.silentNotice() : figures.add()).draw(random),
                () -> {
                    if (node.incarnation == incarnation && (node.silent > 0) == begins) {
                        listings.get(node.tier)
                                .set(
                                        node,
                                        endpoint,
                                        begins ? EndpointStatus.REMOVED : EndpointStatus.READY,
                                        node.startedAt);
                    }
                });
    }

    /** A node drains. */
    void draining(Node node) {
        long endpoint = node.endpoint;
        int incarnation = node.incarnation;
        after(
                figures.notice().draw(random),
                () -> {
                    if (node.incarnation == incarnation) {
                        listings.get(node.tier)
                                .set(node, endpoint, EndpointStatus.DRAINING, node.startedAt);
                    }
                });
    }

    private void after(double delay, Runnable news) {
        run.agenda.at(
                run.agenda.now() + (long) delay,
                new Task() {
                    @Override
                    protected void run() {
                        news.run();
                    }
                });
    }

    // ---- calls ----

    /** Opens a watch: what has changed since the version held comes first. */
    public void watch(DiscoveryClientModel who) {
        listings.get(who.tier()).watchers.remove(who);
        call(who, true);
    }

    public void unwatch(DiscoveryClientModel who) {
        listings.get(who.tier()).watchers.remove(who);
    }

    /** Sends the whole list once. */
    public void fetch(DiscoveryClientModel who) {
        call(who, false);
    }

    private void call(DiscoveryClientModel who, boolean watch) {
        run.agenda.at(
                run.agenda.now() + run.network.nodes(who.zone(), who.zone()),
                new Task() {
                    @Override
                    protected void run() {
                        come(who, watch);
                    }
                });
    }

    /** A call takes its turn at the one worker, or fails after having waited too long. */
    private void come(DiscoveryClientModel who, boolean watch) {
        long now = run.agenda.now();
        Listing listing = listings.get(who.tier());
        long since = watch ? who.deliveredVersion() : 0;
        long begins = Math.max(now, workerFreeAt);
        if (down > 0 || begins - now > figures.timeout()) {
            fail(who, now + figures.timeout());
            return;
        }
        workerFreeAt = begins + (long) (1e9 / run.world.callsPerSecond * listing.cost(since));
        long outage = outages;
        run.agenda.at(
                workerFreeAt,
                new Task() {
                    @Override
                    protected void run() {
                        if (!who.alive()) {
                            return;
                        }
                        if (outages != outage) {
                            who.failLater();
                            return;
                        }
                        if (watch) {
                            listing.watchers.remove(who);
                            listing.watchers.add(who);
                        }
                        listing.tell(who, watch ? who.deliveredVersion() : 0);
                    }
                });
    }

    private void fail(DiscoveryClientModel who, long at) {
        run.agenda.at(
                at,
                new Task() {
                    @Override
                    protected void run() {
                        if (who.alive()) {
                            who.failLater();
                        }
                    }
                });
    }

    // ---- troubles ----

    /** It answers nothing, and its watches break. */
    void goDown() {
        down++;
        outages++;
        for (Listing listing : listings) {
            for (DiscoveryClientModel who : listing.watchers) {
                who.failLater();
            }
            listing.watchers.clear();
        }
    }

    void comeBack() {
        down--;
        if (down == 0 && !figures.ask()) {
            for (Listing listing : listings) {
                run.proxiesTo(listing.tier).forEach(Proxy::tellAgain);
            }
        }
    }
}
