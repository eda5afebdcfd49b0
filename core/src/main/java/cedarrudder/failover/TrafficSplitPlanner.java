package cedarrudder.failover;

import cedarrudder.failover.ZoneHealthSnapshot.ZoneHealth;
import cedarrudder.routetable.RouteTable;
import cedarrudder.routetable.RouteTable.ZoneRoute;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.List;
import java.util.Set;

/**
 * Plans which zone serves which fraction of a zone's requests: the zone itself while that is safe,
 * otherwise the nearest zones with spare capacity. Every replica has a planner and passes to it
 * each table that it loads; the planner of the leader plans the next split. Not thread-safe.
 *
 * <p>Each zone has a {@link ZoneCeiling}. Requests beyond it go to other zones, to each up to its
 * target share ({@link TrafficAllocator}). The rate at which the row of one zone changes is bounded
 * here, whatever the reports contain.
 */
public final class TrafficSplitPlanner {

    /** The smallest weight that a move changes; smaller changes are not made. */
    public static final int MIN_MOVE = 200;

    /**
     * Of the moves that a zone has in a minute, this many are reserved for moving its requests
     * away.
     */
    private static final int MOVES_RESERVED_FOR_MOVING_AWAY = 2;

    /**
     * Of the moves that a zone has in a minute, this many are reserved for the return of its
     * requests.
     */
    private static final int MOVES_RESERVED_FOR_RETURN = 4;

    /**
     * A zone is overloaded by others if its total rate is over this many times the limit for its
     * own requests.
     */
    private static final double OVERLOAD_FACTOR = 1.05;

    /**
     * Requests at this many times a route's limit are held back by the limit, and not only by
     * chance.
     */
    private static final double OUTGROWN_FACTOR = 1.1;

    /**
     * Requests that are served elsewhere are moved on only if at least this weight more is served,
     * or served nearer.
     */
    private static final int MIN_GAIN = 500;

    /** The reason for a change of a zone's row. */
    public enum Reason {
        /** The zone is lost. */
        LOST,
        /** The zone can't serve all of its requests. */
        STRAINED,
        /** An operator evacuates the zone. */
        EVACUATED,
        /** The zone recovers. */
        RETURN,
        /** The zones that serve its requests have less capacity, or more. */
        TARGETS
    }

    /**
     * A change of one zone's row.
     *
     * @param unhealthyFor the zones whose replicas report that it does not serve them
     * @param healthyFor the zones whose replicas report that it does
     */
    public record Move(
            int zone, Reason reason, Set<Integer> unhealthyFor, Set<Integer> healthyFor) {}

    private final FailoverSettings settings;
    private final int[][] ranks;
    private final int zones;
    private final ZoneCeiling[] ceilings;
    private final MoveHistory[] moveHistories;
    private final ZoneLoads loads;
    private final List<Move> moves = new ArrayList<>();
    private boolean isPlanning;

    /**
     * Creates a planner that has loaded no table. For the minute before its start it assumes all
     * moves but those reserved for moving away and one.
     *
     * @param ranks how far each zone is from each, as from {@link Regions#ranks}
     */
    public TrafficSplitPlanner(FailoverSettings settings, int[][] ranks, long now) {
        this.settings = settings;
        this.ranks = ranks;
        this.zones = ranks.length;
        this.loads = new ZoneLoads(zones);
        this.ceilings = new ZoneCeiling[zones];
        this.moveHistories = new MoveHistory[zones];
        for (int zone = 0; zone < zones; zone++) {
            ceilings[zone] = new ZoneCeiling(settings);
            moveHistories[zone] = new MoveHistory();
            moveHistories[zone].assume(
                    settings.movesPerMinute() - MOVES_RESERVED_FOR_MOVING_AWAY - 1, now);
        }
    }

    /**
     * Records a loaded table. Every replica calls this for each table, since any may lead next; a
     * repeated call for one table has no effect.
     */
    public void onTableLoaded(long now, RouteTable table) {
        if (loads.contains(table.number())) {
            return;
        }
        TrafficSplit next = TrafficSplit.of(table, zones);
        TrafficSplit previous = loads.latest();
        for (int zone = 0; zone < zones; zone++) {
            if (!next.hasSameRow(zone, previous)) {
                moveHistories[zone].add(now);
            }
        }
        loads.add(table.number(), next);
    }

