package cedarrudder.protocol;

import cedarrudder.balancer.BalancerSettings;
import cedarrudder.balancer.BalancerSettings.Idempotency;
import cedarrudder.balancer.LoadBalancer;
import cedarrudder.budget.Budgets;
import cedarrudder.budget.PropagatedBudget;
import java.util.List;

/** Reads the request's required header fields, and from them what the balancer needs to know. */
public final class RequestHeaders {

    /**
     * Limit on times in milliseconds and on costs: a day in milliseconds, where clients of any site
     * wait for some hundred ms to many seconds. Larger figures are invalid and would overflow as
     * nanoseconds.
     */
    private static final long MAX_FIGURE = 86_400_000L;

    private static final int MAX_DIGITS = 18;

    /**
     * Maximum margin, in nanoseconds, between the response and the client's deadline; the margin is
     * a tenth of the client's wait where that is less.
     *
     * <p>The margin covers an event loop that runs late: when clients connect to proxies that have
     * just started, all on one core, loops ran up to 95 ms late, and a request was lost whose bytes
     * had waited that long to be read. The tenth makes the rule hold for any deadline: one of 50 ms
     * loses 5.
     */
    private static final long MAX_MARGIN = 40_000_000L;

    private static final String DEADLINE_KEY = "req-deadline-ms";

    private final List<BalancerSettings.RequestClass> requestClasses;
    private final List<String> classNames;
    private final List<String> tenantNames;
    private final Budgets budgets;

    public RequestHeaders(BalancerSettings site) {
        this(site, null);
    }

    /**
     * @param budgets the budgets, with which a client may send budget fields and omit its deadline;
     *     null where there are none
     */
    public RequestHeaders(BalancerSettings site, Budgets budgets) {
        this.budgets = budgets;
        requestClasses = site.classes();
        classNames = site.classes().stream().map(BalancerSettings.RequestClass::name).toList();
        tenantNames = site.tenants().stream().map(BalancerSettings.Tenant::name).toList();
    }

    /** Returns whether there are budgets. */
    public boolean budgeted() {
        return budgets != null;
    }

    /**
     * Returns the budget that the client sent; {@link PropagatedBudget#NOTHING} where this proxy
     * has no budgets.
     */
    public PropagatedBudget carried(HttpMessage request) {
        return budgets == null
                ? PropagatedBudget.NOTHING
                : BudgetHeaders.read(request)
                        .withClientDeadline(request.head().fields().get(DEADLINE_KEY) != null);
    }

    /**
     * Returns the balancer's view of a request that was read at {@code now}, by an event loop whose
     * recent delay is {@code lateness}, in nanoseconds.
     *
     * <p>The client's wait lasts from its send until the last byte of the response has arrived, so
     * the network time and this process's own delays are subtracted; otherwise the response would
     * arrive just too late. On an overloaded day the first tier's loop was 40 to 70 ms late in its
     * first second. No fixed margin that leaves enough time to quick requests would cover this
     * twice, once for reading and once for responding.
     *
     * @param latest latest instant of the deadline, whatever the client asks for
     * @param carried the budget that the client sent
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
        int classIndex = classNames.indexOf(require(fields, "req-kind"));
        if (classIndex < 0) {
            throw MalformedMessageException.badRequest("unknown Req-Kind");
        }
        checkMatchesClass(request, requestClasses.get(classIndex).idempotency());
        int tenant = 0;
        if (!tenantNames.isEmpty()) {
            tenant = tenantNames.indexOf(require(fields, "req-owner"));
            if (tenant < 0) {
                throw MalformedMessageException.badRequest("unknown Req-Owner");
            }
        }
        long wait =
                carried.hasClientDeadline()
                        ? 1_000_000 * parseWaitMillis(require(fields, DEADLINE_KEY))
                        : budgets.defaultDeadline(classIndex);
        long deadline = now + wait - Math.min(MAX_MARGIN, wait / 10) - Math.min(lateness, wait / 5);
        if (carried.remainingNanos() > 0) {
            // The network time is already subtracted here, so only this loop's lateness is.
            deadline =
                    Math.min(
                            deadline,
                            now
                                    + carried.remainingNanos()
                                    - Math.min(lateness, carried.remainingNanos() / 5));
        }
        String cost = fields.single("req-cost");
        long work = cost == null ? 0 : 1000 * parseCost(cost);
        return new LoadBalancer.Request(
                id,
                classIndex,
                tenant,
                Math.min(deadline, latest),
                0,
                "1".equals(fields.single("req-retry")),
                !request.head().method().equals("GET"),
                work);
    }

    /** Returns the longest deadline of any request class, in nanoseconds. */
    public long longestWait() {
        return requestClasses.stream()
                .mapToLong(BalancerSettings.RequestClass::deadlineNanos)
                .max()
                .orElse(0);
    }

    /**
     * Checks that method, key and body match the request class. Otherwise the proxy would forward
     * requests that endpoints have to reject, or retry by its class a request whose key or method
     * forbids that.
     */
    private static void checkMatchesClass(HttpMessage request, Idempotency idempotency)
            throws MalformedMessageException {
        String method = request.head().method();
        String key = request.head().fields().single("idempotency-key");
        boolean fits =
                switch (idempotency) {
                    case SAFE -> method.equals("GET") && key == null && request.body().length == 0;
                    case KEYED -> method.equals("POST") && key != null && !key.isEmpty();
                    case UNSAFE -> method.equals("POST") && key == null;
                };
        if (!fits) {
            throw MalformedMessageException.badRequest("method, key or body doesn't fit Req-Kind");
        }
    }

    private static long parseWaitMillis(String value) throws MalformedMessageException {
        boolean isNumber = value.length() <= MAX_DIGITS && MessageHead.isNumber(value);
        long millis = isNumber ? Long.parseLong(value) : 0;
        if (millis == 0 || millis > MAX_FIGURE) {
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

    private static long parseCost(String value) throws MalformedMessageException {
        int point = value.indexOf('.');
        try {
            long number = Long.parseLong(point < 0 ? value : value.substring(0, point));
            if (number >= 0) {
                return Math.min(MAX_FIGURE, number);
            }
        } catch (NumberFormatException e) {
            // rejected below, like a number out of range
        }
        throw MalformedMessageException.badRequest("bad req-cost");
    }
}
