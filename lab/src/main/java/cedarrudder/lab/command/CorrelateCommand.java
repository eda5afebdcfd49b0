package cedarrudder.lab.command;

import cedarrudder.lab.experiment.Correlation;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Tells whether two sources rank variants alike: the model and another simulator, say. */
@Command(
        name = "correlate",
        description = {
            "Tells whether two files of means rank variants alike.",
            "Each has the columns variant, kind and mean; rows are matched by variant and kind."
        })
public final class CorrelateCommand implements Callable<Integer> {

    @Spec private CommandSpec spec;

    @Parameters(index = "0", paramLabel = "A.csv", description = "The means of one source.")
    private Path first;

    @Parameters(index = "1", paramLabel = "B.csv", description = "The means of the other.")
    private Path second;

    /** 0; 2 where a file can't be read as means, or too few rows match. */
    @Override
    public Integer call() {
        PrintWriter output = spec.commandLine().getOut();
        try {
            Correlation.of(first, second).forEach(output::println);
            output.flush();
            return 0;
        } catch (IOException e) {
            spec.commandLine().getErr().println("correlate: " + FileErrors.told(e));
            return 2;
        }
    }
}
