package cedarrudder.program;

import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Implements {@code version}: prints the version of the build, and of the Java runtime. */
@Command(
        name = "version",
        description = "Prints the version of the program and of the Java runtime.")
final class VersionCommand implements Runnable {

    @Spec private CommandSpec spec;

    @Option(
            names = {"-h", "--help"},
            usageHelp = true,
            description = "Shows this help.")
    private boolean help;

    @Override
    public void run() {
        String version = Main.class.getPackage().getImplementationVersion();
        spec.commandLine()
                .getOut()
                .println(
                        "cedarrudder "
                                + (version == null ? "not from a jar" : version)
                                + ", Java "
                                + System.getProperty("java.version"));
    }
}
