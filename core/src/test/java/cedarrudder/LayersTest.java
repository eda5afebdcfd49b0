package cedarrudder;

import static java.util.Map.entry;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.testng.annotations.Test;

/** The packages and what each may import: only what lies below it. */
public class LayersTest {

    private static final Path MAIN = Path.of("main", "java");
    private static final String MODULE = "cedarrudder";
    private static final Pattern IMPORT =
            Pattern.compile("^import (?:static )?([\\w.]+?)\\.[A-Z*].*;");

    /** Each package, and those of the project and of Netty that it may use. */
    private static final Map<String, Set<String>> MAY_USE =
            Map.ofEntries(
                    entry("cedarrudder", Set.of("cedarrudder.overload", "cedarrudder.table")),
                    entry("cedarrudder.overload", Set.of()),
                    entry("cedarrudder.logging", Set.of()),
                    entry("cedarrudder.membership", Set.of()),
                    entry("cedarrudder.table", Set.of()),
                    entry("cedarrudder.footprint", Set.of("cedarrudder.table")),
                    entry("cedarrudder.drainage", Set.of("cedarrudder.table")),
                    entry("cedarrudder.agreement", Set.of("cedarrudder.membership")),
                    entry(
                            "cedarrudder.failover",
                            Set.of(MODULE, "cedarrudder.membership", "cedarrudder.table")),
                    entry(
                            "cedarrudder.fleet",
                            Set.of(
                                    "cedarrudder.agreement",
                                    "cedarrudder.failover",
                                    "cedarrudder.table",
                                    "cedarrudder.footprint")),
                    entry("cedarrudder.figures", Set.of()),
                    entry("cedarrudder.flow", Set.of()),
                    entry("cedarrudder.rotation", Set.of(MODULE)),
                    entry("cedarrudder.budget", Set.of(MODULE)),
                    entry(
                            "cedarrudder.routing",
                            Set.of(
                                    MODULE,
                                    "cedarrudder.logging",
                                    "cedarrudder.budget",
                                    "cedarrudder.failover",
                                    "cedarrudder.figures")),
                    entry("cedarrudder.toml", Set.of()),
                    entry(
                            "cedarrudder.protocol",
                            Set.of(
                                    MODULE,
                                    "cedarrudder.budget",
                                    "cedarrudder.figures",
                                    "cedarrudder.flow",
                                    "cedarrudder.footprint",
                                    "io.netty.buffer",
                                    "io.netty.util")),
                    entry(
                            "cedarrudder.transport",
                            Set.of(
                                    "cedarrudder.membership",
                                    "cedarrudder.figures",
                                    "cedarrudder.flow",
                                    "cedarrudder.agreement",
                                    "cedarrudder.fleet",
                                    "cedarrudder.table",
                                    MODULE,
                                    "cedarrudder.logging",
                                    "cedarrudder.budget",
                                    "cedarrudder.routing",
                                    "cedarrudder.protocol",
                                    "io.netty")),
                    entry("cedarrudder.sim", Set.of(MODULE, "cedarrudder.protocol")),
                    entry("cedarrudder.conditions", Set.of("cedarrudder.drainage")),
                    entry(
                            "cedarrudder.operator",
                            Set.of(
                                    "cedarrudder.membership",
                                    "cedarrudder.drainage",
                                    "cedarrudder.failover",
                                    "cedarrudder.logging",
                                    "cedarrudder.agreement",
                                    "cedarrudder.fleet",
                                    "cedarrudder.budget",
                                    "cedarrudder.routing",
                                    "cedarrudder.toml",
                                    "cedarrudder.transport")),
                    entry(
                            "cedarrudder.program",
                            Set.of(
                                    "cedarrudder.membership",
                                    "cedarrudder.failover",
                                    "cedarrudder.figures",
                                    "cedarrudder.agreement",
                                    "cedarrudder.fleet",
                                    "cedarrudder.table",
                                    "cedarrudder.drainage",
                                    "cedarrudder.rotation",
                                    "cedarrudder.flow",
                                    "cedarrudder.footprint",
                                    MODULE,
                                    "cedarrudder.logging",
                                    "cedarrudder.budget",
                                    "cedarrudder.routing",
                                    "cedarrudder.protocol",
                                    "cedarrudder.toml",
                                    "cedarrudder.transport",
                                    "cedarrudder.sim",
                                    "cedarrudder.operator",
                                    "io.netty.buffer",
                                    "io.netty.util")),
                    entry("cedarrudder.lab.scenario", Set.of(MODULE, "cedarrudder.toml")),
                    entry("cedarrudder.lab.policy", Set.of(MODULE, "cedarrudder.budget")),
                    entry("cedarrudder.lab.trace", Set.of(MODULE)),
                    entry("cedarrudder.lab.result", Set.of()),
                    entry(
                            "cedarrudder.lab.model",
                            Set.of(
                                    MODULE,
                                    "cedarrudder.logging",
                                    "cedarrudder.budget",
                                    "cedarrudder.routing",
                                    "cedarrudder.lab.scenario",
                                    "cedarrudder.lab.policy",
                                    "cedarrudder.lab.trace",
                                    "cedarrudder.lab.result")),
                    entry("cedarrudder.lab.rivals", Set.of(MODULE, "cedarrudder.lab.policy")),
                    entry(
                            "cedarrudder.lab.referee",
                            Set.of(
                                    MODULE,
                                    "cedarrudder.lab.trace",
                                    "cedarrudder.lab.policy",
                                    "cedarrudder.lab.result",
                                    "cedarrudder.lab.scenario")),
                    entry(
                            "cedarrudder.lab.experiment",
                            Set.of(
                                    MODULE,
                                    "cedarrudder.budget",
                                    "cedarrudder.toml",
                                    "cedarrudder.operator",
                                    "cedarrudder.lab.scenario",
                                    "cedarrudder.lab.policy",
                                    "cedarrudder.lab.result")),
                    entry(
                            "cedarrudder.lab.report",
                            Set.of("cedarrudder.lab.result", "cedarrudder.lab.experiment")),
                    entry("cedarrudder.lab.attack", Set.of()),
                    entry(
                            "cedarrudder.lab.benchmark",
                            Set.of(
                                    MODULE,
                                    "cedarrudder.logging",
                                    "cedarrudder.routing",
                                    "cedarrudder.budget",
                                    "cedarrudder.protocol",
                                    "io.netty.buffer")),
                    entry(
                            "cedarrudder.lab.emulator",
                            Set.of(
                                    MODULE,
                                    "cedarrudder.protocol",
                                    "cedarrudder.lab.scenario",
                                    "cedarrudder.lab.trace",
                                    "cedarrudder.lab.result",
                                    "cedarrudder.lab.model",
                                    "cedarrudder.lab.referee",
                                    "io.netty")),
                    entry("cedarrudder.lab.judge", Set.of()),
                    entry("cedarrudder.lab.members", Set.of("cedarrudder.membership")),
                    entry(
                            "cedarrudder.lab.agreement",
                            Set.of("cedarrudder.agreement", "cedarrudder.lab.judge")),
                    entry(
                            "cedarrudder.lab.fleet",
                            Set.of(
                                    "cedarrudder.fleet",
                                    "cedarrudder.agreement",
                                    "cedarrudder.footprint",
                                    "cedarrudder.table",
                                    "cedarrudder.lab.agreement",
                                    "cedarrudder.lab.judge")),
                    entry(
                            "cedarrudder.lab.cluster",
                            Set.of(
                                    "cedarrudder.membership",
                                    "cedarrudder.drainage",
                                    "cedarrudder.operator",
                                    "cedarrudder.protocol",
                                    "cedarrudder.toml",
                                    "cedarrudder.lab.attack",
                                    "cedarrudder.lab.emulator",
                                    "cedarrudder.lab.judge",
                                    "cedarrudder.lab.members",
                                    "io.netty")),
                    entry(
                            "cedarrudder.lab.failover",
                            Set.of(
                                    MODULE,
                                    "cedarrudder.agreement",
                                    "cedarrudder.failover",
                                    "cedarrudder.fleet",
                                    "cedarrudder.footprint",
                                    "cedarrudder.table",
                                    "cedarrudder.lab.agreement",
                                    "cedarrudder.lab.fleet",
                                    "cedarrudder.lab.judge")),
                    entry(
                            "cedarrudder.lab.load",
                            Set.of(MODULE, "cedarrudder.protocol", "io.netty")),
                    entry(
                            "cedarrudder.lab.command",
                            Set.of(
                                    MODULE,
                                    "cedarrudder.budget",
                                    "cedarrudder.toml",
                                    "cedarrudder.lab.load",
                                    "cedarrudder.lab.emulator",
                                    "cedarrudder.membership",
                                    "cedarrudder.lab.members",
                                    "cedarrudder.lab.cluster",
                                    "cedarrudder.agreement",
                                    "cedarrudder.lab.agreement",
                                    "cedarrudder.lab.failover",
                                    "cedarrudder.lab.judge",
                                    "cedarrudder.operator",
                                    "cedarrudder.lab.scenario",
                                    "cedarrudder.lab.policy",
                                    "cedarrudder.lab.trace",
                                    "cedarrudder.lab.result",
                                    "cedarrudder.lab.model",
                                    "cedarrudder.lab.rivals",
                                    "cedarrudder.lab.referee",
                                    "cedarrudder.lab.experiment",
                                    "cedarrudder.lab.report",
                                    "cedarrudder.lab.attack",
                                    "cedarrudder.lab.benchmark",
                                    "cedarrudder.protocol")));

    @Test
    public void importsPointDownwardOnly() throws IOException {
        List<String> wrong = new ArrayList<>();
        int seen = 0;
        for (Path folder : Sources.folders()) {
            Path main = folder.resolve(MAIN);
            for (Path file : Sources.all().stream().filter(f -> f.startsWith(main)).toList()) {
                String own = main.relativize(file.getParent()).toString().replace('/', '.');
                assertTrue(MAY_USE.containsKey(own), own + " is no known package");
                for (String line : Files.readAllLines(file)) {
                    Matcher found = IMPORT.matcher(line);
                    if (found.find()
                            && (found.group(1).startsWith("cedarrudder")
                                    || found.group(1).startsWith("io.netty"))) {
                        seen++;
                        String used = found.group(1);
                        if (!used.equals(own)
                                && MAY_USE.get(own).stream()
                                        .noneMatch(
                                                may ->
                                                        used.equals(may)
                                                                || may.startsWith("io.")
                                                                        && used.startsWith(may))) {
                            wrong.add(file + ": " + line);
                        }
                    }
                }
            }
        }
        assertTrue(seen > 0);
        assertEquals(wrong, List.of(), wrong.toString());
    }
}
