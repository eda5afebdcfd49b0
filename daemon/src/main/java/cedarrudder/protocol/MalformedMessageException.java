package cedarrudder.protocol;

/**
 * Bytes that are no message of the protocol. Server-side, {@code status} is the answer they
 * deserve.
 */
public final class MalformedMessageException extends Exception {

    public static final int BAD_REQUEST = 400;
    public static final int CONTENT_TOO_LARGE = 413;
    public static final int URI_TOO_LONG = 414;
    public static final int FIELDS_TOO_LARGE = 431;
    public static final int NOT_IMPLEMENTED = 501;
    public static final int UNAVAILABLE = 503;
    public static final int VERSION_NOT_SUPPORTED = 505;

    private static final long serialVersionUID = 1L;

    private final int status;

    /** A message that is answered with this status and text. */
    public MalformedMessageException(int status, String message) {
        // Without a stack trace: a peer that sends nonsense without end must not cost much.
        super(message, null, false, false);
        this.status = status;
    }

    static MalformedMessageException badRequest(String message) {
        return new MalformedMessageException(BAD_REQUEST, message);
    }

    public int status() {
        return status;
    }
}
