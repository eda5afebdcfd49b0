package cedarrudder.lab.command;

import cedarrudder.lab.benchmark.DriverBenchmark;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.regex.Pattern;
import java.util.regex.PatternSyntaxException;
import org.openjdk.jmh.profile.GCProfiler;
import org.openjdk.jmh.runner.Runner;
import org.openjdk.jmh.runner.RunnerException;
import org.openjdk.jmh.runner.options.ChainedOptionsBuilder;
import org.openjdk.jmh.runner.options.OptionsBuilder;
import org.openjdk.jmh.runner.options.TimeValue;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/**
 * {@code benchmark}: times the code on this machine, with JMH, each benchmark in processes of its
 * own.
 */
@Command(
        name = "benchmark",
        description = {
            "Times and counts the bytes of a pick, a request through the",
            "driver, a change of the list, and reading an RPC. Five to ten minutes; under two with"
                    + " --quick."
        })
final class BenchmarkCommand implements Callable<Integer> {

    private static final int FORKS = 3;
    private static final int ROUNDS = 5;
    private static final int QUICK_ROUNDS = 3;
    private static final TimeValue QUICK_ROUND = TimeValue.milliseconds(200);

    @Spec private CommandSpec spec;

    @Parameters(
            paramLabel = "NAME",
            arity = "0..1",
            defaultValue = "",
            description =
                    "A regular expression: only benchmarks whose names hold it; all where left"
                            + " out.")
    private String name;

    @Option(
            names = "--quick",
            description = "One process and short rounds: shows the size of a figure only.")
    private boolean quick;

    @Option(
            names = "--jvm",
            paramLabel = "FLAG",
            description =
                    "A further flag for the virtual machine, such as -XX:TieredStopAtLevel=1.")
    private List<String> flags = List.of();

    @Override
    public Integer call() throws RunnerException {
        try {
            Pattern.compile(name);
        } catch (PatternSyntaxException e) {
            throw new ParameterException(spec.commandLine(), "NAME: " + e.getDescription());
        }
        ChainedOptionsBuilder options =
                new OptionsBuilder()
                        .include(DriverBenchmark.class.getPackageName() + ".*" + name)
                        .addProfiler(GCProfiler.class)
                        .jvmArgsAppend(flags.toArray(new String[0]))
                        .forks(quick ? 1 : FORKS)
                        .warmupIterations(quick ? QUICK_ROUNDS : ROUNDS)
                        .measurementIterations(quick ? QUICK_ROUNDS : ROUNDS)
                        .shouldFailOnError(true);
        if (quick) {
            options.warmupTime(QUICK_ROUND).measurementTime(QUICK_ROUND);
        } else {
            options.warmupTime(TimeValue.seconds(1)).measurementTime(TimeValue.seconds(1));
        }
        new Runner(options.build()).run();
        return 0;
    }
}
