package cedarrudder.lab.command;

import cedarrudder.lab.experiment.Metric;
import cedarrudder.lab.experiment.ResultDirectory;
import cedarrudder.lab.report.Report;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Tells what an experiment came to; also while it still runs. */
@Command(name = "report", description = "Tells what an experiment came to, as a page or as text.")
public final class ReportCommand implements Callable<Integer> {

    @Spec private CommandSpec spec;

    @Parameters(paramLabel = "DIR", description = "The directory of the results.")
    private Path folder;

    @Option(
            names = "--out",
            paramLabel = "FILE",
            description = "Where the page goes; DIR/report.html if left out.")
    private Path out;

    @Option(names = "--text", description = "Print tables instead of writing the page.")
    private boolean text;

    @Option(
            names = "--csv",
            paramLabel = "METRIC",
            description = "Print the means of a metric as CSV instead: ${COMPLETION-CANDIDATES}.")
    private Metric csv;

    /** 0; 1 where the results can't be read or the page can't be written. */
    @Override
    public Integer call() {
        PrintWriter output = spec.commandLine().getOut();
        try {
            Report report = new Report(ResultDirectory.read(folder));
            if (csv != null) {
                output.print(report.means(csv));
            } else if (text) {
                output.print(report.text());
            } else {
                // Plots are drawn without a screen.
                System.setProperty("java.awt.headless", "true");
                Path page = out != null ? out : folder.resolve("report.html");
                Files.writeString(page, report.html());
                output.println(page);
            }
            output.flush();
            return 0;
        } catch (IOException e) {
            spec.commandLine().getErr().println("report: " + FileErrors.told(e));
            return 1;
        }
    }
}
