package cedarrudder.toml;

import java.util.List;
import java.util.stream.Collectors;

/** A file that can't be used, with everything that is wrong with it, in the order of its lines. */
public final class BadFileException extends Exception {

    private static final long serialVersionUID = 1;

    private final transient List<Problem> problems;

    /**
     * @param problems at least one
     */
    public BadFileException(List<Problem> problems) {
        super(problems.stream().map(Problem::toString).collect(Collectors.joining("\n")));
        this.problems = List.copyOf(problems);
    }

    /** What is wrong, in the order of lines. */
    public List<Problem> problems() {
        return problems;
    }
}
