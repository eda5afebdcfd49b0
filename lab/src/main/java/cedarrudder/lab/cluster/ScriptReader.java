package cedarrudder.lab.cluster;

import cedarrudder.lab.attack.ScriptedNodes.Mood;
import cedarrudder.operator.OperatorFile;
import cedarrudder.toml.ConfigDocument;
import cedarrudder.toml.ConfigProblem;
import cedarrudder.toml.ConfigTable;
import cedarrudder.toml.InvalidFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;

/** Reads a script from TOML, with all errors at once. */
public final class ScriptReader {

    private static final double MAX_SECONDS = 3_600;
    private static final double MAX_MILLIS = 1_000;
    private static final double MAX_LOSS = 0.9;
    private static final long MAX_OFFSET = 2_000_000_000_000L;
    private static final int MILLION = 1_000_000;

    private static final int MAX_DRIFT = 1_000;
    private static final int MIN_STATUS = 200;
    private static final int MAX_STATUS = 599;
    private static final int MAX_CALL = 1_024;

    /** As the lab writes it; behind the others, as errors name their lines. */
    static final String MEMBERSHIP = "\n[membership]\n";

    /** Tables that the lab writes itself. */
    private static final Set<String> OWN = Set.of("membership", "history");

    private static final Set<ScriptAction> OF_REPLICAS =
            EnumSet.complementOf(
                    EnumSet.of(ScriptAction.HEAL, ScriptAction.WEATHER, ScriptAction.NODES));

    private static final Set<ScriptAction> CUTS =
            EnumSet.of(ScriptAction.CUT, ScriptAction.MUTE, ScriptAction.DEAFEN);

    private ScriptReader() {}

    /** How many of each there are. */
    private record Counts(int replicas, int nodes, int zones) {}

    /**
     * @throws InvalidFileException with all that is wrong with it
     */
    public static Script read(Path file) throws InvalidFileException {
        return read(ConfigDocument.read(file));
    }

    static Script read(ConfigDocument document) throws InvalidFileException {
        ConfigTable root = document.root();
        int replicas = (int) root.integer("copies", Script.MIN, Script.MAX);
        int nodes = (int) root.integer("nodes", 1, Script.MAX_NODES, 3);
        int zones = (int) root.integer("zones", 1, Script.MAX_ZONES, 1);
        if (zones > Math.min(replicas, nodes) && root.sound("zones", "copies", "nodes")) {
            root.problem(
                    "zones",
                    Integer.toString(zones),
                    "a copy and a node for each: " + Math.min(replicas, nodes) + " at the most");
        }
        long period = MILLION * root.integer("period_ms", 100, 10_000, 500);
        double length = root.number("length_s", 1, MAX_SECONDS);
        double settle = root.number("settle_s", 1, MAX_SECONDS, 60);
        List<Long> offsets =
                root.numbers("clock_offsets_ms", -MAX_OFFSET, MAX_OFFSET).stream()
                        .map(Double::longValue)
                        .toList();
        List<Integer> drifts =
                root.numbers("clock_drifts_ppm", -MAX_DRIFT, MAX_DRIFT).stream()
                        .map(Double::intValue)
                        .toList();
        String operator = operator(root);
        List<ScriptStep> steps = new ArrayList<>();
        for (ConfigTable table : root.tables("step")) {
            steps.add(step(table, new Counts(replicas, nodes, zones), length));
            table.done();
        }
        root.done();
        document.check();
        return new Script(
                replicas,
                nodes,
                zones,
                period,
                Script.nanos(length),
                Script.nanos(settle),
                offsets,
                drifts,
                operator,
                steps);
    }

    /** Tables for each replica's operator's file, held against what such a file may have. */
    private static String operator(ConfigTable root) {
        String text = root.text("operator", "");
        ConfigDocument document = ConfigDocument.parse("operator", text);
        document.root().keys().stream()
                .filter(OWN::contains)
                .forEach(
                        name ->
                                root.problem(
                                        "operator",
                                        "a table [" + name + "]",
                                        "others: the lab writes this one"));
        try {
            OperatorFile.read(ConfigDocument.parse("operator", text + MEMBERSHIP));
        } catch (InvalidFileException e) {
            for (ConfigProblem problem : e.problems()) {
                root.problem(
                        "operator",
                        "line " + problem.line() + ", " + problem.key() + ": " + problem.found(),
                        problem.allowed());
            }
        }
        return text;
    }

