package cedarrudder.lab.emulator;

import cedarrudder.balancer.LoadBalancer.Endpoint;
import cedarrudder.balancer.LoadBalancer.EndpointListKind;
import cedarrudder.balancer.LoadBalancer.EndpointStatus;
import cedarrudder.lab.model.Directory;
import cedarrudder.lab.model.DiscoveryClientModel;
import cedarrudder.lab.model.Node;
import cedarrudder.lab.model.Run;
import cedarrudder.lab.scenario.Scenario;
import cedarrudder.protocol.HttpDecoder;
import cedarrudder.protocol.HttpMessage;
import cedarrudder.protocol.MalformedMessageException;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Discovery as one proxy reaches it: the model's, over HTTP. What it has told the proxy is kept,
 * since the proxy's next life starts with that.
 */
final class DiscoveryServer {

    private static final String LIST = "/catalog/members";
    private static final Pattern WATCH =
            Pattern.compile(Pattern.quote(LIST) + "\\?follow=1&since=(\\d{1,18})");

    /** While nothing changes, an empty line arrives every so often. */
    private static final long ALIVE = 2_000_000_000L;

    private final Emulation emulation;
    private final Run run;
    private final EmulatedProxy proxy;
    private final List<Listening> places = new ArrayList<>();

    /** The entries as last told, by the node's id. */
    private final Map<Long, ObjectNode> told = new TreeMap<>();

    private long deliveredVersion;

    DiscoveryServer(Emulation emulation, EmulatedProxy proxy, Port port) {
        this.emulation = emulation;
        this.run = emulation.run();
        this.proxy = proxy;
        move(port);
    }

    /** Discovery is at another port too from now on; the former ones stay until the end. */
    void move(Port port) {
        Listening place = new Listening(emulation.loop, port, Connection::new, emulation::find);
        place.set(Listening.Mode.OPEN);
        places.add(place);
    }

    /** Where discovery is. */
    String address() {
        return places.get(places.size() - 1).port().text();
    }

    void close() {
        places.forEach(Listening::close);
    }

    /**
     * The list that a life of the proxy starts with: what the last one had, or all that is
     * published.
     */
    ObjectNode known() {
        if (deliveredVersion == 0) {
            List<Endpoint> entries = new ArrayList<>();
            List<Node> nodes = new ArrayList<>();
            Directory.Listing listing = run.directory.listing(proxy.tier);
            listing.whole(entries, nodes);
            keep(EndpointListKind.FULL, entries, nodes, listing.version());
        }
        ObjectNode known =
                JsonNodeFactory.instance
                        .objectNode()
                        .put("version", deliveredVersion)
                        .put("full", true);
        ArrayNode servers = known.putArray("servers");
        told.values().forEach(servers::add);
        return known;
    }

    /** The proxy's next life knows nothing of what this one was told. */
    void forget() {
        deliveredVersion = 0;
    }

    /** Writes down that the proxy is told the list it starts with. */
    void tellKnown() {
        run.trace.toldWhole(emulation.now(), proxy.number);
        for (Map.Entry<Long, ObjectNode> each : told.entrySet()) {
            ObjectNode entry = each.getValue();
            trace(
                    each.getKey(),
                    entry.get("cell").asInt(),
                    run.scenario.network().zones().indexOf(entry.get("zone").asText()),
                    state(entry.get("state").asText()),
                    startedAt(entry.get("started_ms").asDouble()));
        }
    }

    private void trace(long endpoint, int cell, int zone, EndpointStatus state, long startedAt) {
        run.trace.told(emulation.now(), proxy.number, endpoint, cell, zone, state, startedAt);
    }

    private static EndpointStatus state(String word) {
        return word.equals("in_service")
                ? EndpointStatus.READY
                : word.equals("terminating") ? EndpointStatus.DRAINING : EndpointStatus.REMOVED;
    }

    private static String word(EndpointStatus state) {
        return switch (state) {
            case READY -> "in_service";
            case DRAINING -> "terminating";
            case REMOVED -> "terminated";
        };
    }

    private long startedAt(double millis) {
        return millis == 0 ? 0 : (long) (millis * 1e6) - emulation.epochNanos;
    }

    private ArrayNode keep(
            EndpointListKind kind, List<Endpoint> entries, List<Node> nodes, long version) {
        if (kind != EndpointListKind.DELTA) {
            told.clear();
        }
        ArrayNode servers = JsonNodeFactory.instance.arrayNode();
        for (int i = 0; i < entries.size(); i++) {
            Endpoint entry = entries.get(i);
            ObjectNode json = json(entry, nodes.get(i));
            servers.add(json);
            if (entry.status() == EndpointStatus.REMOVED) {
                told.remove(entry.id());
            } else {
                told.put(entry.id(), json);
            }
        }
        deliveredVersion = version;
        return servers;
    }

