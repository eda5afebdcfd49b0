package cedarrudder.lab.membership;

import cedarrudder.membership.Member.State;
import cedarrudder.membership.MembershipSettings;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.IntStream;

/**
 * Measures the effect of temporary faults: some instances are affected for a time, and the trial
 * records how long after it all instances agree again.
 */
public final class TransientFaultTrial {

    /** The fault that affects some instances, from {@link #BEGINS} on for {@link #LASTS}. */
    public enum Kind {
        /** Two fifths of the instances and the others receive nothing from one another. */
        CUT(0.4),
        /**
         * Two fifths of the instances receive nothing from the others, which receive their
         * messages.
         */
        ONE_WAY(0.4),
        /** One instance receives nothing, and all others receive its messages. */
        DEAF(0),
        /** A twentieth of the instances is paused; messages that arrive meanwhile are buffered. */
        STALL(0.05),
        /**
         * Each second a few instances, one fifth in total, end without notice and start a second
         * later under a new incarnation.
         */
        RESTARTS(0.2),
        /**
         * About half of the instances are dead for the whole time; one of them restarts at its end.
         */
        LATE(0.48);

        private final double affectedFraction;

        Kind(double affectedFraction) {
            this.affectedFraction = affectedFraction;
        }
    }

    /**
     * The results of some seeds.
     *
     * @param falseDeaths how often an instance marked as dead one that ran and was not affected,
     *     unless the first was cut off from it
     * @param heldDead how often an instance marked an affected one as dead
     * @param p50 from the end of the fault until all running instances consider exactly the running
     *     ones live, in seconds
     * @param never the number of seeds in which that took longer than {@link #AFTER}
     * @param bytesPerSecond sent by an instance during the fault
     * @param maxInSecond the maximum number of messages that one instance sent in one second
     */
    public record Figures(
            Kind kind,
            int size,
            double loss,
            int seeds,
            long falseDeaths,
            long heldDead,
            double p50,
            double worst,
            int never,
            double bytesPerSecond,
            long maxInSecond) {}

    /** The time before the fault begins, in seconds. */
    public static final int BEGINS = 30;

    /** The duration of the fault, in seconds. */
    public static final int LASTS = 30;

    /** The maximum time to wait for agreement after the fault, in seconds. */
    public static final int AFTER = 180;

    private static final long SECOND = 1_000_000_000L;
    private static final int CHECKS_PER_SECOND = 10;

    private final Kind kind;
    private final int size;
    private final SwimSimulation.Network network;
    private final MembershipSettings settings;
    private final List<Double> settled = new ArrayList<>();
    private int seeds;
    private int never;
    private long falseDeaths;
    private long heldDead;
    private double bytes;
    private long maxInSecond;

    /** Creates a trial of one kind of fault in a tier of this size. */
    public TransientFaultTrial(
            Kind kind, int size, SwimSimulation.Network network, MembershipSettings settings) {
        this.kind = kind;
        this.size = size;
        this.network = network;
        this.settings = settings;
    }

    /** Simulates one seed and adds its results. */
    public void play(long seed) {
        seeds++;
        SwimSimulation mesh = new SwimSimulation(size, network, settings, seed);
        mesh.play(BEGINS * SECOND);
        SplittableRandom random = new SplittableRandom(seed ^ 0x7e57);
        Set<Integer> affected = new HashSet<>();
        while (affected.size() < Math.max(1, Math.round(kind.affectedFraction * size))) {
            affected.add(random.nextInt(size));
        }
        long bytesBefore = mesh.bytes();
        applyFault(mesh, List.copyOf(affected));
        bytes += (double) (mesh.bytes() - bytesBefore) / LASTS / size;
        int checks = 0;
        while (!allAgree(mesh) && checks < AFTER * CHECKS_PER_SECOND) {
            mesh.play(SECOND / CHECKS_PER_SECOND);
            checks++;
        }
        if (allAgree(mesh)) {
            settled.add((double) checks / CHECKS_PER_SECOND);
        } else {
            never++;
        }
        maxInSecond = Math.max(maxInSecond, mesh.maxInSecond());
        boolean cutsLinks = kind == Kind.CUT || kind == Kind.ONE_WAY || kind == Kind.DEAF;
        for (SwimSimulation.Change change : mesh.changes()) {
            int subject = change.now().number();
            if (change.now().state() != State.DEAD
                    || kind == Kind.LATE && affected.contains(subject)) {
                continue;
            }
            if (affected.contains(subject)) {
                heldDead++;
            } else if (!cutsLinks || !affected.contains(change.observer())) {
                falseDeaths++;
            }
        }
    }

    private void applyFault(SwimSimulation mesh, List<Integer> instances) {
        Set<Integer> set = Set.copyOf(instances);
        switch (kind) {
            case CUT -> mesh.cut(set::contains);
            case ONE_WAY, DEAF -> mesh.deafen(set::contains);
            case STALL -> instances.forEach(each -> mesh.stall(each, LASTS * SECOND));
            case LATE -> instances.forEach(mesh::kill);
            case RESTARTS -> restart(mesh, instances);
        }
        if (kind != Kind.RESTARTS) {
            mesh.play(LASTS * SECOND);
        }
        mesh.heal();
        if (kind == Kind.LATE) {
            mesh.restart(instances.get(0), SwimSimulation.LATER_INCARNATION);
        }
    }

    private static void restart(SwimSimulation mesh, List<Integer> instances) {
        List<Integer> order = new ArrayList<>(instances);
        Collections.sort(order);
        for (int second = 0; second < LASTS; second++) {
            List<Integer> now =
                    order.subList(
                            order.size() * second / LASTS, order.size() * (second + 1) / LASTS);
            now.forEach(mesh::kill);
            mesh.play(SECOND);
            now.forEach(each -> mesh.restart(each, SwimSimulation.LATER_INCARNATION));
        }
    }

    /** Returns whether all running instances consider exactly the running ones live. */
    private static boolean allAgree(SwimSimulation mesh) {
        return IntStream.range(0, mesh.size())
                .filter(mesh::runs)
                .allMatch(
                        i ->
                                IntStream.range(0, mesh.size())
                                        .allMatch(
                                                j ->
                                                        mesh.view(i).member(j).isLive()
                                                                == mesh.runs(j)));
    }

    /** Returns the results so far. */
    public Figures figures() {
        Collections.sort(settled);
        return new Figures(
                kind,
                size,
                network.loss(),
                seeds,
                falseDeaths,
                heldDead,
                settled.isEmpty() ? Double.NaN : settled.get(settled.size() / 2),
                settled.isEmpty() ? Double.NaN : settled.get(settled.size() - 1),
                never,
                bytes / seeds,
                maxInSecond);
    }
}
