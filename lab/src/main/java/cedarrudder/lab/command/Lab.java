package cedarrudder.lab.command;

import cedarrudder.toml.InvalidFileException;
import java.io.PrintWriter;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/**
 * The lab's command line: one class a command. Standard output carries results, standard error all
 * else. Exit codes: 0 done, 1 done with a finding or failed, 2 bad input or usage.
 */
@Command(
        name = "lab",
        description = "Plays scenarios against policies and tells which serves best.",
        synopsisSubcommandLabel = "COMMAND",
        subcommands = {
            CheckCommand.class,
            ModelCommand.class,
            ExperimentCommand.class,
            ReportCommand.class,
            CorrelateCommand.class,
            PoliciesCommand.class,
            AttackCommand.class,
            BenchmarkCommand.class,
            MemoryCommand.class,
            LoadCommand.class,
            RelayCommand.class,
            EmulateCommand.class,
            MembersCommand.class,
            AgreementCommand.class,
            FailoverCommand.class,
            ClusterCommand.class,
            JudgeCommand.class,
            DemoCommand.class,
            OverheadCommand.class,
            VersionCommand.class
        })
public final class Lab implements Runnable {

    @Spec private CommandSpec spec;

    @Option(
            names = {"-h", "--help"},
            usageHelp = true,
            scope = CommandLine.ScopeType.INHERIT,
            description = "Says this.")
    private boolean help;

    public static void main(String[] args) {
        System.exit(commandLine().execute(args));
    }

    /** The command line as {@link #main} runs it. */
    static CommandLine commandLine() {
        return new CommandLine(new Lab())
                .setCaseInsensitiveEnumValuesAllowed(true)
                .setParameterExceptionHandler(Lab::badUsage)
                .setExecutionExceptionHandler(Lab::failed);
    }

    @Override
    public void run() {
        throw new ParameterException(spec.commandLine(), "no command was given");
    }

    private static int badUsage(ParameterException wrong, String[] args) {
        PrintWriter err = wrong.getCommandLine().getErr();
        err.println("lab: " + String.valueOf(wrong.getMessage()).replaceAll("\\R", " "));
        wrong.getCommandLine().usage(err);
        return CommandLine.ExitCode.USAGE;
    }

    private static int failed(
            Exception fault, CommandLine command, CommandLine.ParseResult parsed) {
        if (fault instanceof InvalidFileException bad) {
            bad.problems().forEach(problem -> command.getErr().println(problem));
            return CommandLine.ExitCode.USAGE;
        }
        StringBuilder message = new StringBuilder("lab");
        for (Throwable each = fault; each != null; each = each.getCause()) {
            message.append(": ").append(each);
        }
        command.getErr().println(message.toString().replaceAll("\\R", " "));
        return CommandLine.ExitCode.SOFTWARE;
    }
}
