package cedarrudder.lab.docs;

import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

/**
 * A command and the output that its page shows.
 *
 * @param shown lines; "..." stands for any text in a line, and as a line of its own for any lines
 */
record Step(String command, List<String> shown) {

    private static final String ANY = "...";
    private static final String PROMPT = "$ ";

    /**
     * The steps of a block: each command of a console with its output, or all of a script as one.
     */
    static List<Step> of(Block block) {
        if (!block.language().equals("console")) {
            return List.of(new Step(block.text().stripTrailing(), List.of(ANY)));
        }
        boolean folded = block.marks().containsKey("folded");
        List<Step> steps = new ArrayList<>();
        StringBuilder command = new StringBuilder();
        for (String line : block.text().lines().toList()) {
            if (line.startsWith(PROMPT) || command.length() > 0) {
                command.append(
                        command.length() > 0 ? "\n" + line : line.substring(PROMPT.length()));
                if (!line.endsWith("\\")) {
                    steps.add(new Step(command.toString(), new ArrayList<>()));
                    command.setLength(0);
                }
            } else if (steps.isEmpty()) {
                throw new AssertionError(block.place() + ": found output before the first command");
            } else {
                List<String> shown = steps.get(steps.size() - 1).shown;
                if (folded && line.startsWith(" ") && !shown.isEmpty()) {
                    shown.add(shown.remove(shown.size() - 1) + line.strip());
                } else {
                    shown.add(line);
                }
            }
        }
        return steps;
    }

    boolean matches(String said) {
        StringBuilder pattern = new StringBuilder();
        for (String line : shown) {
            pattern.append(
                    line.strip().equals(ANY)
                            ? "(?:.*\n)*?"
                            : Pattern.compile(ANY, Pattern.LITERAL)
                                            .splitAsStream(line.stripTrailing() + "\0")
                                            .map(part -> part.replace("\0", ""))
                                            .map(Pattern::quote)
                                            .collect(Collectors.joining(".*"))
                                    + "[ \t\r]*\n");
        }
        String whole = said.isEmpty() || said.endsWith("\n") ? said : said + "\n";
        return Pattern.matches(pattern.toString(), whole);
    }
}
