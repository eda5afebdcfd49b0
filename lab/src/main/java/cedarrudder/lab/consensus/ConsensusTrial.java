package cedarrudder.lab.consensus;

import cedarrudder.consensus.ConsensusSettings;
import cedarrudder.consensus.LogPosition;
import cedarrudder.consensus.RaftNode;
import org.HdrHistogram.Histogram;

/**
 * Measures what consensus costs when nothing else goes wrong: bytes sent, the duration of a commit,
 * and the time until another leader is elected.
 */
public final class ConsensusTrial {

    private static final long SECOND = 1_000_000_000L;
    private static final long MILLI = 1_000_000L;
    private static final long STEP = 5 * MILLI;
    private static final long MAX_WAIT = 60 * SECOND;
    private static final int SPAN_SECONDS = 20;

    /**
     * The results of some seeds. Times are in seconds; bytes are those of datagrams without the
     * headers of lower layers.
     *
     * @param missed commits that not all replicas had applied, or leaders that were not elected,
     *     within a minute
     * @param commitP99 from the proposal until the last replica has applied it, over commits
     * @param leaderP99 from the death of a leader until another is elected, over deaths
     * @param ageP99 of the last leader contact that a replica knows of, over replicas and seconds
     * @param idle bytes per second that a replica sends, the mean of all replicas
     * @param maxIdle the same of the replica that sent most
     * @param busy as {@code idle}, while an entry is committed each second
     */
    public record Figures(
            int size,
            double loss,
            int seeds,
            long missed,
            long commits,
            double commitP50,
            double commitP99,
            double maxCommit,
            long deaths,
            double leaderP50,
            double leaderP99,
            double maxLeader,
            double ageP50,
            double ageP99,
            double maxAge,
            double idle,
            double maxIdle,
            double busy,
            double maxBusy) {}

    private final int size;
    private final ConsensusSimulation.Network network;
    private final ConsensusSettings settings;
    private final int contentBytes;
    private final int deathsPerSeed;
    private final Histogram commits = new Histogram(3);
    private final Histogram ages = new Histogram(3);
    private final Histogram leaders = new Histogram(3);
    private final double[] bytes = new double[4];
    private int seeds;
    private long missed;

    /**
     * Creates a trial without any results.
     *
     * @param contentBytes the size of the entry that is committed each second for {@value
     *     #SPAN_SECONDS} s
     * @param deathsPerSeed how many leaders are killed after that, one after another; each restarts
     *     without its state
     */
    public ConsensusTrial(
            int size,
            ConsensusSimulation.Network network,
            ConsensusSettings settings,
            int contentBytes,
            int deathsPerSeed) {
        this.size = size;
        this.network = network;
        this.settings = settings;
        this.contentBytes = contentBytes;
        this.deathsPerSeed = deathsPerSeed;
    }

    /** Simulates one seed and adds its results. */
    public void play(long seed) {
        seeds++;
        ConsensusSimulation simulation =
                new ConsensusSimulation(
                        size, network, settings, false, contentBytes, seed, RaftNode::new, null);
        simulation.form(0);
        settle(simulation);
        measureSpan(simulation, 0, false);
        measureSpan(simulation, 2, true);
        for (int i = 0; i < deathsPerSeed; i++) {
            settle(simulation);
            int leader = simulation.leader();
            long diedAt = simulation.now();
            simulation.kill(leader);
            while (simulation.leadsSince() < diedAt && simulation.now() - diedAt < MAX_WAIT) {
                simulation.play(STEP);
            }
            missed += simulation.leadsSince() < diedAt ? 1 : 0;
            leaders.recordValue((Math.max(simulation.leadsSince(), diedAt) - diedAt) / MILLI);
            simulation.play(3 * SECOND);
            simulation.restart(leader);
        }
    }

    /**
     * Runs the simulation until a leader has all its voters and all replicas agree, and for a few
     * seconds more.
     */
    private void settle(ConsensusSimulation simulation) {
        long from = simulation.now();
        do {
            simulation.play(SECOND);
        } while (simulation.now() - from < MAX_WAIT
                && !(simulation.leader() >= 0
                        && simulation.agree()
                        && simulation.view(simulation.leader()).voters().size()
                                == Math.min(settings.voters(), size)));
        simulation.play(3 * SECOND);
    }

    private void measureSpan(ConsensusSimulation simulation, int offset, boolean commits) {
        long[] before = new long[size];
        for (int i = 0; i < size; i++) {
            before[i] = simulation.bytes(i);
        }
        for (int second = 0; second < SPAN_SECONDS; second++) {
            long from = simulation.now();
            if (commits) {
                commit(simulation);
            }
            simulation.play(Math.max(0, from + SECOND - simulation.now()));
            for (int i = 0; i < size; i++) {
                long age = simulation.contactAge(i);
                ages.recordValue((age < 0 ? MAX_WAIT : age) / MILLI);
            }
        }
        double total = 0;
        double max = 0;
        for (int i = 0; i < size; i++) {
            double own = (simulation.bytes(i) - before[i]) / (double) SPAN_SECONDS;
            total += own;
            max = Math.max(max, own);
        }
        bytes[offset] += total / size;
        bytes[offset + 1] += max;
    }

    private void commit(ConsensusSimulation simulation) {
        long from = simulation.now();
        int leader = simulation.leader();
        LogPosition number = leader < 0 ? null : simulation.propose(leader, new byte[contentBytes]);
        if (number == null) {
            missed++;
            return;
        }
        while (!simulation.allLoaded(number) && simulation.now() - from < MAX_WAIT) {
            simulation.play(STEP);
        }
        missed += simulation.allLoaded(number) ? 0 : 1;
        commits.recordValue((simulation.now() - from) / MILLI);
    }

    /** Returns the results so far. */
    public Figures figures() {
        return new Figures(
                size,
                network.loss(),
                seeds,
                missed,
                commits.getTotalCount(),
                secondsAt(commits, 50),
                secondsAt(commits, 99),
                commits.getMaxValue() / 1e3,
                leaders.getTotalCount(),
                secondsAt(leaders, 50),
                secondsAt(leaders, 99),
                leaders.getMaxValue() / 1e3,
                secondsAt(ages, 50),
                secondsAt(ages, 99),
                ages.getMaxValue() / 1e3,
                bytes[0] / seeds,
                bytes[1] / seeds,
                bytes[2] / seeds,
                bytes[3] / seeds);
    }

    private static double secondsAt(Histogram histogram, double percentile) {
        return histogram.getValueAtPercentile(percentile) / 1e3;
    }
}
