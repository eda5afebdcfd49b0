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

/** What the balancer sees of endpoints that operators have disabled. */
public class AdminOverridesTest {

    private static NamedEndpoint named(String name, EndpointStatus state, long startedAt) {
        return new NamedEndpoint(name, new Endpoint(name.hashCode(), 0, 0, 0, state, 1, startedAt));
    }

    private static EndpointStatus seen(
            AdminOverrides rotation, EndpointListKind kind, NamedEndpoint... entries) {
        return rotation.updateListed(kind, List.of(entries)).get(0).status();
    }

    /** Detects a ban that a line of discovery's takes back. */
    @Test
    public void aDisabledNodeDrainsWhateverDiscoveryLists() {
        AdminOverrides rotation = new AdminOverrides();
        assertEquals(
                seen(rotation, EndpointListKind.FULL, named("a", EndpointStatus.READY, 5)),
                EndpointStatus.READY);
        rotation.disable("a");
        assertEquals(rotation.effectiveEndpoint("a").status(), EndpointStatus.DRAINING);
        assertEquals(
                seen(rotation, EndpointListKind.DELTA, named("a", EndpointStatus.READY, 9)),
                EndpointStatus.DRAINING);
        assertEquals(
                seen(rotation, EndpointListKind.DELTA, named("a", EndpointStatus.REMOVED, 9)),
                EndpointStatus.REMOVED);
        assertNull(rotation.effectiveEndpoint("a"));
        assertEquals(
                seen(rotation, EndpointListKind.DELTA, named("a", EndpointStatus.READY, 20)),
                EndpointStatus.DRAINING);
        rotation.updateListed(EndpointListKind.FULL, List.of());
        assertTrue(rotation.isKnown("a"));
        assertEquals(rotation.size(), 0);
        assertEquals(
                seen(rotation, EndpointListKind.FULL, named("a", EndpointStatus.READY, 30)),
                EndpointStatus.DRAINING);
    }

    /** Detects a ban by hand that the end of a removal takes back, and the other way round. */
    @Test
    public void removedInCommonAndDisabledByHandDontUndoOneAnother() {
        AdminOverrides rotation = new AdminOverrides();
        rotation.updateListed(
                EndpointListKind.FULL,
                List.of(named("a", EndpointStatus.READY, 0), named("b", EndpointStatus.READY, 0)));
        Set<Long> a = Set.of((long) "a".hashCode());
        assertEquals(rotation.setDraining(a, 100), Set.of("a"));
        assertEquals(rotation.effectiveEndpoint("a").status(), EndpointStatus.DRAINING);
        assertEquals(rotation.effectiveEndpoint("b").status(), EndpointStatus.READY);
        rotation.disable("a");
        rotation.enable("a", 150);
        assertEquals(rotation.effectiveEndpoint("a").status(), EndpointStatus.DRAINING);
        rotation.disable("a");
        assertEquals(rotation.setDraining(Set.of(), 200), Set.of("a"));
        assertEquals(rotation.effectiveEndpoint("a").status(), EndpointStatus.DRAINING);
        rotation.enable("a", 300);
        assertEquals(rotation.effectiveEndpoint("a").status(), EndpointStatus.READY);
        assertEquals(rotation.effectiveEndpoint("a").startedAt(), 300);
        assertEquals(rotation.setDraining(a, 400), Set.of("a"));
        assertEquals(rotation.setDraining(a, 500), Set.of());
        rotation.setDraining(Set.of(), 600);
        assertEquals(
                rotation.effectiveEndpoint("a").startedAt(),
                600,
                "it counts as started when it is back");
        assertEquals(rotation.disabled(), Set.of());
    }

    /** Detects an endpoint that was restarted meanwhile getting the load of a warm one. */
    @Test
    public void anEnabledNodeIsAsDiscoveryListsItAndStartsCold() {
        AdminOverrides rotation = new AdminOverrides();
        rotation.updateListed(
                EndpointListKind.FULL,
                List.of(
                        named("a", EndpointStatus.READY, 0),
                        named("b", EndpointStatus.DRAINING, 0)));
        rotation.disable("a");
        rotation.disable("b");
        rotation.enable("a", 100);
        rotation.enable("a", 300);
        rotation.enable("b", 200);
        assertEquals(rotation.effectiveEndpoint("a").status(), EndpointStatus.READY);
        assertEquals(rotation.effectiveEndpoint("a").startedAt(), 100);
        assertEquals(rotation.effectiveEndpoint("b").status(), EndpointStatus.DRAINING);
        // The same start for good, so that no later list makes it start again, until a later start
        // is told.
        assertEquals(
                rotation.updateListed(
                                EndpointListKind.FULL,
                                List.of(named("a", EndpointStatus.READY, 90)))
                        .get(0)
                        .startedAt(),
                100);
        assertEquals(
                rotation.updateListed(
                                EndpointListKind.DELTA,
                                List.of(named("a", EndpointStatus.READY, 400)))
                        .get(0)
                        .startedAt(),
                400);
    }

    @Test
    public void idsThatWereEverListedAreKnownAndOthersAreNot() {
        AdminOverrides rotation = new AdminOverrides();
        rotation.updateListed(EndpointListKind.FULL, List.of(named("a", EndpointStatus.READY, 0)));
        rotation.updateListed(EndpointListKind.FULL, List.of());
        assertTrue(rotation.isKnown("a"));
        assertFalse(rotation.isKnown("b"));
        for (int i = 0; i < 5000; i++) {
            rotation.updateListed(
                    EndpointListKind.FULL, List.of(named("n" + i, EndpointStatus.READY, 0)));
        }
        assertTrue(rotation.isKnown("n4000"));
        assertFalse(rotation.isKnown("a"), "ids are kept without a bound");
    }
}
