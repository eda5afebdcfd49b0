package cedarrudder.program;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URLDecoder;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.nio.file.FileAlreadyExistsException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.Set;
import java.util.stream.Stream;

/**
 * The operators' requests that outlive the process: a folder with an empty file for each disabled
 * endpoint, and one while the proxy is drained. Each change is one creation or deletion, so a kill
 * at any moment leaves the state before the change or after it, and two processes read the same
 * state.
 */
final class PersistedAdminState {

    private static final String DISABLED_PREFIX = "disabled-";
    private static final String DRAINED_FILE = "drained";

    /** Longer names exceed what a folder supports. */
    private static final int MAX_NAME_LENGTH = 200;

    /** The content of the folder. */
    record AdminState(Set<String> disabled, boolean drained) {}

    private final Path folder;

    PersistedAdminState(Path folder) {
        this.folder = folder;
    }

    /**
     * Reads the folder.
     *
     * @throws IOException if the folder can't be read, or is missing although {@link
     *     ProcessHandover} has created it: disabled endpoints must not be enabled because the
     *     folder was removed
     */
    AdminState read() throws IOException {
        Set<String> disabled = new HashSet<>();
        boolean drained = false;
        try (Stream<Path> files = Files.list(folder)) {
            for (Path file : (Iterable<Path>) files::iterator) {
                String name = file.getFileName().toString();
                drained |= name.equals(DRAINED_FILE);
                if (name.startsWith(DISABLED_PREFIX)) {
                    disabled.add(
                            URLDecoder.decode(
                                    name.substring(DISABLED_PREFIX.length()),
                                    StandardCharsets.UTF_8));
                }
            }
        } catch (UncheckedIOException | IllegalArgumentException e) {
            throw new IOException("can't read " + folder + ": " + e.getMessage(), e);
        }
        return new AdminState(disabled, drained);
    }

    void disable(String node) throws IOException {
        create(nodeFile(node));
    }

    void enable(String node) throws IOException {
        Files.deleteIfExists(folder.resolve(nodeFile(node)));
    }

    void drain() throws IOException {
        create(DRAINED_FILE);
    }

    void resume() throws IOException {
        Files.deleteIfExists(folder.resolve(DRAINED_FILE));
    }

    private static String nodeFile(String node) throws IOException {
        String name = DISABLED_PREFIX + URLEncoder.encode(node, StandardCharsets.UTF_8);
        if (name.length() > MAX_NAME_LENGTH) {
            throw new IOException("too long an id for a file: " + name.length() + " characters");
        }
        return name;
    }

    private void create(String name) throws IOException {
        Files.createDirectories(folder);
        try {
            Files.createFile(folder.resolve(name));
        } catch (FileAlreadyExistsException e) {
            // it is persisted already
        }
    }
}
