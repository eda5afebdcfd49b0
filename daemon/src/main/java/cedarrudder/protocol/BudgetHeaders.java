package cedarrudder.protocol;

import cedarrudder.budget.BudgetFields;
import cedarrudder.budget.DownstreamFeedback;
import cedarrudder.budget.PropagatedBudget;
import java.util.Locale;
import java.util.Set;

/** The header fields in which budgets travel. */
public final class BudgetHeaders {

    private static final String BUDGET = BudgetFields.BUDGET.toLowerCase(Locale.ROOT);
    private static final String PATH = BudgetFields.PATH.toLowerCase(Locale.ROOT);
    private static final String RESULT = BudgetFields.RESULT.toLowerCase(Locale.ROOT);

    /** The names, in lower case, of all that a proxy with budgets writes anew. */
    static final Set<String> KEYS = Set.of(BUDGET, PATH, RESULT);

    private BudgetHeaders() {}

    /** What a client said; a field that came twice counts as none. */
    public static PropagatedBudget read(HttpMessage request) {
        HeaderFields fields = request.head().fields();
        return BudgetFields.read(fields.only(BUDGET), fields.only(PATH));
    }

    /** What an answer said; a field that came twice counts as none. */
    public static DownstreamFeedback result(HttpMessage answer) {
        return BudgetFields.readResult(answer.head().fields().only(RESULT));
    }
}
