package cedarrudder.conditions;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import cedarrudder.draining.ConditionCompiler;
import cedarrudder.draining.DrainPolicy;
import cedarrudder.draining.DrainableNode;
import cedarrudder.draining.InvalidConditionException;
import cedarrudder.draining.PolicyConditionInputs;
import org.testng.annotations.Test;

/** Tests conditions in the form in which operators write them. */
public class CelConditionsTest {

    private static final PolicyConditionInputs INPUTS =
            new PolicyConditionInputs(0.01, 0.2, 0, 0.75, 5, 6, 3, 1);
    private static final DrainableNode NODE =
            new DrainableNode(1, "shops", "a", 3, "big", 2.5, DrainableNode.NodeStatus.SERVING, 0);

    private final ConditionCompiler conditions = new CelConditions();

    @Test
    public void conditionsReadThePolicyInputsAndTheNode() {
        assertTrue(
                conditions
                        .compilePolicyCondition(
                                "failed > 0.1 && refused < 0.02 && late == 0.0 && capacity_left >="
                                    + " 0.75 && live_copies * 2 > copies && out == 3 && died < 2")
                        .holds(INPUTS));
        assertEquals(conditions.compilePolicyCondition("failed > 1").holds(INPUTS), false);
        assertTrue(
                conditions
                        .compileNodeCondition(
                                "kind in ['big', 'huge'] && pod % 2 == 1 && zone.startsWith('a') "
                                        + "&& weight > 2 && tier != 'x'")
                        .holds(NODE));
    }

    /** Each invalid text is listed with a part of the message that it causes. */
    @Test
    public void invalidConditionIsRejectedWithItsPosition() {
        String[][] invalid = {
            {"faild > 0.1", "at character 1 undeclared reference to 'faild'"},
            {"failed > ", "mismatched input"},
            {"failed > 'much'", "found no matching overload"},
            {"failed + refused", "of the type double"},
            {"kind == 'big'", "undeclared reference to 'kind'"},
            {"[1, 2].all(x, x > 0)", "undeclared reference"},
            {"'a'.matches('(a+)+')", "undeclared reference to 'matches'"},
        };
        for (String[] each : invalid) {
            InvalidConditionException error =
                    expectThrows(
                            InvalidConditionException.class,
                            () -> conditions.compilePolicyCondition(each[0]));
            assertTrue(error.found().contains(each[1]), each[0] + ": " + error.getMessage());
        }
        assertThrows(
                InvalidConditionException.class,
                () ->
                        conditions.compilePolicyCondition(
                                "(".repeat(200) + "true" + ")".repeat(200)));
        assertThrows(
                InvalidConditionException.class,
                () -> conditions.compileNodeCondition("failed > 0.1"));
    }

    /** A division by 0 or an overflow must not end the loop. */
    @Test
    public void undecidableConditionThrowsWhenEvaluated() {
        assertThrows(
                IllegalStateException.class,
                () -> conditions.compilePolicyCondition("1 / (out - 3) > 0").holds(INPUTS));
        assertThrows(
                IllegalStateException.class,
                () ->
                        conditions
                                .compilePolicyCondition("9223372036854775807 + out > 0")
                                .holds(INPUTS));
    }

    /** A condition within the length limit must not block the loop for long. */
    @Test
    public void longestConditionIsEvaluatedWithinTheTimeLimit() {
        String text = "failed > 0.1";
        while (text.length() < DrainPolicy.MAX_TEXT - 20) {
            text += " || died > 5";
        }
        ConditionCompiler.PolicyCondition condition =
                conditions.compilePolicyCondition(text.replace("failed > 0.1", "failed > 0.9"));
        long started = System.nanoTime();
        int times = 1_000;
        for (int i = 0; i < times; i++) {
            assertEquals(condition.holds(INPUTS), false);
        }
        assertTrue((System.nanoTime() - started) / times < CelConditions.MAX_NANOS);
    }
}
