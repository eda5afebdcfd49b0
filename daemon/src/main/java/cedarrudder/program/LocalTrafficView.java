package cedarrudder.program;

import cedarrudder.adminoverride.AdminOverrides;
import cedarrudder.balancer.LoadBalancer.EndpointStatus;
import cedarrudder.draining.DrainableNode;
import cedarrudder.draining.DrainableNode.NodeStatus;
import cedarrudder.draining.TrafficSample;
import cedarrudder.metrics.RequestMetrics;
import cedarrudder.metrics.RequestMetrics.End;
import cedarrudder.protocol.EndpointListParser;
import cedarrudder.protocol.SiteSettings;
import cedarrudder.transport.EndpointConnectionPool;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;

/** The endpoints and the traffic that this replica observes. Runs on the loop's thread. */
final class LocalTrafficView {

    private final SiteSettings site;
    private final AdminOverrides overrides;
    private final EndpointConnectionPool connections;
    private final EndpointListParser listParser;
    private final RequestMetrics metrics;
    private final LongSupplier wallClock;

    /**
     * Creates the view.
     *
     * @param wallClock the machine's clock, in milliseconds since 1970
     */
    LocalTrafficView(
            SiteSettings site,
            AdminOverrides overrides,
            EndpointConnectionPool connections,
            EndpointListParser listParser,
            RequestMetrics metrics,
            LongSupplier wallClock) {
        this.site = site;
        this.overrides = overrides;
        this.connections = connections;
        this.listParser = listParser;
        this.metrics = metrics;
        this.wallClock = wallClock;
    }

    /**
     * Returns the endpoints that discovery lists, each with its status as this replica observes it.
     */
    Collection<DrainableNode> nodes() {
        int tier = site.module().tier();
        String name = nameAt(site.tiers(), tier);
        Set<String> disabled = overrides.disabled();
        List<DrainableNode> nodes = new ArrayList<>();
        overrides
                .listed()
                .forEach(
                        (id, entry) ->
                                nodes.add(
                                        new DrainableNode(
                                                entry.id(),
                                                name,
                                                nameAt(site.zones(), entry.zone()),
                                                entry.cell(),
                                                nameAt(site.kinds(), entry.kind()),
                                                entry.weight(),
                                                disabled.contains(id)
                                                        ? NodeStatus.DISABLED
                                                        : entry.status() == EndpointStatus.DRAINING
                                                                ? NodeStatus.TERMINATING
                                                                : connections.isFailing(entry.id())
                                                                        ? NodeStatus.FAILED
                                                                        : NodeStatus.SERVING,
                                                listParser.startMillis(id))));
        return nodes;
    }

    private static String nameAt(List<String> names, int index) {
        return index >= 0 && index < names.size() ? names.get(index) : "";
    }

    /** Returns the attempts in flight, by endpoint. */
    Map<Long, Integer> attemptsInFlight() {
        return connections.attemptsInFlight();
    }

    /** Returns the numbers of listed endpoints that operators have disabled here. */
    Set<Long> disabled() {
        return overrides.disabled().stream()
                .filter(overrides.listed()::containsKey)
                .map(id -> overrides.listed().get(id).id())
                .collect(Collectors.toSet());
    }

    /** Returns the outcomes of all requests since the start. */
    TrafficSample requestTotals() {
        long served = 0;
        long refused = 0;
        long failed = 0;
        for (int i = 0; i < metrics.classes(); i++) {
            served += metrics.ended(i, End.SERVED);
            refused += metrics.ended(i, End.REJECTED);
            failed += metrics.ended(i, End.FAILED);
        }
        // Only differences are used: these counters may overflow and start again.
        return new TrafficSample(
                (int) (served + refused + failed),
                (int) refused,
                (int) failed,
                (int) metrics.deadlinesMissed());
    }

    /** Returns the machine's time, in milliseconds since 1970. */
    long wallClock() {
        return wallClock.getAsLong();
    }
}
