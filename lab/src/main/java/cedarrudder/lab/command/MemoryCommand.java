package cedarrudder.lab.command;

import cedarrudder.lab.benchmark.MemoryUse;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** {@code memory}: what the balancer of one proxy holds, by the number of nodes. */
@Command(
        name = "memory",
        description = {
            "Measures the memory that the module of one proxy holds.",
            "Run it with -XX:+UseSerialGC and 512 MB of heap or more."
        })
final class MemoryCommand implements Callable<Integer> {

    private static final int MAX_NODES = 100_000;

    @Spec private CommandSpec spec;

    @Option(
            names = "--nodes",
            paramLabel = "N",
            split = ",",
            defaultValue = "10,100,1000",
            description = "Nodes of the tier; ${DEFAULT-VALUE} where not given.")
    private List<Integer> sizes;

    @Override
    public Integer call() {
        for (int nodes : sizes) {
            if (nodes < 1 || nodes > MAX_NODES) {
                throw new ParameterException(
                        spec.commandLine(),
                        "--nodes: found " + nodes + "; allowed: a number from 1 to " + MAX_NODES);
            }
        }
        spec.commandLine().getOut().println("nodes  bytes a proxy  bytes a proxy and node");
        for (int nodes : sizes) {
            double bytes = MemoryUse.ofModule(nodes);
            spec.commandLine()
                    .getOut()
                    .println(
                            String.format(
                                    Locale.ROOT,
                                    "%5d  %13.0f  %22.0f",
                                    nodes,
                                    bytes,
                                    bytes / nodes));
        }
        return 0;
    }
}
