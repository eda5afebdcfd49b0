package cedarrudder.program;

import cedarrudder.draining.PolicyValidator.OverlappingPolicies;
import cedarrudder.footprint.ProcessLimits;
import cedarrudder.operator.DrainsConfiguration;
import cedarrudder.operator.DrainsTable;
import cedarrudder.operator.OperatorFile;
import cedarrudder.toml.InvalidFileException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import picocli.CommandLine.Command;
import picocli.CommandLine.ExitCode;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/**
 * Implements {@code check}: reports what is wrong with operator's files and what does not fit,
 * without starting anything.
 */
@Command(
        name = "check",
        description =
                "Finds all errors in operator's files and starts nothing. Each problem is one line"
                    + " on standard output: file and line, key, what was found, what is allowed."
                    + " With --list, reports what a list of nodes needs of a process with the given"
                    + " limits. Exit code 1 where something is wrong or does not fit.")
final class CheckCommand implements Callable<Integer> {

    private static final Pattern SIZE = Pattern.compile("([1-9][0-9]{0,11})([kmg]?)");

    @Spec private CommandSpec spec;

    @Parameters(arity = "1..*", paramLabel = "FILE", description = "Operator's files.")
    private List<Path> files;

    @Option(
            names = "--list",
            paramLabel = "FILE",
            description =
                    "A list of nodes as discovery sends it, or a configuration with one; needs"
                            + " --heap. The last operator's file sets the limits for lists.")
    private Path list;

    @Option(
            names = "--held",
            paramLabel = "FILE",
            description = "The list that is loaded when the other one arrives.")
    private Path before;

    @Option(
            names = "--heap",
            paramLabel = "SIZE",
            description = "The heap's maximum, as in -Xmx: 56m.")
    private String heap;

    @Option(names = "--direct", paramLabel = "SIZE", description = "The maximum of direct memory.")
    private String direct;

    @Option(
            names = "--memory",
            paramLabel = "SIZE",
            description = "The maximum of the machine's memory.")
    private String memory;

    @Option(
            names = "--descriptors",
            paramLabel = "N",
            description = "The maximum number of descriptors.")
    private long descriptors;

    @Option(
            names = {"-h", "--help"},
            usageHelp = true,
            description = "Shows this help.")
    private boolean help;

    @Override
    public Integer call() {
        PrintWriter out = spec.commandLine().getOut();
        if (list == null ? before != null || heap != null : heap == null) {
            throw new ParameterException(spec.commandLine(), "--list and --heap need one another");
        }
        int code = ExitCode.OK;
        OperatorFile last = null;
        for (Path file : files) {
            try {
                last = OperatorFile.read(file);
                out.println(file + ": good");
                printOverlaps(file, last.of(DrainsTable.DRAINS), out);
            } catch (InvalidFileException e) {
                e.problems().forEach(out::println);
                code = ExitCode.SOFTWARE;
            }
        }
        if (list == null || last == null) {
            return code;
        }
        ProcessLimits limits =
                new ProcessLimits(
                        bytes("--heap", heap),
                        bytes("--memory", memory),
                        bytes("--direct", direct),
                        descriptors);
        return new EndpointListCheck(last, limits, out).check(list, before)
                ? code
                : ExitCode.SOFTWARE;
    }

    /** Parses a size in the form of the virtual machine's flags; returns 0 where none is given. */
    private long bytes(String option, String size) {
        if (size == null) {
            return 0;
        }
        Matcher found = SIZE.matcher(size.toLowerCase(Locale.ROOT));
        if (!found.matches()) {
            throw new ParameterException(
                    spec.commandLine(),
                    option
                            + ": found "
                            + size
                            + "; allowed: bytes, or a number with k, m or g, such as 56m");
        }
        return Long.parseLong(found.group(1))
                << 10 * " kmg".indexOf(found.group(2).isEmpty() ? " " : found.group(2));
    }

    /** Prints which of two policies that apply to the same endpoints is stricter. */
    private static void printOverlaps(Path file, DrainsConfiguration drains, PrintWriter out) {
        for (OverlappingPolicies both :
                drains == null ? List.<OverlappingPolicies>of() : drains.both()) {
            out.println(
                    file
                            + ": drains.policy: '"
                            + drains.policies().get(both.one()).name()
                            + "' and '"
                            + drains.policies().get(both.other()).name()
                            + "' are both for some nodes; stricter: "
                            + (both.stricter().isEmpty()
                                    ? "neither"
                                    : String.join(", ", both.stricter())));
        }
    }
}
