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

/** Conditions as operators write them. */
public class CelConditionsTest {

    private static final PolicyConditionInputs FIGURES =
            new PolicyConditionInputs(0.01, 0.2, 0, 0.75, 5, 6, 3, 1);
    private static final DrainableNode NODE =
            new DrainableNode(1, "shops", "a", 3, "big", 2.5, DrainableNode.NodeStatus.SERVING, 0);

    private final ConditionCompiler conditions = new CelConditions();

    @Test
    public void conditionsSeeTheFiguresAndTheNode() {
        assertTrue(
                conditions
                        .compilePolicyCondition(
                                "failed > 0.1 && refused < 0.02 && late == 0.0 && capacity_left >="
                                    + " 0.75 && live_copies * 2 > copies && out == 3 && died < 2")
                        .holds(FIGURES));
        assertEquals(conditions.compilePolicyCondition("failed > 1").holds(FIGURES), false);
        assertTrue(
                conditions
                        .compileNodeCondition(
                                "kind in ['big', 'huge'] && pod % 2 == 1 && zone.startsWith('a') "
                                        + "&& weight > 2 && tier != 'x'")
                        .holds(NODE));
    }

    /** Each with what it was found to be. */
    @Test
    public void whatIsNoConditionIsRefusedWithItsPlace() {
        String[][] wrong = {
            {"faild > 0.1", "at character 1 undeclared reference to 'faild'"},
            {"failed > ", "mismatched input"},
            {"failed > 'much'", "found no matching overload"},
            {"failed + refused", "of the type double"},
            {"kind == 'big'", "undeclared reference to 'kind'"},
            {"[1, 2].all(x, x > 0)", "undeclared reference"},
            {"'a'.matches('(a+)+')", "undeclared reference to 'matches'"},
        };
        for (String[] each : wrong) {
            InvalidConditionException bad =
                    expectThrows(
                            InvalidConditionException.class,
                            () -> conditions.compilePolicyCondition(each[0]));
            assertTrue(bad.found().contains(each[1]), each[0] + ": " + bad.getMessage());
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

    /** Detects a division by 0 or an overflow that ends the loop. */
    @Test
    public void oneThatCanNotBeToldThrowsAtRunTime() {
        assertThrows(
                IllegalStateException.class,
                () -> conditions.compilePolicyCondition("1 / (out - 3) > 0").holds(FIGURES));
        assertThrows(
                IllegalStateException.class,
                () ->
                        conditions
                                .compilePolicyCondition("9223372036854775807 + out > 0")
                                .holds(FIGURES));
    }

    /** Detects a text within the bound that keeps the loop for long. */
    @Test
    public void theLongestTextTakesNoTimeThatCouldBeSeen() {
        String text = "failed > 0.1";
        while (text.length() < DrainPolicy.MAX_TEXT - 20) {
            text += " || died > 5";
        }
        ConditionCompiler.PolicyCondition condition =
                conditions.compilePolicyCondition(text.replace("failed > 0.1", "failed > 0.9"));
        long begun = System.nanoTime();
        int times = 1_000;
        for (int i = 0; i < times; i++) {
            assertEquals(condition.holds(FIGURES), false);
        }
        assertTrue((System.nanoTime() - begun) / times < CelConditions.MAX_NANOS);
    }
}
