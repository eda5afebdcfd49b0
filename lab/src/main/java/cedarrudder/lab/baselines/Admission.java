package cedarrudder.lab.baselines;

import cedarrudder.balancer.BalancerSettings;
import cedarrudder.balancer.BalancerSettings.RequestClass;

/**
 * What the oracle rejects where clients enter, by worth. The share of their aims that recent
 * answers took tells how near to overload all tiers together are; the nearer, the more a request
 * must be worth to be taken. Without this the bound would be none in overload: all would be served,
 * and all too late. The limits were found by trying six sets of them on four scenarios of the lab,
 * 8 seeds each.
 */
final class Admission {

    /** Weight of the newest answer. */
    private static final double WEIGHT = 0.05;

    /** Where no answers come, what they said is forgotten over this time. */
    private static final double FORGET = 1e9;

    /**
     * What is over its tenant's share is taken while answers take less than this share of their
     * aims.
     */
    private static final double OVER_SHARE = 0.15;

    /** The same for a class that is worth nothing ... */
    private static final double MIN = 0.25;

    /** ... and for the class worth most. */
    private static final double MAX = 0.5;

    /** One answer counts as having taken this many times its aim at most. */
    private static final double LATEST = 2;

    /** A tenant may save up this many seconds of its share at a replica. */
    private static final double SHARE_SECONDS = 2;

    private final BalancerSettings settings;
    private final double bestWeight;
    private final double[] saved;
    private final long[] savedAt;
    private double used;
    private long usedAt;

    Admission(BalancerSettings settings) {
        this.settings = settings;
        this.bestWeight =
                settings.classes().stream()
                        .mapToDouble(RequestClass::priorityWeight)
                        .max()
                        .orElse(1);
        this.saved = new double[settings.tenants().size()];
        this.savedAt = new long[saved.length];
    }

    /** An attempt has ended; how long its request has taken by now counts, whatever the outcome. */
    void ended(long now, BaselineRequest call) {
        double share =
                Math.min(LATEST, (now - call.arrived) / (double) call.kind.latencyObjectiveNanos());
        used = used(now);
        used += WEIGHT * (share - used);
        usedAt = now;
    }

    private double used(long now) {
        return used * StrictMath.exp(-(now - usedAt) / FORGET);
    }

    boolean admits(long now, BaselineRequest call) {
        boolean over = overShare(now, call.request.tenant());
        return used(now)
                < (over ? OVER_SHARE : MIN + (MAX - MIN) * call.kind.priorityWeight() / bestWeight);
    }

    /** Whether a request is past its tenant's share, of which each replica takes an equal part. */
    private boolean overShare(long now, int tenant) {
        double quota = tenant < saved.length ? settings.tenants().get(tenant).quotaPerSecond() : 0;
        if (quota <= 0) {
            return false;
        }
        double rate = quota / Math.max(1, settings.replicas());
        saved[tenant] =
                Math.min(
                        Math.max(1, SHARE_SECONDS * rate),
                        saved[tenant] + rate * (now - savedAt[tenant]) / 1e9);
        savedAt[tenant] = now;
        if (saved[tenant] < 1) {
            return true;
        }
        saved[tenant]--;
        return false;
    }
}
