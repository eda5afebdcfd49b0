package cedarrudder.protocol;

import cedarrudder.Balancer;
import cedarrudder.Balancer.Settings;
import java.util.List;

/** The header fields that make a request an RPC, and what the module is told of it. */
public final class RpcFields {

    /** Larger figures are nonsense, and would overflow as nanoseconds. */
    private static final long MOST = 86_400_000L;

    /**
     * The answer is ready this much earlier than the client gives up, or a tenth of its wait earlier. Guards
     * against a loop that runs late: as callers come to proxies that have just started, all on one core,
     * loops were seen up to 95 ms late, and an RPC was lost whose bytes had waited that long to be read.
     */
    private static final long MARGIN = 40_000_000L;

    private final List<String> classes;
    private final List<String> tenants;

    public RpcFields(Settings site) {
        classes = site.classes().stream().map(Balancer.RequestClass::name).toList();
        tenants = site.tenants().stream().map(Balancer.Tenant::name).toList();
    }

    /**
     * Reads what the module is told of a request that was read at {@code now}, by a loop that has lately been
     * late by so much.
     *
     * <p>The client counts its wait from its send and until our answer's last byte has reached it. Guards
     * against answering just too late: the way here and back, and this process's own delays, come off. On an
     * overloaded day the first tier's loop was 40 to 70 ms late in its first second, which no fixed margin
     * that leaves quick RPCs their time would cover twice, once for reading and once for answering.
     */
    public Balancer.Request read(Head head, long id, long now, long lateness)
            throws BadMessageException {
        HeaderFields fields = head.fields();
        require(fields, "req-id");
        int kind = classes.indexOf(require(fields, "req-kind"));
        if (kind < 0) {
            throw BadMessageException.badRequest("unknown Req-Kind");
        }
        String owner = fields.single("req-owner");
        int tenant = 0;
        if (!tenants.isEmpty()) {
            tenant = tenants.indexOf(require(fields, "req-owner"));
            if (tenant < 0) {
                throw BadMessageException.badRequest("unknown Req-Owner " + owner);
            }
        }
        long wait = 1_000_000 * whole("req-deadline-ms", require(fields, "req-deadline-ms"));
        long deadline = now + wait - Math.min(MARGIN, wait / 10) - Math.min(lateness, wait / 5);
        String cost = fields.single("req-cost");
        long work = cost == null ? 0 : 1000 * whole("req-cost", cost);
        return new Balancer.Request(id, kind, tenant, deadline, 0, "1".equals(fields.single("req-retry")),
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
        int point = value.indexOf('.');
        try {
            long number = Long.parseLong(point < 0 ? value : value.substring(0, point));
            if (number >= 0) {
                return Math.min(MOST, number);
            }
        } catch (NumberFormatException e) {
            // falls through to the same answer as a number that makes no sense
        }
        throw BadMessageException.badRequest("bad " + name);
    }
}
