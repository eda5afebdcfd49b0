package cedarrudder.lab.membership;

import cedarrudder.membership.Member.State;
import cedarrudder.membership.MembershipSettings;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.HdrHistogram.Histogram;

/**
 * What it takes to find out who died: many die at once in a calm mesh, and each survivor is
 * watched.
 */
public final class FailureDetectionTrial {

    private static final long SECOND = 1_000_000_000L;

    /**
     * What came of some seeds.
     *
     * @param pairs a survivor and one that died
     * @param unseen of these, those in which the survivor had not found out at the end
     * @param p50 from the death until the survivor held it as dead, over pairs, seconds
     * @param falseDeaths times that an instance held one as dead that ran
     * @param bytesPerSecond of an instance, while all ran and none had just started, without
     *     headers of lower layers
     * @param messagesPerSecond the same in messages
     * @param maxInSecond the most messages of one instance in one second, dying and after included
     */
    public record Figures(
            int size,
            double loss,
            int seeds,
            long pairs,
            long unseen,
            double p50,
            double p99,
            double max,
            long falseDeaths,
            double bytesPerSecond,
            double messagesPerSecond,
            long maxInSecond) {}

    private final int size;
    private final SwimSimulation.Network network;
    private final double dying;
    private final MembershipSettings settings;
    private final double calmSeconds;
    private final double afterSeconds;
    private final Histogram millis = new Histogram(3);
    private int seeds;
    private long pairs;
    private long unseen;
    private long falseDeaths;
    private double bytes;
    private double messages;
    private long maxInSecond;

    /**
     * @param dying the share that dies at once
     * @param calmSeconds before that, in which all run; what they send is counted in the second
     *     half
     * @param afterSeconds after it
     */
    public FailureDetectionTrial(
            int size,
            SwimSimulation.Network network,
            double dying,
            MembershipSettings settings,
            double calmSeconds,
            double afterSeconds) {
        this.size = size;
        this.network = network;
        this.dying = dying;
        this.settings = settings;
        this.calmSeconds = calmSeconds;
        this.afterSeconds = afterSeconds;
    }

    /** Plays one seed. */
    public void play(long seed) {
        seeds++;
        SwimSimulation mesh = new SwimSimulation(size, network, settings, seed);
        long half = (long) (calmSeconds / 2 * SECOND);
        mesh.play(half);
        long bytesBefore = mesh.bytes();
        long messagesBefore = mesh.messages();
        mesh.play(half);
        bytes += (mesh.bytes() - bytesBefore) / (calmSeconds / 2) / size;
        messages += (mesh.messages() - messagesBefore) / (calmSeconds / 2) / size;
        SplittableRandom random = new SplittableRandom(seed ^ 0x5eed);
        Set<Integer> dead = new HashSet<>();
        while (dead.size() < Math.round(dying * size)) {
            dead.add(random.nextInt(size));
        }
        long diedAt = mesh.now();
        dead.forEach(mesh::kill);
        mesh.play((long) (afterSeconds * SECOND));
        maxInSecond = Math.max(maxInSecond, mesh.maxInSecond());
        Map<Long, Long> found = new HashMap<>();
        for (SwimSimulation.Change change : mesh.changes()) {
            int about = change.now().number();
            if (change.now().state() != State.DEAD) {
                continue;
            }
            boolean died = dead.contains(about) && change.at() >= diedAt;
            if (!died) {
                falseDeaths++;
            } else if (!dead.contains(change.observer())) {
                found.putIfAbsent((long) change.observer() << 32 | about, change.at());
            }
        }
        found.values().forEach(at -> millis.recordValue((at - diedAt) / 1_000_000));
        long all = (long) (size - dead.size()) * dead.size();
        pairs += all;
        unseen += all - found.size();
    }

    /** What was measured so far. */
    public Figures figures() {
        return new Figures(
                size,
                network.loss(),
                seeds,
                pairs,
                unseen,
                millis.getValueAtPercentile(50) / 1e3,
                millis.getValueAtPercentile(99) / 1e3,
                millis.getMaxValue() / 1e3,
                falseDeaths,
                bytes / seeds,
                messages / seeds,
                maxInSecond);
    }
}
