package cedarrudder.protocol;

/**
 * Thrown for bytes that are not a valid message. On the server side, {@code status} is the status
 * of the response.
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

    /** Creates an exception for a message that is rejected with this status and text. */
    public MalformedMessageException(int status, String message) {
        // No stack trace: a peer that keeps sending invalid messages must not cost much.
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
