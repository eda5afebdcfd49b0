package cedarrudder.draining;

/** A text that is no condition. */
public final class InvalidConditionException extends IllegalArgumentException {

    private static final long serialVersionUID = 1;

    private final String found;
    private final String allowed;

    /**
     * @param found with its place in the text
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
