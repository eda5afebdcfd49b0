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
 * A TOML file that is read strictly: every key has a type and a range, and what nobody asked for is
 * an error.
 *
 * <p>Reading goes on past what is wrong, with the default or the least allowed value in its place,
 * so that one run finds all errors; {@link #check} then throws them together. Parsing is done by
 * tomlj, which unlike other TOML readers knows the line of each key.
 */
public final class ConfigDocument {

    /** Larger files are no configuration. */
    private static final long MAX_BYTES = 4 << 20;

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
        // This avoids errors that only follow from a line that could not be read.
        root = new ConfigTable(this, problems.isEmpty() ? parsed : Toml.parse(""), "", 0);
    }

    /** Reads a text; {@code file} is the name by which errors call it. */
    public static ConfigDocument parse(String file, String text) {
        return new ConfigDocument(file, text);
    }

    /**
     * Reads a file.
     *
     * @throws InvalidFileException if it isn't there, can't be read or is over 4 MiB
     */
    public static ConfigDocument read(Path path) throws InvalidFileException {
        try {
            if (Files.size(path) > MAX_BYTES) {
                throw unreadable(
                        path, Files.size(path) + " bytes", MAX_BYTES + " bytes at the most");
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

    /** The table at the top; empty where the text is no TOML. */
    public ConfigTable root() {
        return root;
    }

    /** The name by which errors call the file. */
    public String file() {
        return file;
    }

    void asked(ConfigKey key) {
        keys.putIfAbsent(key.path(), key);
    }

    /** The keys that were asked for so far, there or not, in the order of their first asking. */
    public List<ConfigKey> keys() {
        return List.copyOf(keys.values());
    }

    void add(int line, String key, String found, String allowed) {
        problems.add(new ConfigProblem(file, line, key, found, allowed));
    }

    /** What is wrong so far, in the order of lines. */
    public List<ConfigProblem> problems() {
        return problems.stream().sorted(Comparator.comparingInt(ConfigProblem::line)).toList();
    }

    /**
     * To be called when all has been read.
     *
     * @throws InvalidFileException if anything was wrong, with all of it
     */
    public void check() throws InvalidFileException {
        if (!problems.isEmpty()) {
            throw new InvalidFileException(problems());
        }
    }
}
