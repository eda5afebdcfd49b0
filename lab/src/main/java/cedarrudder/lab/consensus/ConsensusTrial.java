package cedarrudder.lab.consensus;

import cedarrudder.consensus.ConsensusSettings;
import cedarrudder.consensus.LogPosition;
import cedarrudder.consensus.RaftNode;
import org.HdrHistogram.Histogram;

/**
 * What agreement takes when nothing else goes wrong: bytes, the time of a commit, and that of
 * another leader.
 */
public final class ConsensusTrial {

    private static final long SECOND = 1_000_000_000L;
    private static final long MILLI = 1_000_000L;
    private static final long STEP = 5 * MILLI;
    private static final long PATIENCE = 60 * SECOND;
    private static final int SPAN = 20;

    /**
     * What came of some seeds. Times are seconds, bytes are those of datagrams without headers of
     * lower layers.
     *
     * @param missed commits that not all replicas had loaded, or leaders that did not come, within
     *     a minute
     * @param commitP99 from the proposal until the last replica had loaded it, over commits
     * @param leaderP99 from the death of a leader until another leads, over deaths
     * @param ageP99 of the last sure contact that a replica knows, over replicas and seconds
     * @param idle bytes a replica a second, the mean of all replicas
     * @param maxIdle that of the replica that sent most
     * @param busy the same while something is committed each second
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
    private final int deathsOfSeed;
    private final Histogram commits = new Histogram(3);
    private final Histogram ages = new Histogram(3);
    private final Histogram leaders = new Histogram(3);
    private final double[] bytes = new double[4];
    private int seeds;
    private long missed;

    /**
     * @param contentBytes what is committed each second for {@value #SPAN} s
     * @param deathsOfSeed how many leaders are killed after that, one after another; each comes
     *     back with nothing
     */
    public ConsensusTrial(
            int size,
            ConsensusSimulation.Network network,
            ConsensusSettings settings,
            int contentBytes,
            int deathsOfSeed) {
        this.size = size;
        this.network = network;
        this.settings = settings;
        this.contentBytes = contentBytes;
        this.deathsOfSeed = deathsOfSeed;
    }

    /** Plays one seed. */
    public void play(long seed) {
        seeds++;
        ConsensusSimulation copies =
                new ConsensusSimulation(
                        size, network, settings, false, contentBytes, seed, RaftNode::new, null);
        copies.form(0);
        settle(copies);
        span(copies, 0, false);
        span(copies, 2, true);
        for (int i = 0; i < deathsOfSeed; i++) {
            settle(copies);
            int leader = copies.leader();
            long diedAt = copies.now();
            copies.kill(leader);
            while (copies.leadsSince() < diedAt && copies.now() - diedAt < PATIENCE) {
                copies.play(STEP);
            }
            missed += copies.leadsSince() < diedAt ? 1 : 0;
            leaders.recordValue((Math.max(copies.leadsSince(), diedAt) - diedAt) / MILLI);
            copies.play(3 * SECOND);
            copies.restart(leader);
        }
    }

    /**
     * Plays until a leader has all its voters and all replicas hold the same, and a little longer.
     */
    private void settle(ConsensusSimulation copies) {
        long from = copies.now();
        do {
            copies.play(SECOND);
        } while (copies.now() - from < PATIENCE
                && !(copies.leader() >= 0
                        && copies.agree()
                        && copies.view(copies.leader()).voters().size()
                                == Math.min(settings.voters(), size)));
        copies.play(3 * SECOND);
    }

    private void span(ConsensusSimulation copies, int at, boolean commits) {
        long[] before = new long[size];
        for (int i = 0; i < size; i++) {
            before[i] = copies.bytes(i);
        }
        for (int second = 0; second < SPAN; second++) {
            long from = copies.now();
            if (commits) {
                commit(copies);
            }
            copies.play(Math.max(0, from + SECOND - copies.now()));
            for (int i = 0; i < size; i++) {
                long age = copies.contactAge(i);
                ages.recordValue((age < 0 ? PATIENCE : age) / MILLI);
            }
        }
        double all = 0;
        double max = 0;
        for (int i = 0; i < size; i++) {
            double own = (copies.bytes(i) - before[i]) / (double) SPAN;
            all += own;
            max = Math.max(max, own);
        }
        bytes[at] += all / size;
        bytes[at + 1] += max;
    }

    private void commit(ConsensusSimulation copies) {
        long from = copies.now();
        int leader = copies.leader();
        LogPosition number = leader < 0 ? null : copies.propose(leader, new byte[contentBytes]);
        if (number == null) {
            missed++;
            return;
        }
        while (!copies.allLoaded(number) && copies.now() - from < PATIENCE) {
            copies.play(STEP);
        }
        missed += copies.allLoaded(number) ? 0 : 1;
        commits.recordValue((copies.now() - from) / MILLI);
    }

    /** What was measured so far. */
    public Figures figures() {
        return new Figures(
                size,
                network.loss(),
                seeds,
                missed,
                commits.getTotalCount(),
                at(commits, 50),
                at(commits, 99),
                commits.getMaxValue() / 1e3,
                leaders.getTotalCount(),
                at(leaders, 50),
                at(leaders, 99),
                leaders.getMaxValue() / 1e3,
                at(ages, 50),
                at(ages, 99),
                ages.getMaxValue() / 1e3,
                bytes[0] / seeds,
                bytes[1] / seeds,
                bytes[2] / seeds,
                bytes[3] / seeds);
    }

    private static double at(Histogram of, double percentile) {
        return of.getValueAtPercentile(percentile) / 1e3;
    }
}
