package cedarrudder.protocol;

import cedarrudder.Balancer;

/** The header fields that make a request an RPC, and what the module is told of it. */
public final class RpcFields {

    /** Longer waits are nonsense, and would overflow as nanoseconds. */
    private static final long MOST_MILLIS = 86_400_000L;

    /** The answer is ready this much earlier than the client gives up, or a tenth of its wait earlier. */
    private static final long MARGIN = 20_000_000L;

    private final SiteSettings site;

    public RpcFields(SiteSettings site) {
        this.site = site;
    }

    /**
     * Reads what the module is told of a request that came in at {@code now}.
     *
     * <p>The client counts its wait from its send and until our answer's last byte has reached it. Guards
     * against answering just too late: the way here and back, and this process's own delays, come off.
     */
    public Balancer.Request read(Head head, long id, long now) throws BadMessageException {
        HeaderFields fields = head.fields();
        require(fields, "Req-Id");
        int kind = site.classNames().indexOf(require(fields, "Req-Kind"));
        if (kind < 0) {
            throw BadMessageException.badRequest("unknown Req-Kind");
        }
        String owner = fields.single("Req-Owner");
        int tenant = 0;
        if (!site.tenantNames().isEmpty()) {
            tenant = site.tenantNames().indexOf(require(fields, "Req-Owner"));
            if (tenant < 0) {
                throw BadMessageException.badRequest("unknown Req-Owner " + owner);
            }
        }
        long wait = 1_000_000 * whole("Req-Deadline-Ms", require(fields, "Req-Deadline-Ms"));
        long deadline = now + wait - Math.min(MARGIN, wait / 10);
        String cost = fields.single("Req-Cost");
        long work = cost == null ? 0 : 1000 * whole("Req-Cost", cost);
        return new Balancer.Request(id, kind, tenant, deadline, 0, "1".equals(fields.single("Req-Retry")),
                !head.method().equals("GET"), work);
    }

    private static String require(HeaderFields fields, String name) throws BadMessageException {
        String value = fields.single(name);
        if (value == null || value.isEmpty()) {
            throw BadMessageException.badRequest("no " + name);
        }
        return value;
    }

    private static long whole(String name, String value) throws BadMessageException {
        try {
            double number = Double.parseDouble(value);
            if (number >= 0 && number <= 1000.0 * MOST_MILLIS) {
                return Math.min(MOST_MILLIS, (long) number);
            }
        } catch (NumberFormatException e) {
            // falls through to the same answer as a number that makes no sense
        }
        throw BadMessageException.badRequest("bad " + name);
    }
}
