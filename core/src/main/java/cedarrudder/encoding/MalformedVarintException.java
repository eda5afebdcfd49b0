package cedarrudder.encoding;

/** Thrown when bytes are not an allowed encoding of a number. */
public final class MalformedVarintException extends Exception {

    private static final long serialVersionUID = 1L;

    private final String found;
    private final String allowed;

    MalformedVarintException(String found, String allowed) {
        super("found " + found + "; allowed: " + allowed);
        this.found = found;
        this.allowed = allowed;
    }

    /** Returns what was found in place of the number. */
    public String found() {
        return found;
    }

    /** Returns what is allowed there. */
    public String allowed() {
        return allowed;
    }
}
