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
 * Measures how long the detection of failures takes and what it costs: many instances die at once
 * in a mesh without other faults, and the views of all survivors are recorded.
 */
public final class FailureDetectionTrial {

    private static final long SECOND = 1_000_000_000L;

    /**
     * The results of some seeds.
     *
     * @param pairs the number of pairs of a survivor and an instance that died
     * @param unseen the number of those pairs in which the survivor had not detected the death at
     *     the end
     * @param p50 from the death until the survivor marked the instance as dead, over pairs, in
     *     seconds
     * @param falseDeaths how often an instance marked a running one as dead
     * @param bytesPerSecond sent by an instance while all run and none has just started, without
     *     the headers of lower layers
     * @param messagesPerSecond the same in messages
     * @param maxInSecond the maximum number of messages that one instance sent in one second,
     *     including the time of the deaths and after
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
    private final double dyingFraction;
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
     * Creates a trial without any results.
     *
     * @param dyingFraction the fraction of instances that die at once
     * @param calmSeconds how long all instances run before that; what they send is counted in the
     *     second half of this time
     * @param afterSeconds how long the simulation continues after the deaths
     */
    public FailureDetectionTrial(
            int size,
            SwimSimulation.Network network,
            double dyingFraction,
            MembershipSettings settings,
            double calmSeconds,
            double afterSeconds) {
        this.size = size;
        this.network = network;
        this.dyingFraction = dyingFraction;
        this.settings = settings;
        this.calmSeconds = calmSeconds;
        this.afterSeconds = afterSeconds;
    }

    /** Simulates one seed and adds its results. */
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
        while (dead.size() < Math.round(dyingFraction * size)) {
            dead.add(random.nextInt(size));
        }
        long diedAt = mesh.now();
        dead.forEach(mesh::kill);
        mesh.play((long) (afterSeconds * SECOND));
        maxInSecond = Math.max(maxInSecond, mesh.maxInSecond());
        Map<Long, Long> found = new HashMap<>();
        for (SwimSimulation.Change change : mesh.changes()) {
            int subject = change.now().number();
            if (change.now().state() != State.DEAD) {
                continue;
            }
            boolean died = dead.contains(subject) && change.at() >= diedAt;
            if (!died) {
                falseDeaths++;
            } else if (!dead.contains(change.observer())) {
                found.putIfAbsent((long) change.observer() << 32 | subject, change.at());
            }
        }
        found.values().forEach(at -> millis.recordValue((at - diedAt) / 1_000_000));
        long pairsOfSeed = (long) (size - dead.size()) * dead.size();
        pairs += pairsOfSeed;
        unseen += pairsOfSeed - found.size();
    }

    /** Returns the results so far. */
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