    /**
     * Handles a change of leadership to or from this replica: the state of an earlier leadership is
     * outdated.
     */
    public void onLeadership() {
        isPlanning = false;
    }

    /** Returns the moves of the last plan. */
    public List<Move> moves() {
        return List.copyOf(moves);
    }

    /**
     * Returns the routes of the next table; those of the current one if nothing is to change.
     *
     * @param table the current one; null for none
     * @param evacuated zones that an operator evacuates
     */
    public List<ZoneRoute> plan(
            long now, RouteTable table, ZoneHealthSnapshot health, Collection<Integer> evacuated) {
        TrafficSplit current = TrafficSplit.of(table, zones);
        if (!isPlanning) {
            isPlanning = true;
            resumeCeilings(now, current);
        }
        updateCeilings(now, current, health, evacuated);
        TrafficAllocator allocator =
                new TrafficAllocator(settings, ranks, ceilings, loads, current, health);
        boolean[] moving = new boolean[zones];
        Arrays.fill(moving, true);
        TrafficSplit wanted = allocator.allocate(moving);
        moves.clear();
        for (int zone = 0; zone < zones; zone++) {
            Reason reason = reason(now, current, wanted, health, zone);
            moving[zone] = reason != null || table == null;
            if (reason != null) {
                ZoneHealth zoneHealth = health.zones().get(zone);
                moves.add(
                        new Move(zone, reason, zoneHealth.unhealthyFor(), zoneHealth.healthyFor()));
            }
        }
        TrafficSplit next = allocator.allocate(moving);
        // The capacity that the other rows leave is known only now: a move may have become too
        // small.
        moves.removeIf(
                move ->
                        next.movedWeight(move.zone(), current) < MIN_MOVE
                                && !hasOutgrownLimits(current, health, move.zone()));
        if (table != null) {
            keepUnmovedRows(next, current);
        }
        return next.toRoutes();
    }

    private void resumeCeilings(long now, TrafficSplit current) {
        Arrays.setAll(
                ceilings,
                zone ->
                        ZoneCeiling.resumed(
                                settings,
                                now,
                                ceilings[zone],
                                current.weights[zone][zone],
                                settings.probeWeight(),
                                current.isVacated[zone]));
    }

    private void updateCeilings(
            long now,
            TrafficSplit current,
            ZoneHealthSnapshot health,
            Collection<Integer> evacuated) {
        for (int zone = 0; zone < zones; zone++) {
            ZoneHealth zoneHealth = health.zones().get(zone);
            double currentShare = current.weights[zone][zone] / (double) RouteTable.TOTAL_WEIGHT;
            ceilings[zone].update(now, zone, zoneHealth, evacuated.contains(zone), currentShare);
            double max = OVERLOAD_FACTOR * settings.nearShare() * zoneHealth.capacity();
            boolean overloaded =
                    zoneHealth.capacity() > 0 && loads.totalRate(current, health, zone) > max;
            ceilings[zone].setOverloaded(now, overloaded);
        }
    }

    private void keepUnmovedRows(TrafficSplit next, TrafficSplit current) {
        for (int zone = 0; zone < zones; zone++) {
            int number = zone;
            if (moves.stream().noneMatch(move -> move.zone() == number)) {
                next.copyRow(zone, current);
            }
        }
    }

    // ---- whether a row changes now ----

