package cedarrudder.toml;

import java.time.LocalTime;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import org.tomlj.Toml;
import org.tomlj.TomlArray;
import org.tomlj.TomlPosition;
import org.tomlj.TomlTable;

/**
 * One table of a {@link ConfigDocument}. Each method registers a key as known; {@link #done}
 * reports every other key as a problem. A missing or wrong value is reported as a problem and
 * replaced by the default or the minimum, so that reading continues. Numbers may be written as
 * integers or decimals.
 */
public final class ConfigTable {

    /**
     * Maximum number of changes between a misspelt key and the known key that the message suggests.
     */
    private static final int MAX_KEY_DISTANCE = 3;

    /** Maximum number of characters of a value in messages; longer values are truncated. */
    private static final int MAX_SHOWN = 60;

    private static final Pattern INDEX = Pattern.compile("\\[\\d+]");

    private final ConfigDocument document;
    private final TomlTable table;
    private final String path;
    private final int line;
    private final Set<String> knownKeys = new LinkedHashSet<>();
    private final Set<String> keysWithProblems = new HashSet<>();

    ConfigTable(ConfigDocument document, TomlTable table, String path, int line) {
        this.document = document;
        this.table = table;
        this.path = path;
        this.line = line;
    }

    /** Returns the line on which the table begins; 0 for the top-level table. */
    public int line() {
        return line;
    }

    /** Returns whether a key is present, whatever its value. */
    public boolean has(String key) {
        knownKeys.add(key);
        return table.contains(List.of(key));
    }

    /**
     * Returns the keys that are present, in the order of the file, and registers all of them as
     * known; for tables whose keys are names.
     */
    public List<String> keys() {
        List<String> keys = new ArrayList<>(table.keySet());
        knownKeys.addAll(keys);
        return keys;
    }

    // ---- problems ----

    /** Reports a problem with a key of this table, which need not be present. */
    public void problem(String key, String found, String allowed) {
        TomlPosition at =
                key.isEmpty() || !table.contains(List.of(key))
                        ? null
                        : table.inputPositionOf(List.of(key));
        keysWithProblems.add(key);
        document.add(
                at == null ? line : at.line(),
                key.isEmpty() && !path.isEmpty()
                        ? path.substring(0, path.length() - 1)
                        : path + key,
                found,
                allowed);
    }

    /**
     * Returns whether no problem was reported for these keys. A default that replaces a wrong value
     * must not be compared with other values, since this would report errors that only follow from
     * the first one.
     */
    public boolean sound(String... keys) {
        return Arrays.stream(keys).noneMatch(keysWithProblems::contains);
    }

    /** Reports the keys that no method has registered, each with the nearest known key. */
    public void done() {
        for (String key : table.keySet()) {
            if (!knownKeys.contains(key)) {
                String nearest = nearest(key, knownKeys);
                problem(
                        key,
                        "an unknown key",
                        nearest != null
                                ? "did you mean '" + nearest + "'?"
                                : knownKeys.isEmpty() ? "no key" : String.join(", ", knownKeys));
            }
        }
    }

    /**
     * Returns the name that a misspelt one probably means; null where none is near. The fewest
     * changes win, then the earlier name.
     */
    public static String nearest(String key, Collection<String> among) {
        String nearest = null;
        int min = Math.min(MAX_KEY_DISTANCE, Math.max(1, key.length() / 2)) + 1;
        for (String each : among) {
            int distance = distance(key, each);
            if (distance < min) {
                min = distance;
                nearest = each;
            }
        }
        return nearest;
    }

    /**
     * Returns the Levenshtein distance (1966): the number of insertions, deletions and
     * replacements.
     */
    private static int distance(String a, String b) {
        int[] row = new int[b.length() + 1];
        Arrays.setAll(row, i -> i);
        for (int i = 1; i <= a.length(); i++) {
            int diagonal = row[0];
            row[0] = i;
            for (int j = 1; j <= b.length(); j++) {
                int replaced = diagonal + (a.charAt(i - 1) == b.charAt(j - 1) ? 0 : 1);
                diagonal = row[j];
                row[j] = Math.min(replaced, 1 + Math.min(row[j], row[j - 1]));
            }
        }
        return row[b.length()];
    }

    private Object get(String key, boolean required, String allowed, String defaultValue) {
        knownKeys.add(key);
        document.asked(
                new ConfigKey(
                        plain(path + key), allowed, required ? ConfigKey.REQUIRED : defaultValue));
        Object value = table.get(List.of(key));
        if (value == null && required) {
            problem(key, "nothing", allowed);
        }
        return value;
    }

