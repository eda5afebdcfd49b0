package cedarrudder.encoding;

/** Says that the bytes of a number are not one that is allowed. */
public final class MalformedVarintException extends Exception {

    private static final long serialVersionUID = 1L;

    private final String found;
    private final String allowed;

    MalformedVarintException(String found, String allowed) {
        super("found " + found + "; allowed: " + allowed);
        this.found = found;
        this.allowed = allowed;
    }

    /** What stands in place of the number. */
    public String found() {
        return found;
    }

    /** What is allowed there. */
    public String allowed() {
        return allowed;
    }
}
