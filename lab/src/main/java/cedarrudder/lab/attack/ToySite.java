package cedarrudder.lab.attack;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.stream.Collectors;

/**
 * The settings of a small site of one tier, and its nodes, as a daemon's configuration and
 * discovery's lists hold them.
 */
public final class ToySite {

    private static final String SETTINGS =
            """
            {
            "balancers": %d, "ordinal": %d, "layer": 0, "tiers": ["only"], "zone": %d, "localities": [%s],
            "kinds": ["any"], "discovery": "ask",
            "tenants": [{"name": "acme", "share": 1.0, "quota-per-s": 1000.0}],
            "request-classes": [
            {"name": "lookup", "idempotency": "retryable", "key-scope": "all", "goal-time-ns": 300000000,
            "give-up-ns": 3000000000, "value": 1.0, "late-worth": 0.0, "repeat-window-ns": 5000000000,
            "stream": false},
            {"name": "order", "idempotency": "fragile", "key-scope": "all", "goal-time-ns": 1000000000,
            "give-up-ns": 3000000000, "value": 1.0, "late-worth": 0.0, "repeat-window-ns": 5000000000,
            "stream": false}],
            "limits": {"cancel": true, "parallel-tries": true, "probes": true, "retry-after": true,
            "max-attempts": 3, "max-retry-after-ns": 2000000000, "dial-timeout-ns": 120000000,
            "conn-idle-ns": 30000000000},
            "report": {"fields": ["latency_ms", "inflight", "util"], "via": "probe"},
            "safety": {"stop-sending-within-ns": 2000000000, "cold-share": 0.2, "ramp-time-ns": 1000000000,
            "fall-multiple": 3.0, "fall-ns": 3000000000, "ask-within-ns": 10000000000},
            "goal": {"whole": 0.7, "worst-window": 0.1, "worst-class": 0.1, "worst-tenant": 0.1}}
            """;

    private ToySite() {}

    /** The settings of one of this many proxies, as JSON. */
    public static String settings(int replicas, int ordinal) {
        return settings(replicas, ordinal, 0, List.of("here"));
    }

    /** The same for one in a zone of several. */
    public static String settings(int replicas, int ordinal, int zone, List<String> zones) {
        return SETTINGS.formatted(
                        replicas,
                        ordinal,
                        zone,
                        zones.stream()
                                .map(name -> "\"" + name + "\"")
                                .collect(Collectors.joining(", ")))
                .strip();
    }

    /** Entries of a list, as JSON without brackets. */
    public static String servers(List<InetSocketAddress> nodes) {
        return nodes.stream()
                .map(node -> server("n" + node.getPort(), node, "here", 0))
                .collect(Collectors.joining(","));
    }

    /** One entry of a list; {@code started} in milliseconds since 1970, 0: long ago. */
    public static String server(String id, InetSocketAddress node, String zone, long started) {
        return """
        {"id":"%s","addr":"%s:%d","zone":"%s","kind":"any","cell":0,\
        "state":"in_service","weight":1.0,"started_ms":%d}\
        """
                .formatted(id, node.getAddress().getHostAddress(), node.getPort(), zone, started);
    }
}
