package cedarrudder.program;

import cedarrudder.Balancer.Actions;
import cedarrudder.Balancer.ListKind;
import cedarrudder.Decide;
import cedarrudder.figures.Figures;
import cedarrudder.flow.HeldBytes;
import cedarrudder.logging.Logger;
import cedarrudder.protocol.JsonObject;
import cedarrudder.protocol.Message;
import cedarrudder.protocol.ResolverResult;
import cedarrudder.protocol.ResolverResultReader;
import cedarrudder.protocol.SettingsReader;
import cedarrudder.protocol.SiteSettings;
import cedarrudder.rotation.Rotation;
import cedarrudder.rotation.Rotation.Named;
import cedarrudder.routing.Driver;
import cedarrudder.transport.Loop;
import cedarrudder.transport.NodeChannels;
import cedarrudder.transport.NodeLimits;
import java.io.ByteArrayOutputStream;
import java.lang.reflect.Field;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.SplittableRandom;
import org.openjdk.jol.info.GraphLayout;

/** What a proxy keeps of a list, in the same parts, with every root at hand for JOL. */
final class Held {

    private final SiteSettings site;
    private final ResolverResultReader reader;
    private final NodeChannels channels;
    private final Rotation rotation = new Rotation();
    private final Decide module;

    Held(SiteSettings site) throws Exception {
        this.site = site;
        reader = new ResolverResultReader(site, () -> 1L << 40, () -> 1_790_000_000_000L);
        Actions none =
                (Actions)
                        java.lang.reflect.Proxy.newProxyInstance(
                                Held.class.getClassLoader(),
                                new Class<?>[] {Actions.class},
                                (self, method, of) -> null);
        module = new Decide(site.module(), new SplittableRandom(1), none);
        Logger log = new Logger(line -> true);
        Loop loop = new Loop(log);
        Figures figures = new Figures(site.module().classes().size());
        Driver<Message, Message> driver =
                new Driver<>(
                        actions -> module,
                        site.module().limits().maxAttempts(),
                        loop,
                        log,
                        null,
                        figures);
        channels =
                new NodeChannels(
                        loop,
                        driver,
                        site,
                        NodeLimits.DEFAULT,
                        NodeLimits.DEFAULT.bounds(1024, 512),
                        figures,
                        new HeldBytes(HeldBytes.MOST));
    }

    /** The example's settings, with so many zones and tenants. */
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

    /** A whole list as discovery writes it; nodes are numbered from {@code first} on. */
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

    /** What the last list was while it was read. */
    List<Object> parsed = List.of();

    void load(String text) {
        ByteArrayOutputStream gathered = new ByteArrayOutputStream(); // as DiscoveryClient has it
        for (int i = 0; i < text.length(); i++) {
            gathered.write(text.charAt(i));
        }
        JsonObject json = JsonObject.parse(text);
        ResolverResult result = reader.read(json);
        channels.resolved(result);
        List<Named> named =
                result.nodes().stream().map(n -> new Named(n.name(), n.endpoint())).toList();
        var shown = rotation.listed(ListKind.FULL, named);
        parsed = List.of(gathered, text, json, json.list("servers", true), result);
        module.endpoints(1L << 40, ListKind.FULL, shown);
    }

    private static Object field(Object of, String name) throws Exception {
        Field field = of.getClass().getDeclaredField(name);
        field.setAccessible(true);
        return field.get(of);
    }

    List<Object> roots() throws Exception {
        return List.of(
                field(reader, "numbers"),
                field(reader, "starts"),
                field(reader, "names"),
                field(channels, "nodes"),
                rotation,
                module);
    }

    static GraphLayout graph(List<Object> roots) {
        return GraphLayout.parseInstance(roots.toArray());
    }
}
