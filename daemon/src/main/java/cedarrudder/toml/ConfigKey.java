package cedarrudder.toml;

/**
 * A key that a reader asks for; with the others of a {@link ConfigDocument} it tells what may stand
 * in a file, so that pages about the format can be held against it.
 *
 * @param path its full name without places in arrays: {@code tier.kind.share}
 * @param allowed what may stand there, as problems say it
 * @param otherwise the default as a file would write it, {@link #REQUIRED} or {@link #NONE}
 */
public record ConfigKey(String path, String allowed, String otherwise) {

    /** For a key that must be there. */
    public static final String REQUIRED = "required";

    /** For a key that may be left out and then has no value. */
    public static final String NONE = "none";
}
