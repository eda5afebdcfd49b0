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
 * Checks KNOWN-RED.txt, the list of tests that CI passes over and of scripts that it does not run:
 * an entry that names neither, or a test that is skipped anyway, would hide a failure.
 */
class KnownFailuresTest {

    private static final Path FILE = Path.of("KNOWN-RED.txt");

    /** The seed, what was seen, the issue. */
    private static final String DETAILS = ", seed [^:]+: [^:]+: issue \\d+";

    /** Class and method, the command, the details. */
    private static final Pattern TEST_ENTRY =
            Pattern.compile("(\\w+)\\.(\\w+): `mvn [^`]+`[^:]*" + DETAILS);

    /** The path of a script from the root of the repository, the command, the details. */
    private static final Pattern SCRIPT_ENTRY =
            Pattern.compile("((?:[\\w-]+/)*[\\w-]+\\.sh): `([^`]+)`[^:]*" + DETAILS);

    private static final String ALLOWED_FORMS =
            "'Class.method: `mvn …`, seed …: …: issue N' or"
                    + " 'path/of/script.sh: `… path/of/script.sh`, seed …: …: issue N'";

    private static final List<String> SKIPS =
            List.of("@Disabled", "@Ignore", "enabled = false", "SkipException", "Assumptions");

    /** Collects the problems of a list of entries. */
    private static final class EntryCheck {

        private final Path root;
        private final List<Path> sources;
        private final List<String> problems = new ArrayList<>();
        private int line;

        EntryCheck(Path root, List<Path> sources) {
            this.root = root;
            this.sources = sources;
        }

        List<String> problems(List<String> entries) throws IOException {
            for (String entry : entries) {
                line++;
                check(entry);
            }
            return problems;
        }

        private void check(String entry) throws IOException {
            Matcher test = TEST_ENTRY.matcher(entry);
            Matcher script = SCRIPT_ENTRY.matcher(entry);
            if (test.matches()) {
                checkTest(test.group(1), test.group(2));
            } else if (script.matches()) {
                checkScript(script.group(1), script.group(2));
            } else {
                report(entry, ALLOWED_FORMS);
            }
        }

        private void checkTest(String type, String method) throws IOException {
            List<Path> files =
                    sources.stream().filter(file -> file.endsWith(type + ".java")).toList();
            if (files.size() != 1) {
                report(files.size() + " sources of " + type, "one");
                return;
            }
            String text = Files.readString(files.get(0));
            if (!Pattern.compile("@Test[^;{]*void " + method + "\\(").matcher(text).find()) {
                report(method, "a test of " + files.get(0));
            }
            SKIPS.stream()
                    .filter(text::contains)
                    .forEach(skip -> report(skip + " in " + files.get(0), "no skip"));
        }

        private void checkScript(String script, String command) {
            if (!Files.isRegularFile(root.resolve(script))) {
                report(script, "a script of the repository");
            }
            if (!command.contains(script)) {
                report("`" + command + "`", "a command that runs " + script);
            }
        }

        private void report(String found, String allowed) {
            problems.add(FILE + ":" + line + ": found " + found + "; allowed: " + allowed);
        }
    }

    private static List<String> problems(List<String> entries, Path root, List<Path> sources)
            throws IOException {
        return new EntryCheck(root, sources).problems(entries);
    }

    @Test
    void eachEntryNamesATestThatOnlyThisFilePassesOverOrAScript() throws IOException {
        List<String> entries = Files.readAllLines(FILE);
        assertEquals(List.of(), problems(entries, Path.of(""), Sources.all()));
        assertEquals(entries.stream().distinct().toList(), entries);
    }

    @Test
    void findsEntriesOfAnotherFormMissingTestsAndSkippedOnes() throws IOException {
        Path folder = Files.createTempDirectory("known");
        Path test = folder.resolve("SampleTest.java");
        Files.writeString(test, "@Test\n    public void fails() throws Exception {}\n");
        List<Path> sources = List.of(test);
        String rest = ": `mvn -B verify`, seed none: it fails: issue 1";
        assertEquals(List.of(), problems(List.of("SampleTest.fails" + rest), folder, sources));
        assertEquals(1, problems(List.of("SampleTest.other" + rest), folder, sources).size());
        assertEquals(1, problems(List.of("OtherTest.fails" + rest), folder, sources).size());
        assertEquals(1, problems(List.of("SampleTest.fails: it fails"), folder, sources).size());
        Files.writeString(test, "@Disabled\n@Test\n    public void fails() {}\n");
        assertEquals(1, problems(List.of("SampleTest.fails" + rest), folder, sources).size());
    }

    @Test
    void findsMissingScriptsAndEntriesOfScriptsInAnotherForm() throws IOException {
        Path folder = Files.createTempDirectory("known");
        Files.createDirectories(folder.resolve("cases/1"));
        Files.writeString(folder.resolve("cases/1/run.sh"), "exit 1\n");
        String rest = ": `sh cases/1/run.sh`, seed 42: it fails: issue 1";
        assertEquals(List.of(), problems(List.of("cases/1/run.sh" + rest), folder, List.of()));
        assertEquals(
                List.of(
                        "KNOWN-RED.txt:2: found cases/2/run.sh; allowed: a script of the"
                                + " repository"),
                problems(
                        List.of("cases/1/run.sh" + rest, "cases/2/run.sh" + rest.replace('1', '2')),
                        folder,
                        List.of()));
        assertEquals(1, problems(List.of("cases/1" + rest), folder, List.of()).size());
        assertEquals(1, problems(List.of("/cases/1/run.sh" + rest), folder, List.of()).size());
        assertEquals(1, problems(List.of("../cases/1/run.sh" + rest), folder, List.of()).size());
        String noSeed = "cases/1/run.sh: `sh cases/1/run.sh`: it fails: issue 1";
        assertEquals(1, problems(List.of(noSeed), folder, List.of()).size());
        String otherCommand = "cases/1/run.sh: `true`, seed 42: it fails: issue 1";
        assertEquals(1, problems(List.of(otherCommand), folder, List.of()).size());
    }
}
