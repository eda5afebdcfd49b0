package cedarrudder.budget;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Which calls share one budget. An endpoint replicas what it was handed to each of its calls, and
 * the same request may come by two paths: under one grant there is one budget, whatever the calls
 * say.
 */
final class SharedBudgets {

    /** At 1,000 calls a second with a deadline of 5 s a third of this is in use. */
    static final int MAX = 16_384;

    private record Entry(AttemptBudget budget, long expires) {}

    private final Map<Long, Entry> grants = new LinkedHashMap<>();

    /**
     * The budget under a grant.
     *
     * @param tries what it starts with where the grant is new
     * @param expires until when further calls under it may come; the grant is forgotten some time
     *     after that
     */
    AttemptBudget of(long now, long grant, int tries, long expires) {
        Iterator<Entry> oldest = grants.values().iterator();
        while (oldest.hasNext() && oldest.next().expires < now) {
            oldest.remove();
        }
        Entry entry = grants.get(grant);
        if (entry == null) {
            if (grants.size() >= MAX) {
                // This avoids a flood of forged grants pushing out one that is spent, which
                // would refill
                // it.
                return new AttemptBudget(0);
            }
            entry = new Entry(new AttemptBudget(tries), expires);
            grants.put(grant, entry);
        }
        return entry.budget;
    }

    int size() {
        return grants.size();
    }
}
