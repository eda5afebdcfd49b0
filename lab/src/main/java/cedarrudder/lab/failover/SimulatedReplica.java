package cedarrudder.lab.failover;

import cedarrudder.balancer.BalancerSettings.SafetyRules;
import cedarrudder.balancer.LoadBalancer.Endpoint;
import cedarrudder.balancer.LoadBalancer.EndpointListKind;
import cedarrudder.balancer.LoadBalancer.EndpointStatus;
import cedarrudder.balancer.LoadBalancer.LoadReport;
import cedarrudder.balancer.LoadBalancer.Outcome;
import cedarrudder.failover.ZoneTrafficCounter;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;

/**
 * What a replica does with calls: a zone by its shares, in it the less busy of two nodes, a repeat
 * where nothing can have run twice. It stands in for the balancer, and does the same whatever the
 * policy.
 */
final class SimulatedReplica {

    static final SafetyRules SAFETY =
            new SafetyRules(
                    2 * Site.SECOND,
                    SimulatedNode.COLD_SHARE,
                    SimulatedNode.RAMP,
                    SimulatedNode.FALL_MULTIPLE,
                    SimulatedNode.FALL_WINDOW,
                    0);

    private static final long CONNECT = 250 * Site.MILLI;

    /** A node that took no connection is left out for this long where there is another. */
    private static final long SHUNNED = Site.SECOND;

    /**
     * What replicas of a node's own zone, and all others, may send it while it is cold, of what it
     * can do.
     */
    private static final double NEAR_COLD = 1;

    private static final double FAR_COLD = 0.6;
    private static final int MAX_WAITING = 5_000;

    /** How an attempt ended. */
    record Ended(int zone, int node, Outcome outcome) {}

    final int number;
    final int zone;
    boolean up = true;

    /** The share of what it sends and is sent that is lost. */
    double broken;

    /** The part of its calls that each zone gets; what is left is refused by worth. */
    final double[] shares = new double[Site.ZONES];

    /** What a zone may get a second from this replica; 0: no bound. */
    final double[] bounds = new double[Site.ZONES];

    ZoneTrafficCounter tally;

    /** Attempts that ended since somebody looked, by zones: served, failed, silent. */
    final int[][] saw = new int[Site.ZONES][3];

    /** Hears how attempts end; or null. */
    Consumer<Ended> eyes;

    private final Site site;
    private final SplittableRandom random;
    private final boolean[] ready = new boolean[Site.ZONES * Site.NODES];
    private final long[] shunned = new long[ready.length];
    private final double[] allowance = new double[ready.length];
    private final long[] allowanceAt = new long[ready.length];
    private final double[] tokens = new double[Site.ZONES];
    private final long[] tokensAt = new long[Site.ZONES];
    private final Deque<Runnable> waiting = new ArrayDeque<>();
    private long stalledUntil;
    private int incarnation;

    SimulatedReplica(Site site, int number, int zone, SplittableRandom random) {
        this.site = site;
        this.number = number;
        this.zone = zone;
        this.random = random;
        Arrays.fill(ready, true);
        near();
    }

    /** All of its calls go to its own zone. */
    void near() {
        Arrays.fill(shares, 0);
        Arrays.fill(bounds, 0);
        shares[zone] = 1;
    }

    void told(List<Endpoint> entries) {
        for (Endpoint entry : entries) {
            ready[(int) entry.id()] = entry.status() == EndpointStatus.READY;
        }
        if (tally != null) {
            tally.onEndpoints(EndpointListKind.DELTA, entries);
        }
    }

    /** The process is gone, with its calls. */
    void dies() {
        up = false;
        incarnation++;
        waiting.clear();
        stalledUntil = 0;
    }

    void starts() {
        up = true;
        near();
    }

    boolean stalled() {
        return site.now() < stalledUntil;
    }

    void stalls(long length) {
        stalledUntil = site.now() + length;
        int of = incarnation;
        site.after(
                length,
                () -> {
                    if (of == incarnation && site.now() >= stalledUntil) {
                        while (!waiting.isEmpty()) {
                            waiting.remove().run();
                        }
                    }
                });
    }

    /** Does it now, or once it goes on where it stands still; not at all in another life. */
    private void run(int of, Runnable what) {
        if (of != incarnation || !up) {
            return;
        }
        if (site.now() < stalledUntil) {
            if (waiting.size() < MAX_WAITING) {
                waiting.add(what);
            }
        } else {
            what.run();
        }
    }

    private void later(long length, Runnable what) {
        int of = incarnation;
        site.after(length, () -> run(of, what));
    }

    // ---- calls ----

    void takes(SimulatedRequest call) {
        run(
                incarnation,
                () -> {
                    if (tally != null) {
                        tally.onRequest();
                    }
                    attempt(call);
                });
    }

    private void ends(SimulatedRequest call, boolean served) {
        if (call.over) {
            return;
        }
        call.over = true;
        if (served && site.now() <= call.deadline()) {
            site.total.served(call);
        } else if (tally != null) {
            tally.onUnserved();
        }
    }

