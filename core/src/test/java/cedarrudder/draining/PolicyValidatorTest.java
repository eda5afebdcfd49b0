package cedarrudder.draining;

import static org.testng.Assert.assertEquals;

import cedarrudder.draining.DrainPolicy.DrainOrder;
import cedarrudder.draining.DrainPolicy.MaxUnavailable;
import cedarrudder.draining.DrainPolicy.MinAvailable;
import cedarrudder.draining.DrainPolicy.NodeSelector;
import cedarrudder.draining.DrainPolicy.OnDeadline;
import cedarrudder.draining.DrainPolicy.OnRestart;
import cedarrudder.draining.DrainPolicy.Window;
import cedarrudder.draining.PolicyValidator.Finding;
import cedarrudder.draining.PolicyValidator.Fleet;
import java.util.List;
import org.testng.annotations.Test;

/** Tests well-formed policies that are faulty, and correct ones that must be accepted. */
public class PolicyValidatorTest {

    private static DrainPolicy policy(
            String name,
            NodeSelector selector,
            MaxUnavailable maxPerPod,
            MinAvailable minAvailable,
            String pauseIf,
            OnDeadline onDeadline,
            Window... closed) {
        return new DrainPolicy(
                name,
                selector,
                maxPerPod,
                MaxUnavailable.ANY,
                MaxUnavailable.ANY,
                minAvailable,
                DrainOrder.AS_ASKED,
                10,
                0,
                1,
                pauseIf,
                "",
                "",
                DrainPolicy.MIN_DEADLINE_NANOS,
                onDeadline,
                OnRestart.BACK,
                List.of(closed));
    }

    private static DrainPolicy max(int nodes, double share) {
        return policy(
                "p",
                NodeSelector.ALL,
                new MaxUnavailable(nodes, share),
                MinAvailable.NOTHING,
                "",
                OnDeadline.LET_GO);
    }

    private static List<String> keys(Fleet fleet, DrainPolicy... policies) {
        return PolicyValidator.check(List.of(policies), DrainSimulation.CONDITIONS, fleet)
                .findings()
                .stream()
                .map(Finding::key)
                .toList();
    }

    @Test
    public void policyUnderWhichNoNodeCanBeDrainedIsReported() {
        assertEquals(keys(null, max(1, 0.25)), List.of());
        assertEquals(keys(null, max(0, 1)), List.of("out_per_pod"));
        assertEquals(keys(new Fleet(3, 2, 3), max(1, 0.25)), List.of("out_per_pod"));
        assertEquals(keys(new Fleet(3, 2, 4), max(1, 0.25)), List.of());
        assertEquals(
                keys(
                        null,
                        policy(
                                "p",
                                NodeSelector.ALL,
                                MaxUnavailable.ANY,
                                new MinAvailable(0, 0, 0, 1),
                                "",
                                OnDeadline.LET_GO)),
                List.of("left.weight"));
        assertEquals(
                keys(
                        new Fleet(2, 2, 3),
                        policy(
                                "p",
                                NodeSelector.ALL,
                                MaxUnavailable.ANY,
                                new MinAvailable(3, 0, 0, 0),
                                "",
                                OnDeadline.LET_GO)),
                List.of("left.per_pod"));
        assertEquals(
                keys(
                        null,
                        policy(
                                "p",
                                NodeSelector.ALL,
                                MaxUnavailable.ANY,
                                MinAvailable.NOTHING,
                                "true",
                                OnDeadline.LET_GO)),
                List.of("pause_if"));
        assertEquals(
                keys(
                        null,
                        policy(
                                "p",
                                NodeSelector.ALL,
                                MaxUnavailable.ANY,
                                MinAvailable.NOTHING,
                                "throws",
                                OnDeadline.LET_GO)),
                List.of("pause_if"));
        assertEquals(
                keys(
                        null,
                        policy(
                                "p",
                                NodeSelector.ALL,
                                MaxUnavailable.ANY,
                                MinAvailable.NOTHING,
                                "failed",
                                OnDeadline.LET_GO)),
                List.of());
        assertEquals(
                keys(
                        null,
                        policy(
                                "p",
                                NodeSelector.ALL,
                                MaxUnavailable.ANY,
                                MinAvailable.NOTHING,
                                "",
                                OnDeadline.LET_GO,
                                new Window(0x7f, 0, 0))),
                List.of("closed"));
    }

    @Test
    public void contradictingPoliciesAreReportedIfTheySelectACommonNode() {
        Window day = new Window(0x7f, 480, 1200);
        Window night = new Window(0x7f, 1200, 480);
        NodeSelector a = new NodeSelector("", "a", -1, "", 0, 9, "");
        NodeSelector b = new NodeSelector("", "b", -1, "", 0, 9, "");
        assertEquals(
                keys(
                        null,
                        policy(
                                "1",
                                a,
                                MaxUnavailable.ANY,
                                MinAvailable.NOTHING,
                                "",
                                OnDeadline.LET_GO,
                                day),
                        policy(
                                "2",
                                a,
                                MaxUnavailable.ANY,
                                MinAvailable.NOTHING,
                                "",
                                OnDeadline.LET_GO,
                                night)),
                List.of("closed"));
        assertEquals(
                keys(
                        null,
                        policy(
                                "1",
                                a,
                                MaxUnavailable.ANY,
                                MinAvailable.NOTHING,
                                "",
                                OnDeadline.LET_GO,
                                day),
                        policy(
                                "2",
                                b,
                                MaxUnavailable.ANY,
                                MinAvailable.NOTHING,
                                "",
                                OnDeadline.GIVE_BACK,
                                night)),
                List.of());
        assertEquals(
                keys(
                        null,
                        policy(
                                "1",
                                NodeSelector.ALL,
                                MaxUnavailable.ANY,
                                MinAvailable.NOTHING,
                                "",
                                OnDeadline.LET_GO),
                        policy(
                                "2",
                                a,
                                MaxUnavailable.ANY,
                                MinAvailable.NOTHING,
                                "",
                                OnDeadline.GIVE_BACK)),
                List.of("at_end"));
    }

    @Test
    public void stricterPolicyIsReportedForEachBound() {
        assertEquals(
                PolicyValidator.check(
                                List.of(
                                        max(2, 1),
                                        policy(
                                                "q",
                                                NodeSelector.ALL,
                                                new MaxUnavailable(1, 1),
                                                new MinAvailable(1, 0, 0, 0),
                                                "",
                                                OnDeadline.LET_GO)),
                                DrainSimulation.CONDITIONS,
                                null)
                        .overlapping()
                        .get(0)
                        .stricter(),
                List.of("out_per_pod of 'q'", "left.per_pod of 'q'"));
    }
}
