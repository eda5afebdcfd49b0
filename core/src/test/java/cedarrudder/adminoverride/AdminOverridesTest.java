package cedarrudder.adminoverride;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import cedarrudder.adminoverride.AdminOverrides.Named;
import cedarrudder.balancer.LoadBalancer.Endpoint;
import cedarrudder.balancer.LoadBalancer.EndpointListKind;
import cedarrudder.balancer.LoadBalancer.EndpointStatus;
import java.util.List;
import java.util.Set;
import org.testng.annotations.Test;

/** What the balancer sees of endpoints that operators have disabled. */
public class AdminOverridesTest {

    private static Named named(String name, EndpointStatus state, long startedAt) {
        return new Named(name, new Endpoint(name.hashCode(), 0, 0, 0, state, 1, startedAt));
    }

    private static EndpointStatus seen(
            AdminOverrides rotation, EndpointListKind kind, Named... entries) {
        return rotation.listed(kind, List.of(entries)).get(0).status();
    }

    /** Detects a ban that a line of discovery's takes back. */
    @Test
    public void aDisabledNodeDrainsWhateverDiscoveryLists() {
        AdminOverrides rotation = new AdminOverrides();
        assertEquals(
                seen(rotation, EndpointListKind.FULL, named("a", EndpointStatus.READY, 5)),
                EndpointStatus.READY);
        rotation.disable("a");
        assertEquals(rotation.shown("a").status(), EndpointStatus.DRAINING);
        assertEquals(
                seen(rotation, EndpointListKind.DELTA, named("a", EndpointStatus.READY, 9)),
                EndpointStatus.DRAINING);
        assertEquals(
                seen(rotation, EndpointListKind.DELTA, named("a", EndpointStatus.REMOVED, 9)),
                EndpointStatus.REMOVED);
        assertNull(rotation.shown("a"));
        assertEquals(
                seen(rotation, EndpointListKind.DELTA, named("a", EndpointStatus.READY, 20)),
                EndpointStatus.DRAINING);
        rotation.listed(EndpointListKind.FULL, List.of());
        assertTrue(rotation.knows("a"));
        assertEquals(rotation.size(), 0);
        assertEquals(
                seen(rotation, EndpointListKind.FULL, named("a", EndpointStatus.READY, 30)),
                EndpointStatus.DRAINING);
    }

    /** Detects a ban by hand that the end of a removal takes back, and the other way round. */
    @Test
    public void removedInCommonAndDisabledByHandDontUndoOneAnother() {
        AdminOverrides rotation = new AdminOverrides();
        rotation.listed(
                EndpointListKind.FULL,
                List.of(named("a", EndpointStatus.READY, 0), named("b", EndpointStatus.READY, 0)));
        Set<Long> a = Set.of((long) "a".hashCode());
        assertEquals(rotation.setDraining(a, 100), Set.of("a"));
        assertEquals(rotation.shown("a").status(), EndpointStatus.DRAINING);
        assertEquals(rotation.shown("b").status(), EndpointStatus.READY);
        rotation.disable("a");
        rotation.enable("a", 150);
        assertEquals(rotation.shown("a").status(), EndpointStatus.DRAINING);
        rotation.disable("a");
        assertEquals(rotation.setDraining(Set.of(), 200), Set.of("a"));
        assertEquals(rotation.shown("a").status(), EndpointStatus.DRAINING);
        rotation.enable("a", 300);
        assertEquals(rotation.shown("a").status(), EndpointStatus.READY);
        assertEquals(rotation.shown("a").startedAt(), 300);
        assertEquals(rotation.setDraining(a, 400), Set.of("a"));
        assertEquals(rotation.setDraining(a, 500), Set.of());
        rotation.setDraining(Set.of(), 600);
        assertEquals(rotation.shown("a").startedAt(), 600, "it counts as started when it is back");
        assertEquals(rotation.disabled(), Set.of());
    }

    /** Detects an endpoint that was restarted meanwhile getting the load of a warm one. */
    @Test
    public void anEnabledNodeIsAsDiscoveryListsItAndStartsCold() {
        AdminOverrides rotation = new AdminOverrides();
        rotation.listed(
                EndpointListKind.FULL,
                List.of(
                        named("a", EndpointStatus.READY, 0),
                        named("b", EndpointStatus.DRAINING, 0)));
        rotation.disable("a");
        rotation.disable("b");
        rotation.enable("a", 100);
        rotation.enable("a", 300);
        rotation.enable("b", 200);
        assertEquals(rotation.shown("a").status(), EndpointStatus.READY);
        assertEquals(rotation.shown("a").startedAt(), 100);
        assertEquals(rotation.shown("b").status(), EndpointStatus.DRAINING);
        // The same start for good, so that no later list makes it start again, until a later start
        // is told.
        assertEquals(
                rotation.listed(
                                EndpointListKind.FULL,
                                List.of(named("a", EndpointStatus.READY, 90)))
                        .get(0)
                        .startedAt(),
                100);
        assertEquals(
                rotation.listed(
                                EndpointListKind.DELTA,
                                List.of(named("a", EndpointStatus.READY, 400)))
                        .get(0)
                        .startedAt(),
                400);
    }

    @Test
    public void idsThatWereEverListedAreKnownAndOthersAreNot() {
        AdminOverrides rotation = new AdminOverrides();
        rotation.listed(EndpointListKind.FULL, List.of(named("a", EndpointStatus.READY, 0)));
        rotation.listed(EndpointListKind.FULL, List.of());
        assertTrue(rotation.knows("a"));
        assertFalse(rotation.knows("b"));
        for (int i = 0; i < 5000; i++) {
            rotation.listed(
                    EndpointListKind.FULL, List.of(named("n" + i, EndpointStatus.READY, 0)));
        }
        assertTrue(rotation.knows("n4000"));
        assertFalse(rotation.knows("a"), "ids are kept without a bound");
    }
}
