package cedarrudder.toml;

/**
 * A key that the code reads from a configuration file. The keys of a {@link ConfigDocument}
 * together describe the file format, so that documentation can be checked against them.
 *
 * @param path the full name of the key without array indexes: {@code tier.kind.share}
 * @param allowed the allowed values, worded as in problem messages
 * @param otherwise the default in the file's notation, {@link #REQUIRED} or {@link #NONE}
 */
public record ConfigKey(String path, String allowed, String otherwise) {

    /** Marks a required key. */
    public static final String REQUIRED = "required";

    /** Marks an optional key without a default. */
    public static final String NONE = "none";
}
