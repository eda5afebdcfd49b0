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
 * Which zone serves which part of a zone's requests: its own while that is safe, otherwise the
 * nearest with spare capacity. Every replica has a planner and tells it of each table that it
 * loads; the leader asks its own for the next split. Not thread-safe.
 *
 * <p>Each zone has a {@link ZoneCeiling}. What exceeds it goes to other zones, to each up to its
 * target share ({@link TrafficAllocator}). How often the row of one zone changes is bounded here,
 * whatever the reports say.
 */
public final class TrafficSplitPlanner {

    /** A change of a smaller weight is not made, and is no move. */
    public static final int MIN_MOVE = 200;

    /** Of the moves that a zone has in a minute, so many are reserved for leaving it. */
    private static final int MOVES_RESERVED_FOR_LEAVING = 2;

    /** And so many for its return. */
    private static final int MOVES_RESERVED_FOR_RETURN = 4;

    /** A zone that gets this much of what its own requests may take is overloaded by others. */
    private static final double OVERLOAD_FACTOR = 1.05;

    /** Requests at this much of a bound are held back by it, and not only by chance. */
    private static final double OUTGROWN_FACTOR = 1.1;

    /** Requests that are served elsewhere move on only if this weight more is served, or nearer. */
    private static final int MIN_GAIN = 500;

    /** Why the row of a zone changes. */
    public enum Reason {
        /** The zone is lost. */
        LOST,
        /** The zone can't serve all of its requests. */
        STRAINED,
        /** An operator has the zone left. */
        EVACUATED,
        /** The zone recovers. */
        RETURN,
        /** The zones that serve its requests have less capacity, or more. */
        TARGETS
    }

    /**
     * One zone's row changes.
     *
     * @param unhealthyFor the zones whose replicas say that it does not serve them
     * @param healthyFor the zones whose replicas say that it does
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
     * A planner that has loaded no table. Of the minute before its start it assumes all moves but
     * those reserved for leaving.
     *
     * @param ranks how far each zone is from each, as {@link Regions#ranks} has it
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
                    settings.movesPerMinute() - MOVES_RESERVED_FOR_LEAVING - 1, now);
        }
    }

    /**
     * A table is loaded; every replica tells of each, since any may lead next. Told twice it counts
     * once.
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
     * This replica becomes the leader, or ceases to be it: what it knew when it led before is
     * outdated.
     */
    public void onLeadership() {
        isPlanning = false;
    }

    /** The moves of the last plan. */
    public List<Move> moves() {
        return List.copyOf(moves);
    }

    /**
     * The routes of the next table; those of the current one where nothing is to change.
     *
     * @param table the current one; null for none
     * @param evacuated zones that an operator has left
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
                ZoneHealth seen = health.zones().get(zone);
                moves.add(new Move(zone, reason, seen.unhealthyFor(), seen.healthyFor()));
            }
        }
        TrafficSplit next = allocator.allocate(moving);
        // How much the other rows leave is known only now: a move may have come to nothing.
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
                                current.isLeft[zone]));
    }

    private void updateCeilings(
            long now,
            TrafficSplit current,
            ZoneHealthSnapshot health,
            Collection<Integer> evacuated) {
        for (int zone = 0; zone < zones; zone++) {
            ZoneHealth seen = health.zones().get(zone);
            double currentShare = current.weights[zone][zone] / (double) RouteTable.TOTAL_WEIGHT;
            ceilings[zone].update(now, zone, seen, evacuated.contains(zone), currentShare);
            double max = OVERLOAD_FACTOR * settings.nearShare() * seen.capacity();
            boolean overloaded =
                    seen.capacity() > 0 && loads.totalRate(current, health, zone) > max;
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

    /** Why a zone's row is to change now; null where it stays. */
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
        boolean leaves = wanted.weights[zone][zone] < current.weights[zone][zone];
        Reason reason = reason(ceiling, current, wanted, zone);
        boolean urgent =
                ceiling.wasCut()
                        || ceiling.isEvacuated() && leaves
                        || reason == Reason.LOST
                        || hasBadTarget(now, current, health, zone);
        boolean isStep = ceiling.steppedAt() == now;
        boolean gains = gain(current, wanted, zone) >= MIN_GAIN;
        // This avoids requests going to and fro among zones that serve them equally well.
        if (!urgent && !outgrown && !isStep && !gains) {
            return null;
        }
        MoveHistory history = moveHistories[zone];
        boolean soon =
                urgent
                        || reason == Reason.RETURN && isStep
                        || now - history.lastMoveAt() >= settings.returnHold();
        return soon && history.count(now) < maxMoves(urgent, reason) ? reason : null;
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
        max -= MOVES_RESERVED_FOR_LEAVING;
        return reason == Reason.RETURN ? max : max - MOVES_RESERVED_FOR_RETURN;
    }

    /** The weight that is served by the wanted split and not by the current one, or nearer. */
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

    /** Whether a zone that serves a part of this one's requests can't any more. */
    private boolean hasBadTarget(
            long now, TrafficSplit current, ZoneHealthSnapshot health, int from) {
        for (int to = 0; to < zones; to++) {
            boolean isTarget = to != from && current.weights[from][to] > MIN_MOVE;
            boolean isBad =
                    !health.zones().get(to).mayServe(from)
                            || ceilings[to].isEvacuated()
                            || ceilings[to].isOverloaded(now);
            if (isTarget && isBad) {
                return true;
            }
        }
        return false;
    }

    /** Whether the bound of a route holds requests back while its target has spare capacity. */
    private boolean hasOutgrownLimits(TrafficSplit current, ZoneHealthSnapshot health, int from) {
        for (int to = 0; to < zones; to++) {
            int bound = current.perSecond[from][to];
            boolean isBounded = to != from && current.weights[from][to] > MIN_MOVE && bound > 0;
            double rate = ZoneLoads.demandRate(current, health, from, to);
            double target = settings.targetShare() * health.zones().get(to).capacity();
            if (isBounded
                    && rate > OUTGROWN_FACTOR * bound
                    && loads.totalRate(current, health, to) < target) {
                return true;
            }
        }
        return false;
    }
}
