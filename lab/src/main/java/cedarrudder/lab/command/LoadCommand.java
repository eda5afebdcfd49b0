package cedarrudder.lab.command;

import cedarrudder.balancer.BalancerSettings.Idempotency;
import cedarrudder.lab.load.LoadResult;
import cedarrudder.lab.load.LoadRun;
import cedarrudder.lab.load.Options;
import cedarrudder.lab.load.Rate;
import cedarrudder.lab.load.Traffic;
import cedarrudder.lab.scenario.Scenario;
import cedarrudder.lab.scenario.ScenarioReader;
import cedarrudder.protocol.Addresses;
import cedarrudder.toml.InvalidFileException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.ExitCode;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** {@code load}: sends requests at given times and tells what came of them. */
@Command(
        name = "load",
        description =
                "Sends requests to addresses that speak the callers' protocol, at their times"
                        + " whatever comes back. Exit code 1 where the rate could not be kept.")
final class LoadCommand implements Callable<Integer> {

    private static final int MAX_THREADS = 64;
    private static final int MAX_CONNECTIONS = 60_000;
    private static final int MAX_BODY = 64 * 1024;
    private static final List<Traffic.Kind> ONE_KIND =
            List.of(new Traffic.Kind("lookup", Idempotency.SAFE, 1, 1000));

    @Spec private CommandSpec spec;

    @Parameters(
            paramLabel = "ADDRESS",
            arity = "1..*",
            description =
                    "Where callers connect, such as "
                            + "127.0.0.1:7000; connections are dealt out to several in turn.")
    private List<String> addresses;

    @Option(
            names = "--rate",
            paramLabel = "RATE",
            required = true,
            description =
                    "Requests a second and for how long: 100@30, or parts in a row such as"
                            + " 100:400@10,400@20, where the first is a ramp.")
    private String rate;

    @Option(
            names = "--lead",
            paramLabel = "SECONDS",
            defaultValue = "0",
            description =
                    "What is to leave before this is sent and not counted; ${DEFAULT-VALUE} where"
                            + " not given.")
    private double lead;

    @Option(
            names = "--arrivals",
            paramLabel = "HOW",
            defaultValue = "poisson",
            description = "Gaps between sends: poisson or even; ${DEFAULT-VALUE} where not given.")
    private Gaps gaps;

    @Option(
            names = "--scenario",
            paramLabel = "FILE",
            description =
                    "Takes classes, their shares and "
                            + "deadlines, and tenants from a scenario; of a range the middle.")
    private Path scenario;

    @Option(
            names = "--class",
            paramLabel = "NAME:EFFECT:SHARE:DEADLINE_MS",
            description =
                    "A class of requests; may be given several times. EFFECT is safe, keyed or"
                            + " unsafe. Where neither this nor --scenario is given:"
                            + " lookup:safe:1:1000.")
    private List<String> classes = List.of();

    @Option(
            names = "--tenant",
            paramLabel = "NAME:SHARE",
            description =
                    "A tenant; may be given several times. Without any, requests name no owner.")
    private List<String> tenants = List.of();

    @Option(
            names = "--connections",
            paramLabel = "N",
            defaultValue = "100",
            description =
                    "Connections open at once at the most; ${DEFAULT-VALUE} where not given. A"
                            + " request waits where all are busy.")
    private int connections;

    @Option(names = "--fresh", description = "A connection of its own for each request.")
    private boolean fresh;

    @Option(
            names = "--path",
            paramLabel = "PATH",
            defaultValue = "/api",
            description = "What is asked for; ${DEFAULT-VALUE} where not given.")
    private String path;

    @Option(
            names = "--body",
            paramLabel = "BYTES",
            defaultValue = "200",
            description =
                    "Bytes in the body of requests that have one; ${DEFAULT-VALUE} where not"
                            + " given.")
    private int body;

    @Option(
            names = "--threads",
            paramLabel = "N",
            defaultValue = "1",
            description =
                    "Event loops; ${DEFAULT-VALUE} where not given. Each spins near its sends.")
    private int threads;

    @Option(
            names = "--seed",
            paramLabel = "N",
            defaultValue = "1",
            description = "Of gaps, classes, tenants and ids; ${DEFAULT-VALUE} where not given.")
    private long seed;

    @Option(
            names = "--late-ms",
            paramLabel = "MS",
            defaultValue = "10",
            description =
                    "The rate counts as kept if no more than 1 send in 100 is later than this;"
                            + " ${DEFAULT-VALUE} where not given.")
    private double late;

    @Option(
            names = "--hlog",
            paramLabel = "FILE",
            description =
                    "Writes the latencies of each second to a file, in HdrHistogram's log format.")
    private Path hlog;

    @Option(names = "--quiet", description = "No line each second on standard error.")
    private boolean quiet;

