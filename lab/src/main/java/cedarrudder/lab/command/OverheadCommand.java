package cedarrudder.lab.command;

import cedarrudder.balancer.BalancerSettings.Idempotency;
import cedarrudder.lab.emulator.HostEnvironment;
import cedarrudder.lab.emulator.Port;
import cedarrudder.lab.emulator.SupervisedProcess;
import cedarrudder.lab.load.LoadResult;
import cedarrudder.lab.load.LoadRun;
import cedarrudder.lab.load.Options;
import cedarrudder.lab.load.Rate;
import cedarrudder.lab.load.Saturation;
import cedarrudder.lab.load.StandIn;
import cedarrudder.lab.load.Traffic;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.function.ToDoubleFunction;
import picocli.CommandLine.Command;
import picocli.CommandLine.ExitCode;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** {@code overhead}: what one daemon on one core costs, beside a relay that reads nothing. */
@Command(
        name = "overhead",
        description =
                "Measures one daemon on one core beside a bare relay with the same flags and beside"
                    + " no proxy at all, in turns: the greatest rate, and latencies at shares of"
                    + " it.")
final class OverheadCommand implements Callable<Integer> {

    /** What stands between the load and the nodes. */
    private enum Way {
        DIRECT,
        RELAY,
        DAEMON
    }

    private static final int MEMORY_MB = 192;
    private static final double[] SHARES = {0.1, 0.5, 0.8};
    private static final double WARM_SECONDS = 3;

    /** Connections come up in it; not counted. */
    private static final double LEAD = 0.7;

    private static final double REACH_SECONDS = 2;
    private static final int READY_TRIES = 1500;
    private static final int READY_MILLIS = 20;
    private static final String SETTINGS =
            """
            {"balancers": 1, "ordinal": 0, "layer": 0, "tiers": ["one"], "zone": 0, "localities": ["room"],
             "kinds": ["standard"], "discovery": "ask",
             "request-classes": [{"name": "look", "idempotency": "retryable", "key-scope": "all",
              "goal-time-ns": 1000000000, "give-up-ns": 10000000000, "value": 1}],
             "limits": {"cancel": true, "parallel-tries": true, "probes": true, "retry-after": true,
              "max-attempts": 3, "max-retry-after-ns": 2000000000, "dial-timeout-ns": 120000000,
              "conn-idle-ns": 30000000000},
             "report": {"fields": ["latency_ms", "inflight", "util"], "via": "probe"},
             "safety": {"stop-sending-within-ns": 2000000000, "cold-share": 0.2, "ramp-time-ns": 10000000000,
              "fall-multiple": 3.0, "fall-ns": 3000000000, "ask-within-ns": 10000000000},
             "goal": {"whole": 1}}
            """;

    /** Medians over the rounds, of one way at one share. */
    private static final class Series {
        final List<LoadResult> results = new ArrayList<>();

        double median(ToDoubleFunction<LoadResult> figure) {
            return OverheadCommand.median(results.stream().mapToDouble(figure).toArray());
        }
    }

    @Spec private CommandSpec spec;

    @Option(
            names = "--root",
            paramLabel = "DIR",
            defaultValue = ".",
            description =
                    "The checkout whose daemon is run; the working directory where not given.")
    private Path root;

    @Option(
            names = "--cpu",
            paramLabel = "N",
            required = true,
            description =
                    "The processor of daemon and "
                            + "relay; keep this command itself off it with taskset.")
    private int cpu;

    @Option(
            names = "--connections",
            paramLabel = "N",
            defaultValue = "32",
            description = "Connections of callers; ${DEFAULT-VALUE} where not given.")
    private int connections;

    @Option(
            names = "--nodes",
            paramLabel = "N",
            defaultValue = "4",
            description = "Nodes behind the daemon; ${DEFAULT-VALUE} where not given.")
    private int nodeCount;

    @Option(
            names = "--rounds",
            paramLabel = "N",
            defaultValue = "3",
            description = "Turns; figures are their medians; ${DEFAULT-VALUE} where not given.")
    private int rounds;

    @Option(
            names = "--seconds",
            paramLabel = "N",
            defaultValue = "3",
            description = "Length of each run; ${DEFAULT-VALUE} where not given.")
    private double seconds;

    @Option(
            names = "--compiler",
            paramLabel = "WHICH",
            defaultValue = "platform",
            description =
                    "platform: the flags of the deploy file; default: the same without the bound on"
                            + " the compiler.")
    private Compiler compiler;

    @Option(
            names = "--sockets",
            paramLabel = "N",
            defaultValue = "1024",
            description =
                    "Descriptors of the daemon at the most; ${DEFAULT-VALUE} where not given.")
    private int sockets;

    /** Which flags the virtual machines get. */
    enum Compiler {
        PLATFORM,
        DEFAULT
    }

