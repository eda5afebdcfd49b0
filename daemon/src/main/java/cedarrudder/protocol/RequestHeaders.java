package cedarrudder.protocol;

import cedarrudder.balancer.BalancerSettings;
import cedarrudder.balancer.BalancerSettings.Idempotency;
import cedarrudder.balancer.LoadBalancer;
import cedarrudder.budget.Budgets;
import cedarrudder.budget.PropagatedBudget;
import java.util.List;

/** The header fields that make a request a request, and what the balancer learns of it. */
public final class RequestHeaders {

    /**
     * Larger figures are nonsense, and would overflow as nanoseconds: a day in milliseconds, where
     * clients of any site wait for some hundred ms to many seconds.
     */
    private static final long MAX = 86_400_000L;

    private static final int MAX_DIGITS = 18;

    /**
     * The answer is ready this much earlier than the client gives up, or a tenth of its wait
     * earlier. This avoids a loop that runs late: as clients come to proxies that have just
     * started, all on one core, loops were seen up to 95 ms late, and a request was lost whose
     * bytes had waited that long to be read. The tenth makes it hold for any deadline: one of 50 ms
     * loses 5.
     */
    private static final long MARGIN = 40_000_000L;

    private static final String DEADLINE = "req-deadline-ms";

    private final List<BalancerSettings.RequestClass> kinds;
    private final List<String> classes;
    private final List<String> tenants;
    private final Budgets budgets;

    public RequestHeaders(BalancerSettings site) {
        this(site, null);
    }

    /**
     * @param budgets what a client says of them is read, and it need not say how long it waits;
     *     null: none
     */
    public RequestHeaders(BalancerSettings site, Budgets budgets) {
        this.budgets = budgets;
        kinds = site.classes();
        classes = site.classes().stream().map(BalancerSettings.RequestClass::name).toList();
        tenants = site.tenants().stream().map(BalancerSettings.Tenant::name).toList();
    }

    /** Whether there are budgets. */
    public boolean budgeted() {
        return budgets != null;
    }

    /**
     * What the client says of budgets; {@link PropagatedBudget#NOTHING} where there are none here.
     */
    public PropagatedBudget carried(HttpMessage request) {
        return budgets == null
                ? PropagatedBudget.NOTHING
                : BudgetHeaders.read(request)
                        .withClientDeadline(request.head().fields().get(DEADLINE) != null);
    }

    /**
     * Reads what the balancer learns of a request that was read at {@code now}, by a loop that has
     * lately been late by this much.
     *
     * <p>The client counts its wait from its send and until our answer's last byte has reached it.
     * This avoids answering just too late: the way here and back, and this process's own delays,
     * come off. On an overloaded day the first tier's loop was 40 to 70 ms late in its first
     * second, which no fixed margin that leaves quick requests their time would cover twice, once
     * for reading and once for answering.
     *
     * @param latest the answer is ready by then in any case
     * @param carried what the client says of budgets
     */
    public LoadBalancer.Request read(
            HttpMessage request,
            long id,
            long now,
            long lateness,
            long latest,
            PropagatedBudget carried)
            throws MalformedMessageException {
        HeaderFields fields = request.head().fields();
        require(fields, "req-id");
        int kind = classes.indexOf(require(fields, "req-kind"));
        if (kind < 0) {
            throw MalformedMessageException.badRequest("unknown Req-Kind");
        }
        checkFit(request, kinds.get(kind).idempotency());
        int tenant = 0;
        if (!tenants.isEmpty()) {
            tenant = tenants.indexOf(require(fields, "req-owner"));
            if (tenant < 0) {
                throw MalformedMessageException.badRequest("unknown Req-Owner");
            }
        }
        long wait =
                carried.hasClientDeadline()
                        ? 1_000_000 * wait(require(fields, DEADLINE))
                        : budgets.defaultDeadline(kind);
        long deadline = now + wait - Math.min(MARGIN, wait / 10) - Math.min(lateness, wait / 5);
        if (carried.remainingNanos() > 0) {
            // Less the way already: only what this loop's lateness took comes off.
            deadline =
                    Math.min(
                            deadline,
                            now
                                    + carried.remainingNanos()
                                    - Math.min(lateness, carried.remainingNanos() / 5));
        }
        String cost = fields.single("req-cost");
        long work = cost == null ? 0 : 1000 * cost(cost);
        return new LoadBalancer.Request(
                id,
                kind,
                tenant,
                Math.min(deadline, latest),
                0,
                "1".equals(fields.single("req-retry")),
                !request.head().method().equals("GET"),
                work);
    }

    /** The longest that any class of clients waits, in nanoseconds. */
    public long longestWait() {
        return kinds.stream()
                .mapToLong(BalancerSettings.RequestClass::deadlineNanos)
                .max()
                .orElse(0);
    }

    /**
     * The class fixes the method. This avoids passing on what endpoints have to reject, or what
     * would be repeated by its class though its key or method says otherwise.
     */
    private static void checkFit(HttpMessage request, Idempotency effect)
            throws MalformedMessageException {
        String method = request.head().method();
        String key = request.head().fields().single("idempotency-key");
        boolean fits =
                switch (effect) {
                    case SAFE -> method.equals("GET") && key == null && request.body().length == 0;
                    case KEYED -> method.equals("POST") && key != null && !key.isEmpty();
                    case UNSAFE -> method.equals("POST") && key == null;
                };
        if (!fits) {
            throw MalformedMessageException.badRequest("method, key or body doesn't fit Req-Kind");
        }
    }

    private static long wait(String value) throws MalformedMessageException {
        boolean isNumber = value.length() <= MAX_DIGITS && MessageHead.isNumber(value);
        long millis = isNumber ? Long.parseLong(value) : 0;
        if (millis == 0 || millis > MAX) {
            throw MalformedMessageException.badRequest("bad req-deadline-ms");
        }
        return millis;
    }

    private static String require(HeaderFields fields, String name)
            throws MalformedMessageException {
        String value = fields.single(name);
        if (value == null || value.isEmpty()) {
            throw MalformedMessageException.badRequest("no " + name);
        }
        return value;
    }

    private static long cost(String value) throws MalformedMessageException {
        int point = value.indexOf('.');
        try {
            long number = Long.parseLong(point < 0 ? value : value.substring(0, point));
            if (number >= 0) {
                return Math.min(MAX, number);
            }
        } catch (NumberFormatException e) {
            // falls through to the same answer as a number that makes no sense
        }
        throw MalformedMessageException.badRequest("bad req-cost");
    }
}
