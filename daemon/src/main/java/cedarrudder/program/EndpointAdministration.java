package cedarrudder.program;

import cedarrudder.adminoverride.AdminOverrides;
import cedarrudder.adminoverride.AdminOverrides.NamedEndpoint;
import cedarrudder.balancer.LoadBalancer.Endpoint;
import cedarrudder.balancer.LoadBalancer.EndpointListKind;
import cedarrudder.balancer.LoadBalancer.EndpointStatus;
import cedarrudder.forwarding.RequestForwarder;
import cedarrudder.logging.Logger;
import cedarrudder.protocol.EndpointList;
import cedarrudder.transport.ProxyEventLoop;
import java.util.List;
import java.util.Set;

/**
 * Shows the forwarder the endpoint list with the operators' overrides laid over it, and carries
 * those out. It belongs to the event loop.
 */
final class EndpointAdministration {

    /** How often an endpoint that was put back is probed, and how many times. */
    private static final long PROBE_INTERVAL_NANOS = 1_000_000_000L;

    private static final int PROBES_AFTER_RETURN = 5;

    private final ProxyEventLoop loop;
    private final Logger log;
    private final RequestForwarder<?, ?> forwarder;
    private final AdminOverrides overrides = new AdminOverrides();

    EndpointAdministration(ProxyEventLoop loop, Logger log, RequestForwarder<?, ?> forwarder) {
        this.loop = loop;
        this.log = log;
        this.forwarder = forwarder;
    }

    AdminOverrides overrides() {
        return overrides;
    }

    /** A list came from discovery, or changes to it. */
    void onEndpoints(EndpointListKind kind, EndpointList list) {
        List<NamedEndpoint> named =
                list.nodes().stream()
                        .map(node -> new NamedEndpoint(node.name(), node.endpoint()))
                        .toList();
        forwarder.endpointsUpdated(kind, overrides.updateListed(kind, named));
    }

    /** An operator disables an endpoint; without effect where it is disabled. */
    void disable(String name) {
        if (!overrides.disabled().contains(name)) {
            overrides.disable(name);
            log.info("endpoint.disabled").with("endpoint", name).write();
            show(name);
        }
    }

    /** An operator enables an endpoint; without effect where it is not disabled. */
    void enable(String name) {
        if (overrides.disabled().contains(name)) {
            overrides.enable(name, loop.now());
            log.info("endpoint.enabled").with("endpoint", name).write();
            show(name);
            probe(name, PROBES_AFTER_RETURN);
        }
    }

    /** These endpoints are drained in common; those that no longer are come back. */
    void setDraining(Set<Long> endpoints) {
        for (String name : overrides.setDraining(endpoints, loop.now())) {
            if (overrides.effectiveEndpoint(name).status() == EndpointStatus.READY) {
                log.info("endpoint.drain_ended").with("endpoint", name).write();
            } else {
                log.info("endpoint.drain_started").with("endpoint", name).write();
            }
            show(name);
            probe(name, PROBES_AFTER_RETURN);
        }
    }

    /** The balancer is to see an endpoint anew, where it is listed. */
    private void show(String name) {
        Endpoint entry = overrides.effectiveEndpoint(name);
        if (entry != null) {
            forwarder.endpointsUpdated(EndpointListKind.DELTA, List.of(entry));
        }
    }

    /**
     * Probes an endpoint that is back now and for a while, since it may still be starting. It would
     * else stand idle: the balancer sends mostly to endpoints whose load it knows, and with few
     * requests it probes few of them.
     */
    private void probe(String name, int times) {
        Endpoint entry = overrides.effectiveEndpoint(name);
        if (entry != null && entry.status() == EndpointStatus.READY && times > 0) {
            forwarder.endpointReenabled(entry.id());
            loop.at(loop.now() + PROBE_INTERVAL_NANOS, () -> probe(name, times - 1));
        }
    }
}
