package cedarrudder.lab.command;

import cedarrudder.lab.attack.Attack;
import cedarrudder.lab.attack.AttackCatalog;
import cedarrudder.lab.attack.FloodKind;
import cedarrudder.lab.attack.FloodResult;
import cedarrudder.lab.attack.FloodRun;
import cedarrudder.lab.attack.Outcome;
import cedarrudder.lab.attack.OwnDaemon;
import cedarrudder.lab.attack.Player;
import cedarrudder.lab.attack.RequestTemplates;
import cedarrudder.protocol.Addresses;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** {@code attack}: plays the client side's wrongs, and tells what each is owed and what it got. */
@Command(
        name = "attack",
        description =
                "Plays the client side's wrongs against a daemon. Exit code 1 where "
                        + "one got what it isn't owed.")
final class AttackCommand implements Callable<Integer> {

    private static final int SOCKETS = 1024;

    @Spec private CommandSpec spec;

    @Parameters(
            paramLabel = "NAME",
            arity = "0..*",
            description = "Attacks, or groups of them; all where none is given.")
    private List<String> names = List.of();

    @Option(
            names = "--to",
            paramLabel = "ADDRESS",
            description =
                    "The daemon under attack, as host:port. Its nodes can't be seen. Where not"
                            + " given, one is started, with nodes that tell what reached them.")
    private String to;

    @Option(
            names = "--jar",
            paramLabel = "FILE",
            defaultValue = "daemon/target/cedarrudder.jar",
            description = "The daemon that is started; ${DEFAULT-VALUE} where not given.")
    private Path jar;

    @Option(
            names = "--safe",
            paramLabel = "CLASS",
            defaultValue = "lookup",
            description =
                    "With --to: a class that is safe to repeat; ${DEFAULT-VALUE} where not given.")
    private String safe;

    @Option(
            names = "--unsafe",
            paramLabel = "CLASS",
            defaultValue = "order",
            description = "With --to: a class that is not; ${DEFAULT-VALUE} where not given.")
    private String unsafe;

    @Option(
            names = "--owner",
            paramLabel = "NAME",
            defaultValue = "acme",
            description = "With --to: a tenant; ${DEFAULT-VALUE} where not given.")
    private String owner;

    @Option(
            names = "--cut",
            paramLabel = "SEED",
            description =
                    "Sends in pieces, cut at places drawn from "
                            + "this seed; what is owed stays the same.")
    private Long cut;

    @Option(
            names = "--run",
            paramLabel = "WORD",
            defaultValue = "1",
            description =
                    "Goes into the ids, which one daemon must not get twice; ${DEFAULT-VALUE} where"
                            + " not given.")
    private String run;

    @Option(
            names = "--flood",
            paramLabel = "KIND",
            description =
                    "Floods a daemon of its own instead, beside 20 good callers:"
                            + " ${COMPLETION-CANDIDATES}. May be given several times.")
    private List<FloodKind> floods = List.of();

    @Option(
            names = "--rate",
            paramLabel = "N",
            defaultValue = "1000",
            description = "Connections of a flood a second; ${DEFAULT-VALUE} where not given.")
    private int rate;

    @Option(
            names = "--seconds",
            paramLabel = "N",
            defaultValue = "10",
            description = "How long a flood lasts; ${DEFAULT-VALUE} where not given.")
    private int seconds;

    @Option(
            names = "--sockets",
            paramLabel = "N",
            defaultValue = "" + SOCKETS,
            description =
                    "Descriptors of the daemon that is started; ${DEFAULT-VALUE} where not given.")
    private int sockets;

    @Option(
            names = "--flag",
            paramLabel = "FLAG",
            description =
                    "A flag for the virtual machine of the "
                            + "daemon that is started; may be given several times.")
    private List<String> flags = List.of();

    @Option(names = "--json", description = "Writes results as JSON, one attack a line.")
    private boolean json;

    @Option(
            names = "--list",
            description = "Only lists them, with what each is owed and by which rule.")
    private boolean list;

