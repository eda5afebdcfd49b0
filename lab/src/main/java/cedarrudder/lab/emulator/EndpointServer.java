package cedarrudder.lab.emulator;

import cedarrudder.balancer.LoadBalancer.LoadReport;
import cedarrudder.balancer.LoadBalancer.Outcome;
import cedarrudder.lab.model.Node;
import cedarrudder.lab.model.Run;
import cedarrudder.lab.scenario.Scenario.WireTrouble;
import cedarrudder.protocol.HttpDecoder;
import cedarrudder.protocol.HttpMessage;
import cedarrudder.protocol.MalformedMessageException;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/**
 * A node of the model on sockets: a port for each proxy that sends to its tier, and their
 * connections.
 */
final class EndpointServer {

    /** How often idle connections are looked over. */
    private static final long SWEEP = 1_000_000_000L;

    private final Emulation emulation;
    private final Run run;
    private final Node node;
    private final Map<EmulatedProxy, Listening> doors = new LinkedHashMap<>();
    private final Set<Connection> connections = new LinkedHashSet<>();

    EndpointServer(Emulation emulation, Node node) {
        this.emulation = emulation;
        this.run = emulation.run();
        this.node = node;
        sweep();
    }

    Node node() {
        return node;
    }

    /** Opens a port for a proxy. */
    void open(EmulatedProxy proxy, Port port) {
        doors.put(
                proxy,
                new Listening(emulation.loop, port, () -> new Connection(proxy), emulation::find));
        look();
    }

    /** Where a proxy reaches it. */
    String address(EmulatedProxy proxy) {
        return doors.get(proxy).port().text();
    }

    /** Its machine has started or ended, or messages get through again or no longer. */
    void changed() {
        if (node.up() || node.hears()) {
            List.copyOf(connections).stream()
                    .filter(each -> each.incarnation != node.incarnation)
                    .forEach(Connection::reset);
        }
        look();
    }

    /** Sets what connections find at its ports. */
    void look() {
        boolean through = node.hears() && node.speaks();
        Listening.Mode mode =
                !through
                        ? Listening.Mode.SILENT
                        : node.up() && node.connections < maxConnections()
                                ? Listening.Mode.OPEN
                                : Listening.Mode.REFUSES;
        doors.values().forEach(door -> door.set(mode));
    }

    private double maxConnections() {
        double max = node.drawn.connections() * node.kind.cores();
        return emulation.wires.on(node, WireTrouble.FEW_CONNECTIONS)
                ? Math.min(max, doors.size())
                : max;
    }

    private void sweep() {
        long before = emulation.now() - node.drawn.idle();
        for (Connection each : List.copyOf(connections)) {
            if (each.job == null && each.since < before) {
                each.channel.close();
            }
        }
        emulation.after(SWEEP, this::sweep);
    }

    void close() {
        doors.values().forEach(Listening::close);
        List.copyOf(connections).forEach(each -> each.channel.close());
    }

    /** A proxy's connection, which carries one request at a time. */
    final class Connection extends ChannelInboundHandlerAdapter {
        private final EmulatedProxy proxy;
        private final HttpDecoder decoder =
                HttpDecoder.ofRequests(HttpDecoder.MAX_HEAD, HttpDecoder.MAX_BODY);
        private Channel channel;

        /** The life of the machine that accepted it. */
        private int incarnation;

        private boolean counted;
        private long since;

        /** Its first request waits for the handshake that a secure connection would make. */
        private long shakenAt;

        private WireJob job;

        Connection(EmulatedProxy proxy) {
            this.proxy = proxy;
        }

        private long oneWay() {
            return run.network.nodes(proxy.zone, node.zone);
        }

        @Override
        public void channelActive(ChannelHandlerContext context) {
            channel = context.channel();
            emulation.time.turn(this::accept);
        }

        private void accept() {
            connections.add(this);
            incarnation = node.incarnation;
            since = emulation.now();
            shakenAt = since + (long) (2 * node.drawn.handshakeTrips() * oneWay());
            if (emulation.wires.on(node, WireTrouble.RESET_BEFORE) || !node.accepts()) {
                reset();
            } else {
                counted = true;
                look();
            }
        }

        // ---- requests ----

        @Override
        public void channelRead(ChannelHandlerContext context, Object bytes) {
            ByteBuf in = (ByteBuf) bytes;
            emulation.time.turn(() -> read(in));
            in.release();
        }

        private void read(ByteBuf in) {
            try {
                HttpMessage request = decoder.decode(in);
                if (request != null) {
                    come(request);
                }
            } catch (MalformedMessageException e) {
                emulation.find(
                        "proxy "
                                + proxy.number
                                + " sent a node what is no HTTP: "
                                + e.getMessage());
            }
        }

