package cedarrudder.operator;

import cedarrudder.logging.LogSettings;

/** The format of the log's lines, and what is logged. */
public record LogConfiguration(Form form, LogSettings settings) {

    /** The format of a line. */
    public enum Form {
        TEXT,
        JSON
    }

    /** The configuration that applies where nothing is set. */
    public static final LogConfiguration DEFAULT =
            new LogConfiguration(Form.TEXT, LogSettings.DEFAULT);
}