    @Option(names = "--json", description = "Writes the result as JSON.")
    private boolean json;

    /** Gaps between sends. */
    enum Gaps {
        POISSON,
        EVEN
    }

    @Override
    public Integer call() throws InvalidFileException, IOException, InterruptedException {
        Options options = options();
        LoadRun run =
                new LoadRun(
                        options,
                        line -> {
                            if (!quiet) {
                                spec.commandLine().getErr().println(line);
                                spec.commandLine().getErr().flush();
                            }
                        });
        LoadResult result = run.play(hlog);
        if (json) {
            spec.commandLine().getOut().println(new ObjectMapper().writeValueAsString(result));
        } else {
            result.lines().forEach(spec.commandLine().getOut()::println);
        }
        spec.commandLine().getOut().flush();
        if (!result.kept()) {
            result.problems()
                    .forEach(
                            problem ->
                                    spec.commandLine()
                                            .getErr()
                                            .println("lab: the rate was not kept: " + problem));
            return ExitCode.SOFTWARE;
        }
        return ExitCode.OK;
    }

    private Options options() throws InvalidFileException {
        within("--connections", connections, 1, MAX_CONNECTIONS);
        within("--threads", threads, 1, Math.min(MAX_THREADS, connections));
        within("--body", body, 0, MAX_BODY);
        if (!path.startsWith("/") || path.chars().anyMatch(c -> c <= ' ' || c >= 0x7f)) {
            throw usage("--path: found \"" + path + "\"; allowed: a path that begins with /");
        }
        try {
            Rate plan = Rate.parse(rate);
            if (!(lead >= 0 && lead < plan.seconds())) {
                throw usage(
                        "--lead: found "
                                + lead
                                + "; allowed: a number from 0, less than the "
                                + "run's length");
            }
            return new Options(
                    addresses.stream().map(Addresses::parse).toList(),
                    plan,
                    lead,
                    traffic(),
                    gaps == Gaps.POISSON,
                    connections,
                    fresh,
                    path,
                    body,
                    threads,
                    seed,
                    late);
        } catch (IllegalArgumentException e) {
            throw usage(e.getMessage());
        }
    }

    private Traffic traffic() throws InvalidFileException {
        List<Traffic.Kind> kinds = new ArrayList<>();
        List<Traffic.Tenant> owners = new ArrayList<>();
        if (scenario != null) {
            Scenario read = ScenarioReader.read(scenario);
            read.classes()
                    .forEach(
                            kind ->
                                    kinds.add(
                                            new Traffic.Kind(
                                                    kind.name(),
                                                    kind.effect(),
                                                    kind.share().middle(),
                                                    kind.deadline() / 1_000_000)));
            read.tenants()
                    .forEach(
                            tenant ->
                                    owners.add(
                                            new Traffic.Tenant(
                                                    tenant.name(),
                                                    tenant.share() * tenant.usage().middle())));
        }
        for (String each : classes) {
            String[] parts = parts("--class", each, 4);
            kinds.add(
                    new Traffic.Kind(
                            parts[0],
                            effect(parts[1]),
                            positive("--class", parts[2]),
                            (long) Math.max(1, positive("--class", parts[3]))));
        }
        for (String each : tenants) {
            String[] parts = parts("--tenant", each, 2);
            owners.add(new Traffic.Tenant(parts[0], positive("--tenant", parts[1])));
        }
        return new Traffic(kinds.isEmpty() ? ONE_KIND : kinds, owners);
    }

    private String[] parts(String option, String text, int count) {
        String[] parts = text.split(":", -1);
        if (parts.length != count || !parts[0].matches("[\\w.-]+")) {
            throw usage(
                    option
                            + ": found \""
                            + text
                            + "\"; allowed: "
                            + count
                            + " parts between colons, the "
                            + "first a name");
        }
        return parts;
    }

    private Idempotency effect(String word) {
        for (Idempotency effect : Idempotency.values()) {
            if (effect.name().toLowerCase(Locale.ROOT).equals(word)) {
                return effect;
            }
        }
        throw usage("--class: found \"" + word + "\"; allowed: safe, keyed, unsafe");
    }

    private double positive(String option, String text) {
        try {
            double value = Double.parseDouble(text);
            if (value > 0 && value <= 1e9) {
                return value;
            }
        } catch (NumberFormatException e) {
            // told below, like a number out of range
        }
        throw usage(option + ": found \"" + text + "\"; allowed: a number over 0");
    }

    private void within(String option, int value, int min, int max) {
        if (value < min || value > max) {
            throw usage(
                    option + ": found " + value + "; allowed: a number from " + min + " to " + max);
        }
    }

    private ParameterException usage(String message) {
        return new ParameterException(spec.commandLine(), message);
    }
}
