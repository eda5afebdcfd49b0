package cedarrudder.protocol;

import cedarrudder.budget.BudgetFields;
import cedarrudder.budget.DownstreamFeedback;
import cedarrudder.budget.PropagatedBudget;
import java.util.Locale;
import java.util.Set;

/** Reads the header fields that carry budgets. */
public final class BudgetHeaders {

    private static final String BUDGET = BudgetFields.BUDGET.toLowerCase(Locale.ROOT);
    private static final String PATH = BudgetFields.PATH.toLowerCase(Locale.ROOT);
    private static final String RESULT = BudgetFields.RESULT.toLowerCase(Locale.ROOT);

    /** The names, in lower case, of the fields that a proxy with budgets replaces. */
    static final Set<String> KEYS = Set.of(BUDGET, PATH, RESULT);

    private BudgetHeaders() {}

    /** Reads the budget that a client sent; a field that occurs twice counts as absent. */
    public static PropagatedBudget read(HttpMessage request) {
        HeaderFields fields = request.head().fields();
        return BudgetFields.read(fields.only(BUDGET), fields.only(PATH));
    }

    /** Reads the budget feedback of a response; a field that occurs twice counts as absent. */
    public static DownstreamFeedback result(HttpMessage response) {
        return BudgetFields.readResult(response.head().fields().only(RESULT));
    }
}
