package cedarrudder.lab.docs;

import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A code block of a page, as docs/TESTING.md describes them.
 *
 * @param line of its first fence, or of its first line where it is indented
 * @param info the info string; empty where there is none
 */
record Block(Path page, int line, String info, String text) {

    private static final Map<String, Set<String>> MARKS =
            Map.of(
                    "text",
                    Set.of(),
                    "console",
                    Set.of("not-run", "exit", "folded", "goes-on"),
                    "sh",
                    Set.of("not-run"),
                    "toml",
                    Set.of("not-run", "file", "as"),
                    "json",
                    Set.of("not-run", "file"),
                    "csv",
                    Set.of("not-run", "file"),
                    "java",
                    Set.of("not-run"),
                    "http",
                    Set.of("not-run"));
    private static final Set<String> COMMANDS = Set.of("console", "sh");
    private static final Set<String> FILES = Set.of("operator", "plan");
    private static final Pattern INFO = Pattern.compile("([a-z]*)((?: +[a-z-]+(?:=\"[^\"]*\")?)*)");
    private static final Pattern MARK = Pattern.compile("([a-z-]+)(?:=\"([^\"]*)\")?");

    String place() {
        return page + ":" + line;
    }

    String language() {
        Matcher matcher = INFO.matcher(info);
        return matcher.matches() ? matcher.group(1) : "";
    }

    /** The marks behind the language; those without a value have the empty one. */
    Map<String, String> marks() {
        Map<String, String> marks = new LinkedHashMap<>();
        Matcher mark = MARK.matcher(info.substring(language().length()));
        while (mark.find()) {
            marks.put(mark.group(1), mark.group(2) == null ? "" : mark.group(2));
        }
        return marks;
    }

    boolean isRun() {
        return COMMANDS.contains(language()) && !marks().containsKey("not-run");
    }

    /** What is wrong with the block's marks, as a line with its place, or nothing. */
    String problem(List<Block> all) {
        Set<String> known = MARKS.get(language());
        if (known == null) {
            return place()
                    + ": found the info string '"
                    + info
                    + "'; allowed: one that starts with one of "
                    + MARKS.keySet().stream().sorted().toList();
        }
        Map<String, String> marks = marks();
        if (!known.containsAll(marks.keySet())) {
            return place()
                    + ": found the marks "
                    + marks.keySet()
                    + "; allowed with "
                    + language()
                    + ": "
                    + known.stream().sorted().toList();
        }
        if (marks.containsKey("not-run")) {
            return marks.get("not-run").length() < 10 ? place() + ": not-run without a reason" : "";
        }
        if (marks.containsKey("as") && !FILES.contains(marks.get("as"))) {
            return place() + ": found as=\"" + marks.get("as") + "\"; allowed: " + FILES;
        }
        String file = marks.get("file");
        String name = file == null ? "" : Path.of(file).getFileName().toString();
        if (file != null
                && all.stream()
                        .noneMatch(
                                block ->
                                        block.line > line
                                                && block.text.contains(name)
                                                && (block.isRun()
                                                        || block.marks().containsKey("file")))) {
            return place() + ": no later command or file of the page names the file " + file;
        }
        boolean used =
                isRun() || file != null || marks.containsKey("as") || language().equals("text");
        return used
                ? ""
                : place() + ": found an example that is neither run nor says why (not-run=\"...\")";
    }
}
