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
 * Passes the endpoint list, with the operators' overrides applied, to the forwarder, and carries
 * out changes of these overrides. Belongs to the event loop.
 */
final class EndpointAdministration {

    /**
     * The interval at which an endpoint is probed after it is enabled again or its drain has ended.
     */
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

    /** Applies a full list or changes of it from discovery. */
    void onEndpoints(EndpointListKind kind, EndpointList list) {
        List<NamedEndpoint> named =
                list.nodes().stream()
                        .map(node -> new NamedEndpoint(node.name(), node.endpoint()))
                        .toList();
        forwarder.endpointsUpdated(kind, overrides.updateListed(kind, named));
    }

    /** Disables an endpoint; has no effect where it is disabled already. */
    void disable(String name) {
        if (!overrides.disabled().contains(name)) {
            overrides.disable(name);
            log.info("endpoint.disabled").with("endpoint", name).write();
            publish(name);
        }
    }

    /** Enables an endpoint; has no effect where it is not disabled. */
    void enable(String name) {
        if (overrides.disabled().contains(name)) {
            overrides.enable(name, loop.now());
            log.info("endpoint.enabled").with("endpoint", name).write();
            publish(name);
            probe(name, PROBES_AFTER_RETURN);
        }
    }

    /**
     * Sets the endpoints that all replicas drain; endpoints that are no longer among them return to
     * service.
     */
    void setDraining(Set<Long> endpoints) {
        for (String name : overrides.setDraining(endpoints, loop.now())) {
            if (overrides.effectiveEndpoint(name).status() == EndpointStatus.READY) {
                log.info("endpoint.drain_ended").with("endpoint", name).write();
            } else {
                log.info("endpoint.drain_started").with("endpoint", name).write();
            }
            publish(name);
            probe(name, PROBES_AFTER_RETURN);
        }
    }

    /** Passes the current state of an endpoint to the balancer, where the endpoint is listed. */
    private void publish(String name) {
        Endpoint entry = overrides.effectiveEndpoint(name);
        if (entry != null) {
            forwarder.endpointsUpdated(EndpointListKind.DELTA, List.of(entry));
        }
    }

    /**
     * Probes an endpoint that returned to service now and several more times, since it may still be
     * starting. Otherwise it would stay idle: the balancer sends mostly to endpoints whose load it
     * knows, and with few requests it probes few of them.
     */
    private void probe(String name, int times) {
        Endpoint entry = overrides.effectiveEndpoint(name);
        if (entry != null && entry.status() == EndpointStatus.READY && times > 0) {
            forwarder.endpointReenabled(entry.id());
            loop.at(loop.now() + PROBE_INTERVAL_NANOS, () -> probe(name, times - 1));
        }
    }
}
