package cedarrudder.lab.command;

import cedarrudder.lab.emulator.Emulator;
import cedarrudder.lab.referee.RuleChecker;
import cedarrudder.lab.referee.RuleParameters;
import cedarrudder.lab.result.RunResult;
import cedarrudder.lab.scenario.Scenario;
import cedarrudder.lab.scenario.ScenarioReader;
import cedarrudder.lab.trace.TraceReader;
import cedarrudder.toml.InvalidFileException;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.ExitCode;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** {@code judge}: has the referee read a record. */
@Command(
        name = "judge",
        description =
                "Has the referee read a record of emulate, up to where it was cut "
                        + "off. Exit code 1 where a rule was broken.")
final class JudgeCommand implements Callable<Integer> {

    @Spec private CommandSpec spec;

    @Parameters(paramLabel = "RECORD", description = "The record, one event a line.")
    private Path record;

    @Option(
            names = "--scenario",
            paramLabel = "FILE",
            required = true,
            description = "The scenario that was played: it has the rules' figures.")
    private Path scenario;

    @Override
    public Integer call() throws InvalidFileException, IOException {
        Scenario played = ScenarioReader.read(scenario);
        RuleParameters figures = Emulator.figures(played);
        RuleChecker referee = new RuleChecker(figures, 0);
        TraceReader.Read read = TraceReader.read(record, referee);
        referee.finish(read.last());
        List<RunResult.Breach> breaches = referee.breaches();
        PrintWriter out = spec.commandLine().getOut();
        out.println(
                String.format(
                        Locale.ROOT,
                        "%d events up to %.3f s%s",
                        read.events(),
                        read.last() / 1e9,
                        read.cut() ? "; the last line is cut off" : ""));
        breaches.forEach(breach -> out.println(ResultText.breach(breach)));
        out.println(breaches.isEmpty() ? "rules kept" : "rules broken");
        out.flush();
        return breaches.isEmpty() ? ExitCode.OK : ExitCode.SOFTWARE;
    }
}
