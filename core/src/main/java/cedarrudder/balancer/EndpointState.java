package cedarrudder.balancer;

import cedarrudder.admission.EndpointConcurrencyLimit;
import cedarrudder.balancer.LoadBalancer.Endpoint;
import cedarrudder.balancer.LoadBalancer.EndpointStatus;
import cedarrudder.balancer.LoadBalancer.Outcome;
import cedarrudder.balancer.LoadBalancer.SafetyRules;

/**
 * What one copy knows of one endpoint: its own attempts there, how they ended, whether it is
 * silent, whether it drains, and how much this copy may still send it while it is cold.
 */
final class EndpointState {

    /** Weight of the newest outcome in the failure share: about the last five calls count. */
    private static final double FAILURE_WEIGHT = 0.2;

    /**
     * An endpoint is failing when more than this share of its recent calls failed ("mostly", see
     * DESIGN).
     */
    private static final double FAILING = 0.5;

    /**
     * The failure share is halved each time this long goes by, so that no verdict lasts for good.
     */
    private static final double FORGIVE_NANOS = 2e9;

    /** An endpoint that took no connection is taken to be out of them for this long. */
    private static final long CROWDED_NANOS = 300_000_000L;

    final long id;
    Endpoint listed;

    /**
     * Position in the ring of ready endpoints' order: the id, scrambled, so that neighbours are
     * unrelated.
     */
    final long order;

    /** Whether this copy probes it (see ProbePool). */
    boolean inRoster;

    /** Whether it is in another zone than this copy. */
    boolean far;

    /** This copy's own attempts that are out. */
    int inFlight;

    /** Whether a probe of this copy is out. */
    boolean probeOut;

    /** Whether the last probe got no answer. */
    boolean mute;

    /** When this copy last probed it. */
    long probedAt;

    /** This copy's own attempts that were out when it last probed. */
    int ownAtProbe;

    /**
     * Since when attempts have been out with nothing coming back; meaningless while none is out.
     */
    private long waitingSince;

    /**
     * Connections that this copy is likely to have open there, one for each attempt out at once.
     */
    private int open;

    /** Most attempts out at once since the last look at the connections. */
    private int peak;

    private long crowdedUntil = Long.MIN_VALUE;

    /** Whether nothing was sent to it since it started. */
    boolean untried = true;

    /** How many requests it may hold, and what it held for others when it last reported. */
    final EndpointConcurrencyLimit hold;

    /**
     * Those of the attempts out whose requests are still being written: the endpoint has not begun
     * them.
     */
    int uploads;

    private double latency;

    private double failureShare;
    private long failureAt;

    /**
     * What may be sent while cold, in mean requests; a send needs it to be positive and may
     * overdraw it.
     */
    private double allowance;

    private long allowanceAt;

    /**
     * Begins one life of an endpoint: a restart begins another. Its cold-start budget begins
     * somewhere between nothing and one request in debt. Guards against every copy spending a first
     * request at once: over many copies the first sends then come spread out at the budget's rate.
     *
     * @param heldStart how many requests it may hold until more is known of it; 0: any number
     * @param firstDraw where its budget begins, from 0 to 1
     */
    EndpointState(Endpoint listed, long now, double heldStart, double firstDraw) {
        this.allowance = -firstDraw;
        this.allowanceAt = now;
        this.hold = new EndpointConcurrencyLimit(heldStart);
        this.id = listed.id();
        this.order = scramble(listed.id());
        this.listed = listed;
    }

    static long scramble(long id) {
        long z = id * 0x9E3779B97F4A7C15L;
        z = (z ^ (z >>> 30)) * 0xBF58476D1CE4E5B9L;
        z = (z ^ (z >>> 27)) * 0x94D049BB133111EBL;
        return z ^ (z >>> 31);
    }

    boolean ready() {
        return listed.state() == EndpointStatus.READY;
    }

    boolean cold(long now, SafetyRules safety) {
        return listed.startedAt() != 0 && now - listed.startedAt() < safety.rampTime();
    }

    /** The share of its whole capacity that it has, at the least. */
    double capacity(long now, SafetyRules safety) {
        double ramp = Math.max(0, now - listed.startedAt()) / (double) safety.rampTime();
        return cold(now, safety) ? safety.coldShare() + (1 - safety.coldShare()) * ramp : 1;
    }

