package cedarrudder.lab.baselines;

import cedarrudder.balancer.BalancerSettings.Limits;
import cedarrudder.balancer.LoadBalancer.Actions;
import cedarrudder.balancer.LoadBalancer.LoadReport;
import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.random.RandomGenerator;

/**
 * Round robin by weights w = q / u: the requests a second that a node gets over the share of its
 * cores that is busy, both smoothed. Source: the account of WRR in Wydrowski et al., "Load is not
 * what you should balance: Introducing Prequal", NSDI 2024; rules for nodes without a weight follow
 * gRPC's proposal A58.
 *
 * <p>Reports come by probes that are not tied to calls: each node once in {@link #ROUND}, or as
 * often as {@link #PROBES} a second allow. Where reports tell requests a second, that is q; else q
 * is what this replica sends there. Then the replicas' shares of a node are all alike only as long
 * as nothing drives them apart; so a weight counts as at most {@link #SPREAD} times the mean and at
 * least the mean over {@link #SPREAD} (ours). A node without a weight yet counts as the mean. Turns
 * go by earliest due time, the next one 1 / w later.
 */
final class WeightedRoundRobin implements Pick<WeightedRoundRobin.Turn> {

    /** Each node is to be asked for its load once in this time. */
    static final long ROUND = 5_000_000_000L;

    /** Probes a second of one replica at most. */
    static final double PROBES = 100;

    /** Weights are computed anew once in this time; gRPC's default. */
    static final long PERIOD = 1_000_000_000L;

    /** The time over which q and u are smoothed. */
    static final double SMOOTH = 10e9;

    /** A node has a weight after it was watched for this long; gRPC's blackout period. */
    static final long BLACKOUT = 10_000_000_000L;

    /** Below this share of busy cores a report says too little. */
    static final double MIN_BUSY = 0.01;

    static final double SPREAD = 4;

    /** Ticks in a period: probes are spread over it. */
    private static final int TICKS = 20;

    /** A node's turn and what its weight is made of. */
    static final class Turn {
        private final long since;
        private double weight;
        private double due;
        private boolean queued;
        private long sent;
        private double rate;
        private double reportedRate = Double.NaN;
        private double busy = Double.NaN;
        private long busyAt;

        private Turn(long since) {
            this.since = since;
        }
    }

    private final RandomGenerator random;
    private final Limits limits;

    /** By due time; of one time the node of lower number. */
    private final PriorityQueue<EndpointView<Turn>> turns =
            new PriorityQueue<>(
                    (a, b) ->
                            a.notes.due != b.notes.due
                                    ? Double.compare(a.notes.due, b.notes.due)
                                    : Long.compare(a.id, b.id));

    private final List<EndpointView<Turn>> passed = new ArrayList<>();
    private double time;
    private double mean = 1;
    private double probesDue;
    private int nextProbe;
    private int ticks;

    WeightedRoundRobin(Limits limits, RandomGenerator random) {
        this.limits = limits;
        this.random = random;
    }

    @Override
    public Turn fresh(long now) {
        return new Turn(now);
    }

    @Override
    public void changed(List<EndpointView<Turn>> ready) {
        turns.clear();
        for (EndpointView<Turn> member : ready) {
            if (!member.notes.queued) {
                // Somewhere in its first turn: this avoids replicas that go through the nodes in
                // step.
                member.notes.due = time + random.nextDouble() / weight(member.notes);
                member.notes.queued = true;
            }
            turns.add(member);
        }
    }

    private double weight(Turn turn) {
        return turn.weight == 0
                ? mean
                : Math.min(mean * SPREAD, Math.max(mean / SPREAD, turn.weight));
    }

    @Override
    public EndpointView<Turn> choose(long now, BaselineRequest call, Candidates<Turn> choice) {
        EndpointView<Turn> chosen = null;
        while (chosen == null && !turns.isEmpty()) {
            EndpointView<Turn> next = turns.poll();
            passed.add(next);
            chosen = choice.may(next) ? next : null;
        }
        for (EndpointView<Turn> member : passed) {
            // One that may not take this attempt loses its turn, so that it isn't owed many at once
            // later.
            time = member == chosen ? Math.max(time, member.notes.due) : time;
            member.notes.due = Math.max(time, member.notes.due) + 1 / weight(member.notes);
            turns.add(member);
        }
        passed.clear();
        return chosen;
    }

    @Override
    public void sent(long now, BaselineRequest call, EndpointView<Turn> to) {
        to.notes.sent++;
    }

    @Override
    public void reported(long now, EndpointView<Turn> of, LoadReport load) {
        Turn turn = of.notes;
        double retained = StrictMath.exp(-(now - turn.busyAt) / SMOOTH);
        turn.busy = smooth(turn.busy, load.utilization(), retained);
        turn.reportedRate = smooth(turn.reportedRate, load.requestsPerSecond(), retained);
        turn.busyAt = now;
    }

    private static double smooth(double old, double newest, double retained) {
        return Double.isNaN(newest)
                ? old
                : Double.isNaN(old) ? newest : old * retained + newest * (1 - retained);
    }

    @Override
    public long period() {
        return PERIOD / TICKS;
    }

    @Override
    public void tick(long now, List<EndpointView<Turn>> ready, Actions actions) {
        if (++ticks % TICKS == 0) {
            weigh(now, ready);
        }
        if (!limits.probing()) {
            return;
        }
        double each = (double) PERIOD / TICKS;
        probesDue += Math.min(ready.size() * each / ROUND, PROBES * each / 1e9);
        for (; probesDue >= 1 && !ready.isEmpty(); probesDue--) {
            actions.sendProbe(ready.get(nextProbe++ % ready.size()).id);
        }
    }

    private void weigh(long now, List<EndpointView<Turn>> ready) {
        double sum = 0;
        int weighed = 0;
        double retained = StrictMath.exp(-PERIOD / SMOOTH);
        for (EndpointView<Turn> member : ready) {
            Turn turn = member.notes;
            turn.rate = turn.rate * retained + turn.sent * 1e9 / PERIOD * (1 - retained);
            turn.sent = 0;
            double rate = Double.isNaN(turn.reportedRate) ? turn.rate : turn.reportedRate;
            boolean known = now - turn.since >= BLACKOUT && turn.busy >= MIN_BUSY && rate > 0;
            turn.weight = known ? rate / turn.busy : 0;
            sum += turn.weight;
            weighed += known ? 1 : 0;
        }
        if (weighed > 0) {
            mean = sum / weighed;
        }
    }
}