    @Override
    public Integer call() throws IOException, InterruptedException {
        Path folder = Files.createTempDirectory("cedarrudder-overhead");
        HostEnvironment place = HostEnvironment.of(root, folder, List.of(cpu), MEMORY_MB, sockets);
        List<SupervisedProcess> started = new ArrayList<>();
        try (StandIn nodes = new StandIn("127.0.0.1", nodeCount, 200, 2);
                Port daemonAt = Port.hold("127.0.0.2");
                Port relayAt = Port.hold("127.0.0.3")) {
            SupervisedProcess daemon = daemon(place, folder, nodes, daemonAt);
            started.add(daemon);
            started.add(relay(place, folder, nodes, relayAt));
            Map<Way, List<InetSocketAddress>> targets = new EnumMap<>(Way.class);
            targets.put(Way.DIRECT, nodes.nodes());
            targets.put(Way.RELAY, List.of(relayAt.address()));
            targets.put(Way.DAEMON, List.of(daemonAt.address()));
            ready(relayAt);
            ready(daemonAt);
            measure(targets, daemon);
        } finally {
            for (SupervisedProcess each : started) {
                each.end();
            }
        }
        return ExitCode.OK;
    }

    private void measure(Map<Way, List<InetSocketAddress>> targets, SupervisedProcess daemon)
            throws IOException, InterruptedException {
        PrintWriter out = spec.commandLine().getOut();
        for (Way way : Way.values()) {
            new Saturation(options(targets.get(way), "1@1")).reach(0, WARM_SECONDS);
        }
        Map<Way, double[]> greatest = new EnumMap<>(Way.class);
        double[] cpuMicros = new double[rounds];
        for (Way way : Way.values()) {
            greatest.put(way, new double[rounds]);
        }
        for (int round = 0; round < rounds; round++) {
            for (Way way : Way.values()) {
                double before = daemon.cpuSeconds();
                Saturation.Reached reached =
                        new Saturation(options(targets.get(way), "1@1")).reach(0.2, REACH_SECONDS);
                greatest.get(way)[round] = reached.perSecond();
                if (way == Way.DAEMON) {
                    cpuMicros[round] =
                            (daemon.cpuSeconds() - before)
                                    * 1e6
                                    / (reached.perSecond() * (REACH_SECONDS + 0.2));
                }
                if (reached.others() > 0) {
                    out.println(way + ": " + reached.others() + " answers were no 200");
                }
            }
        }
        double top = median(greatest.get(Way.DAEMON));
        out.println(
                String.format(
                        Locale.ROOT,
                        "%d connections, %d nodes, %s flags, " + "medians of %d rounds",
                        connections,
                        nodeCount,
                        compiler.name().toLowerCase(Locale.ROOT),
                        rounds));
        out.println(
                String.format(
                        Locale.ROOT,
                        "greatest rate: direct %.0f, relay %.0f, daemon %.0f a "
                                + "second; daemon of relay %.2f; %.0f us of processor time an RPC",
                        median(greatest.get(Way.DIRECT)),
                        median(greatest.get(Way.RELAY)),
                        top,
                        top / median(greatest.get(Way.RELAY)),
                        median(cpuMicros)));
        List<List<String>> rows = new ArrayList<>();
        rows.add(
                List.of(
                        "share",
                        "a second",
                        "way",
                        "p50 us",
                        "p99 us",
                        "p99.9 us",
                        "own error p99 us",
                        "kept"));
        for (double share : SHARES) {
            at(share, top * share, targets, rows);
        }
        ResultText.table(rows).forEach(out::println);
        out.println(
                String.format(
                        Locale.ROOT,
                        "daemon: %.1f MiB resident, %d descriptors",
                        daemon.residentKib() / 1024.0,
                        daemon.descriptors()));
        out.flush();
    }

    private void at(
            double share,
            double rate,
            Map<Way, List<InetSocketAddress>> targets,
            List<List<String>> rows)
            throws IOException, InterruptedException {
        Map<Way, Series> series = new EnumMap<>(Way.class);
        for (Way way : Way.values()) {
            series.put(way, new Series());
        }
        for (int round = 0; round < rounds; round++) {
            for (Way way : Way.values()) {
                String plan = String.format(Locale.ROOT, "%.1f@%.1f", rate, seconds + LEAD);
                series.get(way)
                        .results
                        .add(new LoadRun(options(targets.get(way), plan), line -> {}).play(null));
            }
        }
        for (Way way : Way.values()) {
            Series all = series.get(way);
            rows.add(
                    List.of(
                            figure(share * 100) + " %",
                            figure(rate),
                            way.name().toLowerCase(Locale.ROOT),
                            micros(all.median(r -> r.latency().p50())),
                            micros(all.median(r -> r.latency().p99())),
                            micros(all.median(r -> r.latency().p999())),
                            micros(all.median(r -> r.turned().p99())),
                            all.results.stream().allMatch(LoadResult::kept) ? "yes" : "NO"));
        }
        Series relay = series.get(Way.RELAY);
        Series daemon = series.get(Way.DAEMON);
        rows.add(
                List.of(
                        "",
                        "",
                        "daemon / relay",
                        ratio(daemon, relay, r -> r.latency().p50()),
                        ratio(daemon, relay, r -> r.latency().p99()),
                        ratio(daemon, relay, r -> r.latency().p999()),
                        "",
                        ""));
    }

