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
 * What passes again: some instances are in trouble for a time, and it is watched when all agree
 * after it.
 */
public final class TransientFaultTrial {

    /** What happens to those in trouble, from {@link #BEGINS} on for {@link #LASTS}. */
    public enum Kind {
        /** Two fifths and the others hear nothing of one another. */
        CUT(0.4),
        /** Two fifths hear nothing of the others, which hear them. */
        ONE_WAY(0.4),
        /** One hears nobody, and all hear it. */
        DEAF(0),
        /** A twentieth stands still; what comes meanwhile waits for it. */
        STALL(0.05),
        /**
         * Each second a few of one fifth end without a word, and start a second later under a new
         * life.
         */
        RESTARTS(0.2),
        /** Half are dead for all of that time; one that died starts at its end. */
        LATE(0.48);

        private final double share;

        Kind(double share) {
            this.share = share;
        }
    }

    /**
     * What came of some seeds.
     *
     * @param falseDeaths times that an instance held one as dead that ran and was in no trouble,
     *     except by one from which it was cut off
     * @param heldDead the same of those in trouble
     * @param p50 from the end until all that run held those that run as live, and no others, in
     *     seconds
     * @param never seeds in which that took longer than {@link #AFTER}
     * @param bytesPerSecond of an instance, while it lasted
     * @param maxInSecond the most messages of one instance in one second
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

    /** Seconds after which it begins, that it lasts, and that agreement is waited for. */
    public static final int BEGINS = 30;

    public static final int LASTS = 30;
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

    /** A trial of one kind of fault in a tier of this size. */
    public TransientFaultTrial(
            Kind kind, int size, SwimSimulation.Network network, MembershipSettings settings) {
        this.kind = kind;
        this.size = size;
        this.network = network;
        this.settings = settings;
    }

    /** Plays one seed. */
    public void play(long seed) {
        seeds++;
        SwimSimulation mesh = new SwimSimulation(size, network, settings, seed);
        mesh.play(BEGINS * SECOND);
        SplittableRandom random = new SplittableRandom(seed ^ 0x7e57);
        Set<Integer> inTrouble = new HashSet<>();
        while (inTrouble.size() < Math.max(1, Math.round(kind.share * size))) {
            inTrouble.add(random.nextInt(size));
        }
        long bytesBefore = mesh.bytes();
        suffer(mesh, List.copyOf(inTrouble));
        bytes += (double) (mesh.bytes() - bytesBefore) / LASTS / size;
        int checks = 0;
        while (!agreed(mesh) && checks < AFTER * CHECKS_PER_SECOND) {
            mesh.play(SECOND / CHECKS_PER_SECOND);
            checks++;
        }
        if (agreed(mesh)) {
            settled.add((double) checks / CHECKS_PER_SECOND);
        } else {
            never++;
        }
        maxInSecond = Math.max(maxInSecond, mesh.maxInSecond());
        boolean cut = kind == Kind.CUT || kind == Kind.ONE_WAY || kind == Kind.DEAF;
        for (SwimSimulation.Change change : mesh.changes()) {
            int about = change.now().number();
            if (change.now().state() != State.DEAD
                    || kind == Kind.LATE && inTrouble.contains(about)) {
                continue;
            }
            if (inTrouble.contains(about)) {
                heldDead++;
            } else if (!cut || !inTrouble.contains(change.observer())) {
                falseDeaths++;
            }
        }
    }

    private void suffer(SwimSimulation mesh, List<Integer> those) {
        Set<Integer> set = Set.copyOf(those);
        switch (kind) {
            case CUT -> mesh.cut(set::contains);
            case ONE_WAY, DEAF -> mesh.deafen(set::contains);
            case STALL -> those.forEach(each -> mesh.stall(each, LASTS * SECOND));
            case LATE -> those.forEach(mesh::kill);
            case RESTARTS -> restart(mesh, those);
        }
        if (kind != Kind.RESTARTS) {
            mesh.play(LASTS * SECOND);
        }
        mesh.heal();
        if (kind == Kind.LATE) {
            mesh.restart(those.get(0), SwimSimulation.LATER_INCARNATION);
        }
    }

    private static void restart(SwimSimulation mesh, List<Integer> those) {
        List<Integer> order = new ArrayList<>(those);
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

    /** Whether all that run hold those that run as live, and no others. */
    private static boolean agreed(SwimSimulation mesh) {
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

    /** What was measured so far. */
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
