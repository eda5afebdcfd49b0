package cedarrudder.conventions;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** What the project holds its own sources to. */
class ConventionsTest {
    private static final int LINE = 110;

    @Test
    void linesAreShortEnough() throws IOException {
        List<String> longer = new ArrayList<>();
        for (Path file : Sources.all()) {
            int number = 0;
            for (String line : Files.readAllLines(file)) {
                number++;
                if (line.length() > LINE) {
                    longer.add(file + ":" + number);
                }
            }
        }
        assertEquals(List.of(), longer);
    }

    /** The packages whose classes decide, which the bench's snapshots are to hold whole. */
    private static final List<Path> DECIDING =
            Stream.of("balancer", "admission")
                    .map(name -> Path.of("core/src/main/java/cedarrudder", name))
                    .toList();

    /**
     * The bench prints and keeps the text of the policy files: each source of the packages that
     * decide has to be one, each has to be there, and none twice.
     */
    @Test
    void thePolicyFilesAreAllThatDecide() throws IOException {
        String deploy = Files.readString(Path.of("deploy", "balancer.toml"));
        String policy = deploy.substring(deploy.indexOf("policy"), deploy.indexOf(']'));
        List<Path> files =
                Pattern.compile("\"([^\"]+)\"")
                        .matcher(policy)
                        .results()
                        .map(m -> Path.of(m.group(1)))
                        .toList();
        assertTrue(files.size() >= 4, "only " + files);
        assertEquals(files.stream().distinct().toList(), files);
        assertEquals(List.of(), files.stream().filter(file -> !Files.isRegularFile(file)).toList());
        assertEquals(deciding(), files.stream().sorted().toList());
    }

    private static List<Path> deciding() throws IOException {
        List<Path> sources = new ArrayList<>();
        for (Path folder : DECIDING) {
            try (Stream<Path> files = Files.list(folder)) {
                files.filter(file -> !file.endsWith("package-info.java")).forEach(sources::add);
            }
        }
        return sources.stream().sorted().toList();
    }

    /**
     * The lines of config/checkstyle-suppressions.xml when it was begun, less those mended since.
     */
    private static final int MAX_SUPPRESSIONS = 44;

    /** Whoever mends a package takes its line out and lowers the number above; nothing is added. */
    @Test
    void lintSuppressionsOnlyShrink() throws IOException {
        List<String> suppressions =
                Files.readAllLines(Path.of("config", "checkstyle-suppressions.xml")).stream()
                        .filter(line -> line.contains("<suppress "))
                        .toList();
        assertTrue(suppressions.size() <= MAX_SUPPRESSIONS, suppressions.size() + " lines");
        assertEquals(suppressions.stream().distinct().toList(), suppressions);
    }
}