    private ObjectNode json(Endpoint entry, Node node) {
        Scenario scenario = run.scenario;
        double started =
                entry.startedAt() == 0
                        ? 0
                        : Math.floor((entry.startedAt() + emulation.epochNanos) / 1e6);
        return JsonNodeFactory.instance
                .objectNode()
                .put("id", String.format("s-%08x", entry.id()))
                .put("addr", emulation.side(node).address(proxy))
                .put("zone", scenario.network().zones().get(entry.zone()))
                .put("kind", scenario.tiers().get(proxy.tier).kinds().get(entry.kind()).name())
                .put("cell", entry.cell())
                .put("state", word(entry.status()))
                .put("weight", entry.weight())
                .put("started_ms", started);
    }

    /** A call of the proxy, or a watch. */
    private final class Connection extends ChannelInboundHandlerAdapter
            implements DiscoveryClientModel {
        private final HttpDecoder decoder =
                HttpDecoder.ofRequests(HttpDecoder.MAX_HEAD, HttpDecoder.MAX_BODY);
        private Channel channel;
        private boolean watches;
        private boolean answering;
        private long version;

        @Override
        public void channelActive(ChannelHandlerContext context) {
            channel = context.channel();
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object bytes) {
            ByteBuf in = (ByteBuf) bytes;
            emulation.time.turn(() -> read(in));
            in.release();
        }

        private void read(ByteBuf in) {
            try {
                HttpMessage request = decoder.decode(in);
                if (request == null) {
                    return;
                }
                String target = request.head().target();
                Matcher watch = WATCH.matcher(target);
                if (watch.matches()) {
                    watches = true;
                    version = Long.parseLong(watch.group(1));
                    run.directory.watch(this);
                } else if (target.equals(LIST)) {
                    run.directory.fetch(this);
                } else {
                    emulation.find("proxy " + proxy.number + " asked discovery for " + target);
                }
            } catch (MalformedMessageException e) {
                emulation.find(
                        "proxy "
                                + proxy.number
                                + " sent discovery what is no HTTP: "
                                + e.getMessage());
            }
        }

        @Override
        public int tier() {
            return proxy.tier;
        }

        @Override
        public int zone() {
            return proxy.zone;
        }

        @Override
        public boolean alive() {
            return channel.isActive();
        }

        @Override
        public long deliveredVersion() {
            return version;
        }

        @Override
        public void deliveredVersion(long next) {
            version = next;
        }

        @Override
        public void tellLater(
                EndpointListKind kind, List<Endpoint> entries, List<Node> nodes, long next) {
            emulation.after(
                    run.network.nodes(proxy.zone, proxy.zone),
                    () -> {
                        if (alive()) {
                            tell(kind, entries, nodes, next);
                        }
                    });
        }

        private void tell(
                EndpointListKind kind, List<Endpoint> entries, List<Node> nodes, long next) {
            boolean whole = kind != EndpointListKind.DELTA;
            ObjectNode line =
                    JsonNodeFactory.instance.objectNode().put("version", next).put("full", whole);
            // A call may be overtaken by the watch; the proxy drops what is older, and so does what
            // it has.
            boolean news = next >= deliveredVersion;
            ArrayNode servers =
                    news ? keep(kind, entries, nodes, next) : JsonNodeFactory.instance.arrayNode();
            if (!news) {
                for (int i = 0; i < entries.size(); i++) {
                    servers.add(json(entries.get(i), nodes.get(i)));
                }
            }
            line.set("servers", servers);
            if (news) {
                if (whole) {
                    run.trace.toldWhole(emulation.now(), proxy.number);
                }
                entries.forEach(
                        entry ->
                                trace(
                                        entry.id(),
                                        entry.cell(),
                                        entry.zone(),
                                        entry.status(),
                                        entry.startedAt()));
            }
            if (!watches) {
                write(
                        "HTTP/1.1 200 OK\r\nContent-Length: "
                                + (line.toString().length() + 1)
                                + "\r\n\r\n"
                                + line
                                + "\n");
                return;
            }
            if (!answering) {
                answering = true;
                write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                stayAlive();
            }
            chunk(line + "\n");
        }

        private void stayAlive() {
            emulation.after(
                    ALIVE,
                    () -> {
                        if (alive()) {
                            chunk("\n");
                            stayAlive();
                        }
                    });
        }

        private void chunk(String text) {
            write(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
        }

        private void write(String text) {
            channel.writeAndFlush(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
        }

        @Override
        public void failLater() {
            emulation.after(
                    run.network.nodes(proxy.zone, proxy.zone),
                    () -> {
                        if (answering) {
                            Sockets.reset(channel);
                        } else if (alive()) {
                            channel.writeAndFlush(
                                            Unpooled.copiedBuffer(
                                                    "HTTP/1.1 503 Service Unavailable\r\n"
                                                            + "Content-Length: 0\r\n"
                                                            + "Connection: close\r\n\r\n",
                                                    StandardCharsets.ISO_8859_1))
                                    .addListener(ChannelFutureListener.CLOSE);
                        }
                    });
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            emulation.time.turn(() -> run.directory.unwatch(this));
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            channel.close();
        }
    }

    /** Takes a port for discovery as a proxy reaches it. */
    static Port port(int proxy) throws IOException {
        return Port.hold(Emulation.host(proxy, 2));
    }
}