    /** Formats a value for problem messages: strings in quotes, and long values truncated. */
    public static String shown(Object value) {
        if (value instanceof TomlTable) {
            return "a table";
        }
        String text =
                value instanceof String
                        ? "\"" + value + "\""
                        : value instanceof TomlArray array
                                ? array.toList().toString()
                                : String.valueOf(value);
        return text.length() > MAX_SHOWN ? text.substring(0, MAX_SHOWN) + "..." : text;
    }

    // ---- values ----

    /** Reads a required integer. */
    public long integer(String key, long min, long max) {
        return integer(key, min, max, min, true);
    }

    /** Reads an optional integer. */
    public long integer(String key, long min, long max, long defaultValue) {
        return integer(key, min, max, defaultValue, false);
    }

    private long integer(String key, long min, long max, long defaultValue, boolean required) {
        String allowed = "a whole number from " + min + " to " + max;
        Object value = get(key, required, allowed, Long.toString(defaultValue));
        if (value == null) {
            return defaultValue;
        }
        if (value instanceof Long number && number >= min && number <= max) {
            return number;
        }
        problem(key, shown(value), allowed);
        return defaultValue;
    }

    /** Reads a required number. */
    public double number(String key, double min, double max) {
        return number(key, min, max, min, true);
    }

    /** Reads an optional number. */
    public double number(String key, double min, double max, double defaultValue) {
        return number(key, min, max, defaultValue, false);
    }

    private double number(
            String key, double min, double max, double defaultValue, boolean required) {
        String allowed = "a number from " + plain(min) + " to " + plain(max);
        Object value = get(key, required, allowed, plain(defaultValue));
        if (value == null) {
            return defaultValue;
        }
        if (value instanceof Number number
                && number.doubleValue() >= min
                && number.doubleValue() <= max) {
            return number.doubleValue();
        }
        problem(key, shown(value), allowed);
        return defaultValue;
    }

    /**
     * Reads a number, or a range of two numbers in brackets from which a value is drawn. The key is
     * required where {@code defaultValue} is null.
     */
    public double[] range(String key, double min, double max, double[] defaultValue) {
        double[] ends =
                range(
                        key,
                        min,
                        max,
                        defaultValue == null,
                        defaultValue == null ? ConfigKey.REQUIRED : plain(defaultValue));
        if (ends != null) {
            return ends;
        }
        return defaultValue == null ? new double[] {min, min} : defaultValue;
    }

    /** Reads an optional number or range as {@link #range} does; null where the key is absent. */
    public double[] rangeOrNull(String key, double min, double max) {
        double[] ends = range(key, min, max, false, ConfigKey.NONE);
        return ends == null && has(key) ? new double[] {min, min} : ends;
    }

    /** Reads a number or range; returns null where the value is missing or wrong. */
    private double[] range(
            String key, double min, double max, boolean required, String defaultValue) {
        String allowed =
                "a number from "
                        + plain(min)
                        + " to "
                        + plain(max)
                        + ", or two such as [low, high]";
        Object value = get(key, required, allowed, defaultValue);
        if (value == null) {
            return null;
        }
        double[] ends = null;
        if (value instanceof Number number) {
            ends = new double[] {number.doubleValue(), number.doubleValue()};
        } else if (value instanceof TomlArray array
                && array.size() == 2
                && array.get(0) instanceof Number low
                && array.get(1) instanceof Number high) {
            ends = new double[] {low.doubleValue(), high.doubleValue()};
        }
        if (ends != null && ends[0] > ends[1]) {
            problem(
                    key,
                    shown(value),
                    "the lower end first: " + plain(new double[] {ends[1], ends[0]}));
        } else if (ends != null && ends[0] >= min && ends[1] <= max) {
            return ends;
        } else {
            problem(key, shown(value), allowed);
        }
        return null;
    }

    /** Reads an optional boolean. */
    public boolean flag(String key, boolean defaultValue) {
        Object value = get(key, false, "true or false", Boolean.toString(defaultValue));
        if (value == null || value instanceof Boolean) {
            return value == null ? defaultValue : (Boolean) value;
        }
        problem(key, shown(value), "true or false");
        return defaultValue;
    }

    /** Reads a string; required where {@code defaultValue} is null. */
    public String text(String key, String defaultValue) {
        Object value =
                get(
                        key,
                        defaultValue == null,
                        "a text",
                        defaultValue == null || defaultValue.isEmpty()
                                ? ConfigKey.NONE
                                : defaultValue);
        if (value instanceof String text) {
            return text;
        }
        if (value != null) {
            problem(key, shown(value), "a text");
        }
        return defaultValue == null ? "" : defaultValue;
    }

