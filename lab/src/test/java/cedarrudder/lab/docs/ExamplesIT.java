package cedarrudder.lab.docs;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.stream.Stream;
import org.testng.annotations.Test;

/**
 * Every example of the docs does what its page shows, or says why it isn't run: see
 * docs/TESTING.md.
 */
public class ExamplesIT {

    private static final Path ROOT = Path.of("");
    private static final int AT_ONCE = 6;

    private static List<Path> pages() throws IOException {
        try (Stream<Path> docs = Files.list(Path.of("docs"))) {
            Stream<Path> own = Stream.of(Path.of("README.md"), Path.of("example", "README.md"));
            return Stream.concat(own, docs.filter(file -> file.toString().endsWith(".md")).sorted())
                    .toList();
        }
    }

    /** What is wrong with a page's examples. */
    private static List<String> problems(Path root, Path page) throws Exception {
        List<Block> blocks = Page.read(root, page);
        List<String> problems =
                new ArrayList<>(
                        blocks.stream()
                                .map(block -> block.problem(blocks))
                                .filter(p -> !p.isEmpty())
                                .toList());
        if (!problems.isEmpty() || blocks.isEmpty()) {
            return problems;
        }
        long start = System.nanoTime();
        try (Playground playground = new Playground(ROOT)) {
            for (Block block : blocks) {
                try {
                    playground.play(block);
                } catch (AssertionError | Exception e) {
                    String message = String.valueOf(e.getMessage());
                    problems.add(
                            message.startsWith(block.place()) ? message : block.place() + ": " + e);
                }
            }
        }
        double seconds = (System.nanoTime() - start) / 1e9;
        System.out.printf("%s: %d examples in %.1f s%n", page, blocks.size(), seconds);
        return problems;
    }

    @Test
    public void eachDoesWhatItsPageShows() throws Exception {
        ExecutorService pool = Executors.newFixedThreadPool(AT_ONCE);
        try {
            List<Future<List<String>>> all = new ArrayList<>();
            for (Path page : pages()) {
                all.add(pool.submit(() -> problems(ROOT, page)));
            }
            List<String> problems = new ArrayList<>();
            for (Future<List<String>> each : all) {
                problems.addAll(each.get());
            }
            assertTrue(problems.isEmpty(), String.join("\n\n", problems));
        } finally {
            pool.shutdownNow();
        }
    }

    private static List<String> problems(String page) throws Exception {
        Path folder = Files.createTempDirectory("page");
        try {
            Files.writeString(folder.resolve("p.md"), page);
            return problems(folder, Path.of("p.md")).stream()
                    .map(problem -> problem.lines().findFirst().orElse(""))
                    .toList();
        } finally {
            try (Stream<Path> files = Files.walk(folder)) {
                for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                    Files.delete(file);
                }
            }
        }
    }

    /** The guard of the guard: each kind of broken example is found, with its line. */
    @Test
    public void aBrokenExampleIsFoundWithItsPlace() throws Exception {
        assertEquals(
                problems(
                                """
                                Text.

                                    indented
                                - a list
                                  ```
                                  nothing
                                  ```

                                ```sh not-run=""
                                ls
                                ```
                                ```toml
                                [log]
                                ```
                                ```toml file="a.toml"
                                ```
                                ```console done
                                ```
                                """)
                        .stream()
                        .map(line -> line.replaceAll(";.*", ""))
                        .toList(),
                List.of(
                        "p.md:3: found the info string ''",
                        "p.md:5: found the info string ''",
                        "p.md:9: not-run without a reason",
                        "p.md:12: found an example that is neither run nor says why"
                                + " (not-run=\"...\")",
                        "p.md:15: no later command or file of the page names the file a.toml",
                        "p.md:17: found the marks [done]"));
        assertEquals(
                problems(
                        """
                        ```console
                        $ echo one; echo a two
                        one
                        a ...
                        $ echo three
                        four
                        ```
                        ```console exit="3"
                        $ (exit 3)
                        ```
                        ```console
                        $ (exit 3)
                        ```
                        ```sh
                        false
                        true
                        ```
                        ```console goes-on
                        $ sh -c 'echo on; exec sleep 100'
                        on
                        ```
                        ```toml as="operator"
                        [log]
                        lines = 3
                        ```
                        """),
                List.of(
                        "p.md:1: `echo three` ended with 0 and said",
                        "p.md:11: `(exit 3)` ended with 3 and said",
                        "p.md:14: `false",
                        "p.md:22: `./cedarrudder check lab/plans/shown.toml` ended with 1 and"
                                + " said"));
    }
}
