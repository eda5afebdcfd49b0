package cedarrudder.program;

import cedarrudder.drainage.PolicyCheck.Both;
import cedarrudder.operator.DrainsFile;
import cedarrudder.operator.DrainsTable;
import cedarrudder.operator.Operator;
import cedarrudder.toml.BadFileException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.ExitCode;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** {@code check}: what is wrong with the operator's files, all of it, with nothing started. */
@Command(name = "check", description = "Finds all that is wrong with operator's files and starts nothing. "
        + "Each problem is one line on standard output: file and line, key, what was found, what is allowed. "
        + "Exit code 1 where there is any.")
final class CheckCommand implements Callable<Integer> {

    @Spec
    private CommandSpec spec;

    @Parameters(arity = "1..*", paramLabel = "FILE", description = "Operator's files.")
    private List<Path> files;

    @Option(names = {"-h", "--help"}, usageHelp = true, description = "Says this.")
    private boolean help;

    @Override
    public Integer call() {
        PrintWriter out = spec.commandLine().getOut();
        int code = ExitCode.OK;
        for (Path file : files) {
            try {
                Operator operator = Operator.read(file);
                out.println(file + ": good");
                tell(file, operator.of(DrainsTable.DRAINS), out);
            } catch (BadFileException e) {
                e.problems().forEach(out::println);
                code = ExitCode.SOFTWARE;
            }
        }
        return code;
    }

    /** Which of two policies binds nodes that both are for. */
    private static void tell(Path file, DrainsFile drains, PrintWriter out) {
        for (Both both : drains == null ? List.<Both>of() : drains.both()) {
            out.println(file + ": drains.policy: '" + drains.policies().get(both.one()).name() + "' and '"
                    + drains.policies().get(both.other()).name() + "' are both for some nodes; stricter: "
                    + (both.stricter().isEmpty() ? "neither" : String.join(", ", both.stricter())));
        }
    }
}
