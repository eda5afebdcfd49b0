package cedarrudder.toml;

import java.io.IOException;
import java.nio.charset.CharacterCodingException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.tomlj.Toml;
import org.tomlj.TomlParseError;
import org.tomlj.TomlParseResult;

/**
 * A TOML file that is read strictly: every key has a type and a range, and an unknown key is an
 * error.
 *
 * <p>Reading continues after a wrong value, with the default or the minimum in its place, so that
 * one run finds all errors; {@link #check} then throws them together. The parser is tomlj, which
 * unlike other TOML readers reports the line of each key.
 */
public final class ConfigDocument {

    /** Limit on the size of a configuration file, in bytes. */
    private static final long MAX_FILE_BYTES = 4 << 20;

    private final String file;
    private final List<ConfigProblem> problems = new ArrayList<>();
    private final Map<String, ConfigKey> keys = new LinkedHashMap<>();
    private final ConfigTable root;

    private ConfigDocument(String file, String text) {
        this.file = file;
        TomlParseResult parsed = Toml.parse(text);
        for (TomlParseError error : parsed.errors()) {
            problems.add(
                    new ConfigProblem(
                            file,
                            error.position() == null ? 0 : error.position().line(),
                            "",
                            String.valueOf(error.getMessage()).replaceAll("\\R", " "),
                            "TOML 1.0"));
        }
        // After a syntax error the rest is not read, since its errors would only follow from the
        // line that could not be parsed.
        root = new ConfigTable(this, problems.isEmpty() ? parsed : Toml.parse(""), "", 0);
    }

    /** Parses a text; {@code file} is the name of the file in error messages. */
    public static ConfigDocument parse(String file, String text) {
        return new ConfigDocument(file, text);
    }

    /**
     * Reads a file.
     *
     * @throws InvalidFileException if the file doesn't exist, can't be read or is larger than 4 MiB
     */
    public static ConfigDocument read(Path path) throws InvalidFileException {
        try {
            if (Files.size(path) > MAX_FILE_BYTES) {
                throw unreadable(
                        path, Files.size(path) + " bytes", MAX_FILE_BYTES + " bytes at the most");
            }
            return new ConfigDocument(path.toString(), Files.readString(path));
        } catch (NoSuchFileException e) {
            throw unreadable(path, "no such file", "a TOML file");
        } catch (CharacterCodingException e) {
            throw unreadable(path, "bytes that are no UTF-8", "a TOML file in UTF-8");
        } catch (IOException e) {
            throw unreadable(
                    path, "a file that can't be read (" + e.getMessage() + ")", "a TOML file");
        }
    }

    private static InvalidFileException unreadable(Path path, String found, String allowed) {
        return new InvalidFileException(
                List.of(new ConfigProblem(path.toString(), 0, "", found, allowed)));
    }

    /** Returns the top-level table; empty where the text is not valid TOML. */
    public ConfigTable root() {
        return root;
    }

    /** Returns the name of the file in error messages. */
    public String file() {
        return file;
    }

    void asked(ConfigKey key) {
        keys.putIfAbsent(key.path(), key);
    }

    /** Returns the keys that were read so far, present or not, in the order of the first read. */
    public List<ConfigKey> keys() {
        return List.copyOf(keys.values());
    }

    void add(int line, String key, String found, String allowed) {
        problems.add(new ConfigProblem(file, line, key, found, allowed));
    }

    /** Returns the problems found so far, ordered by line. */
    public List<ConfigProblem> problems() {
        return problems.stream().sorted(Comparator.comparingInt(ConfigProblem::line)).toList();
    }

    /**
     * Throws all problems found, if any; to be called once everything has been read.
     *
     * @throws InvalidFileException if there is at least one problem, with all problems
     */
    public void check() throws InvalidFileException {
        if (!problems.isEmpty()) {
            throw new InvalidFileException(problems());
        }
    }
}
