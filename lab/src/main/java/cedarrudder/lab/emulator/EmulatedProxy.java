package cedarrudder.lab.emulator;

import cedarrudder.balancer.BalancerSettings;
import cedarrudder.lab.model.Caller;
import cedarrudder.lab.model.ClientAttempt;
import cedarrudder.lab.model.Node;
import cedarrudder.lab.model.Proxy;
import cedarrudder.lab.model.Run;
import cedarrudder.lab.model.Streams;
import cedarrudder.lab.scenario.Scenario;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/**
 * A proxy that is a process: the built daemon, with the configuration that the platform would give
 * it.
 */
final class EmulatedProxy extends Proxy {

    /** Processes are started, and asked whether they are ready, beside the loop. */
    private static final ExecutorService BESIDE =
            Executors.newCachedThreadPool(
                    task -> {
                        Thread thread = new Thread(task, "starter");
                        thread.setDaemon(true);
                        return thread;
                    });

    private static final int HEALTH_MILLIS = 20;
    private static final long PATIENCE = 30_000_000_000L;

    /** At a planned restart new connections still come for this long. */
    private static final long LINGER = 300_000_000L;

    /** SIGKILL comes this long after the longest wait of a client. */
    private static final long KILLED_AFTER = 700_000_000L;

    private static final long KIB_OF_A_MIB = 1024;

    private final Emulation emulation;
    private final Port listen;
    private final DiscoveryServer lists;
    private final ClientConnections calls;
    private final Path file;
    private final Path log;

    /** The process of this life; null where there is none. */
    private volatile SupervisedProcess process;

    private volatile int incarnation;
    private boolean running;
    private boolean leaving;
    private Runnable whenReady = () -> {};

    /** The most that a process of it held. */
    private long maxKib;

    private long maxDescriptors;
    private double cpuSeconds;

    EmulatedProxy(Emulation emulation, Run run, int number, int tier, int self, int zone) {
        super(run, number, tier, self, zone);
        this.emulation = emulation;
        this.file = emulation.place.folder().resolve("proxy-" + number + ".json");
        this.log = emulation.place.folder().resolve("proxy-" + number + ".log");
        try {
            this.listen = Port.hold(Emulation.host(number, 1));
            this.lists = new DiscoveryServer(emulation, this, DiscoveryServer.port(number));
            for (Node node : run.nodesOf(tier)) {
                emulation.side(node).open(this, Port.hold(Emulation.host(number, 3 + node.index)));
            }
        } catch (IOException e) {
            throw new UncheckedIOException("proxy " + number + " can't be given ports", e);
        }
        this.calls = new ClientConnections(emulation, listen.address());
    }

    ClientConnections calls() {
        return calls;
    }

    @Override
    protected boolean up() {
        return running && !leaving;
    }

    @Override
    protected Pending take(Caller caller, ClientAttempt what) {
        WireRequest sent = new WireRequest(emulation, this, caller, what);
        sent.send();
        return sent;
    }

    @Override
    protected void tellAgain() {
        // A real proxy opens its watch again by itself.
    }

    @Override
    protected void forget() {
        lists.forget();
    }

    // ---- its life ----

    @Override
    protected void start(Runnable ready) {
        int own = ++incarnation;
        running = true;
        leaving = false;
        whenReady = ready;
        emulation.starts();
        String configuration = configuration().toPrettyString();
        lists.known();
        run.trace.proxyStarted(emulation.now(), number, tier);
        lists.tellKnown();
        BESIDE.execute(
                () -> {
                    try {
                        Files.writeString(file, configuration);
                        SupervisedProcess started =
                                SupervisedProcess.start(
                                        emulation.place.commandOf(number),
                                        emulation.place.root(),
                                        environment(),
                                        log,
                                        emulation.place.sockets());
                        emulation.loop.execute(() -> started(own, started));
                        boolean healthy = awaitHealth(started);
                        emulation.loop.execute(
                                () -> emulation.time.turn(() -> healthy(own, healthy)));
                    } catch (IOException e) {
                        emulation.loop.execute(
                                () ->
                                        emulation.find(
                                                "proxy "
                                                        + number
                                                        + " can't be started: "
                                                        + e.getMessage()));
                    }
                });
    }

    private Map<String, String> environment() throws IOException {
        Path temporary =
                Files.createDirectories(
                        emulation.place.folder().resolve("tmp-" + number + "-" + incarnation));
        return Map.of(
                "BALANCER_NAME",
                name(),
                "BALANCER_LISTEN",
                listen.text(),
                "BALANCER_DISCOVERY",
                lists.address(),
                "BALANCER_CONFIG",
                file.toString(),
                "TMPDIR",
                temporary.toString());
    }

    private String name() {
        return "n" + number;
    }

    private ObjectNode configuration() {
        Scenario scenario = run.scenario;
        BalancerSettings settings = run.world.settings(tier, self, zone);
        long seed =
                run.streams.seedOf(Streams.Concern.MODULE, (long) number << 32 | incarnation - 1);
        ObjectNode json =
                JsonNodeFactory.instance
                        .objectNode()
                        .put("name", name())
                        .put("listen", listen.text())
                        .put("discovery", lists.address())
                        .put("seed", Long.toHexString(seed));
        json.putObject("limits")
                .put("cores", 1.0)
                .put("memory_mb", emulation.place.memoryMb())
                .put("sockets", emulation.place.sockets());
        json.set("known", lists.known());
        json.set("settings", SettingsJson.of(settings, scenario, scenario.tiers().get(tier)));
        return json;
    }

