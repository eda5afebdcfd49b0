package cedarrudder.lab.command;

import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/** {@code version}: the version of the build, and of the Java that runs it. */
@Command(name = "version", description = "Says which version this is, and which Java runs it.")
final class VersionCommand implements Runnable {

    @Spec private CommandSpec spec;

    @Override
    public void run() {
        String version = Lab.class.getPackage().getImplementationVersion();
        spec.commandLine()
                .getOut()
                .println(
                        "cedarrudder-lab "
                                + (version == null ? "not from a jar" : version)
                                + ", Java "
                                + System.getProperty("java.version"));
    }
}
