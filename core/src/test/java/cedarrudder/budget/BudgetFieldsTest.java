package cedarrudder.budget;

import static org.testng.Assert.assertEquals;

import cedarrudder.budget.DownstreamFeedback.UnservedReason;
import java.util.Collections;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that budget fields are read as written, and invalid values as absent. */
public class BudgetFieldsTest {

    private static final HopPath PATH = HopPath.of(List.of("front-api", "msg-core"));

    @Test
    public void fieldsAreReadAsWritten() {
        PropagatedBudget propagated =
                new PropagatedBudget(
                        true, true, 418_000_000L, 2, 0x9f27c1d0a4b35e68L, 0.25, true, PATH);
        assertEquals(
                BudgetFields.budget(propagated),
                "1;left=418;tries=2;grant=9f27c1d0a4b35e68;worth=0.250;repeat=1");
        assertEquals(
                BudgetFields.read(BudgetFields.budget(propagated), BudgetFields.path(propagated)),
                propagated);
        for (UnservedReason reason : UnservedReason.values()) {
            DownstreamFeedback result = new DownstreamFeedback(3, reason, PATH);
            assertEquals(BudgetFields.readResult(BudgetFields.result(result)), result);
        }
    }

    @DataProvider
    public Object[][] budgets() {
        return new Object[][] {
            // text, left in ms, tries, grant, worth
            {null, 0, -1, 0, -1},
            {"", 0, -1, 0, -1},
            {"left=5;tries=2", 0, -1, 0, -1},
            {"0;left=5;tries=2", 0, -1, 0, -1},
            {"one;left=5;tries=2", 0, -1, 0, -1},
            {"-1;left=5;tries=2", 0, -1, 0, -1},
            {"1;left=5;tries=2" + ";x=y".repeat(250), 0, -1, 0, -1},
            {"2;left=5;tries=2;worth=0.5;colour=red;grant=7", 5, 2, 7, 0.5},
            {"1;left=-5;tries=-2;worth=-0.5;grant=-7", 0, -1, 0, -1},
            {
                "1;left=9999999999999;tries=99999999999;worth=1e9;grant=11112222333344445",
                0,
                -1,
                0,
                -1
            },
            {"1;left=soon;tries=many;worth=much;grant=mine", 0, -1, 0, -1},
            {"1;left=+5;tries=0x2;worth=NaN;grant=\u0661", 0, -1, 0, -1},
            {"1;left=5;left=90000;tries=1;tries=9;worth=9", 5, 1, 0, 1},
            {" 1 ; left=5 ; tries=0; worth=1 ", 5, 0, 0, 1},
            {"1;left;tries;;=;worth=.5", 0, -1, 0, -1},
        };
    }

    @Test(dataProvider = "budgets")
    public void invalidValuesCountAsAbsent(
            String text, int remainingMillis, int attempts, int grant, double priority) {
        PropagatedBudget read = BudgetFields.read(text, null);
        assertEquals(read.remainingNanos(), remainingMillis * 1_000_000L);
        assertEquals(read.attempts(), attempts);
        assertEquals(read.grant(), grant);
        assertEquals(read.priority(), priority < 0 ? Double.NaN : priority);
    }

    @DataProvider
    public Object[][] paths() {
        String long17 = String.join(",", Collections.nCopies(17, "a"));
        return new Object[][] {
            {null, 0},
            {"", 0},
            {"a,b", 0},
            {"0;a,b", 0},
            {"1;", 0},
            {"1;a,,b", 0},
            {"1;a b", 0},
            {"1;" + "a".repeat(33), 0},
            {"1;a,b", 2},
            {"7;a", 1},
            {"1;" + long17, 16},
            {"1;" + "b,".repeat(5000), 16},
        };
    }

    @Test(dataProvider = "paths")
    public void tooLongPathIsCutToTheMaximumNumberOfHops(String text, int hops) {
        assertEquals(BudgetFields.read(null, text).path().hops().size(), hops);
    }

    @Test
    public void invalidResultFieldCountsAsNoFeedback() {
        for (String text :
                new String[] {null, "", "spent=1", "0;spent=1", "1;spent=-1;why=because"}) {
            assertEquals(BudgetFields.readResult(text), DownstreamFeedback.NOTHING);
        }
    }
}