        private void come(HttpMessage request) {
            since = emulation.now();
            long arrives = Math.max(emulation.now(), shakenAt) + oneWay() - emulation.now();
            String target = request.head().target();
            if (target.equals("/_load") || target.equals("/ping")) {
                run.ledger.tiers[node.tier].probes++;
                emulation.after(arrives, this::probe);
                return;
            }
            String id = request.head().fields().get("req-id");
            WireRequest of = id == null ? null : emulation.request(id);
            String wrong =
                    of == null
                            ? "an id that no caller sent"
                            : of.proxy() != proxy
                                    ? "another proxy's request"
                                    : of.changedIn(request);
            if (wrong != null) {
                emulation.find("proxy " + proxy.number + " sent a node " + wrong);
                write(id == null ? "404 Not Found" : "400 Bad Request", "", new byte[0]);
                return;
            }
            WireJob next = new WireJob(emulation, node, of, of.jobs().size(), this, told(request));
            of.jobs().add(next);
            job = next;
            next.sent();
            if (emulation.wires.on(node, WireTrouble.RESET_WITHIN)) {
                reset();
                return;
            }
            emulation.after(
                    arrives,
                    () -> {
                        if (job == next && incarnation == node.incarnation && node.hears()) {
                            node.arrive(next);
                        }
                    });
        }

        /** When the proxy stops waiting. */
        private long told(HttpMessage request) {
            String millis = request.head().fields().get("req-deadline-ms");
            try {
                return emulation.now()
                        + Math.min(Long.MAX_VALUE / 2_000_000, Long.parseLong(millis)) * 1_000_000;
            } catch (NumberFormatException e) {
                emulation.find("proxy " + proxy.number + " sent a node the deadline " + millis);
                return emulation.now();
            }
        }

        private void probe() {
            if (incarnation != node.incarnation
                    || !node.hears()
                    || emulation.wires.on(node, WireTrouble.PROBES_UNANSWERED)) {
                return;
            }
            node.probe(
                    (how, report) ->
                            emulation.after(
                                    oneWay(),
                                    () -> {
                                        if (node.speaks() && incarnation == node.incarnation) {
                                            write(
                                                    how == Outcome.OK
                                                            ? "200 OK"
                                                            : "503 Service Unavailable",
                                                    "",
                                                    report == null ? new byte[0] : text(report));
                                        }
                                    }));
        }

        private byte[] text(LoadReport report) {
            return String.format(
                            Locale.ROOT,
                            "TEXT latency_ms=%.4f, inflight=%.4f, util=%.4f",
                            report.latencyMillis(),
                            report.inFlight(),
                            report.utilization())
                    .getBytes(StandardCharsets.ISO_8859_1);
        }

        // ---- answers ----

        /** The node answers a request; without effect where its connection has another end. */
        void answer(WireJob done, Outcome outcome) {
            emulation.after(
                    oneWay(),
                    () -> {
                        if (job != done || !node.speaks() || incarnation != node.incarnation) {
                            return;
                        }
                        job = null;
                        since = emulation.now();
                        if (outcome == Outcome.OK) {
                            serve(done);
                            return;
                        }
                        done.ended(outcome);
                        write(
                                outcome == Outcome.REJECTED
                                        ? "503 Service Unavailable"
                                        : "500 Internal Server Error",
                                outcome == Outcome.REJECTED ? "Srv-Declined: 1\r\n" : "",
                                new byte[0]);
                    });
        }

        private void serve(WireJob done) {
            WireTrouble trouble = emulation.wires.spoils(node);
            if (trouble == null) {
                done.ended(Outcome.OK);
                write("200 OK", "", done.body());
                return;
            }
            done.ended(trouble == WireTrouble.SECOND_COPY ? Outcome.OK : Outcome.RESET);
            MalformedAnswers.write(trouble, channel, done.body());
        }

        private void write(String status, String fields, byte[] body) {
            byte[] head =
                    ("HTTP/1.1 "
                                    + status
                                    + "\r\n"
                                    + fields
                                    + "Content-Length: "
                                    + body.length
                                    + "\r\n\r\n")
                            .getBytes(StandardCharsets.ISO_8859_1);
            channel.writeAndFlush(Unpooled.wrappedBuffer(head, body), channel.voidPromise());
        }

        // ---- ends ----

        /** The node's machine resets it. */
        void reset() {
            if (job != null) {
                job.ended(Outcome.RESET);
            }
            Sockets.reset(channel);
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            emulation.time.turn(
                    () -> {
                        connections.remove(this);
                        if (counted && incarnation == node.incarnation) {
                            node.connections--;
                            look();
                        }
                        WireJob left = job;
                        job = null;
                        if (left != null) {
                            left.ended(Outcome.CANCELLED);
                            emulation.after(
                                    oneWay(),
                                    () -> {
                                        if (incarnation == node.incarnation && node.hears()) {
                                            node.left(left);
                                        }
                                    });
                        }
                    });
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            channel.close();
        }
    }
}
