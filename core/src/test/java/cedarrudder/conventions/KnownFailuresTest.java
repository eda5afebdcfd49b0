package cedarrudder.conventions;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;

/**
 * Checks KNOWN-RED.txt, the list of tests that CI passes over: an entry that names no test, or one
 * that is skipped anyway, would hide a failure.
 */
class KnownFailuresTest {

    private static final Path FILE = Path.of("KNOWN-RED.txt");

    /** Class and method, the command with its seed, what was seen, the issue. */
    private static final Pattern ENTRY =
            Pattern.compile("(\\w+)\\.(\\w+): `mvn [^`]+`[^:]*, seed [^:]+: [^:]+: issue \\d+");

    private static final List<String> SKIPS =
            List.of("@Disabled", "@Ignore", "enabled = false", "SkipException", "Assumptions");

    private static List<String> problems(List<String> entries, List<Path> sources)
            throws IOException {
        List<String> problems = new ArrayList<>();
        for (String entry : entries) {
            Matcher parts = ENTRY.matcher(entry);
            if (parts.matches()) {
                problems.addAll(problemsOfTest(parts.group(1), parts.group(2), sources));
            } else {
                problems.add(
                        "not of the form 'Class.method: `mvn …`, seed …: …: issue N': " + entry);
            }
        }
        return problems;
    }

    private static List<String> problemsOfTest(String type, String method, List<Path> sources)
            throws IOException {
        List<Path> files = sources.stream().filter(file -> file.endsWith(type + ".java")).toList();
        if (files.size() != 1) {
            return List.of(files.size() + " sources of " + type);
        }
        String text = Files.readString(files.get(0));
        List<String> problems = new ArrayList<>();
        if (!Pattern.compile("@Test[^;{]*void " + method + "\\(").matcher(text).find()) {
            problems.add("no test " + method + " in " + files.get(0));
        }
        SKIPS.stream()
                .filter(text::contains)
                .forEach(skip -> problems.add(skip + " in " + files.get(0)));
        return problems;
    }

    @Test
    void eachEntryNamesATestThatOnlyThisFilePassesOver() throws IOException {
        List<String> entries = Files.readAllLines(FILE);
        assertEquals(List.of(), problems(entries, Sources.all()));
        assertEquals(entries.stream().distinct().toList(), entries);
    }

    @Test
    void findsEntriesOfAnotherFormMissingTestsAndSkippedOnes() throws IOException {
        Path folder = Files.createTempDirectory("known");
        Path test = folder.resolve("SampleTest.java");
        Files.writeString(test, "@Test\n    public void fails() throws Exception {}\n");
        List<Path> sources = List.of(test);
        String rest = ": `mvn -B verify`, seed none: it fails: issue 1";
        assertEquals(List.of(), problems(List.of("SampleTest.fails" + rest), sources));
        assertEquals(1, problems(List.of("SampleTest.other" + rest), sources).size());
        assertEquals(1, problems(List.of("OtherTest.fails" + rest), sources).size());
        assertEquals(1, problems(List.of("SampleTest.fails: it fails"), sources).size());
        Files.writeString(test, "@Disabled\n@Test\n    public void fails() {}\n");
        assertEquals(1, problems(List.of("SampleTest.fails" + rest), sources).size());
    }
}
