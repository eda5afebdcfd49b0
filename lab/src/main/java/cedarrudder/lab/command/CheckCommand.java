package cedarrudder.lab.command;

import cedarrudder.lab.scenario.Scenario;
import cedarrudder.lab.scenario.ScenarioReader;
import cedarrudder.toml.InvalidFileException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.ExitCode;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** {@code check}: reads scenarios and tells everything that is wrong with them. */
@Command(
        name = "check",
        description = "Reads scenarios and tells all that is wrong with them; plays nothing.")
final class CheckCommand implements Callable<Integer> {

    @Spec private CommandSpec spec;

    @Parameters(arity = "1..*", paramLabel = "FILE", description = "Scenarios, TOML.")
    private List<Path> files;

    @Override
    public Integer call() {
        PrintWriter out = spec.commandLine().getOut();
        int code = ExitCode.OK;
        for (Path file : files) {
            try {
                out.println(line(file, ScenarioReader.read(file)));
            } catch (InvalidFileException e) {
                e.problems().forEach(problem -> spec.commandLine().getErr().println(problem));
                code = ExitCode.USAGE;
            }
        }
        return code;
    }

    private static String line(Path file, Scenario scenario) {
        return file
                + ": good; tiers "
                + scenario.tiers().size()
                + ", classes "
                + scenario.classes().size()
                + ", tenants "
                + scenario.tenants().size()
                + ", faults "
                + scenario.faults().size()
                + (scenario.arrivals().trace().isEmpty()
                        ? ""
                        : ", recorded arrivals " + scenario.arrivals().trace().size());
    }
}
