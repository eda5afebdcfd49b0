package cedarrudder.program;

import cedarrudder.logging.Level;
import cedarrudder.operator.LogConfiguration;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Implements {@code serve}: runs the proxy. */
@Command(
        name = "serve",
        description = "Runs the proxy that the file named by BALANCER_CONFIG describes.")
final class ServeCommand implements Callable<Integer> {

    @Option(
            names = "--operator",
            paramLabel = "FILE",
            description =
                    "The operator's file; SIGHUP reloads it. "
                            + "Without the file, every feature in it is off.")
    private Path operator;

    @Option(
            names = "--log-format",
            paramLabel = "FORMAT",
            description = "The format of the log's lines, " + "overriding the file: text or json.")
    private LogConfiguration.Form form;

    @Option(
            names = "--log-level",
            paramLabel = "LEVEL",
            description =
                    "Events below this level are left out, "
                            + "overriding the file: debug, info, warn or error.")
    private Level level;

    @Option(
            names = {"-h", "--help"},
            usageHelp = true,
            description = "Shows this help.")
    private boolean help;

    @Override
    public Integer call() throws InterruptedException {
        return ProxyProcess.serve(new ServeOptions(operator, form, level));
    }
}
