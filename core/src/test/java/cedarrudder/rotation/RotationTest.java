package cedarrudder.rotation;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import cedarrudder.Balancer.Endpoint;
import cedarrudder.Balancer.ListKind;
import cedarrudder.Balancer.State;
import cedarrudder.rotation.Rotation.Named;
import java.util.List;
import java.util.Set;
import org.testng.annotations.Test;

/** What the module sees of nodes that operators have disabled. */
public class RotationTest {

    private static Named named(String name, State state, long startedAt) {
        return new Named(name, new Endpoint(name.hashCode(), 0, 0, 0, state, 1, startedAt));
    }

    private static State seen(Rotation rotation, ListKind kind, Named... entries) {
        return rotation.listed(kind, List.of(entries)).get(0).state();
    }

    /** Guards against a ban that a line of discovery's takes back. */
    @Test
    public void aDisabledNodeDrainsWhateverDiscoveryLists() {
        Rotation rotation = new Rotation();
        assertEquals(seen(rotation, ListKind.FULL, named("a", State.READY, 5)), State.READY);
        rotation.disable("a");
        assertEquals(rotation.shown("a").state(), State.DRAINING);
        assertEquals(seen(rotation, ListKind.CHANGES, named("a", State.READY, 9)), State.DRAINING);
        assertEquals(seen(rotation, ListKind.CHANGES, named("a", State.GONE, 9)), State.GONE);
        assertNull(rotation.shown("a"));
        assertEquals(seen(rotation, ListKind.CHANGES, named("a", State.READY, 20)), State.DRAINING);
        rotation.listed(ListKind.FULL, List.of());
        assertTrue(rotation.knows("a"));
        assertEquals(rotation.size(), 0);
        assertEquals(seen(rotation, ListKind.FULL, named("a", State.READY, 30)), State.DRAINING);
    }

    /**
     * Guards against a ban by hand that the end of a removal takes back, and the other way round.
     */
    @Test
    public void removedInCommonAndDisabledByHandDontUndoOneAnother() {
        Rotation rotation = new Rotation();
        rotation.listed(
                ListKind.FULL, List.of(named("a", State.READY, 0), named("b", State.READY, 0)));
        Set<Long> a = Set.of((long) "a".hashCode());
        assertEquals(rotation.leaving(a, 100), Set.of("a"));
        assertEquals(rotation.shown("a").state(), State.DRAINING);
        assertEquals(rotation.shown("b").state(), State.READY);
        rotation.disable("a");
        rotation.enable("a", 150);
        assertEquals(rotation.shown("a").state(), State.DRAINING);
        rotation.disable("a");
        assertEquals(rotation.leaving(Set.of(), 200), Set.of("a"));
        assertEquals(rotation.shown("a").state(), State.DRAINING);
        rotation.enable("a", 300);
        assertEquals(rotation.shown("a").state(), State.READY);
        assertEquals(rotation.shown("a").startedAt(), 300);
        assertEquals(rotation.leaving(a, 400), Set.of("a"));
        assertEquals(rotation.leaving(a, 500), Set.of());
        rotation.leaving(Set.of(), 600);
        assertEquals(rotation.shown("a").startedAt(), 600, "it counts as started when it is back");
        assertEquals(rotation.disabled(), Set.of());
    }

    /** Guards against a node that was restarted meanwhile getting the load of a warm one. */
    @Test
    public void anEnabledNodeIsAsDiscoveryListsItAndStartsCold() {
        Rotation rotation = new Rotation();
        rotation.listed(
                ListKind.FULL, List.of(named("a", State.READY, 0), named("b", State.DRAINING, 0)));
        rotation.disable("a");
        rotation.disable("b");
        rotation.enable("a", 100);
        rotation.enable("a", 300);
        rotation.enable("b", 200);
        assertEquals(rotation.shown("a").state(), State.READY);
        assertEquals(rotation.shown("a").startedAt(), 100);
        assertEquals(rotation.shown("b").state(), State.DRAINING);
        // The same start for good, so that no later list makes it start again, until a later start
        // is told.
        assertEquals(
                rotation.listed(ListKind.FULL, List.of(named("a", State.READY, 90)))
                        .get(0)
                        .startedAt(),
                100);
        assertEquals(
                rotation.listed(ListKind.CHANGES, List.of(named("a", State.READY, 400)))
                        .get(0)
                        .startedAt(),
                400);
    }

    @Test
    public void idsThatWereEverListedAreKnownAndOthersAreNot() {
        Rotation rotation = new Rotation();
        rotation.listed(ListKind.FULL, List.of(named("a", State.READY, 0)));
        rotation.listed(ListKind.FULL, List.of());
        assertTrue(rotation.knows("a"));
        assertFalse(rotation.knows("b"));
        for (int i = 0; i < 5000; i++) {
            rotation.listed(ListKind.FULL, List.of(named("n" + i, State.READY, 0)));
        }
        assertTrue(rotation.knows("n4000"));
        assertFalse(rotation.knows("a"), "ids are kept without a bound");
    }
}
