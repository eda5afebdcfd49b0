package cedarrudder.failover;

import cedarrudder.failover.ZoneHealthSnapshot.ZoneHealth;
import cedarrudder.failover.ZoneHealthSnapshot.ZoneState;
import cedarrudder.routetable.RouteTable;

/**
 * The part of its own requests that one zone may get: the ceiling. A loss takes it to nothing,
 * rejections to what the zone can serve, and it recovers by steps.
 */
final class ZoneCeiling {

    /** A zone must be strained for this many periods before requests leave it for that. */
    static final int STRAIN_PERIODS = 3;

    /** A ceiling so near to 1 is 1. */
    private static final double FULL_CEILING_TOLERANCE = 0.06;

    /** In place of the instant since which something holds, where it does not. */
    private static final long NOT_NOW = Long.MAX_VALUE;

    /** In place of the instant of something that never happened. */
    private static final long NEVER = Long.MIN_VALUE / 2;

    private final FailoverSettings settings;
    private double ceiling = 1;
    private boolean isLimited;
    private boolean isLeft;
    private boolean isMoved;
    private boolean isEvacuated;
    private boolean wasCut;
    private long lostSince = NOT_NOW;
    private long strainedSince = NOT_NOW;
    private long overloadedSince = NOT_NOW;
    private long healthySince = NOT_NOW;
    private long returnHold;
    private long cutAt = NEVER;
    private long steppedAt = NEVER;

    ZoneCeiling(FailoverSettings settings) {
        this.settings = settings;
        this.returnHold = settings.returnHold();
    }

    /**
     * A new leader begins with what the table says, which is all that is known of a zone.
     *
     * @param previous what this replica knew when it led before
     * @param ownWeight the weight of the zone's own requests that it gets by the table
     * @param probeWeight that of the requests that go to a zone only to probe it
     */
    static ZoneCeiling resumed(
            FailoverSettings settings,
            long now,
            ZoneCeiling previous,
            int ownWeight,
            int probeWeight,
            boolean isLeft) {
        ZoneCeiling resumed = new ZoneCeiling(settings);
        resumed.returnHold = Math.max(settings.returnHold(), previous.returnHold);
        int reduced = RouteTable.TOTAL_WEIGHT - 2 * probeWeight - TrafficSplitPlanner.MIN_MOVE;
        if (ownWeight < reduced) {
            boolean isProbedOnly = ownWeight <= 2 * probeWeight;
            resumed.ceiling = isProbedOnly ? 0 : ownWeight / (double) RouteTable.TOTAL_WEIGHT;
            resumed.isLimited = true;
            resumed.isLeft = isLeft || resumed.ceiling == 0;
            resumed.isMoved = resumed.isLeft;
            resumed.cutAt = now;
            resumed.steppedAt = now;
        }
        return resumed;
    }

    // ---- state ----

    /** The part of its own requests that the zone may get, from 0 to 1. */
    double value() {
        return ceiling;
    }

    /** Whether its own requests are held to what it can serve. */
    boolean isLimited() {
        return isLimited;
    }

    /** Whether it was lost, and has not recovered fully yet. */
    boolean isLeft() {
        return isLeft;
    }

    /** Whether its requests go elsewhere because it was lost, and not because it is strained. */
    boolean isMoved() {
        return isMoved;
    }

    /** Whether an operator has it left. */
    boolean isEvacuated() {
        return isEvacuated;
    }

    /** Whether the ceiling came down at the last update. */
    boolean wasCut() {
        return wasCut;
    }

    /** When the ceiling was last changed, or held. */
    long steppedAt() {
        return steppedAt;
    }

    /** Whether it has been healthy since some earlier update. */
    boolean isHealthy() {
        return healthySince != NOT_NOW;
    }

    /** Whether it may serve requests of other zones. */
    boolean takesForeign(ZoneHealth zone) {
        return zone.state() == ZoneState.HEALTHY
                && !isEvacuated
                && !isLeft
                && ceiling >= 1
                && !zone.isStrained();
    }

    /** The rate that its own requests may come to there. */
    double ownRate(ZoneHealth zone) {
        double rate = ceiling * zone.demand();
        boolean bounded = isLimited && !zone.isUnreported();
        return bounded ? Math.min(rate, settings.nearShare() * zone.capacity()) : rate;
    }

