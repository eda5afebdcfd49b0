package cedarrudder.program;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.testng.annotations.Test;

/** The operators' page must list every key and every event, and none that does not exist. */
public class OperatorsPageTest {

    private static Set<String> found(String pattern, String text) {
        Set<String> found = new TreeSet<>();
        Pattern.compile(pattern)
                .matcher(text)
                .results()
                .forEach(match -> found.add(match.group(1)));
        return found;
    }

    private static String page(String from, String to) throws IOException {
        String text = Files.readString(Path.of("docs", "OPERATORS.md"));
        return text.substring(text.indexOf(from), to == null ? text.length() : text.indexOf(to));
    }

    @Test
    public void thePageListsEveryKey() throws IOException {
        Set<String> keys =
                found("(?m)^#([a-z_]+) = ", Files.readString(Path.of("deploy", "operator.toml")));
        assertTrue(keys.size() > 10);
        String row = "(?m)^\\| (?:`\\[+[\\w.]+\\]+`)? ?\\| `([a-z_]+)` \\|";
        assertEquals(found(row, page("## Keys", "## Signals")), keys);
    }

    @Test
    public void thePageListsEveryEvent() throws IOException {
        Set<String> events = new TreeSet<>();
        for (String module : new String[] {"core", "daemon"}) {
            try (Stream<Path> files = Files.walk(Path.of(module, "src", "main"))) {
                for (Path file : files.filter(f -> f.toString().endsWith(".java")).toList()) {
                    String code = Files.readString(file).replaceAll("(?m)^ *(\\*|//).*$", "");
                    events.addAll(found("\\.(?:debug|info|warn|fault)\\(\"([a-z_.]+)\"", code));
                    events.addAll(found("start\\(Level\\.\\w+, \"([a-z_.]+)\"", code));
                }
            }
        }
        assertTrue(events.size() > 10);
        assertEquals(
                found("(?m)^\\| `([a-z_.]+)` \\| [A-Z]+ \\|", page("## The log", null)), events);
    }
}
