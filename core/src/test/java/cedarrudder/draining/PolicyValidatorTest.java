package cedarrudder.draining;

import static org.testng.Assert.assertEquals;

import cedarrudder.draining.DrainPolicy.AtEnd;
import cedarrudder.draining.DrainPolicy.Left;
import cedarrudder.draining.DrainPolicy.Most;
import cedarrudder.draining.DrainPolicy.Order;
import cedarrudder.draining.DrainPolicy.Restarted;
import cedarrudder.draining.DrainPolicy.Whom;
import cedarrudder.draining.DrainPolicy.Window;
import cedarrudder.draining.PolicyValidator.Finding;
import cedarrudder.draining.PolicyValidator.Fleet;
import java.util.List;
import org.testng.annotations.Test;

/**
 * Policies that are well formed, and wrong. Detects a check that always fails, and one that can't.
 */
public class PolicyValidatorTest {

    private static DrainPolicy policy(
            String name,
            Whom whom,
            Most pod,
            Left left,
            String pauseIf,
            AtEnd atEnd,
            Window... closed) {
        return new DrainPolicy(
                name,
                whom,
                pod,
                Most.ANY,
                Most.ANY,
                left,
                Order.AS_ASKED,
                10,
                0,
                1,
                pauseIf,
                "",
                "",
                DrainPolicy.MIN_TIME,
                atEnd,
                Restarted.BACK,
                List.of(closed));
    }

    private static DrainPolicy max(int nodes, double share) {
        return policy("p", Whom.ALL, new Most(nodes, share), Left.NOTHING, "", AtEnd.LET_GO);
    }

    private static List<String> keys(Fleet fleet, DrainPolicy... policies) {
        return PolicyValidator.check(List.of(policies), DrainSimulation.CONDITIONS, fleet)
                .findings()
                .stream()
                .map(Finding::key)
                .toList();
    }

    @Test
    public void aPolicyThatNeverLetsAnybodyGoIsFound() {
        assertEquals(keys(null, max(1, 0.25)), List.of());
        assertEquals(keys(null, max(0, 1)), List.of("out_per_pod"));
        assertEquals(keys(new Fleet(3, 2, 3), max(1, 0.25)), List.of("out_per_pod"));
        assertEquals(keys(new Fleet(3, 2, 4), max(1, 0.25)), List.of());
        assertEquals(
                keys(null, policy("p", Whom.ALL, Most.ANY, new Left(0, 0, 0, 1), "", AtEnd.LET_GO)),
                List.of("left.weight"));
        assertEquals(
                keys(
                        new Fleet(2, 2, 3),
                        policy("p", Whom.ALL, Most.ANY, new Left(3, 0, 0, 0), "", AtEnd.LET_GO)),
                List.of("left.per_pod"));
        assertEquals(
                keys(null, policy("p", Whom.ALL, Most.ANY, Left.NOTHING, "true", AtEnd.LET_GO)),
                List.of("pause_if"));
        assertEquals(
                keys(null, policy("p", Whom.ALL, Most.ANY, Left.NOTHING, "throws", AtEnd.LET_GO)),
                List.of("pause_if"));
        assertEquals(
                keys(null, policy("p", Whom.ALL, Most.ANY, Left.NOTHING, "failed", AtEnd.LET_GO)),
                List.of());
        assertEquals(
                keys(
                        null,
                        policy(
                                "p",
                                Whom.ALL,
                                Most.ANY,
                                Left.NOTHING,
                                "",
                                AtEnd.LET_GO,
                                new Window(0x7f, 0, 0))),
                List.of("closed"));
    }

    @Test
    public void twoThatContradictEachOtherAreFoundWhereBothAreForANode() {
        Window day = new Window(0x7f, 480, 1200);
        Window night = new Window(0x7f, 1200, 480);
        Whom a = new Whom("", "a", -1, "", 0, 9, "");
        Whom b = new Whom("", "b", -1, "", 0, 9, "");
        assertEquals(
                keys(
                        null,
                        policy("1", a, Most.ANY, Left.NOTHING, "", AtEnd.LET_GO, day),
                        policy("2", a, Most.ANY, Left.NOTHING, "", AtEnd.LET_GO, night)),
                List.of("closed"));
        assertEquals(
                keys(
                        null,
                        policy("1", a, Most.ANY, Left.NOTHING, "", AtEnd.LET_GO, day),
                        policy("2", b, Most.ANY, Left.NOTHING, "", AtEnd.GIVE_BACK, night)),
                List.of());
        assertEquals(
                keys(
                        null,
                        policy("1", Whom.ALL, Most.ANY, Left.NOTHING, "", AtEnd.LET_GO),
                        policy("2", a, Most.ANY, Left.NOTHING, "", AtEnd.GIVE_BACK)),
                List.of("at_end"));
    }

    @Test
    public void itSaysWhichIsStricter() {
        assertEquals(
                PolicyValidator.check(
                                List.of(
                                        max(2, 1),
                                        policy(
                                                "q",
                                                Whom.ALL,
                                                new Most(1, 1),
                                                new Left(1, 0, 0, 0),
                                                "",
                                                AtEnd.LET_GO)),
                                DrainSimulation.CONDITIONS,
                                null)
                        .both()
                        .get(0)
                        .stricter(),
                List.of("out_per_pod of 'q'", "left.per_pod of 'q'"));
    }
}
