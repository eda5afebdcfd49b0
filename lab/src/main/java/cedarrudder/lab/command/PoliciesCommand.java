package cedarrudder.lab.command;

import cedarrudder.lab.baselines.Policies;
import java.util.ArrayList;
import java.util.List;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** {@code policies}: who may decide in a run, and where each comes from. */
@Command(name = "policies", description = "Lists the policies and where each comes from.")
final class PoliciesCommand implements Runnable {

    @Spec private CommandSpec spec;

    @Option(
            names = "--broken",
            description = "Lists those broken on purpose too, which try the referee.")
    private boolean broken;

    @Override
    public void run() {
        List<String> names = new ArrayList<>(Policies.names());
        if (broken) {
            names.addAll(Policies.brokenNames());
        }
        int width = names.stream().mapToInt(String::length).max().orElse(0);
        for (String name : names) {
            spec.commandLine()
                    .getOut()
                    .println(name + " ".repeat(width + 2 - name.length()) + Policies.source(name));
        }
    }
}
