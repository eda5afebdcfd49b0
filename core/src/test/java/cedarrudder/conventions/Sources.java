package cedarrudder.conventions;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

/** The project's own sources, for the tests that hold them to its rules. Tests run at the root. */
final class Sources {

    private Sources() {}

    /** All Java files of all modules, in a fixed order. */
    static List<Path> all() throws IOException {
        List<Path> found = new ArrayList<>();
        for (Path folder : folders()) {
            try (Stream<Path> files = Files.walk(folder)) {
                files.filter(f -> f.toString().endsWith(".java")).sorted().forEach(found::add);
            }
        }
        return found;
    }

    /** The folder {@code src} of each module. */
    static List<Path> folders() throws IOException {
        try (Stream<Path> top = Files.list(Path.of(""))) {
            return top.filter(f -> Files.exists(f.resolve("pom.xml")))
                    .map(f -> f.resolve("src"))
                    .filter(Files::isDirectory)
                    .sorted()
                    .toList();
        }
    }
}