    /** Returns why a zone's row is to change now; null if it stays. */
    private Reason reason(
            long now,
            TrafficSplit current,
            TrafficSplit wanted,
            ZoneHealthSnapshot health,
            int zone) {
        boolean outgrown = hasOutgrownLimits(current, health, zone);
        if (!isNoticeableMove(current, wanted, health.zones().get(zone), zone, outgrown)) {
            return null;
        }
        ZoneCeiling ceiling = ceilings[zone];
        boolean movesAway = wanted.weights[zone][zone] < current.weights[zone][zone];
        Reason reason = reason(ceiling, current, wanted, zone);
        boolean urgent =
                ceiling.wasCut()
                        || ceiling.isEvacuated() && movesAway
                        || reason == Reason.LOST
                        || hasBadTarget(now, current, health, zone);
        boolean isStep = ceiling.steppedAt() == now;
        boolean gains = gain(current, wanted, zone) >= MIN_GAIN;
        // Without these conditions requests would move back and forth among zones that serve them
        // equally well.
        if (!urgent && !outgrown && !isStep && !gains) {
            return null;
        }
        MoveHistory history = moveHistories[zone];
        boolean mayMoveNow =
                urgent
                        || reason == Reason.RETURN && isStep
                        || now - history.lastMoveAt() >= settings.returnHold();
        return mayMoveNow && history.count(now) < maxMoves(urgent, reason) ? reason : null;
    }

    private static boolean isNoticeableMove(
            TrafficSplit current,
            TrafficSplit wanted,
            ZoneHealth health,
            int zone,
            boolean outgrown) {
        return health.freshReplicas() > 0
                && health.demand() >= TrafficAllocator.MIN_DEMAND
                && (outgrown || wanted.movedWeight(zone, current) >= MIN_MOVE);
    }

    private static Reason reason(
            ZoneCeiling ceiling, TrafficSplit current, TrafficSplit wanted, int zone) {
        int change = wanted.weights[zone][zone] - current.weights[zone][zone];
        if (change < 0 && ceiling.isEvacuated()) {
            return Reason.EVACUATED;
        } else if (change < 0 && ceiling.value() == 0) {
            return Reason.LOST;
        } else if (change < 0 && ceiling.isLimited()) {
            return Reason.STRAINED;
        }
        return change > 0 ? Reason.RETURN : Reason.TARGETS;
    }

    private int maxMoves(boolean urgent, Reason reason) {
        int max = settings.movesPerMinute();
        if (urgent) {
            return max;
        }
        max -= MOVES_RESERVED_FOR_MOVING_AWAY;
        return reason == Reason.RETURN ? max : max - MOVES_RESERVED_FOR_RETURN;
    }

    /**
     * Returns the weight that the wanted split serves and the current one does not, or that it
     * serves nearer.
     */
    private int gain(TrafficSplit current, TrafficSplit wanted, int zone) {
        int gain = 0;
        int sum = 0;
        int farthest = Arrays.stream(ranks[zone]).max().orElse(0);
        for (int rank = 0; rank <= farthest; rank++) {
            for (int to = 0; to < zones; to++) {
                int change = wanted.weights[zone][to] - current.weights[zone][to];
                sum += ranks[zone][to] == rank ? change : 0;
            }
            gain = Math.max(gain, sum);
        }
        return gain;
    }

    /** Returns whether a zone that serves some of this zone's requests can no longer serve them. */
    private boolean hasBadTarget(
            long now, TrafficSplit current, ZoneHealthSnapshot health, int from) {
        for (int to = 0; to < zones; to++) {
            boolean isTarget = to != from && current.weights[from][to] > MIN_MOVE;
            boolean isBadTarget =
                    !health.zones().get(to).mayServe(from)
                            || ceilings[to].isEvacuated()
                            || ceilings[to].isOverloaded(now);
            if (isTarget && isBadTarget) {
                return true;
            }
        }
        return false;
    }

    /**
     * Returns whether the limit of a route holds requests back while its target has spare capacity.
     */
    private boolean hasOutgrownLimits(TrafficSplit current, ZoneHealthSnapshot health, int from) {
        for (int to = 0; to < zones; to++) {
            int limit = current.maxPerSecond[from][to];
            boolean isLimitedRoute =
                    to != from && current.weights[from][to] > MIN_MOVE && limit > 0;
            double rate = ZoneLoads.demandRate(current, health, from, to);
            double target = settings.targetShare() * health.zones().get(to).capacity();
            if (isLimitedRoute
                    && rate > OUTGROWN_FACTOR * limit
                    && loads.totalRate(current, health, to) < target) {
                return true;
            }
        }
        return false;
    }
}
