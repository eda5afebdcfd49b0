package cedarrudder.lab.cluster;

import cedarrudder.lab.attack.ScriptedNodes.Mood;
import java.util.List;

/**
 * One step of a script.
 *
 * @param at after the beginning, in nanoseconds
 * @param replicas whom it is about
 * @param leader it is about the replica that leads then, whichever that is
 * @param weather of {@link ScriptAction#WEATHER}; else calm
 * @param length of {@link ScriptAction#FLOOD}, in nanoseconds
 * @param mood and {@code nodes} of {@link ScriptAction#NODES}
 * @param sides of {@link ScriptAction#CUT}, {@link ScriptAction#MUTE} and {@link
 *     ScriptAction#DEAFEN}
 * @param call of {@link ScriptAction#CALL}; else null
 */
public record ScriptStep(
        long at,
        ScriptAction act,
        List<Integer> replicas,
        boolean leader,
        NetworkConditions weather,
        long length,
        Mood mood,
        List<Integer> nodes,
        NetworkPartition sides,
        OperatorCall call) {

    /** Copies the list. */
    public ScriptStep {
        replicas = List.copyOf(replicas);
        nodes = List.copyOf(nodes);
    }

    static ScriptStep of(double seconds, ScriptAction act, List<Integer> replicas) {
        return new ScriptStep(
                Script.nanos(seconds),
                act,
                replicas,
                false,
                NetworkConditions.CALM,
                0,
                Mood.WELL,
                List.of(),
                NetworkPartition.ALL,
                null);
    }

    static ScriptStep weather(double seconds, NetworkConditions weather) {
        return new ScriptStep(
                Script.nanos(seconds),
                ScriptAction.WEATHER,
                List.of(),
                false,
                weather,
                0,
                Mood.WELL,
                List.of(),
                NetworkPartition.ALL,
                null);
    }

    static ScriptStep flood(double seconds, int replica, double length) {
        return new ScriptStep(
                Script.nanos(seconds),
                ScriptAction.FLOOD,
                List.of(replica),
                false,
                NetworkConditions.CALM,
                Script.nanos(length),
                Mood.WELL,
                List.of(),
                NetworkPartition.ALL,
                null);
    }
}