    private void attempt(SimulatedRequest call) {
        int to = draw(call);
        SimulatedNode node = to < 0 || site.now() >= call.deadline() ? null : pick(to);
        if (node == null) {
            ends(call, false);
            return;
        }
        call.attempts++;
        site.total.sent(zone, to);
        Attempt attempt =
                new Attempt(
                        call, node, tally == null ? -1 : tally.onAttemptSent(site.now(), node.id));
        boolean lost = random.nextDouble() < broken;
        if (site.cut[zone][to] || !node.up && !lost) {
            later(CONNECT, () -> attempt.ended(Outcome.CONNECT_FAILED, Double.NaN));
        } else {
            later(
                    call.deadline() - site.now() + 1,
                    () -> attempt.ended(Outcome.TIMEOUT, Double.NaN));
            if (!lost) {
                site.after(Site.delay(zone, to), () -> node.arrives(attempt));
            }
        }
    }

    /** One attempt that is out. */
    private final class Attempt implements SimulatedNode.Asked {
        final SimulatedRequest call;
        final SimulatedNode node;
        final int counted;
        boolean over;

        Attempt(SimulatedRequest call, SimulatedNode node, int counted) {
            this.call = call;
            this.node = node;
            this.counted = counted;
        }

        private void answered(Outcome outcome, double load) {
            if (!site.cut[zone][node.zone]) {
                later(Site.delay(zone, node.zone), () -> ended(outcome, load));
            }
        }

        @Override
        public void served(double load) {
            answered(Outcome.OK, load);
        }

        @Override
        public void full(double load) {
            answered(Outcome.REJECTED, load);
        }

        void ended(Outcome outcome, double load) {
            if (over) {
                return;
            }
            over = true;
            if (tally != null) {
                tally.onAttemptEnded(
                        site.now(),
                        counted,
                        outcome,
                        new LoadReport(
                                Double.NaN, Double.NaN, load, Double.NaN, Double.NaN, Double.NaN));
            }
            switch (outcome) {
                case OK -> saw[node.zone][0]++;
                case TIMEOUT, CONNECT_FAILED -> saw[node.zone][2]++;
                default -> saw[node.zone][1]++;
            }
            if (eyes != null) {
                eyes.accept(new Ended(node.zone, node.id, outcome));
            }
            if (outcome == Outcome.CONNECT_FAILED) {
                shunned[node.id] = site.now() + SHUNNED;
            }
            if (outcome == Outcome.OK) {
                ends(call, true);
            } else if (!call.over
                    && call.attempts < SimulatedRequest.ATTEMPTS
                    && (call.safe || outcome.provesNotRun())) {
                attempt(call);
            } else {
                ends(call, false);
            }
        }
    }

    /** The zone that gets it; -1 where it is refused. The less it is worth the sooner it is. */
    private int draw(SimulatedRequest call) {
        double all = Arrays.stream(shares).sum();
        double unserved = Math.max(0, 1 - all);
        double refused =
                call.safe
                        ? unserved / SimulatedRequest.SAFE_SHARE
                        : (unserved - SimulatedRequest.SAFE_SHARE)
                                / (1 - SimulatedRequest.SAFE_SHARE);
        if (call.attempts == 0 && unserved > 1e-3 && random.nextDouble() < refused) {
            return -1;
        }
        double at = random.nextDouble() * all;
        for (int to = 0; to < shares.length; to++) {
            at -= shares[to];
            if (shares[to] > 0 && at <= 0) {
                return bounds[to] == 0 || token(to) ? to : -1;
            }
        }
        return -1;
    }

    private boolean token(int to) {
        double max = Math.max(2, bounds[to] / 2);
        tokens[to] = Math.min(max, tokens[to] + bounds[to] * (site.now() - tokensAt[to]) / 1e9);
        tokensAt[to] = site.now();
        if (tokens[to] < 1) {
            return false;
        }
        tokens[to]--;
        return true;
    }

    /** The less busy of two that may get one, which stands for what probes tell. */
    private SimulatedNode pick(int to) {
        List<SimulatedNode> may = new ArrayList<>();
        for (int i = to * Site.NODES; i < (to + 1) * Site.NODES; i++) {
            if (ready[i] && site.now() >= shunned[i] && withinColdBudget(site.nodes[i])) {
                may.add(site.nodes[i]);
            }
        }
        for (int i = to * Site.NODES; i < (to + 1) * Site.NODES && may.isEmpty(); i++) {
            if (ready[i] && withinColdBudget(site.nodes[i])) {
                may.add(site.nodes[i]);
            }
        }
        if (may.isEmpty()) {
            return null;
        }
        SimulatedNode one = may.get(random.nextInt(may.size()));
        SimulatedNode other = may.get(random.nextInt(may.size()));
        SimulatedNode node =
                one.held / one.listedAble() <= other.held / other.listedAble() ? one : other;
        allowance[node.id]--;
        return node;
    }

    /**
     * As the balancer holds to it: no replica alone, and not all together, send a cold node too
     * much.
     */
    private boolean withinColdBudget(SimulatedNode node) {
        double able = node.listedAble();
        if (able >= 1) {
            return true;
        }
        double rate =
                able
                        * SimulatedNode.RATE
                        * (node.zone == zone
                                ? NEAR_COLD / Site.REPLICAS
                                : FAR_COLD / (Site.REPLICAS * (Site.ZONES - 1)));
        allowance[node.id] =
                Math.min(
                        rate / 2,
                        allowance[node.id] + rate * (site.now() - allowanceAt[node.id]) / 1e9);
        allowanceAt[node.id] = site.now();
        return allowance[node.id] >= 0;
    }
}
