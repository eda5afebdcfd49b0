package cedarrudder.draining;

/** Thrown for a text that is not a valid condition. */
public final class InvalidConditionException extends IllegalArgumentException {

    private static final long serialVersionUID = 1;

    private final String found;
    private final String allowed;

    /**
     * @param found what was found, with its position in the text
     * @param allowed what is allowed there
     */
    public InvalidConditionException(String found, String allowed) {
        super("found " + found + "; allowed: " + allowed);
        this.found = found;
        this.allowed = allowed;
    }

    public String found() {
        return found;
    }

    public String allowed() {
        return allowed;
    }
}
