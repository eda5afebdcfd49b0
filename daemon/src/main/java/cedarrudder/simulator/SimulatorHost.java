package cedarrudder.simulator;

import cedarrudder.balancer.BalancerParameters;
import cedarrudder.balancer.LoadBalancer;
import cedarrudder.balancer.PrequalBalancer;
import cedarrudder.protocol.JsonObject;
import cedarrudder.protocol.LoadReportFields;
import cedarrudder.protocol.SettingsReader;
import cedarrudder.protocol.SiteSettings;
import java.io.BufferedInputStream;
import java.io.FileDescriptor;
import java.io.FileInputStream;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * Runs balancer replicas for the simulator: reads batches of events from standard input and writes
 * replies to standard output.
 */
public final class SimulatorHost {

    private record Replica(LoadBalancer balancer, LoadReportFields fields) {}

    private final BalancerParameters parameters;
    private final FrameEncoder reply = new FrameEncoder();
    private final Map<Long, Replica> replicas = new HashMap<>();
    private final Map<Integer, List<LoadBalancer.Endpoint>> inventories = new HashMap<>();
    private long current = -1;

    private SimulatorHost(BalancerParameters parameters) {
        this.parameters = parameters;
    }

    /**
     * Serves standard input until it ends and returns the exit code. All replicas use the same
     * parameters.
     */
    public static int run(BalancerParameters parameters) {
        try {
            serve(
                    parameters,
                    new BufferedInputStream(new FileInputStream(FileDescriptor.in), 1 << 16),
                    new FileOutputStream(FileDescriptor.out));
            return 0;
        } catch (SimulatorWireException | IOException e) {
            System.err.println("cedarrudder: " + e.getMessage());
            return 1;
        }
    }

    /** Answers batches until the input ends. */
    static void serve(BalancerParameters parameters, InputStream in, OutputStream out)
            throws IOException {
        SimulatorHost host = new SimulatorHost(parameters);
        FrameDecoder batch = new FrameDecoder(in);
        while (batch.next()) {
            host.reply.clear();
            while (batch.nextRecord()) {
                host.handle(batch);
            }
            host.reply.writeTo(out);
        }
    }

    private void handle(FrameDecoder batch) {
        switch (batch.code()) {
            case SimulatorWire.TO -> current = batch.u32(1);
            case SimulatorWire.INVENTORY -> inventories.put(batch.u16(1), batch.endpoints(3));
            case SimulatorWire.NEW_INSTANCE -> start(batch);
            case SimulatorWire.KILL -> {
                replica(batch);
                replicas.remove(current);
            }
            default -> deliver(batch, replica(batch));
        }
    }

    private Replica replica(FrameDecoder batch) {
        Replica replica = replicas.get(current);
        if (replica == null) {
            throw batch.error(
                    "event "
                            + batch.code()
                            + " for instance "
                            + current
                            + ", which was never started");
        }
        return replica;
    }

    private void start(FrameDecoder batch) {
        if (current < 0) {
            throw batch.error("a new instance without a TO before it");
        }
        long seed = batch.i64(1);
        SiteSettings settings;
        try {
            settings = SettingsReader.read(JsonObject.parse(batch.text(9)));
        } catch (IllegalArgumentException e) {
            throw batch.error("settings: " + e.getMessage());
        }
        SplittableRandom random = new SplittableRandom(seed);
        LoadBalancer balancer =
                new PrequalBalancer(
                        settings.module(), parameters, random, reply.actionsOf(current));
        replicas.put(current, new Replica(balancer, settings.fields()));
    }

    private void deliver(FrameDecoder batch, Replica replica) {
        Runnable event = decode(batch, replica.balancer(), replica.fields(), batch.now());
        try {
            event.run();
        } catch (RuntimeException e) {
            reply.bug(current, e.toString());
        }
    }

    /**
     * Decodes the whole event before it is delivered, so that a malformed event is not mistaken for
     * a fault of the balancer.
     */
    private Runnable decode(
            FrameDecoder batch, LoadBalancer replica, LoadReportFields fields, long now) {
        return switch (batch.code()) {
            case SimulatorWire.VIEW -> endpoints(batch, replica, now);
            case SimulatorWire.KNOCK -> request(batch, replica, now);
            case SimulatorWire.FIRST_BYTE -> firstByte(batch, replica, now);
            case SimulatorWire.OUTCOME -> attemptEnd(batch, replica, fields, now);
            case SimulatorWire.CLIENT_LEFT -> {
                long id = batch.i64(1);
                yield () -> replica.onClientLeft(now, id);
            }
            case SimulatorWire.BELL -> {
                long token = batch.i64(1);
                yield () -> replica.onTimer(now, token);
            }
            case SimulatorWire.STATUS_BACK -> probeEnd(batch, replica, fields, now);
            case SimulatorWire.WHISPER -> {
                int from = batch.u16(1);
                byte[] message = batch.bytes(3);
                yield () -> replica.onPeerMessage(now, from, message);
            }
            default -> throw batch.error("unknown event code " + batch.code());
        };
    }

    private Runnable endpoints(FrameDecoder batch, LoadBalancer replica, long now) {
        int kind = batch.u8(1);
        if (kind == SimulatorWire.VIEW_FAILED) {
            return () -> replica.onEndpointsUnavailable(now);
        }
        LoadBalancer.EndpointListKind listKind = batch.listKind(kind);
        List<LoadBalancer.Endpoint> entries = inventories.get(batch.u16(6));
        if (entries == null) {
            throw batch.error("list " + batch.u16(6) + " was never given");
        }
        return () -> replica.onEndpoints(now, listKind, entries);
    }

    private static Runnable request(FrameDecoder batch, LoadBalancer replica, long now) {
        int bits = batch.u8(9);
        LoadBalancer.Request request =
                new LoadBalancer.Request(
                        batch.i64(1),
                        batch.u8(12),
                        batch.u16(10),
                        batch.i64(13),
                        batch.i64(21),
                        (bits & SimulatorWire.BIT_REPEAT) != 0,
                        (bits & SimulatorWire.BIT_WRITE) != 0,
                        (bits & SimulatorWire.BIT_HINT) != 0 ? batch.i64(29) : 0);
        return () -> replica.onRequest(now, request);
    }

    private static Runnable firstByte(FrameDecoder batch, LoadBalancer replica, long now) {
        long id = batch.i64(1);
        long latency = batch.i64(9);
        int attempt = batch.u8(17);
        long endpoint = batch.u32(18);
        return () -> replica.onFirstByte(now, id, attempt, endpoint, latency);
    }

    private static Runnable attemptEnd(
            FrameDecoder batch, LoadBalancer replica, LoadReportFields fields, long now) {
        long id = batch.i64(1);
        int attempt = batch.u8(9);
        long endpoint = batch.u32(10);
        LoadBalancer.Outcome outcome = batch.outcome(14);
        long latency = batch.i64(16);
        boolean settled = batch.u8(24) != 0;
        LoadBalancer.LoadReport load = batch.load(25, fields);
        return () ->
                replica.onAttemptEnded(now, id, attempt, endpoint, outcome, latency, settled, load);
    }

    private static Runnable probeEnd(
            FrameDecoder batch, LoadBalancer replica, LoadReportFields fields, long now) {
        long endpoint = batch.u32(1);
        LoadBalancer.Outcome outcome = batch.outcome(5);
        long latency = batch.i64(7);
        LoadBalancer.LoadReport load = batch.load(15, fields);
        return () -> replica.onProbeEnded(now, endpoint, outcome, latency, load);
    }
}
