package cedarrudder.toml;

import java.util.List;
import java.util.stream.Collectors;

/** A file that can't be used, with everything that is wrong with it, in the order of its lines. */
public final class InvalidFileException extends Exception {

    private static final long serialVersionUID = 1;

    private final transient List<ConfigProblem> problems;

    /**
     * @param problems at least one
     */
    public InvalidFileException(List<ConfigProblem> problems) {
        super(problems.stream().map(ConfigProblem::toString).collect(Collectors.joining("\n")));
        this.problems = List.copyOf(problems);
    }

    /** What is wrong, in the order of lines. */
    public List<ConfigProblem> problems() {
        return problems;
    }
}