    @Override
    public Integer call() throws IOException, InterruptedException {
        List<Attack> attacks;
        try {
            attacks = AttackCatalog.named(names);
        } catch (IllegalArgumentException e) {
            throw new ParameterException(spec.commandLine(), e.getMessage(), e);
        }
        PrintWriter out = spec.commandLine().getOut();
        if (list) {
            attacks.forEach(
                    a ->
                            out.printf(
                                    "%-10s %-34s %-24s %s; %s%n",
                                    a.group().name().toLowerCase(),
                                    a.name(),
                                    a.owed(),
                                    a.about(),
                                    a.owed().source()));
            return 0;
        }
        if (!floods.isEmpty()) {
            flood(out);
            return 0;
        }
        List<Outcome> outcomes = play(attacks);
        long failed = outcomes.stream().filter(o -> !o.ok()).count();
        if (json) {
            outcomes.forEach(o -> out.println(json(o)));
        } else {
            out.printf(
                    "%-34s %-24s %-18s %6s %7s  %s%n",
                    "attack", "owed", "got", "ms", "reached", "ok");
            outcomes.forEach(
                    o ->
                            out.printf(
                                    "%-34s %-24s %-18s %6d %7s  %s%n",
                                    o.attack().name(),
                                    o.attack().owed(),
                                    o.got(),
                                    o.millis(),
                                    o.reached() < 0 ? "?" : o.reached(),
                                    o.ok() ? "ok" : "NOT: " + String.join("; ", o.wrongs())));
            out.println(
                    (outcomes.size() - failed)
                            + " of "
                            + outcomes.size()
                            + " got what they are owed");
        }
        out.flush();
        return failed == 0 ? 0 : 1;
    }

    private List<Outcome> play(List<Attack> attacks) throws IOException, InterruptedException {
        if (to != null) {
            try (Player player =
                    Player.against(
                            Addresses.parse(to), new RequestTemplates(safe, unsafe, owner))) {
                return player.play(attacks, run, cut);
            }
        }
        try (OwnDaemon daemon = new OwnDaemon(jar, flags, sockets);
                Player player = daemon.player(1)) {
            return player.play(attacks, run, cut);
        }
    }

    /** One daemon a flood, so that none meets what another left. */
    private void flood(PrintWriter out) throws IOException, InterruptedException {
        if (rate < 1 || seconds < 1 || to != null) {
            throw new ParameterException(
                    spec.commandLine(),
                    "--rate and --seconds are at least 1; a flood needs a daemon of its own, not"
                            + " --to");
        }
        if (!json) {
            out.printf(
                    "%-8s %8s %8s | %6s %7s %7s | %6s %7s %7s | %6s %9s%n",
                    "flood", "opened", "not", "kept", "p50 ms", "p99 ms", "fresh", "p50 ms",
                    "p99 ms", "fds", "RSS KiB");
        }
        for (FloodKind kind : floods) {
            try (OwnDaemon daemon = new OwnDaemon(jar, flags, sockets)) {
                FloodResult result = FloodRun.play(daemon, kind, rate, seconds);
                if (json) {
                    out.println(new ObjectMapper().valueToTree(result));
                } else {
                    var kept = result.kept();
                    var fresh = result.fresh();
                    out.printf(
                            "%-8s %8d %8d | %6.3f %7.1f %7.1f | %6.3f %7.1f %7.1f | %6d %9d%n",
                            kind.name().toLowerCase(),
                            result.opened(),
                            result.unopened(),
                            kept.share(),
                            kept.p50(),
                            kept.p99(),
                            fresh.share(),
                            fresh.p50(),
                            fresh.p99(),
                            result.maxOpen(),
                            result.maxMemory());
                }
                out.flush();
            }
        }
    }

    private static String json(Outcome outcome) {
        ObjectMapper mapper = new ObjectMapper();
        ObjectNode line =
                mapper.createObjectNode()
                        .put("attack", outcome.attack().name())
                        .put("group", outcome.attack().group().name().toLowerCase())
                        .put("owed", outcome.attack().owed().toString())
                        .put("source", outcome.attack().owed().source());
        outcome.statuses().forEach(line.putArray("statuses")::add);
        line.put("interim", outcome.interim())
                .put("closed", outcome.closed())
                .put("ms", outcome.millis())
                .put("reached", outcome.reached())
                .put("ok", outcome.ok());
        outcome.wrongs().forEach(line.putArray("wrongs")::add);
        return line.toString();
    }
}
