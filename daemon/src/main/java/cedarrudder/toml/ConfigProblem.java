package cedarrudder.toml;

/**
 * One thing wrong with a TOML file.
 *
 * @param file the file's name as the user gave it
 * @param line the line, from 1; 0 where the whole file is meant
 * @param key the full name of the key, {@code tier[2].cores}; empty where no key is meant
 * @param found what stands there, or {@code nothing}
 * @param allowed what may stand there
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