    /** Reads a required time of day. */
    public LocalTime time(String key) {
        String allowed = "a time of day such as 09:30:00";
        Object value = get(key, true, allowed, ConfigKey.NONE);
        if (value instanceof LocalTime time) {
            return time;
        }
        if (value != null) {
            problem(key, shown(value), allowed);
        }
        return LocalTime.MIDNIGHT;
    }

    /** Reads a list of strings; empty where the key is absent. */
    public List<String> texts(String key) {
        Object value = get(key, false, "a list of texts", ConfigKey.NONE);
        if (value == null) {
            return List.of();
        }
        if (value instanceof TomlArray array
                && array.toList().stream().allMatch(String.class::isInstance)) {
            return array.toList().stream().map(String.class::cast).toList();
        }
        problem(key, shown(value), "a list of texts");
        return List.of();
    }

    /** Reads a list of numbers; empty where the key is absent. */
    public List<Double> numbers(String key, double min, double max) {
        String allowed = "a list of numbers from " + plain(min) + " to " + plain(max);
        Object value = get(key, false, allowed, ConfigKey.NONE);
        if (value == null) {
            return List.of();
        }
        if (value instanceof TomlArray array
                && array.toList().stream()
                        .allMatch(
                                each ->
                                        each instanceof Number n
                                                && n.doubleValue() >= min
                                                && n.doubleValue() <= max)) {
            return array.toList().stream().map(each -> ((Number) each).doubleValue()).toList();
        }
        problem(key, shown(value), allowed);
        return List.of();
    }

    /**
     * Reads an enum constant, spelled as {@link #written} returns; required where {@code
     * defaultValue} is null.
     */
    public <E extends Enum<E>> E choice(String key, Class<E> of, E defaultValue) {
        E[] constants = of.getEnumConstants();
        String allowed =
                Arrays.stream(constants)
                        .map(ConfigTable::written)
                        .collect(Collectors.joining(", "));
        Object value =
                get(
                        key,
                        defaultValue == null,
                        allowed,
                        defaultValue == null ? ConfigKey.REQUIRED : written(defaultValue));
        for (E constant : constants) {
            if (written(constant).equals(value)) {
                return constant;
            }
        }
        if (value != null) {
            problem(key, shown(value), allowed);
        }
        return defaultValue == null ? constants[0] : defaultValue;
    }

    /**
     * Returns the spelling of an enum constant in files: {@code PEAK_EWMA} is {@code peak-ewma}.
     */
    public static String written(Enum<?> constant) {
        return constant.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    // ---- tables ----

    /** Reads a table; null where the key is absent. */
    public ConfigTable table(String key) {
        Object value = get(key, false, "a table", ConfigKey.NONE);
        if (value instanceof TomlTable child) {
            return new ConfigTable(document, child, path + key + ".", lineOf(key));
        }
        if (value != null) {
            problem(key, shown(value), "a table");
        }
        return null;
    }

    /** Reads a table; where the key is absent, returns a table without any keys. */
    public ConfigTable tableOrEmpty(String key) {
        ConfigTable child = table(key);
        return child != null
                ? child
                : new ConfigTable(document, Toml.parse(""), path + key + ".", line);
    }

    /** Reads an array of tables; empty where the key is absent. */
    public List<ConfigTable> tables(String key) {
        String allowed = "tables written [[" + plain(path + key) + "]]";
        Object value = get(key, false, allowed, ConfigKey.NONE);
        List<ConfigTable> tables = new ArrayList<>();
        if (value instanceof TomlArray array
                && array.toList().stream().allMatch(TomlTable.class::isInstance)) {
            for (int i = 0; i < array.size(); i++) {
                tables.add(
                        new ConfigTable(
                                document,
                                array.getTable(i),
                                path + key + "[" + i + "].",
                                array.inputPositionOf(i).line()));
            }
        } else if (value != null) {
            problem(key, shown(value), allowed);
        }
        return tables;
    }

    private int lineOf(String key) {
        TomlPosition at = table.inputPositionOf(List.of(key));
        return at == null ? line : at.line();
    }

    /** Returns a key's full name without array indexes. */
    private static String plain(String key) {
        return INDEX.matcher(key).replaceAll("");
    }

    private static String plain(double[] ends) {
        return ends[0] == ends[1]
                ? plain(ends[0])
                : "[" + plain(ends[0]) + ", " + plain(ends[1]) + "]";
    }

    /** Formats a number, without a decimal point where the number is whole. */
    private static String plain(double number) {
        return number == Math.rint(number) && Math.abs(number) < 1e15
                ? Long.toString((long) number)
                : Double.toString(number);
    }
}
