package cedarrudder.toml;

/**
 * A problem found in a TOML file.
 *
 * @param file the name of the file as the user gave it
 * @param line the line number, from 1; 0 where the problem concerns the whole file
 * @param key the full name of the key, {@code tier[2].cores}; empty where the problem concerns no
 *     single key
 * @param found the value found, or {@code nothing}
 * @param allowed the allowed values
 */
public record ConfigProblem(String file, int line, String key, String found, String allowed) {

    @Override
    public String toString() {
        return file
                + (line > 0 ? ":" + line : "")
                + ": "
                + (key.isEmpty() ? "" : key + ": ")
                + "found "
                + found
                + "; allowed: "
                + allowed;
    }
}
