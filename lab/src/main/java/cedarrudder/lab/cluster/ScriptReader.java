package cedarrudder.lab.cluster;

import cedarrudder.lab.attack.ScriptedNodes.Mood;
import cedarrudder.toml.BadFileException;
import cedarrudder.toml.Document;
import cedarrudder.toml.Table;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;

/** Reads a script from TOML, with all errors at once. */
public final class ScriptReader {

    private static final double MOST_SECONDS = 3_600;
    private static final double MOST_MILLIS = 1_000;
    private static final double MOST_LOSS = 0.9;
    private static final long MOST_OFFSET = 2_000_000_000_000L;
    private static final int MILLION = 1_000_000;

    private static final Set<Act> OF_COPIES = EnumSet.complementOf(
            EnumSet.of(Act.HEAL, Act.WEATHER, Act.NODES));

    private ScriptReader() { }

    /** @throws BadFileException with all that is wrong with it */
    public static Script read(Path file) throws BadFileException {
        return read(Document.read(file));
    }

    static Script read(Document document) throws BadFileException {
        Table root = document.root();
        int copies = (int) root.whole("copies", Script.LEAST, Script.MOST);
        int nodes = (int) root.whole("nodes", 1, Script.MOST_NODES, 3);
        long period = MILLION * root.whole("period_ms", 100, 10_000, 500);
        double length = root.number("length_s", 1, MOST_SECONDS);
        double settle = root.number("settle_s", 1, MOST_SECONDS, 60);
        List<Long> offsets = root.numbers("clock_offsets_ms", -MOST_OFFSET, MOST_OFFSET).stream()
                .map(Double::longValue).toList();
        List<Step> steps = new ArrayList<>();
        for (Table table : root.tables("step")) {
            steps.add(step(table, copies, nodes, length));
            table.done();
        }
        root.done();
        document.check();
        return new Script(copies, nodes, period, Script.nanos(length), Script.nanos(settle), offsets, steps);
    }

    private static Step step(Table table, int copies, int nodes, double length) {
        double at = table.number("at_s", 0, length);
        Act act = table.choice("do", Act.class, null);
        List<Integer> whom = OF_COPIES.contains(act) ? numbers(table, "copies", copies) : List.of();
        Weather weather = Weather.CALM;
        double lasts = 0;
        Mood mood = Mood.WELL;
        List<Integer> which = List.of();
        if (act == Act.WEATHER) {
            double[] delay = table.range("delay_ms", 0, MOST_MILLIS, new double[] {0.1, 1});
            weather = new Weather(table.number("loss", 0, MOST_LOSS, 0), table.number("doubled", 0, 1, 0),
                    table.number("late", 0, 1, 0), table.number("corrupted", 0, 1, 0),
                    (long) (delay[0] * MILLION), (long) (delay[1] * MILLION));
        } else if (act == Act.FLOOD) {
            lasts = table.number("length_s", 0.1, MOST_SECONDS);
            if (table.sound("at_s", "length_s") && at + lasts > length) {
                table.problem("length_s", Double.toString(lasts), "an end before the script's, at " + length);
            }
        } else if (act == Act.NODES) {
            mood = table.choice("mood", Mood.class, null);
            which = numbers(table, "nodes", nodes);
        }
        return new Step(Script.nanos(at), act, whom, weather, Script.nanos(lasts), mood, which);
    }

    /** Numbers of copies or nodes, from 0. */
    private static List<Integer> numbers(Table table, String key, int count) {
        List<Double> numbers = table.numbers(key, 0, count - 1);
        if (table.sound(key) && (numbers.isEmpty() || numbers.stream().anyMatch(n -> n != Math.rint(n)))) {
            table.problem(key, numbers.toString(), "whole numbers from 0 to " + (count - 1)
                    + ", one at the least");
        }
        return numbers.stream().map(Double::intValue).toList();
    }
}