    private static String ratio(Series of, Series to, ToDoubleFunction<LoadResult> figure) {
        return String.format(Locale.ROOT, "%.2f", of.median(figure) / to.median(figure));
    }

    private static String micros(double millis) {
        return figure(millis * 1000);
    }

    private static String figure(double value) {
        return String.format(Locale.ROOT, "%.0f", value);
    }

    private static double median(double[] values) {
        double[] sorted = values.clone();
        Arrays.sort(sorted);
        int middle = sorted.length / 2;
        return sorted.length % 2 == 1 ? sorted[middle] : (sorted[middle - 1] + sorted[middle]) / 2;
    }

    private Options options(List<InetSocketAddress> targets, String rate) {
        Traffic traffic =
                new Traffic(
                        List.of(new Traffic.Kind("look", Idempotency.SAFE, 1, 10_000)), List.of());
        return new Options(
                targets,
                Rate.parse(rate),
                LEAD,
                traffic,
                true,
                connections,
                false,
                "/api",
                0,
                2,
                1,
                10);
    }

    // ---- what is measured ----

    private String flags(HostEnvironment place) {
        String all = place.command().replaceAll("^exec (?:env \\S+ )?java (.*) -jar .*$", "$1");
        return compiler == Compiler.PLATFORM
                ? all
                : all.replaceAll("-XX:TieredStopAtLevel=1 |-XX:ReservedCodeCacheSize=\\S+ ?", "");
    }

    private SupervisedProcess daemon(HostEnvironment place, Path folder, StandIn nodes, Port at)
            throws IOException {
        Path file = folder.resolve("daemon.json");
        InetSocketAddress discovery = nodes.discovery();
        Files.writeString(
                file,
                "{\"name\": \"one\", \"listen\": \""
                        + at.text()
                        + "\", \"discovery\": \""
                        + discovery.getAddress().getHostAddress()
                        + ":"
                        + discovery.getPort()
                        + "\", \"seed\": \"1\", \"limits\": {\"cores\": 1.0, \"memory_mb\": "
                        + MEMORY_MB
                        + ", \"sockets\": "
                        + sockets
                        + "}, \"known\": "
                        + nodes.list()
                        + ", \"settings\": "
                        + SETTINGS
                        + "}");
        String command =
                place.command()
                        .replaceAll(
                                "^(exec (?:env \\S+ )?java) .* -jar ",
                                "$1 " + flags(place).replace("\\", "\\\\") + " -jar ");
        return SupervisedProcess.start(
                pinned(command),
                place.root(),
                Map.of("BALANCER_CONFIG", file.toString()),
                folder.resolve("daemon.log"),
                sockets);
    }

    private SupervisedProcess relay(HostEnvironment place, Path folder, StandIn nodes, Port at)
            throws IOException {
        // The archive holds the daemon's classes and serves its jar alone.
        String flags = flags(place).replaceAll("-Xshare:\\S+ |-XX:SharedArchiveFile=\\S+ ", "");
        StringBuilder command =
                new StringBuilder("exec java ")
                        .append(flags)
                        .append(" -cp '")
                        .append(System.getProperty("java.class.path"))
                        .append("' ")
                        .append(Lab.class.getName())
                        .append(" relay ")
                        .append(at.text());
        nodes.nodes()
                .forEach(
                        node ->
                                command.append(' ')
                                        .append(node.getAddress().getHostAddress())
                                        .append(':')
                                        .append(node.getPort()));
        return SupervisedProcess.start(
                pinned(command.toString()),
                Path.of("").toAbsolutePath(),
                Map.of(),
                folder.resolve("relay.log"),
                sockets);
    }

    private List<String> pinned(String command) {
        return List.of("taskset", "-c", Integer.toString(cpu), "/bin/sh", "-c", command);
    }

    private static void ready(Port port) throws IOException, InterruptedException {
        for (int i = 0; ; i++) {
            try (Socket socket = new Socket()) {
                socket.connect(port.address());
                return;
            } catch (IOException e) {
                if (i == READY_TRIES) {
                    throw new IOException("nothing listens at " + port.text(), e);
                }
                Thread.sleep(READY_MILLIS);
            }
        }
    }
}