    /**
     * Whether the slow-start budget, a token bucket, has room for a send. It fills with the load
     * that one warm endpoint bears from this copy, in mean requests a second: no endpoint bears
     * more than it can do. Half a window's part is saved up at most; where that is under one
     * request, a turn not used passes by. Guards against all copies together: those that have
     * waited would send their one request at once.
     */
    boolean withinColdBudget(
            long now, double warmRate, BalancerParameters tuning, SafetyRules safety) {
        double planned =
                tuning.get(BalancerParameters.Parameter.COLD_SHARE_USED) * safety.fallMultiple();
        double rate = planned * capacity(now, safety) * warmRate;
        double max = rate * safety.fallWindow() / 1e9 / 2;
        double over = allowance + rate * (now - allowanceAt) / 1e9 - max;
        allowance = max + (over <= 0 ? over : max < 1 ? over % 1 - 1 : 0);
        allowanceAt = now;
        return allowance >= 0;
    }

    void sent(long now, double cost) {
        untried = false;
        waitingSince = inFlight++ == 0 ? now : waitingSince;
        open = Math.max(open, inFlight);
        peak = Math.max(peak, inFlight);
        allowance -= cost;
    }

    void ended(long now, Outcome outcome) {
        inFlight--;
        if (outcome == Outcome.CONNECT_FAILED) {
            open = Math.max(inFlight, open - 1);
            crowdedUntil = now + CROWDED_NANOS;
        }
        if (outcome == Outcome.CANCELLED || outcome == Outcome.MOOT) {
            return; // says nothing of the endpoint
        }
        waitingSince = outcome == Outcome.TIMEOUT ? waitingSince : now;
        judge(now, outcome == Outcome.OK);
    }

    private void judge(long now, boolean good) {
        double share = failureShare(now);
        failureShare = share + FAILURE_WEIGHT * ((good ? 0 : 1) - share);
        failureAt = now;
    }

    /**
     * An answer that had begun, and counts as good, broke off: it weighs as two, to make up for
     * that. One of a former life says nothing of this.
     */
    void brokeOff(long now, long sentAt) {
        for (int i = 0; i < 2 && sentAt >= listed.startedAt(); i++) {
            judge(now, false);
        }
    }

    private double failureShare(long now) {
        return failureShare == 0
                ? 0
                : failureShare * Math.pow(2, -(now - failureAt) / FORGIVE_NANOS);
    }

    /**
     * Guards against sinkholes: an endpoint that fails fast holds little and would draw ever more.
     */
    boolean failing(long now) {
        return failureShare(now) > FAILING;
    }

    /** Whether it may be given one more request. */
    boolean room(long now, int replicas) {
        return hold.room(hold.held(now, inFlight - uploads, replicas));
    }

    /**
     * Takes in how long a good answer took, and the work that it was said to need; before {@link
     * #ended}.
     */
    void answered(long now, int replicas, long latency, long work) {
        hold.answered(hold.held(now, inFlight - uploads, replicas), latency, work);
    }

    /** The latency it reports, smoothed: the newest has this weight. */
    double reportedLatency(double newest, double weight) {
        latency = latency == 0 ? newest : latency + weight * (newest - latency);
        return latency;
    }

    /** Whether a send would have to open a connection. */
    boolean needsConnection() {
        return inFlight >= open;
    }

    /**
     * Guards against waiting, time after time, for a connection that an endpoint has no room for.
     */
    boolean crowded(long now) {
        return now < crowdedUntil && needsConnection();
    }

    /**
     * Whether more connections are open than were of use since the last look; if so, they can be
     * closed.
     */
    boolean trim() {
        boolean surplus = open > Math.max(1, peak);
        peak = inFlight;
        return surplus;
    }

    /** Counts the idle connections as closed. */
    void closed() {
        open = inFlight;
    }

    /**
     * Guards against endpoints that take requests and answer none, though they may still answer
     * probes.
     */
    boolean silent(long now, long patience) {
        return inFlight > uploads && now - waitingSince > patience;
    }
}