    /** Whether it has been overloaded for some periods. */
    boolean isOverloaded(long now) {
        return now - overloadedSince >= STRAIN_PERIODS * settings.period();
    }

    /** It is overloaded now, or is not. */
    void setOverloaded(long now, boolean overloaded) {
        overloadedSince = since(overloaded, overloadedSince, now);
    }

    // ---- updates ----

    /**
     * Updates the ceiling by what is known of the zone now.
     *
     * @param number the zone's number
     * @param evacuated whether an operator has it left
     * @param currentShare the share of its own requests that it gets by the table: steps are from
     *     there
     */
    void update(long now, int number, ZoneHealth zone, boolean evacuated, double currentShare) {
        wasCut = false;
        // Where its own replicas say nothing it may be lost to the others alone.
        boolean lost = zone.state() == ZoneState.LOST && zone.unhealthyFor().contains(number);
        boolean healthy = zone.state() == ZoneState.HEALTHY && !zone.isStrained();
        lostSince = since(lost, lostSince, now);
        strainedSince = since(zone.isStrained(), strainedSince, now);
        healthySince = since(healthy, healthySince, now);
        isEvacuated = evacuated;
        if (evacuated) {
            ceiling = 0;
            steppedAt = now;
            return;
        }
        double servable = servableShare(zone);
        if (zone.freshReplicas() == 0) {
            // No replica there reports, so what it is served is not known: it stays as it was.
            steppedAt = Math.max(steppedAt, now);
        } else if (lost && now - lostSince >= settings.lossHold()) {
            cut(now, 0);
            isLeft = true;
            isMoved = true;
        } else if (isStrainedBelowCeiling(now, zone, servable)) {
            cut(now, servable);
            isMoved = false;
            strainedSince = now; // the effect of this is to be seen first
        } else if (mayStepUp(now)) {
            stepUp(now, currentShare);
        } else if (hasRecovered(now, zone, servable)) {
            isLimited = false;
            isLeft = false;
            isMoved = false;
        }
        if (now - cutAt > 2 * settings.maxReturnHold() && ceiling == 1) {
            returnHold = settings.returnHold();
        }
    }

    private static long since(boolean holds, long since, long now) {
        return holds ? Math.min(since, now) : NOT_NOW;
    }

    /** The share of its own requests that a zone can serve. */
    private double servableShare(ZoneHealth zone) {
        if (zone.demand() <= 0) {
            return 1;
        }
        return Math.min(1, settings.nearShare() * zone.capacity() / zone.demand());
    }

    private boolean isStrainedBelowCeiling(long now, ZoneHealth zone, double servable) {
        return zone.state() == ZoneState.HEALTHY
                && zone.capacity() > 0
                && now - strainedSince >= STRAIN_PERIODS * settings.period()
                && servable < ceiling;
    }

    private boolean mayStepUp(long now) {
        return ceiling < 1 && isHealthy() && now - Math.max(healthySince, steppedAt) >= returnHold;
    }

    private void stepUp(long now, double currentShare) {
        ceiling = Math.max(ceiling, Math.min(1, currentShare + settings.returnStep()));
        ceiling = ceiling + FULL_CEILING_TOLERANCE > 1 ? 1 : ceiling;
        steppedAt = now;
    }

    private boolean hasRecovered(long now, ZoneHealth zone, double servable) {
        return ceiling == 1
                && isLimited
                && now - steppedAt >= returnHold
                && (zone.isUnreported() || servable >= 1);
    }

    /**
     * Brings the ceiling down; where it had stepped up shortly before, the next step takes longer.
     */
    private void cut(long now, double newCeiling) {
        if (newCeiling < ceiling) {
            boolean steppedUpInVain =
                    now - cutAt < 2 * settings.maxReturnHold() && steppedAt > cutAt;
            if (steppedUpInVain) {
                returnHold = Math.min(2 * returnHold, settings.maxReturnHold());
            }
            wasCut = true;
            ceiling = newCeiling;
            cutAt = now;
        }
        isLimited = true;
        steppedAt = now;
    }
}
