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

/** What this replica sees of endpoints and calls. On the loop's thread. */
final class LocalTrafficView {

    private final SiteSettings site;
    private final AdminOverrides overrides;
    private final EndpointConnectionPool connections;
    private final EndpointListParser listParser;
    private final RequestMetrics metrics;
    private final LongSupplier wallClock;

    /**
     * @param wallClock the machine's, in milliseconds since 1970
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

    /** What discovery lists, each with whether it serves as far as this replica can tell. */
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

    /** Attempts in flight, by endpoint. */
    Map<Long, Integer> attemptsInFlight() {
        return connections.attemptsInFlight();
    }

    /** The numbers of listed endpoints that are left out here by hand. */
    Set<Long> disabled() {
        return overrides.disabled().stream()
                .filter(overrides.listed()::containsKey)
                .map(id -> overrides.listed().get(id).id())
                .collect(Collectors.toSet());
    }

    /** What became of all calls since the start. */
    TrafficSample requestTotals() {
        long served = 0;
        long refused = 0;
        long failed = 0;
        for (int i = 0; i < metrics.classes(); i++) {
            served += metrics.ended(i, End.SERVED);
            refused += metrics.ended(i, End.REJECTED);
            failed += metrics.ended(i, End.FAILED);
        }
        // Differences are what counts: these may pass the largest number and begin anew.
        return new TrafficSample(
                (int) (served + refused + failed),
                (int) refused,
                (int) failed,
                (int) metrics.deadlinesMissed());
    }

    /** What the machine's clock says; milliseconds since 1970. */
    long wallClock() {
        return wallClock.getAsLong();
    }
}
