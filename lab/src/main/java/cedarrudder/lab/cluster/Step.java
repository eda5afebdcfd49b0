package cedarrudder.lab.cluster;

import cedarrudder.lab.attack.ScriptedNodes.Mood;
import java.util.List;

/**
 * One step of a script.
 *
 * @param at after the beginning, in nanoseconds
 * @param copies whom it is about
 * @param weather of {@link Act#WEATHER}; else calm
 * @param length of {@link Act#FLOOD}, in nanoseconds
 * @param mood of {@link Act#NODES}
 * @param nodes of it, and those on the side of {@code copies} in {@link Act#CUT}
 * @param call of {@link Act#CALL}; else null
 */
public record Step(long at, Act act, List<Integer> copies, Weather weather, long length, Mood mood,
        List<Integer> nodes, OperatorCall call) {

    public Step {
        copies = List.copyOf(copies);
        nodes = List.copyOf(nodes);
    }

    static Step of(double seconds, Act act, List<Integer> copies) {
        return new Step(Script.nanos(seconds), act, copies, Weather.CALM, 0, Mood.WELL, List.of(), null);
    }

    static Step weather(double seconds, Weather weather) {
        return new Step(Script.nanos(seconds), Act.WEATHER, List.of(), weather, 0, Mood.WELL, List.of(), null);
    }
}
