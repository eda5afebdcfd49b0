package cedarrudder.lab.emulator;

import cedarrudder.lab.model.Model;
import cedarrudder.lab.model.Node;
import cedarrudder.lab.model.Run;
import cedarrudder.lab.model.Streams;
import cedarrudder.lab.scenario.Scenario.Wire;
import cedarrudder.lab.scenario.Scenario.WireTrouble;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

/** Plays what a scenario has for sockets to go wrong. Whom it strikes is drawn ahead. */
final class WireFaults {

    private static final List<WireTrouble> SPOIL =
            List.of(
                    WireTrouble.GARBLE,
                    WireTrouble.TOO_LONG,
                    WireTrouble.TOO_SHORT,
                    WireTrouble.ENDLESS,
                    WireTrouble.INTERIM_FLOOD,
                    WireTrouble.SECOND_COPY,
                    WireTrouble.RESET_AFTER);

    /** Sources of chance below this index belong to the model's faults. */
    private static final int SOURCES = 1 << 20;

    private final Emulation emulation;
    private final Map<WireTrouble, Map<Node, Integer>> active = new EnumMap<>(WireTrouble.class);

    WireFaults(Emulation emulation) {
        this.emulation = emulation;
        for (WireTrouble trouble : WireTrouble.values()) {
            active.put(trouble, new HashMap<>());
        }
    }

    /** Whether a trouble strikes a node now. */
    boolean on(Node node, WireTrouble trouble) {
        return active.get(trouble).getOrDefault(node, 0) > 0;
    }

    /** What spoils a node's answers now; null: nothing. */
    WireTrouble spoils(Node node) {
        for (WireTrouble trouble : SPOIL) {
            if (on(node, trouble)) {
                return trouble;
            }
        }
        return null;
    }

    /** Draws all of them and schedules them. */
    void schedule() {
        Run run = emulation.run();
        List<Wire> wires = run.scenario.wires();
        for (int i = 0; i < wires.size(); i++) {
            Wire wire = wires.get(i);
            RandomGenerator random = run.streams.of(Streams.Concern.FAULTS, SOURCES + i);
            long begins = Model.START + (long) wire.at().draw(random) - emulation.now();
            long length = (long) wire.length().draw(random);
            double part = wire.part().draw(random);
            if (wire.trouble().ofProxies()) {
                strikeProxies(wire.trouble(), begins, length, part, random);
            } else {
                for (Node node : struck(run.nodesOf(wire.tier()), part, random)) {
                    emulation.after(begins, () -> count(node, wire.trouble(), 1));
                    emulation.after(begins + length, () -> count(node, wire.trouble(), -1));
                }
            }
        }
    }

    private void count(Node node, WireTrouble trouble, int change) {
        active.get(trouble).merge(node, change, Integer::sum);
        emulation.side(node).look();
    }

    private void strikeProxies(
            WireTrouble trouble, long begins, long length, double part, RandomGenerator random) {
        List<EmulatedProxy> all =
                emulation.proxies().stream().filter(each -> each.tier == 0).toList();
        List<EmulatedProxy> struck = struck(all, part, random);
        for (int i = 0; i < struck.size(); i++) {
            EmulatedProxy proxy = struck.get(i);
            emulation.after(
                    begins + i * length / struck.size(),
                    trouble == WireTrouble.TERMINATE ? proxy::restart : proxy::moveDiscovery);
        }
    }

    /** This many of them, at least one, as chance has it. */
    private static <T> List<T> struck(List<T> all, double part, RandomGenerator random) {
        List<T> left = new ArrayList<>(all);
        List<T> some = new ArrayList<>();
        int count = (int) Math.min(all.size(), Math.max(1, Math.round(part * all.size())));
        for (int i = 0; i < count; i++) {
            some.add(left.remove(random.nextInt(left.size())));
        }
        return some;
    }
}
