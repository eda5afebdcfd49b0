package cedarrudder.conventions;

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
    private static final String BALANCER = "cedarrudder.balancer";
    private static final Pattern IMPORT =
            Pattern.compile("^import (?:static )?([\\w.]+?)\\.[A-Z*].*;");

    /** Each package, and those of the project and of Netty that it may use. */
    private static final Map<String, Set<String>> MAY_USE =
            Map.ofEntries(
                    entry(
                            "cedarrudder.balancer",
                            Set.of("cedarrudder.admission", "cedarrudder.routetable")),
                    entry("cedarrudder.admission", Set.of()),
                    entry("cedarrudder.logging", Set.of()),
                    entry("cedarrudder.encoding", Set.of()),
                    entry("cedarrudder.membership", Set.of("cedarrudder.encoding")),
                    entry("cedarrudder.routetable", Set.of("cedarrudder.encoding")),
                    entry("cedarrudder.footprint", Set.of("cedarrudder.routetable")),
                    entry(
                            "cedarrudder.draining",
                            Set.of("cedarrudder.encoding", "cedarrudder.routetable")),
                    entry("cedarrudder.consensus", Set.of("cedarrudder.membership")),
                    entry(
                            "cedarrudder.failover",
                            Set.of(BALANCER, "cedarrudder.encoding", "cedarrudder.routetable")),
                    entry(
                            "cedarrudder.coordination",
                            Set.of(
                                    "cedarrudder.consensus",
                                    "cedarrudder.failover",
                                    "cedarrudder.routetable",
                                    "cedarrudder.footprint")),
                    entry("cedarrudder.metrics", Set.of()),
                    entry("cedarrudder.bodyflow", Set.of()),
                    entry("cedarrudder.adminoverride", Set.of(BALANCER)),
                    entry("cedarrudder.budget", Set.of(BALANCER)),
                    entry(
                            "cedarrudder.forwarding",
                            Set.of(
                                    BALANCER,
                                    "cedarrudder.logging",
                                    "cedarrudder.budget",
                                    "cedarrudder.failover",
                                    "cedarrudder.metrics")),
                    entry("cedarrudder.toml", Set.of()),
                    entry(
                            "cedarrudder.protocol",
                            Set.of(
                                    BALANCER,
                                    "cedarrudder.budget",
                                    "cedarrudder.metrics",
                                    "cedarrudder.bodyflow",
                                    "cedarrudder.footprint",
                                    "io.netty.buffer",
                                    "io.netty.util")),
                    entry(
                            "cedarrudder.transport",
                            Set.of(
                                    "cedarrudder.membership",
                                    "cedarrudder.metrics",
                                    "cedarrudder.bodyflow",
                                    "cedarrudder.consensus",
                                    "cedarrudder.coordination",
                                    "cedarrudder.routetable",
                                    BALANCER,
                                    "cedarrudder.logging",
                                    "cedarrudder.budget",
                                    "cedarrudder.forwarding",
                                    "cedarrudder.protocol",
                                    "io.netty")),
                    entry("cedarrudder.simulator", Set.of(BALANCER, "cedarrudder.protocol")),
                    entry("cedarrudder.conditions", Set.of("cedarrudder.draining")),
                    entry(
                            "cedarrudder.operator",
                            Set.of(
                                    "cedarrudder.membership",
                                    "cedarrudder.draining",
                                    "cedarrudder.failover",
                                    "cedarrudder.logging",
                                    "cedarrudder.consensus",
                                    "cedarrudder.coordination",
                                    "cedarrudder.budget",
                                    "cedarrudder.forwarding",
                                    "cedarrudder.toml",
                                    "cedarrudder.transport")),
                    entry(
                            "cedarrudder.program",
                            Set.of(
                                    "cedarrudder.membership",
                                    "cedarrudder.failover",
                                    "cedarrudder.metrics",
                                    "cedarrudder.consensus",
                                    "cedarrudder.coordination",
                                    "cedarrudder.routetable",
                                    "cedarrudder.draining",
                                    "cedarrudder.adminoverride",
                                    "cedarrudder.bodyflow",
                                    "cedarrudder.footprint",
                                    BALANCER,
                                    "cedarrudder.logging",
                                    "cedarrudder.budget",
                                    "cedarrudder.forwarding",
                                    "cedarrudder.protocol",
                                    "cedarrudder.toml",
                                    "cedarrudder.transport",
                                    "cedarrudder.simulator",
                                    "cedarrudder.operator",
                                    "io.netty.buffer",
                                    "io.netty.util")),
                    entry("cedarrudder.lab.scenario", Set.of(BALANCER, "cedarrudder.toml")),
                    entry("cedarrudder.lab.policy", Set.of(BALANCER, "cedarrudder.budget")),
                    entry("cedarrudder.lab.trace", Set.of(BALANCER)),
                    entry("cedarrudder.lab.result", Set.of()),
                    entry(
                            "cedarrudder.lab.model",
                            Set.of(
                                    BALANCER,
                                    "cedarrudder.logging",
                                    "cedarrudder.budget",
                                    "cedarrudder.forwarding",
                                    "cedarrudder.lab.scenario",
                                    "cedarrudder.lab.policy",
                                    "cedarrudder.lab.trace",
                                    "cedarrudder.lab.result")),
                    entry("cedarrudder.lab.baselines", Set.of(BALANCER, "cedarrudder.lab.policy")),
                    entry(
                            "cedarrudder.lab.referee",
                            Set.of(
                                    BALANCER,
                                    "cedarrudder.lab.trace",
                                    "cedarrudder.lab.policy",
                                    "cedarrudder.lab.result",
                                    "cedarrudder.lab.scenario")),
                    entry(
                            "cedarrudder.lab.experiment",
                            Set.of(
                                    BALANCER,
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
                                    BALANCER,
                                    "cedarrudder.logging",
                                    "cedarrudder.forwarding",
                                    "cedarrudder.budget",
                                    "cedarrudder.protocol",
                                    "io.netty.buffer")),
                    entry(
                            "cedarrudder.lab.emulator",
                            Set.of(
                                    BALANCER,
                                    "cedarrudder.protocol",
                                    "cedarrudder.lab.scenario",
                                    "cedarrudder.lab.trace",
                                    "cedarrudder.lab.result",
                                    "cedarrudder.lab.model",
                                    "cedarrudder.lab.referee",
                                    "io.netty")),
                    entry("cedarrudder.lab.checker", Set.of()),
                    entry("cedarrudder.lab.membership", Set.of("cedarrudder.membership")),
                    entry(
                            "cedarrudder.lab.consensus",
                            Set.of("cedarrudder.consensus", "cedarrudder.lab.checker")),
                    entry(
                            "cedarrudder.lab.coordination",
                            Set.of(
                                    "cedarrudder.coordination",
                                    "cedarrudder.consensus",
                                    "cedarrudder.footprint",
                                    "cedarrudder.routetable",
                                    "cedarrudder.lab.consensus",
                                    "cedarrudder.lab.checker")),
                    entry(
                            "cedarrudder.lab.cluster",
                            Set.of(
                                    "cedarrudder.membership",
                                    "cedarrudder.draining",
                                    "cedarrudder.operator",
                                    "cedarrudder.protocol",
                                    "cedarrudder.toml",
                                    "cedarrudder.lab.attack",
                                    "cedarrudder.lab.emulator",
                                    "cedarrudder.lab.checker",
                                    "cedarrudder.lab.membership",
                                    "io.netty")),
                    entry(
                            "cedarrudder.lab.failover",
                            Set.of(
                                    BALANCER,
                                    "cedarrudder.consensus",
                                    "cedarrudder.failover",
                                    "cedarrudder.coordination",
                                    "cedarrudder.footprint",
                                    "cedarrudder.routetable",
                                    "cedarrudder.lab.consensus",
                                    "cedarrudder.lab.coordination",
                                    "cedarrudder.lab.checker")),
                    entry(
                            "cedarrudder.lab.load",
                            Set.of(BALANCER, "cedarrudder.protocol", "io.netty")),
                    entry(
                            "cedarrudder.lab.command",
                            Set.of(
                                    BALANCER,
                                    "cedarrudder.budget",
                                    "cedarrudder.toml",
                                    "cedarrudder.lab.load",
                                    "cedarrudder.lab.emulator",
                                    "cedarrudder.membership",
                                    "cedarrudder.lab.membership",
                                    "cedarrudder.lab.cluster",
                                    "cedarrudder.consensus",
                                    "cedarrudder.lab.consensus",
                                    "cedarrudder.lab.failover",
                                    "cedarrudder.lab.checker",
                                    "cedarrudder.operator",
                                    "cedarrudder.lab.scenario",
                                    "cedarrudder.lab.policy",
                                    "cedarrudder.lab.trace",
                                    "cedarrudder.lab.result",
                                    "cedarrudder.lab.model",
                                    "cedarrudder.lab.baselines",
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
