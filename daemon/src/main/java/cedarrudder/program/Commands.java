package cedarrudder.program;

import java.io.PrintWriter;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/**
 * The command line. The exit code is 0 on success, 1 on failure and 2 on wrong usage, which one
 * line on standard error explains before the usage text.
 */
@Command(
        name = "cedarrudder",
        description = "A load balancer for services that call services.",
        synopsisSubcommandLabel = "COMMAND",
        subcommands = {
            ServeCommand.class,
            AdapterCommand.class,
            CheckCommand.class,
            VersionCommand.class
        })
final class Commands implements Runnable {

    @Spec private CommandSpec spec;

    @Option(
            names = {"-h", "--help"},
            usageHelp = true,
            description = "Shows this help.")
    private boolean help;

    /** Runs the command that the arguments name and returns the exit code. */
    static int run(String... args) {
        return new CommandLine(new Commands())
                .setCaseInsensitiveEnumValuesAllowed(true)
                .setParameterExceptionHandler(Commands::badUsage)
                .setExecutionExceptionHandler(Commands::failed)
                .execute(args);
    }

    @Override
    public void run() {
        throw new ParameterException(spec.commandLine(), "no command was given");
    }

    private static int badUsage(ParameterException wrong, String[] args) {
        PrintWriter err = wrong.getCommandLine().getErr();
        err.println("cedarrudder: " + String.valueOf(wrong.getMessage()).replaceAll("\\R", " "));
        wrong.getCommandLine().usage(err);
        return CommandLine.ExitCode.USAGE;
    }

    private static int failed(
            Exception fault, CommandLine command, CommandLine.ParseResult parsed) {
        command.getErr().println("cedarrudder: " + String.valueOf(fault).replaceAll("\\R", " "));
        return CommandLine.ExitCode.SOFTWARE;
    }
}
