package cedarrudder.program;

import cedarrudder.adminoverride.AdminOverrides;
import cedarrudder.budget.BudgetSettings;
import cedarrudder.budget.Budgets;
import cedarrudder.draining.DrainPolicy;
import cedarrudder.failover.FailoverSettings;
import cedarrudder.footprint.RouteTableCapacity;
import cedarrudder.forwarding.RequestForwarder;
import cedarrudder.logging.Logger;
import cedarrudder.membership.MembershipSettings;
import cedarrudder.metrics.RequestMetrics;
import cedarrudder.operator.AgreementTableSettings;
import cedarrudder.operator.DrainsConfiguration;
import cedarrudder.protocol.EndpointListParser;
import cedarrudder.routetable.RouteTable;
import cedarrudder.transport.EndpointConnectionPool;
import cedarrudder.transport.MembershipService;
import cedarrudder.transport.PeerSocket;
import cedarrudder.transport.ProxyEventLoop;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.LongSupplier;

/**
 * Creates the optional subsystems of a proxy from its configuration and the operator's file, and
 * checks each against the other. A subsystem is null where the operator's file has no table for it.
 */
final class ReplicaWiring {

    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final ProxyConfiguration configuration;
    private final ProxyEventLoop loop;
    private final PeerSocket peers;
    private final RequestForwarder<?, ?> forwarder;
    private final LongSupplier wallClock;
    private final HistoryFile history;
    private final Logger log;

    /**
     * Creates the wiring of one replica.
     *
     * @param wallClock the machine's clock, in milliseconds
     * @param history null where none is written
     */
    ReplicaWiring(
            ProxyConfiguration configuration,
            ProxyEventLoop loop,
            PeerSocket peers,
            RequestForwarder<?, ?> forwarder,
            LongSupplier wallClock,
            HistoryFile history,
            Logger log) {
        this.configuration = configuration;
        this.loop = loop;
        this.peers = peers;
        this.forwarder = forwarder;
        this.wallClock = wallClock;
        this.history = history;
        this.log = log;
    }

    /**
     * Returns the budgets of this tier.
     *
     * @throws IllegalArgumentException where they don't fit the site
     */
    static Budgets budgets(BudgetSettings settings, ProxyConfiguration configuration, Logger log) {
        if (settings == null) {
            return null;
        }
        var site = configuration.site();
        int tier = site.module().tier();
        if (settings.maxHops() < site.module().tierCount()) {
            throw new IllegalArgumentException(
                    "budget.path_most: found "
                            + settings.maxHops()
                            + " with "
                            + site.module().tierCount()
                            + " tiers; allowed: no less than there are tiers");
        }
        String hop = tier < site.tiers().size() ? site.tiers().get(tier) : "tier-" + tier;
        return new Budgets(
                settings.withDefaultHop(hop),
                site.module(),
                // Separate from the balancer's random numbers, so that neither sequence can be
                // predicted from the other.
                new SplittableRandom(configuration.seed()).split(),
                new BudgetEventLogger(log));
    }

    /**
     * Returns the membership of this tier's replicas.
     *
     * @throws IllegalArgumentException where the configuration names no peers
     */
    MembershipService membership(MembershipSettings settings) {
        if (settings == null) {
            return null;
        }
        var module = configuration.site().module();
        int replicas = configuration.peers().size();
        if (configuration.peerListen() == null || replicas < 2 || module.self() >= replicas) {
            throw new IllegalArgumentException(
                    "[membership]: found peer_listen "
                            + configuration.peerListen()
                            + " and "
                            + replicas
                            + " peers with ordinal "
                            + module.self()
                            + "; allowed: an address, and two peers or more, this one among them");
        }
        return new MembershipService(
                loop,
                peers,
                settings,
                replicas,
                module.self(),
                Math.max(0, wallClock.getAsLong()),
                new SplittableRandom(configuration.seed()).split().split(),
                forwarder::liveReplicas,
                history);
    }

    /**
     * Returns the draining by policies.
     *
     * @throws IllegalArgumentException where a policy names a zone that the site does not have
     */
    DrainWiring drains(
            DrainsConfiguration drains,
            AdminOverrides overrides,
            EndpointConnectionPool connections,
            EndpointListParser parser,
            RequestMetrics metrics) {
        if (drains == null) {
            return null;
        }
        List<String> zones = configuration.site().zones();
        for (DrainPolicy policy : drains.policies()) {
            String zone = policy.selector().zone();
            if (!zone.isEmpty() && !zones.contains(zone)) {
                throw new IllegalArgumentException(
                        "drains.policy.zone: found "
                                + zone
                                + " in '"
                                + policy.name()
                                + "'; allowed: "
                                + String.join(", ", zones));
            }
        }
        LocalTrafficView view =
                new LocalTrafficView(
                        configuration.site(), overrides, connections, parser, metrics, wallClock);
        return new DrainWiring(
                loop,
                configuration.peers().size(),
                configuration.site().module().self(),
                drains,
                view,
                history,
                log);
    }

    /**
     * Returns the coordination among the replicas of this tier.
     *
     * @param failover null: no failover between zones
     * @param drains null: endpoints are not drained by policies
     * @param capacity returns the route tables that this replica can load beside a given one
     * @param setDraining receives the endpoints that are being drained, whenever that changes
     * @throws IllegalArgumentException where the settings don't fit the site
     */
    CoordinationWiring coordination(
            AgreementTableSettings settings,
            FailoverSettings failover,
            MembershipService membership,
            DrainWiring drains,
            Function<RouteTable, RouteTableCapacity> capacity,
            Consumer<Set<Long>> setDraining) {
        var module = configuration.site().module();
        int replicas = configuration.peers().size();
        checkLease(settings, replicas);
        int[] zones =
                CoordinationWiring.zones(
                        settings,
                        configuration.site().zones(),
                        replicas,
                        module.self(),
                        module.zone());
        return new CoordinationWiring(
                loop,
                peers,
                membership,
                settings,
                new CoordinationWiring.LocalReplica(
                        zones,
                        module.self(),
                        wallClock,
                        new SplittableRandom(configuration.seed()).split().split().split().split(),
                        capacity),
                forwarder,
                setDraining,
                failover(failover, settings, zones),
                drains,
                history,
                log);
    }

    private static void checkLease(AgreementTableSettings settings, int replicas) {
        long lease = settings.fleet().lease();
        long min = settings.fleet().minLease(replicas);
        if (lease < min) {
            throw new IllegalArgumentException(
                    "agreement.lease_ms: found "
                            + lease / NANOS_PER_MILLI
                            + " with "
                            + replicas
                            + " peers; allowed: "
                            + min / NANOS_PER_MILLI
                            + " or more");
        }
    }

    private FailoverWiring failover(
            FailoverSettings failover, AgreementTableSettings settings, int[] zones) {
        if (failover == null) {
            return null;
        }
        return new FailoverWiring(
                failover,
                configuration.site(),
                settings.fleet().reportInterval(configuration.peers().size()),
                zones,
                Math.max(1, wallClock.getAsLong()),
                loop.now(),
                forwarder,
                history,
                log);
    }
}
