package cedarrudder.program;

import cedarrudder.adminoverride.AdminOverrides;
import cedarrudder.balancer.LoadBalancer.EndpointStatus;
import cedarrudder.draining.DrainableNode;
import cedarrudder.draining.DrainableNode.Standing;
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
    private final AdminOverrides rotation;
    private final EndpointConnectionPool channels;
    private final EndpointListParser reader;
    private final RequestMetrics figures;
    private final LongSupplier clock;

    /**
     * @param clock the machine's, in milliseconds since 1970
     */
    LocalTrafficView(
            SiteSettings site,
            AdminOverrides rotation,
            EndpointConnectionPool channels,
            EndpointListParser reader,
            RequestMetrics figures,
            LongSupplier clock) {
        this.site = site;
        this.rotation = rotation;
        this.channels = channels;
        this.reader = reader;
        this.figures = figures;
        this.clock = clock;
    }

    /** What discovery lists, each with whether it serves as far as this replica can tell. */
    Collection<DrainableNode> nodes() {
        int tier = site.module().tier();
        String name = named(site.tiers(), tier);
        Set<String> disabled = rotation.disabled();
        List<DrainableNode> nodes = new ArrayList<>();
        rotation.listed()
                .forEach(
                        (id, entry) ->
                                nodes.add(
                                        new DrainableNode(
                                                entry.id(),
                                                name,
                                                named(site.zones(), entry.zone()),
                                                entry.cell(),
                                                named(site.kinds(), entry.kind()),
                                                entry.weight(),
                                                disabled.contains(id)
                                                        ? Standing.DISABLED
                                                        : entry.status() == EndpointStatus.DRAINING
                                                                ? Standing.TERMINATING
                                                                : channels.isFailing(entry.id())
                                                                        ? Standing.FAILED
                                                                        : Standing.SERVING,
                                                reader.startMillis(id))));
        return nodes;
    }

    private static String named(List<String> names, int index) {
        return index >= 0 && index < names.size() ? names.get(index) : "";
    }

    /** Attempts in flight, by endpoint. */
    Map<Long, Integer> attemptsInFlight() {
        return channels.attemptsInFlight();
    }

    /** The numbers of listed endpoints that are left out here by hand. */
    Set<Long> disabled() {
        return rotation.disabled().stream()
                .filter(rotation.listed()::containsKey)
                .map(id -> rotation.listed().get(id).id())
                .collect(Collectors.toSet());
    }

    /** What became of all calls since the start. */
    TrafficSample ended() {
        long served = 0;
        long refused = 0;
        long failed = 0;
        for (int i = 0; i < figures.classes(); i++) {
            served += figures.ended(i, End.SERVED);
            refused += figures.ended(i, End.REJECTED);
            failed += figures.ended(i, End.FAILED);
        }
        // Differences are what counts: these may pass the largest number and begin anew.
        return new TrafficSample(
                (int) (served + refused + failed),
                (int) refused,
                (int) failed,
                (int) figures.deadlinesMissed());
    }

    /** What the machine's clock says; milliseconds since 1970. */
    long wallClock() {
        return clock.getAsLong();
    }
}
