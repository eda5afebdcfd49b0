package cedarrudder.lab.cluster;

import cedarrudder.lab.checker.HistoryEvent;
import cedarrudder.lab.membership.SwimSimulation;
import cedarrudder.membership.MembershipSettings;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * The same state machines in virtual time under the same judge: deaths of up to 48 % at once and
 * their return, a cut that leaves two halves and heals, a replica that stands still, one that
 * leaves and comes back. One seed, one history.
 */
public final class VirtualRun {

    private static final long SECOND = 1_000_000_000L;
    private static final int MILLION = 1_000_000;
    private static final double MAX_KILLED = 0.48;
    private static final int HALT = 10;

    private final SwimSimulation mesh;
    private final List<HistoryEvent> events = new ArrayList<>();
    private final long[] incarnations;
    private int told;

    private VirtualRun(
            int replicas, SwimSimulation.Network network, MembershipSettings settings, long seed) {
        mesh = new SwimSimulation(replicas, network, settings, seed);
        incarnations = new long[replicas];
        tell(HistoryRecorder.NOBODY, "weather", Map.of("calm", network.loss() == 0 ? "1" : "0"));
        for (int i = 0; i < replicas; i++) {
            begin(i);
        }
    }

    /**
     * Plays one seed.
     *
     * @param settle seconds after the faults in which all have to agree
     */
    public static Verdict play(
            int replicas,
            SwimSimulation.Network network,
            MembershipSettings settings,
            long seed,
            int settle) {
        VirtualRun run = new VirtualRun(replicas, network, settings, seed);
        run.faults(replicas, new SplittableRandom(seed ^ 0x5eed));
        run.tell(HistoryRecorder.NOBODY, "over", Map.of());
        run.pass(settle);
        run.events.sort(
                Comparator.comparingLong(HistoryEvent::at)); // of one instant: as they were told
        return Verdict.of(
                run.events, run.mesh.now(), settings.period(), settle * SECOND, List.of());
    }

    private void faults(int replicas, SplittableRandom random) {
        pass(20);
        Set<Integer> dead = new HashSet<>();
        while (dead.size() < Math.max(1, (int) (MAX_KILLED * replicas))) {
            dead.add(random.nextInt(replicas));
        }
        dead.forEach(
                replica -> {
                    end(replica);
                    mesh.kill(replica);
                });
        pass(80 + random.nextInt(20)); // longer than a death may take to be found
        dead.forEach(this::back);
        pass(60);
        Set<Integer> half = new HashSet<>();
        while (half.size() < replicas / 2) {
            half.add(random.nextInt(replicas));
        }
        mesh.cut(half::contains);
        cut(half, "cut");
        pass(20 + random.nextInt(40));
        mesh.heal();
        cut(half, "healed");
        pass(60);
        int halts = random.nextInt(replicas);
        tell(halts, "stopped", Map.of());
        mesh.stall(halts, HALT * SECOND);
        pass(HALT);
        tell(halts, "continued", Map.of());
        pass(30);
        int leaves = random.nextInt(replicas);
        tell(leaves, "silent", Map.of());
        end(leaves);
        mesh.leave(leaves);
        pass(20);
        back(leaves);
    }

    private void cut(Set<Integer> half, String what) {
        for (int from = 0; from < incarnations.length; from++) {
            for (int to = 0; to < incarnations.length; to++) {
                if (half.contains(from) != half.contains(to)) {
                    tell(from, what, Map.of("to", Integer.toString(to)));
                }
            }
        }
    }

    private void back(int replica) {
        mesh.restart(replica, mesh.now() / MILLION);
        begin(replica);
    }

    private void begin(int replica) {
        incarnations[replica]++;
        tell(replica, "started", Map.of());
        tell(replica, "speaks", Map.of());
    }

    private void end(int replica) {
        tell(replica, "ended", Map.of());
    }

    private void tell(int replica, String what, Map<String, String> fields) {
        events.add(new HistoryEvent(mesh.now(), replica, incarnation(replica), what, fields));
    }

    /** A number that no other life of any replica has. */
    private long incarnation(int replica) {
        return replica < 0 ? 0 : (long) replica << 16 | incarnations[replica];
    }

    private void pass(int seconds) {
        mesh.play(seconds * SECOND);
        for (; told < mesh.changes().size(); told++) {
            SwimSimulation.Change change = mesh.changes().get(told);
            events.add(
                    new HistoryEvent(
                            change.at(),
                            change.observer(),
                            incarnation(change.observer()),
                            change.now().state().name().toLowerCase(Locale.ROOT),
                            Map.of(
                                    "about",
                                    Integer.toString(change.now().number()),
                                    "number",
                                    Long.toString(change.now().incarnation()))));
        }
    }
}
