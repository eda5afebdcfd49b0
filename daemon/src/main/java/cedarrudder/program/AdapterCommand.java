package cedarrudder.program;

import cedarrudder.balancer.BalancerParameters;
import cedarrudder.balancer.BalancerParametersParser;
import cedarrudder.simulator.SimulatorHost;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/**
 * Implements {@code adapter}: serves the daemon's decisions in the simulator's wire format on
 * standard input and output.
 */
@Command(
        name = "adapter",
        description =
                "Serves the decisions in the simulator's wire format on standard input and "
                        + "output.")
final class AdapterCommand implements Callable<Integer> {

    @Spec private CommandSpec spec;

    @Option(
            names = "--set",
            paramLabel = "NAME=VALUE",
            description =
                    "Sets one parameter of the decisions "
                            + "to another value, such as max-age-ms=1500. May be repeated.")
    private List<String> parameters = new ArrayList<>();

    @Option(
            names = {"-h", "--help"},
            usageHelp = true,
            description = "Shows this help.")
    private boolean help;

    @Override
    public Integer call() {
        BalancerParameters balancerParameters;
        try {
            balancerParameters = BalancerParametersParser.parse(parameters);
        } catch (IllegalArgumentException e) {
            throw new ParameterException(spec.commandLine(), e.getMessage(), e);
        }
        return SimulatorHost.run(balancerParameters);
    }
}
