package cedarrudder.lab.cluster;

import cedarrudder.lab.attack.ScriptedNodes.Mood;
import java.util.List;

/**
 * One step of a script.
 *
 * @param at after the beginning, in nanoseconds
 * @param copies whom it is about
 * @param leader it is about the copy that leads then, whichever that is
 * @param weather of {@link Act#WEATHER}; else calm
 * @param length of {@link Act#FLOOD}, in nanoseconds
 * @param mood and {@code nodes} of {@link Act#NODES}
 * @param sides of {@link Act#CUT}, {@link Act#MUTE} and {@link Act#DEAFEN}
 * @param call of {@link Act#CALL}; else null
 */
public record Step(
        long at,
        Act act,
        List<Integer> copies,
        boolean leader,
        Weather weather,
        long length,
        Mood mood,
        List<Integer> nodes,
        Sides sides,
        OperatorCall call) {

    public Step {
        copies = List.copyOf(copies);
        nodes = List.copyOf(nodes);
    }

    static Step of(double seconds, Act act, List<Integer> copies) {
        return new Step(
                Script.nanos(seconds),
                act,
                copies,
                false,
                Weather.CALM,
                0,
                Mood.WELL,
                List.of(),
                Sides.ALL,
                null);
    }

    static Step weather(double seconds, Weather weather) {
        return new Step(
                Script.nanos(seconds),
                Act.WEATHER,
                List.of(),
                false,
                weather,
                0,
                Mood.WELL,
                List.of(),
                Sides.ALL,
                null);
    }

    static Step flood(double seconds, int copy, double length) {
        return new Step(
                Script.nanos(seconds),
                Act.FLOOD,
                List.of(copy),
                false,
                Weather.CALM,
                Script.nanos(length),
                Mood.WELL,
                List.of(),
                Sides.ALL,
                null);
    }
}
