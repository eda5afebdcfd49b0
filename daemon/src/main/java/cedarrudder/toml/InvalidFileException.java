package cedarrudder.toml;

import java.util.List;
import java.util.stream.Collectors;

/** Thrown when a file can't be used; reports all problems of the file, ordered by line. */
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

    /** Returns the problems, ordered by line. */
    public List<ConfigProblem> problems() {
        return problems;
    }
}
