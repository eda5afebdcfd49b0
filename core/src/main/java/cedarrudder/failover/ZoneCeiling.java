package cedarrudder.failover;

import cedarrudder.failover.ZoneHealthSnapshot.ZoneHealth;
import cedarrudder.failover.ZoneHealthSnapshot.ZoneState;
import cedarrudder.routetable.RouteTable;

/**
 * The ceiling of one zone: the fraction of its own requests that it may serve. A loss lowers it to
 * zero, rejections lower it to what the zone can serve, and it recovers in steps.
 */
final class ZoneCeiling {

    /** A zone must be strained for this many periods before requests move away for that reason. */
    static final int STRAIN_PERIODS = 3;

    /** A ceiling that differs from 1 by less than this counts as 1. */
    private static final double FULL_CEILING_TOLERANCE = 0.06;

    /** The value for the time since which a condition holds, if the condition does not hold. */
    private static final long NOT_NOW = Long.MAX_VALUE;

    /** The value for the time of an event that never happened. */
    private static final long NEVER = Long.MIN_VALUE / 2;

    private final FailoverSettings settings;
    private double ceiling = 1;
    private boolean isLimited;
    private boolean isFailedOver;
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
     * Returns the ceiling with which a new leader begins, derived from the table, which is all that
     * is known of a zone.
     *
     * @param previous what this replica knew when it was leader before
     * @param ownWeight the weight of the zone's own requests that it serves by the table
     * @param probeWeight the weight of the requests that go to a zone only to probe it
     * @param isVacated whether the zone's requests have moved away by the table
     */
    static ZoneCeiling resumed(
            FailoverSettings settings,
            long now,
            ZoneCeiling previous,
            int ownWeight,
            int probeWeight,
            boolean isVacated) {
        ZoneCeiling resumed = new ZoneCeiling(settings);
        resumed.returnHold = Math.max(settings.returnHold(), previous.returnHold);
        int reduced = RouteTable.TOTAL_WEIGHT - 2 * probeWeight - TrafficSplitPlanner.MIN_MOVE;
        if (ownWeight < reduced) {
            boolean isProbedOnly = ownWeight <= 2 * probeWeight;
            resumed.ceiling = isProbedOnly ? 0 : ownWeight / (double) RouteTable.TOTAL_WEIGHT;
            resumed.isLimited = true;
            resumed.isFailedOver = isVacated || resumed.ceiling == 0;
            resumed.isMoved = resumed.isFailedOver;
            resumed.cutAt = now;
            resumed.steppedAt = now;
        }
        return resumed;
    }

    // ---- state ----

    /** Returns the fraction of its own requests that the zone may serve, from 0 to 1. */
    double value() {
        return ceiling;
    }

    /** Returns whether the zone's own requests are limited to what it can serve. */
    boolean isLimited() {
        return isLimited;
    }

    /** Returns whether the zone was lost and has not recovered fully yet. */
    boolean isFailedOver() {
        return isFailedOver;
    }

    /**
     * Returns whether the zone's requests go elsewhere because it was lost, and not because it is
     * strained.
     */
    boolean isMoved() {
        return isMoved;
    }

    /** Returns whether an operator evacuates the zone. */
    boolean isEvacuated() {
        return isEvacuated;
    }

    /** Returns whether the ceiling was lowered at the last update. */
    boolean wasCut() {
        return wasCut;
    }

    /** Returns when the ceiling was last changed, or deliberately left unchanged. */
    long steppedAt() {
        return steppedAt;
    }

    /** Returns whether the zone has been healthy since an earlier update. */
    boolean isHealthy() {
        return healthySince != NOT_NOW;
    }

    /** Returns whether the zone may serve requests of other zones. */
    boolean acceptsOtherZones(ZoneHealth zone) {
        return zone.state() == ZoneState.HEALTHY
                && !isEvacuated
                && !isFailedOver
                && ceiling >= 1
                && !zone.isStrained();
    }

    /** Returns the rate up to which the zone may serve its own requests. */
    double ownRate(ZoneHealth zone) {
        double rate = ceiling * zone.demand();
        boolean bounded = isLimited && !zone.lacksLoadReports();
        return bounded ? Math.min(rate, settings.nearShare() * zone.capacity()) : rate;
    }

    /** Returns whether the zone has been overloaded for {@link #STRAIN_PERIODS} periods. */
    boolean isOverloaded(long now) {
        return now - overloadedSince >= STRAIN_PERIODS * settings.period();
    }

    /** Records whether the zone is overloaded now. */
    void setOverloaded(long now, boolean overloaded) {
        overloadedSince = since(overloaded, overloadedSince, now);
    }

    // ---- updates ----

    /**
     * Updates the ceiling from the current health of the zone.
     *
     * @param number the zone's number
     * @param evacuated whether an operator evacuates it
     * @param currentFraction the fraction of its own requests that it serves by the table, from
     *     which steps start
     */
    void update(long now, int number, ZoneHealth zone, boolean evacuated, double currentFraction) {
        wasCut = false;
        // If its own replicas report nothing, the zone may be lost for the others alone.
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
        double servable = servableFraction(zone);
        if (zone.freshReplicas() == 0) {
            // No replica of the zone reports, so it is unknown how much the zone serves: the
            // ceiling stays.
            steppedAt = Math.max(steppedAt, now);
        } else if (lost && now - lostSince >= settings.lossHold()) {
            cut(now, 0);
            isFailedOver = true;
            isMoved = true;
        } else if (isStrainedBelowCeiling(now, zone, servable)) {
            cut(now, servable);
            isMoved = false;
            strainedSince = now; // the effect of this cut has to be observed first
        } else if (mayStepUp(now)) {
            stepUp(now, currentFraction);
        } else if (hasRecovered(now, zone, servable)) {
            isLimited = false;
            isFailedOver = false;
            isMoved = false;
        }
        if (now - cutAt > 2 * settings.maxReturnHold() && ceiling == 1) {
            returnHold = settings.returnHold();
        }
    }

    private static long since(boolean holds, long since, long now) {
        return holds ? Math.min(since, now) : NOT_NOW;
    }

    /** Returns the fraction of its own requests that a zone can serve. */
    private double servableFraction(ZoneHealth zone) {
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

    private void stepUp(long now, double currentFraction) {
        ceiling = Math.max(ceiling, Math.min(1, currentFraction + settings.returnStep()));
        ceiling = ceiling + FULL_CEILING_TOLERANCE > 1 ? 1 : ceiling;
        steppedAt = now;
    }

    private boolean hasRecovered(long now, ZoneHealth zone, double servable) {
        return ceiling == 1
                && isLimited
                && now - steppedAt >= returnHold
                && (zone.lacksLoadReports() || servable >= 1);
    }

    /** Lowers the ceiling; if it had stepped up shortly before, the next step takes longer. */
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
