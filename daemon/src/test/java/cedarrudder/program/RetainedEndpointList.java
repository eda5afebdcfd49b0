package cedarrudder.program;

import cedarrudder.adminoverride.AdminOverrides;
import cedarrudder.adminoverride.AdminOverrides.NamedEndpoint;
import cedarrudder.balancer.LoadBalancer.Actions;
import cedarrudder.balancer.LoadBalancer.EndpointListKind;
import cedarrudder.balancer.PrequalBalancer;
import cedarrudder.bodyflow.BufferAccount;
import cedarrudder.forwarding.RequestForwarder;
import cedarrudder.logging.Logger;
import cedarrudder.metrics.RequestMetrics;
import cedarrudder.protocol.EndpointList;
import cedarrudder.protocol.EndpointListParser;
import cedarrudder.protocol.HttpMessage;
import cedarrudder.protocol.JsonObject;
import cedarrudder.protocol.SettingsReader;
import cedarrudder.protocol.SiteSettings;
import cedarrudder.transport.EndpointConnectionPool;
import cedarrudder.transport.EndpointLimits;
import cedarrudder.transport.ProxyEventLoop;
import java.io.ByteArrayOutputStream;
import java.lang.reflect.Field;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.SplittableRandom;
import org.openjdk.jol.info.GraphLayout;

/**
 * The objects that a proxy retains for an endpoint list, in the same parts, with every root
 * accessible to JOL.
 */
final class RetainedEndpointList {

    private final SiteSettings site;
    private final EndpointListParser parser;
    private final EndpointConnectionPool connections;
    private final AdminOverrides overrides = new AdminOverrides();
    private final PrequalBalancer balancer;

    RetainedEndpointList(SiteSettings site) throws Exception {
        this.site = site;
        parser = new EndpointListParser(site, () -> 1L << 40, () -> 1_790_000_000_000L);
        Actions none =
                (Actions)
                        java.lang.reflect.Proxy.newProxyInstance(
                                RetainedEndpointList.class.getClassLoader(),
                                new Class<?>[] {Actions.class},
                                (self, method, of) -> null);
        balancer = new PrequalBalancer(site.module(), new SplittableRandom(1), none);
        Logger log = new Logger(line -> true);
        ProxyEventLoop loop = new ProxyEventLoop(log);
        RequestMetrics metrics = new RequestMetrics(site.module().classes().size());
        RequestForwarder<HttpMessage, HttpMessage> forwarder =
                new RequestForwarder<>(
                        actions -> balancer,
                        site.module().limits().maxAttempts(),
                        loop,
                        log,
                        null,
                        metrics);
        connections =
                new EndpointConnectionPool(
                        loop,
                        forwarder,
                        site,
                        EndpointLimits.DEFAULT,
                        EndpointLimits.DEFAULT.bounds(1024, 512),
                        metrics,
                        new BufferAccount(BufferAccount.MAX));
    }

    /** Returns the example settings with this many zones and tenants. */
    static SiteSettings site(int zones, int tenants) throws Exception {
        StringBuilder zone = new StringBuilder();
        StringBuilder tenant = new StringBuilder();
        for (int i = 0; i < zones; i++) {
            zone.append(i == 0 ? "" : ",").append("\"zone-").append(i).append('"');
        }
        for (int i = 0; i < tenants; i++) {
            tenant.append(i == 0 ? "" : ",")
                    .append("{\"name\":\"tenant-")
                    .append(i)
                    .append("\",\"share\":")
                    .append(1.0 / tenants)
                    .append(",\"quota-per-s\":10}");
        }
        String text =
                Files.readString(Path.of("example", "config.json"))
                        .replace("\"room\"", zone)
                        .replace(
                                "{\"name\": \"acme\", \"share\": 1.0, \"quota-per-s\": 100.0}",
                                tenant);
        return SettingsReader.read(JsonObject.parse(text).child("settings"));
    }

    /** Returns a full list in discovery's format; endpoints are numbered from {@code first} on. */
    static String list(int first, int nodes, int zones) {
        StringBuilder text = new StringBuilder("{\"version\":7,\"full\":true,\"servers\":[");
        for (int i = 0; i < nodes; i++) {
            int at = first + i;
            text.append(i == 0 ? "" : ",")
                    .append("{\"id\":\"api-")
                    .append(100_000 + at)
                    .append("\",\"addr\":\"10.")
                    .append(at >> 16 & 255)
                    .append('.')
                    .append(at >> 8 & 255)
                    .append('.')
                    .append(at & 255)
                    .append(":7000\",\"zone\":\"zone-")
                    .append(at % zones)
                    .append("\",\"kind\":\"standard\",\"cell\":")
                    .append(at % 97)
                    .append(",\"state\":\"in_service\",\"weight\":1.0,\"started_ms\":")
                    .append(1_780_000_000_000L + at * 1000L)
                    .append('}');
        }
        return text.append("]}").toString();
    }

    /** The intermediate objects of reading the last list. */
    List<Object> parsed = List.of();

    void load(String text) {
        ByteArrayOutputStream gathered =
                new ByteArrayOutputStream(); // in the form that DiscoveryClient collects
        for (int i = 0; i < text.length(); i++) {
            gathered.write(text.charAt(i));
        }
        JsonObject json = JsonObject.parse(text);
        EndpointList result = parser.read(json);
        connections.onEndpoints(result);
        List<NamedEndpoint> named =
                result.nodes().stream()
                        .map(n -> new NamedEndpoint(n.name(), n.endpoint()))
                        .toList();
        var shown = overrides.updateListed(EndpointListKind.FULL, named);
        parsed = List.of(gathered, text, json, json.list("servers", true), result);
        balancer.onEndpoints(1L << 40, EndpointListKind.FULL, shown);
    }

    private static Object field(Object of, String name) throws Exception {
        Field field = of.getClass().getDeclaredField(name);
        field.setAccessible(true);
        return field.get(of);
    }

    List<Object> roots() throws Exception {
        return List.of(
                field(parser, "numbersById"),
                field(parser, "startsById"),
                field(parser, "idsByNumber"),
                field(connections, "endpoints"),
                overrides,
                balancer);
    }

    static GraphLayout graph(List<Object> roots) {
        return GraphLayout.parseInstance(roots.toArray());
    }
}
