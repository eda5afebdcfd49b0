package cedarrudder.adminoverride;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import cedarrudder.adminoverride.AdminOverrides.NamedEndpoint;
import cedarrudder.balancer.LoadBalancer.Endpoint;
import cedarrudder.balancer.LoadBalancer.EndpointListKind;
import cedarrudder.balancer.LoadBalancer.EndpointStatus;
import java.util.List;
import java.util.Set;
import org.testng.annotations.Test;

/** Tests how the balancer sees endpoints that operators have disabled or that replicas drain. */
public class AdminOverridesTest {

    private static NamedEndpoint named(String name, EndpointStatus status, long startedAt) {
        return new NamedEndpoint(
                name, new Endpoint(name.hashCode(), 0, 0, 0, status, 1, startedAt));
    }

    private static EndpointStatus updateAndGetStatus(
            AdminOverrides overrides, EndpointListKind kind, NamedEndpoint... entries) {
        return overrides.updateListed(kind, List.of(entries)).get(0).status();
    }

    /** An update of discovery must not enable a disabled endpoint. */
    @Test
    public void disabledEndpointDrainsWhateverDiscoveryLists() {
        AdminOverrides overrides = new AdminOverrides();
        assertEquals(
                updateAndGetStatus(
                        overrides, EndpointListKind.FULL, named("a", EndpointStatus.READY, 5)),
                EndpointStatus.READY);
        overrides.disable("a");
        assertEquals(overrides.effectiveEndpoint("a").status(), EndpointStatus.DRAINING);
        assertEquals(
                updateAndGetStatus(
                        overrides, EndpointListKind.DELTA, named("a", EndpointStatus.READY, 9)),
                EndpointStatus.DRAINING);
        assertEquals(
                updateAndGetStatus(
                        overrides, EndpointListKind.DELTA, named("a", EndpointStatus.REMOVED, 9)),
                EndpointStatus.REMOVED);
        assertNull(overrides.effectiveEndpoint("a"));
        assertEquals(
                updateAndGetStatus(
                        overrides, EndpointListKind.DELTA, named("a", EndpointStatus.READY, 20)),
                EndpointStatus.DRAINING);
        overrides.updateListed(EndpointListKind.FULL, List.of());
        assertTrue(overrides.isKnown("a"));
        assertEquals(overrides.size(), 0);
        assertEquals(
                updateAndGetStatus(
                        overrides, EndpointListKind.FULL, named("a", EndpointStatus.READY, 30)),
                EndpointStatus.DRAINING);
    }

    /** The end of a drain must not enable a disabled endpoint, nor enabling end its drain. */
    @Test
    public void drainAndDisableDoNotUndoEachOther() {
        AdminOverrides overrides = new AdminOverrides();
        overrides.updateListed(
                EndpointListKind.FULL,
                List.of(named("a", EndpointStatus.READY, 0), named("b", EndpointStatus.READY, 0)));
        Set<Long> a = Set.of((long) "a".hashCode());
        assertEquals(overrides.setDraining(a, 100), Set.of("a"));
        assertEquals(overrides.effectiveEndpoint("a").status(), EndpointStatus.DRAINING);
        assertEquals(overrides.effectiveEndpoint("b").status(), EndpointStatus.READY);
        overrides.disable("a");
        overrides.enable("a", 150);
        assertEquals(overrides.effectiveEndpoint("a").status(), EndpointStatus.DRAINING);
        overrides.disable("a");
        assertEquals(overrides.setDraining(Set.of(), 200), Set.of("a"));
        assertEquals(overrides.effectiveEndpoint("a").status(), EndpointStatus.DRAINING);
        overrides.enable("a", 300);
        assertEquals(overrides.effectiveEndpoint("a").status(), EndpointStatus.READY);
        assertEquals(overrides.effectiveEndpoint("a").startedAt(), 300);
        assertEquals(overrides.setDraining(a, 400), Set.of("a"));
        assertEquals(overrides.setDraining(a, 500), Set.of());
        overrides.setDraining(Set.of(), 600);
        assertEquals(
                overrides.effectiveEndpoint("a").startedAt(),
                600,
                "the endpoint counts as started at the end of its drain");
        assertEquals(overrides.disabled(), Set.of());
    }

    /** An endpoint restarted while disabled would otherwise get the load of a warm one. */
    @Test
    public void enabledEndpointHasListedStatusAndStartsCold() {
        AdminOverrides overrides = new AdminOverrides();
        overrides.updateListed(
                EndpointListKind.FULL,
                List.of(
                        named("a", EndpointStatus.READY, 0),
                        named("b", EndpointStatus.DRAINING, 0)));
        overrides.disable("a");
        overrides.disable("b");
        overrides.enable("a", 100);
        overrides.enable("a", 300);
        overrides.enable("b", 200);
        assertEquals(overrides.effectiveEndpoint("a").status(), EndpointStatus.READY);
        assertEquals(overrides.effectiveEndpoint("a").startedAt(), 100);
        assertEquals(overrides.effectiveEndpoint("b").status(), EndpointStatus.DRAINING);
        // The start time does not change with later updates, so that no update makes the endpoint
        // start again, until discovery reports a later start.
        assertEquals(
                overrides
                        .updateListed(
                                EndpointListKind.FULL,
                                List.of(named("a", EndpointStatus.READY, 90)))
                        .get(0)
                        .startedAt(),
                100);
        assertEquals(
                overrides
                        .updateListed(
                                EndpointListKind.DELTA,
                                List.of(named("a", EndpointStatus.READY, 400)))
                        .get(0)
                        .startedAt(),
                400);
    }

    @Test
    public void idsListedBeforeAreKnownUpToTheLimit() {
        AdminOverrides overrides = new AdminOverrides();
        overrides.updateListed(EndpointListKind.FULL, List.of(named("a", EndpointStatus.READY, 0)));
        overrides.updateListed(EndpointListKind.FULL, List.of());
        assertTrue(overrides.isKnown("a"));
        assertFalse(overrides.isKnown("b"));
        for (int i = 0; i < 5000; i++) {
            overrides.updateListed(
                    EndpointListKind.FULL, List.of(named("n" + i, EndpointStatus.READY, 0)));
        }
        assertTrue(overrides.isKnown("n4000"));
        assertFalse(overrides.isKnown("a"), "the number of remembered ids is not bounded");
    }
}