    /** Whether it says within its time that it takes requests. */
    private boolean awaitHealth(SupervisedProcess started) {
        long until = System.nanoTime() + PATIENCE;
        byte[] ask =
                "GET /_health HTTP/1.1\r\nHost: proxy\r\nConnection: close\r\n\r\n"
                        .getBytes(StandardCharsets.US_ASCII);
        while (System.nanoTime() < until && !started.onExit().isDone()) {
            try (Socket socket = new Socket()) {
                socket.connect(
                        new InetSocketAddress(
                                listen.address().getAddress(), listen.address().getPort()));
                socket.setSoTimeout(HEALTH_MILLIS * 10);
                socket.getOutputStream().write(ask);
                String first =
                        new String(
                                socket.getInputStream().readNBytes("HTTP/1.1 200".length()),
                                StandardCharsets.US_ASCII);
                if (first.endsWith(" 200")) {
                    return true;
                }
            } catch (IOException e) {
                // not yet
            }
            try {
                Thread.sleep(HEALTH_MILLIS);
            } catch (InterruptedException e) {
                return false;
            }
        }
        return false;
    }

    private void started(int own, SupervisedProcess started) {
        if (own != incarnation || !running) {
            started.kill(); // it died before it was there
            return;
        }
        process = started;
        started.onExit()
                .thenAccept(
                        code ->
                                emulation.loop.execute(
                                        () -> emulation.time.turn(() -> exited(own, code))));
    }

    private void healthy(int own, boolean healthy) {
        emulation.started();
        if (own == incarnation && running && healthy) {
            whenReady.run();
        }
    }

    /** A process of it has ended. One that nobody ended has crashed. */
    private void exited(int own, int code) {
        if (own != incarnation || !running) {
            return;
        }
        running = false;
        process = null;
        run.trace.proxyDied(emulation.now(), number);
        if (leaving) {
            start(() -> run.front.take(this));
        } else {
            emulation.find(
                    "proxy "
                            + number
                            + " ended by itself with code "
                            + code
                            + "; its log is "
                            + log);
        }
    }

    @Override
    protected void die() {
        if (!running) {
            return;
        }
        running = false;
        run.trace.proxyDied(emulation.now(), number);
        if (process != null) {
            process.kill();
            process = null;
        }
    }

    // ---- signals ----

    /** A planned restart: SIGTERM, then SIGKILL where it stays too long, and a new life. */
    void restart() {
        if (process == null || leaving) {
            return;
        }
        leaving = true;
        SupervisedProcess ending = process;
        long longest =
                run.scenario.classes().stream()
                        .mapToLong(Scenario.RequestKind::deadline)
                        .max()
                        .orElse(0);
        run.front.died(this, LINGER);
        ending.terminate();
        emulation.after(Math.max(longest, 3_000_000_000L) + KILLED_AFTER, ending::kill);
    }

    /** Discovery moves for it, and SIGHUP tells it. */
    void moveDiscovery() {
        if (process == null) {
            return;
        }
        try {
            lists.move(DiscoveryServer.port(number));
            Files.writeString(file, configuration().toPrettyString());
            process.hangUp();
        } catch (IOException e) {
            emulation.find("discovery can't move for proxy " + number + ": " + e.getMessage());
        }
    }

    // ---- what it costs ----

    /**
     * Looks what its process holds; ends the run where that is more than it may. From any thread.
     */
    synchronized void look(int second, ResourceUsage held) {
        SupervisedProcess now = process;
        if (now == null) {
            return;
        }
        ResourceUsage.Sample sample =
                new ResourceUsage.Sample(
                        second,
                        number,
                        incarnation,
                        now.residentKib(),
                        now.descriptors(),
                        now.cpuSeconds());
        if (sample.residentKib() == 0) {
            return; // it ended meanwhile
        }
        held.add(sample);
        maxKib = Math.max(maxKib, sample.residentKib());
        maxDescriptors = Math.max(maxDescriptors, sample.descriptors());
        cpuSeconds = Math.max(cpuSeconds, sample.cpuSeconds());
        int max = emulation.place.memoryMb();
        if (max > 0 && maxKib > max * KIB_OF_A_MIB) {
            long found = maxKib;
            emulation.loop.execute(
                    () ->
                            emulation.find(
                                    "proxy "
                                            + number
                                            + " held "
                                            + found
                                            + " KiB of memory; "
                                            + max
                                            + " MiB are allowed"));
        }
    }

    synchronized long maxKib() {
        return maxKib;
    }

    synchronized long maxDescriptors() {
        return maxDescriptors;
    }

    synchronized double cpuSeconds() {
        return cpuSeconds;
    }

    /** Whether it is at a planned restart. */
    boolean leaving() {
        return leaving;
    }

    /** Its process; null where it has none. */
    SupervisedProcess process() {
        return process;
    }

    /** Lets go of its ports. */
    void close() {
        running = false;
        lists.close();
        try {
            listen.close();
        } catch (IOException e) {
            emulation.find("can't let go of " + listen.text() + ": " + e.getMessage());
        }
    }
}
