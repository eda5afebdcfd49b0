package cedarrudder.lab.command;

import static org.testng.Assert.assertEquals;

import cedarrudder.conventions.Golden;
import cedarrudder.lab.baselines.Policies;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.testng.annotations.Test;
import picocli.CommandLine;

/**
 * Runs of the model, held against an earlier build: one seed has to give the same decisions,
 * results and traces to the byte. Breaks with any change of what the decisions do, on purpose or
 * not; one on purpose records the files anew and says so.
 */
public class GoldenRunsTest {

    private static final List<String> SCENARIOS =
            List.of(
                    "diliman",
                    "trouble",
                    "restart-storm",
                    "drain",
                    "silent",
                    "replacement",
                    "proxy-crash",
                    "overload",
                    "zones",
                    "retry-storm",
                    "discovery-down",
                    "sinkhole",
                    "one-way-cuts",
                    "frozen-reports");

    private static String lab(String... arguments) {
        StringWriter out = new StringWriter();
        StringWriter err = new StringWriter();
        CommandLine lab =
                Lab.commandLine().setOut(new PrintWriter(out)).setErr(new PrintWriter(err));
        int code = lab.execute(arguments);
        lab.getOut().flush();
        assertEquals(code, 0, err.toString());
        return out.toString();
    }

    /** The paths of all values of a JSON document, with those in a list under one path. */
    private static void paths(String path, JsonNode node, Set<String> paths) {
        if (node.isObject()) {
            node.properties()
                    .forEach(field -> paths(path + "." + field.getKey(), field.getValue(), paths));
        } else if (node.isArray()) {
            node.forEach(each -> paths(path + "[]", each, paths));
        } else {
            paths.add(path);
        }
    }

    private static String scenario(String name) {
        return Path.of("lab", "scenarios", name + ".toml").toString();
    }

    @Test
    public void resultsAreThoseOfTheEarlierBuild() {
        String results =
                SCENARIOS.stream()
                        .map(name -> lab("model", scenario(name), "--seed", "1", "--json"))
                        .collect(Collectors.joining());
        Golden.check("model-results.jsonl", results);
    }

    @Test
    public void eachPolicyDoesAsThatOfTheEarlierBuild() {
        StringBuilder results = new StringBuilder();
        for (String policy : Policies.names()) {
            results.append(
                    policy
                            + " "
                            + new Golden.Digest()
                                    .add(
                                            lab(
                                                    "model",
                                                    scenario("diliman"),
                                                    "--seed",
                                                    "2",
                                                    "--json",
                                                    "--policy",
                                                    policy))
                            + "\n");
        }
        Golden.check("model-policies.txt", results.toString());
    }

    @Test
    public void tracesAreThoseOfTheEarlierBuild() throws IOException {
        StringBuilder traces = new StringBuilder();
        for (String name : List.of("trouble", "zones")) {
            Path trace = Files.createTempFile("trace", ".jsonl");
            try {
                lab("model", scenario(name), "--seed", "3", "--trace", trace.toString());
                List<String> lines = Files.readAllLines(trace);
                for (int i = 0; i < lines.size(); i += 1 + lines.size() / 60) {
                    traces.append(lines.get(i)).append('\n');
                }
                Golden.Digest digest = new Golden.Digest();
                lines.forEach(digest::add);
                traces.append(digest).append('\n');
            } finally {
                Files.delete(trace);
            }
        }
        Golden.check("model-traces.txt", traces.toString());
    }

    /** The files of an experiment's results, and the names of all that stands in them. */
    @Test
    public void resultsOfExperimentsHaveTheFormsOfTheEarlierBuild() throws IOException {
        Path folder = Files.createTempDirectory("experiment");
        Path plan =
                Files.writeString(
                        folder.resolve("plan.toml"),
                        """
                        name = "forms"
                        about = "which values stand in results?"
                        seeds = "1..1"
                        [[scenario]]
                        file = "%s"
                        [[variant]]
                        policy = "cedarrudder"
                        """
                                .formatted(Path.of(scenario("diliman")).toAbsolutePath()));
        Path out = folder.resolve("out");
        lab("experiment", plan.toString(), "--out", out.toString());
        StringBuilder forms = new StringBuilder();
        try (Stream<Path> files = Files.list(out)) {
            for (Path file : files.sorted().toList()) {
                Set<String> paths = new TreeSet<>();
                if (file.toString().contains(".json")) {
                    for (String text :
                            file.toString().endsWith("l")
                                    ? Files.readAllLines(file)
                                    : List.of(Files.readString(file))) {
                        paths("", new ObjectMapper().readTree(text), paths);
                    }
                }
                forms.append(file.getFileName()).append(' ').append(paths).append('\n');
            }
        }
        Golden.check("experiment-forms.txt", forms.toString());
    }
}