    private static ScriptStep step(ConfigTable table, Counts counts, double length) {
        double at = table.number("at_s", 0, length);
        ScriptAction act = table.choice("do", ScriptAction.class, null);
        boolean leader = OF_REPLICAS.contains(act) && leader(table);
        List<Integer> whom =
                OF_REPLICAS.contains(act) && !leader
                        ? numbers(table, "copies", counts.replicas, counts.zones)
                        : List.of();
        NetworkConditions weather = NetworkConditions.CALM;
        double lasts = 0;
        Mood mood = Mood.WELL;
        List<Integer> which = List.of();
        NetworkPartition sides = NetworkPartition.ALL;
        OperatorCall call = null;
        if (act == ScriptAction.WEATHER) {
            double[] delay = table.range("delay_ms", 0, MAX_MILLIS, new double[] {0.1, 1});
            weather =
                    new NetworkConditions(
                            table.number("loss", 0, MAX_LOSS, 0),
                            table.number("doubled", 0, 1, 0),
                            table.number("late", 0, 1, 0),
                            table.number("corrupted", 0, 1, 0),
                            (long) (delay[0] * MILLION),
                            (long) (delay[1] * MILLION));
        } else if (act == ScriptAction.FLOOD) {
            lasts = table.number("length_s", 0.1, MAX_SECONDS);
            if (table.sound("at_s", "length_s") && at + lasts > length) {
                table.problem(
                        "length_s",
                        Double.toString(lasts),
                        "an end before the script's, at " + length);
            }
        } else if (act == ScriptAction.NODES) {
            mood = table.choice("mood", Mood.class, null);
            which = numbers(table, "nodes", counts.nodes, counts.zones);
            whom = table.has("copies") ? numbers(table, "copies", counts.replicas) : List.of();
        } else if (CUTS.contains(act)) {
            sides = sides(table, act, counts);
        } else if (act == ScriptAction.REMOVE || act == ScriptAction.REMOVE_BY_HAND) {
            which = numbers(table, "nodes", counts.nodes, counts.zones);
        } else if (act == ScriptAction.CALL) {
            call = call(table);
        }
        return new ScriptStep(
                Script.nanos(at),
                act,
                whom,
                leader,
                weather,
                Script.nanos(lasts),
                mood,
                which,
                sides,
                call);
    }

    private static boolean leader(ConfigTable table) {
        boolean leader = table.flag("leader", false);
        for (String key : leader ? List.of("copies", "zones") : List.<String>of()) {
            if (table.has(key)) {
                table.problem(key, "this beside leader", "one of the two");
            }
        }
        return leader;
    }

    /**
     * Who is on the other side; nodes are on sides only where whole zones are, and a cut goes both
     * ways.
     */
    private static NetworkPartition sides(ConfigTable table, ScriptAction act, Counts counts) {
        boolean towards = table.has("towards");
        List<Integer> others =
                towards ? ofZones(table, "towards", counts.replicas, counts.zones) : List.of();
        if (act != ScriptAction.CUT || !table.has("zones")) {
            return new NetworkPartition(others, List.of(), List.of());
        }
        List<Integer> nodes = ofZones(table, "zones", counts.nodes, counts.zones);
        return new NetworkPartition(
                others,
                nodes,
                towards
                        ? ofZones(table, "towards", counts.nodes, counts.zones)
                        : IntStream.range(0, counts.nodes)
                                .filter(node -> !nodes.contains(node))
                                .boxed()
                                .toList());
    }

    private static OperatorCall call(ConfigTable table) {
        String method = table.text("method", "POST");
        if (!method.matches("[A-Z]{1,16}") && table.sound("method")) {
            table.problem("method", ConfigTable.shown(method), "such as GET, POST");
        }
        String path = table.text("path", null);
        if (!path.matches("/[!-~]*") && table.sound("path")) {
            table.problem(
                    "path", ConfigTable.shown(path), "a path that begins with / and has no blank");
        }
        String body = table.text("body", "");
        if (!body.matches("[\\x00-\\x7f]{0," + MAX_CALL + "}")) {
            table.problem(
                    "body",
                    ConfigTable.shown(body),
                    "ASCII, " + MAX_CALL + " characters at the most");
        }
        return new OperatorCall(
                method,
                path,
                body,
                (int) table.integer("status", MIN_STATUS, MAX_STATUS, MIN_STATUS));
    }

    /** Numbers of replicas or nodes, from 0, or those of whole zones. */
    private static List<Integer> numbers(ConfigTable table, String key, int count, int zones) {
        if (!table.has("zones")) {
            return numbers(table, key, count);
        }
        if (table.has(key)) {
            table.problem("zones", "these beside " + key, "one of the two");
        }
        return ofZones(table, "zones", count, zones);
    }

    private static List<Integer> ofZones(ConfigTable table, String key, int count, int zones) {
        List<Integer> chosen = numbers(table, key, zones);
        return IntStream.range(0, count)
                .filter(number -> chosen.contains(number % zones))
                .boxed()
                .toList();
    }

    /** Numbers from 0. */
    private static List<Integer> numbers(ConfigTable table, String key, int count) {
        List<Double> numbers = table.numbers(key, 0, count - 1);
        if (table.sound(key)
                && (numbers.isEmpty() || numbers.stream().anyMatch(n -> n != Math.rint(n)))) {
            table.problem(
                    key,
                    numbers.toString(),
                    "whole numbers from 0 to " + (count - 1) + ", one at the least");
        }
        return numbers.stream().map(Double::intValue).toList();
    }
}
