package cedarrudder.lab.command;

import java.util.regex.Matcher;
import java.util.regex.Pattern;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;

/** The options that name one seed or several. */
final class Seeds {

    private static final int MAX_SEEDS = 100_000;
    private static final Pattern SEEDS = Pattern.compile("(\\d{1,18})\\.\\.(\\d{1,18})");

    @Option(
            names = "--seed",
            paramLabel = "N",
            description = "The seed of one run; 1 where none is given.")
    private Long one;

    @Option(
            names = "--seeds",
            paramLabel = "A..B",
            description = "The first and the last of several seeds.")
    private String several;

    /** The first and the last. */
    long[] range(CommandSpec spec) {
        if (several == null) {
            long only = one == null ? 1 : one;
            return new long[] {only, only};
        }
        Matcher parts = SEEDS.matcher(several);
        if (parts.matches()) {
            long first = Long.parseLong(parts.group(1));
            long last = Long.parseLong(parts.group(2));
            if (first <= last && last - first < MAX_SEEDS) {
                return new long[] {first, last};
            }
        }
        throw new ParameterException(
                spec.commandLine(),
                "--seeds: found "
                        + several
                        + "; allowed: two "
                        + "numbers such as 1..20, at most "
                        + MAX_SEEDS
                        + " seeds");
    }
}
