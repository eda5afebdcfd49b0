package cedarrudder.program;

import cedarrudder.logging.Level;
import cedarrudder.logging.LogSettings;
import cedarrudder.operator.LogConfiguration;
import cedarrudder.operator.LogTable;
import cedarrudder.operator.OperatorFile;
import cedarrudder.toml.InvalidFileException;
import java.nio.file.Path;

/**
 * What the command line of {@code serve} says; null for what it doesn't.
 *
 * @param operator the operator's file
 * @param form the form of the log, whatever that file says
 * @param level the level of the log, whatever that file says
 */
record ServeOptions(Path operator, LogConfiguration.Form form, Level level) {

    /** {@code serve} alone. */
    static final ServeOptions NONE = new ServeOptions(null, null, null);

    /** Reads the operator's file, if there is one, and overrides what the command line does. */
    OperatorFile read() throws InvalidFileException {
        OperatorFile read = operator == null ? OperatorFile.NONE : OperatorFile.read(operator);
        if (form == null && level == null) {
            return read;
        }
        LogConfiguration log = read.of(LogTable.LOG);
        LogSettings settings = log.settings();
        return read.with(
                LogTable.LOG,
                new LogConfiguration(
                        form == null ? log.form() : form,
                        new LogSettings(
                                level == null ? settings.level() : level,
                                settings.linesPerSecond(),
                                settings.lineChars())));
    }
}
