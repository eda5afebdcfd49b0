package cedarrudder.budget;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The budgets that several requests share. An endpoint copies the budget that it received to each
 * of its own requests, and the same request may arrive by two paths: all requests under one grant
 * share one budget, whatever their fields say.
 */
final class SharedBudgets {

    /** At 1,000 requests a second with a deadline of 5 s a third of this capacity is in use. */
    static final int MAX_GRANTS = 16_384;

    private record Entry(AttemptBudget budget, long expires) {}

    private final Map<Long, Entry> entries = new LinkedHashMap<>();

    /**
     * Returns the budget under a grant.
     *
     * @param initialAttempts the initial budget if the grant is new
     * @param expires until when further requests under the grant may arrive; it is removed some
     *     time after that
     */
    AttemptBudget budgetFor(long now, long grant, int initialAttempts, long expires) {
        Iterator<Entry> oldest = entries.values().iterator();
        while (oldest.hasNext() && oldest.next().expires < now) {
            oldest.remove();
        }
        Entry entry = entries.get(grant);
        if (entry == null) {
            if (entries.size() >= MAX_GRANTS) {
                // Evicting a spent grant would refill it, and forged grants could force that.
                return new AttemptBudget(0);
            }
            entry = new Entry(new AttemptBudget(initialAttempts), expires);
            entries.put(grant, entry);
        }
        return entry.budget;
    }

    int size() {
        return entries.size();
    }
}
