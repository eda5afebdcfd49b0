package cedarrudder.lab.baselines;

import cedarrudder.balancer.BalancerSettings.SafetyRules;
import cedarrudder.balancer.LoadBalancer.Endpoint;
import cedarrudder.balancer.LoadBalancer.EndpointStatus;

/**
 * What a rival knows of one node: its line of the list, the attempts it has out there, what it may
 * still send it while it is cold, and what its pick notes of it.
 *
 * @param <S> the pick's own notes
 */
final class EndpointView<S> {

    /** Part of the cold budget that is used, as in the balancer; the rest is for chance. */
    private static final double COLD_SHARE_USED = 0.5;

    final long id;
    Endpoint listed;

    /** The pick's notes; new ones after a restart of the node. */
    S notes;

    /** Whether it is among the ready. */
    boolean inReady;

    /** This replica's own attempts that are out. */
    int inFlight;

    /**
     * What may be sent while cold, in mean requests: a send needs it not negative, and may overdraw
     * it.
     */
    private double allowance;

    private long allowanceAt;

    EndpointView(Endpoint listed) {
        this.id = listed.id();
        this.listed = listed;
    }

    boolean ready() {
        return listed.status() == EndpointStatus.READY;
    }

    /**
     * Begins the cold budget in debt, by a draw from 0 to 1: the first sends of many replicas
     * spread out.
     */
    void startCold(long now, double debt) {
        allowance = -debt;
        allowanceAt = now;
    }

    boolean cold(long now, SafetyRules safety) {
        return listed.startedAt() != 0 && now - listed.startedAt() < safety.slowStartNanos();
    }

    /**
     * Whether a cold node may get one more.
     *
     * @param warmRate what a warm node gets from this replica, in mean requests a second
     */
    boolean withinColdBudget(long now, double warmRate, SafetyRules safety) {
        double ramp = Math.max(0, now - listed.startedAt()) / (double) safety.slowStartNanos();
        double capacity = safety.coldCapacityShare() + (1 - safety.coldCapacityShare()) * ramp;
        double rate = COLD_SHARE_USED * safety.overloadMultiple() * capacity * warmRate;
        double max = rate * safety.overloadWindowNanos() / 1e9 / 2;
        allowance = Math.min(max, allowance + rate * (now - allowanceAt) / 1e9);
        allowanceAt = now;
        return allowance >= 0;
    }

    void sent(double cost) {
        inFlight++;
        allowance -= cost;
    }
}
