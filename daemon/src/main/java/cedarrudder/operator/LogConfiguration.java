package cedarrudder.operator;

import cedarrudder.logging.LogSettings;

/** How the log is written: the form of its lines, and what is logged. */
public record LogConfiguration(Form form, LogSettings settings) {

    /** The form of a line. */
    public enum Form {
        TEXT,
        JSON
    }

    /** What counts where nothing is set. */
    public static final LogConfiguration DEFAULT =
            new LogConfiguration(Form.TEXT, LogSettings.DEFAULT);
}
