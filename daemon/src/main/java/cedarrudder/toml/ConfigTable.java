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
 * One table of a {@link ConfigDocument}. Each method names a key that may stand in it; {@link
 * #done} reports every other key. A value that is missing or wrong is reported, and the default or
 * the least value comes in its place, so reading goes on. Numbers may be written as integers or
 * decimals.
 */
public final class ConfigTable {

    /** A misspelt key is named with the known one that is at most this many changes away. */
    private static final int NEAREST = 3;

    /** Longer values are cut in messages. */
    private static final int MAX_SHOWN = 60;

    private static final Pattern INDEX = Pattern.compile("\\[\\d+]");

    private final ConfigDocument document;
    private final TomlTable table;
    private final String path;
    private final int line;
    private final Set<String> known = new LinkedHashSet<>();
    private final Set<String> wrong = new HashSet<>();

    ConfigTable(ConfigDocument document, TomlTable table, String path, int line) {
        this.document = document;
        this.table = table;
        this.path = path;
        this.line = line;
    }

    /** The line on which the table begins; 0 for the file's top. */
    public int line() {
        return line;
    }

    /** Whether a key is there, whatever its value. */
    public boolean has(String key) {
        known.add(key);
        return table.contains(List.of(key));
    }

    /** The keys that are there, in the order of the file; for tables whose keys are names. */
    public List<String> keys() {
        List<String> keys = new ArrayList<>(table.keySet());
        known.addAll(keys);
        return keys;
    }

    // ---- problems ----

    /** Reports a problem with a key of this table, which need not be there. */
    public void problem(String key, String found, String allowed) {
        TomlPosition at =
                key.isEmpty() || !table.contains(List.of(key))
                        ? null
                        : table.inputPositionOf(List.of(key));
        wrong.add(key);
        document.add(
                at == null ? line : at.line(),
                key.isEmpty() && !path.isEmpty()
                        ? path.substring(0, path.length() - 1)
                        : path + key,
                found,
                allowed);
    }

    /**
     * Whether no problem of these keys was reported. This avoids errors that only follow from
     * others: a value that stands in for a wrong one is not to be held against other values.
     */
    public boolean sound(String... keys) {
        return Arrays.stream(keys).noneMatch(wrong::contains);
    }

    /** Reports the keys that no method has named, each with the nearest that one has. */
    public void done() {
        for (String key : table.keySet()) {
            if (!known.contains(key)) {
                String nearest = nearest(key, known);
                problem(
                        key,
                        "an unknown key",
                        nearest != null
                                ? "did you mean '" + nearest + "'?"
                                : known.isEmpty() ? "no key" : String.join(", ", known));
            }
        }
    }

    /**
     * The one of some names that a misspelt one is likely to mean; null where none is near. The
     * fewest changes win, then the earlier name.
     */
    public static String nearest(String key, Collection<String> among) {
        String nearest = null;
        int min = Math.min(NEAREST, Math.max(1, key.length() / 2)) + 1;
        for (String each : among) {
            int distance = distance(key, each);
            if (distance < min) {
                min = distance;
                nearest = each;
            }
        }
        return nearest;
    }

    /** Levenshtein's distance (1966): insertions, deletions and replacements. */
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

    private Object get(String key, boolean required, String allowed, String otherwise) {
        known.add(key);
        document.asked(
                new ConfigKey(
                        plain(path + key), allowed, required ? ConfigKey.REQUIRED : otherwise));
        Object value = table.get(List.of(key));
        if (value == null && required) {
            problem(key, "nothing", allowed);
        }
        return value;
    }

    /** A value as problems show it: texts in quotes, and nothing long. */
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

    /** A whole number that must be there. */
    public long integer(String key, long min, long max) {
        return integer(key, min, max, min, true);
    }

    /** A whole number that may be left out. */
    public long integer(String key, long min, long max, long otherwise) {
        return integer(key, min, max, otherwise, false);
    }

    private long integer(String key, long min, long max, long otherwise, boolean required) {
        String allowed = "a whole number from " + min + " to " + max;
        Object value = get(key, required, allowed, Long.toString(otherwise));
        if (value == null) {
            return otherwise;
        }
        if (value instanceof Long number && number >= min && number <= max) {
            return number;
        }
        problem(key, shown(value), allowed);
        return otherwise;
    }

    /** A number that must be there. */
    public double number(String key, double min, double max) {
        return number(key, min, max, min, true);
    }

    /** A number that may be left out. */
    public double number(String key, double min, double max, double otherwise) {
        return number(key, min, max, otherwise, false);
    }

    private double number(String key, double min, double max, double otherwise, boolean required) {
        String allowed = "a number from " + plain(min) + " to " + plain(max);
        Object value = get(key, required, allowed, plain(otherwise));
        if (value == null) {
            return otherwise;
        }
        if (value instanceof Number number
                && number.doubleValue() >= min
                && number.doubleValue() <= max) {
            return number.doubleValue();
        }
        problem(key, shown(value), allowed);
        return otherwise;
    }

    /**
     * A number, or two in brackets between which one is drawn; null stands for none where left out.
     */
    public double[] range(String key, double min, double max, double[] otherwise) {
        double[] ends =
                range(
                        key,
                        min,
                        max,
                        otherwise == null,
                        otherwise == null ? ConfigKey.REQUIRED : plain(otherwise));
        if (ends != null) {
            return ends;
        }
        return otherwise == null ? new double[] {min, min} : otherwise;
    }

    /** A number or two as in {@link #range} that may be left out; null where it is. */
    public double[] rangeOrNull(String key, double min, double max) {
        double[] ends = range(key, min, max, false, ConfigKey.NONE);
        return ends == null && has(key) ? new double[] {min, min} : ends;
    }

    /** Null where the value is missing or wrong. */
    private double[] range(String key, double min, double max, boolean required, String otherwise) {
        String allowed =
                "a number from "
                        + plain(min)
                        + " to "
                        + plain(max)
                        + ", or two such as [low, high]";
        Object value = get(key, required, allowed, otherwise);
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

    /** True or false. */
    public boolean flag(String key, boolean otherwise) {
        Object value = get(key, false, "true or false", Boolean.toString(otherwise));
        if (value == null || value instanceof Boolean) {
            return value == null ? otherwise : (Boolean) value;
        }
        problem(key, shown(value), "true or false");
        return otherwise;
    }

    /** A text; it must be there where {@code otherwise} is null. */
    public String text(String key, String otherwise) {
        Object value =
                get(
                        key,
                        otherwise == null,
                        "a text",
                        otherwise == null || otherwise.isEmpty() ? ConfigKey.NONE : otherwise);
        if (value instanceof String text) {
            return text;
        }
        if (value != null) {
            problem(key, shown(value), "a text");
        }
        return otherwise == null ? "" : otherwise;
    }

    /** A time of day; it must be there. */
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

    /** A list of texts; empty where left out. */
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

    /** A list of numbers; empty where left out. */
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
     * A constant of an enumeration as {@link #written}; it must be there where the default is null.
     */
    public <E extends Enum<E>> E choice(String key, Class<E> of, E otherwise) {
        E[] constants = of.getEnumConstants();
        String allowed =
                Arrays.stream(constants)
                        .map(ConfigTable::written)
                        .collect(Collectors.joining(", "));
        Object value =
                get(
                        key,
                        otherwise == null,
                        allowed,
                        otherwise == null ? ConfigKey.REQUIRED : written(otherwise));
        for (E constant : constants) {
            if (written(constant).equals(value)) {
                return constant;
            }
        }
        if (value != null) {
            problem(key, shown(value), allowed);
        }
        return otherwise == null ? constants[0] : otherwise;
    }

    /** How files write a constant: {@code PEAK_EWMA} is {@code peak-ewma}. */
    public static String written(Enum<?> constant) {
        return constant.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    // ---- tables ----

    /** A table; null where left out. */
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

    /** A table whose keys are all missing where it is left out itself. */
    public ConfigTable tableOrEmpty(String key) {
        ConfigTable child = table(key);
        return child != null
                ? child
                : new ConfigTable(document, Toml.parse(""), path + key + ".", line);
    }

    /** An array of tables; empty where left out. */
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

    /** A key's full name without places in arrays. */
    private static String plain(String key) {
        return INDEX.matcher(key).replaceAll("");
    }

    private static String plain(double[] ends) {
        return ends[0] == ends[1]
                ? plain(ends[0])
                : "[" + plain(ends[0]) + ", " + plain(ends[1]) + "]";
    }

    /** Numbers as people write them: without the point where they are whole. */
    private static String plain(double number) {
        return number == Math.rint(number) && Math.abs(number) < 1e15
                ? Long.toString((long) number)
                : Double.toString(number);
    }
}
