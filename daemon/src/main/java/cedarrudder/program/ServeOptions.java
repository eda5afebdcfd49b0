package cedarrudder.program;

import cedarrudder.logging.Level;
import cedarrudder.logging.LogSettings;
import cedarrudder.operator.LogConfiguration;
import cedarrudder.operator.LogTable;
import cedarrudder.operator.OperatorFile;
import cedarrudder.toml.InvalidFileException;
import java.nio.file.Path;

/**
 * The options of {@code serve} on the command line; null for those that are not given.
 *
 * @param operator the operator's file
 * @param form the format of the log, which overrides that file
 * @param level the level of the log, which overrides that file
 */
record ServeOptions(Path operator, LogConfiguration.Form form, Level level) {

    /** The options of {@code serve} without arguments. */
    static final ServeOptions NONE = new ServeOptions(null, null, null);

    /**
     * Reads the operator's file, if there is one, and applies the overrides of the command line.
     */
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
