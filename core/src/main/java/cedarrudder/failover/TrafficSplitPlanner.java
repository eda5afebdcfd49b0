package cedarrudder.failover;

import cedarrudder.failover.ZoneHealthSnapshot.RemoteTraffic;
import cedarrudder.failover.ZoneHealthSnapshot.Zone;
import cedarrudder.failover.ZoneHealthSnapshot.ZoneState;
import cedarrudder.routetable.RouteTable;
import cedarrudder.routetable.RouteTable.ZoneRoute;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.Deque;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;

/**
 * Which zone serves which part of a zone's calls: near while that is safe, else as near as there is
 * room. Every replica has one and tells it of each table that it loads; the one that leads asks it
 * for the next shares. Not thread-safe.
 *
 * <p>Of each zone it holds a <i>ceiling</i>: the part of its own calls that it may get. A loss
 * takes it to nothing, calls that are rejected to what the zone can do, and it comes back by steps.
 * What is over the ceiling goes to other zones, to each up to its target share and no further. How
 * often the shares of one zone's calls change is bounded here, whatever the evidence says.
 */
public final class TrafficSplitPlanner {

    /** Changes of fewer parts of a zone's whole are not made, and are no moves. */
    public static final int MIN_MOVE = 200;

    /**
     * The window of the bound on moves: a minute, and what one table takes longer to a replica than
     * another.
     */
    private static final long WINDOW = 63_000_000_000L;

    /** Of the moves that a zone has, this many are kept for leaving it. */
    private static final int KEPT_FOR_LEAVING = 2;

    /** And this many for its return. */
    private static final int KEPT_FOR_RETURN = 4;

    /** A zone must be strained for this many periods before calls leave it for that. */
    private static final int STRAIN_PERIODS = 3;

    /** Room is dealt out in this many rounds, so that zones that want the same share it. */
    private static final int ROUNDS = 20;

    /**
     * A target may be found so far past what its own calls may take before others are taken from it
     * at once.
     */
    private static final double MAX_PAST = 1.05;

    /** Calls so far over the bound of their share are held back, and not only by chance. */
    private static final double OUTGROWN = 1.1;

    /**
     * A zone whose endpoints don't report may be given this much more than it serves, each time it
     * did well.
     */
    private static final double BLIND_GROWTH = 1.25;

    /** A zone's calls that are fewer a second are not moved. */
    private static final double MIN_DEMAND = 0.5;

    private static final int KNOWN_TABLES = 16;

    /** A ceiling so near to the whole is the whole. */
    private static final double WATCHED = 0.06;

    /**
     * Where calls go that are moved already changes for this many parts more that are served, or
     * nearer.
     */
    private static final int MIN_GAIN = 500;

    /** Why the shares of a zone's calls change. */
    public enum Reason {
        /** It is lost. */
        LOST,
        /** It can't serve all of its calls. */
        STRAINED,
        /** An operator has it left. */
        EVACUATED,
        /** It does well again. */
        RETURN,
        /** Where they go has less room, or more. */
        TARGETS
    }

    /**
     * One zone's shares change.
     *
     * @param bad the zones whose replicas say that it does not serve them
     * @param well the zones whose replicas say that it does
     */
    public record Move(int zone, Reason reason, Set<Integer> bad, Set<Integer> well) {}

    /** What this planner knows of one zone. */
    private static final class ZoneCourse {
        double ceiling = 1;

        /** Whether its own calls are held to what it can do. */
        boolean limited;

        /** It was lost, and is not yet back whole. */
        boolean left;

        /** That is why its calls are elsewhere, and not that it can't serve all of them. */
        boolean moved;

        boolean evacuated;
        boolean cut;
        long badSince = Long.MAX_VALUE;
        long strainedSince = Long.MAX_VALUE;
        long overSince = Long.MAX_VALUE;
        long wellSince = Long.MAX_VALUE;
        long hold;
        long cutAt = Long.MIN_VALUE / 2;
        long steppedAt = Long.MIN_VALUE / 2;
        long movedAt = Long.MIN_VALUE / 2;
        final Deque<Long> moves = new ArrayDeque<>();
    }

    private final FailoverSettings settings;
    private final int[][] ranks;
    private final int zones;
    private final ZoneCourse[] courses;
    private final TreeMap<Long, TrafficSplit> known = new TreeMap<>();
    private final List<Move> moves = new ArrayList<>();
    private boolean planning;

    /**
     * In its first minute it knows of no moves that others made, and reckons with all but those for
     * leaving.
     *
     * @param ranks how far each zone is from each, as {@link Regions#ranks} has it
     */
    public TrafficSplitPlanner(FailoverSettings settings, int[][] ranks, long now) {
        this.settings = settings;
        this.ranks = ranks;
        this.zones = ranks.length;
        this.courses = new ZoneCourse[zones];
        Arrays.setAll(courses, i -> new ZoneCourse());
        for (ZoneCourse course : courses) {
            course.hold = settings.returnHold();
            for (int i = 0; i < settings.movesPerMinute() - KEPT_FOR_LEAVING - 1; i++) {
                course.moves.add(now);
            }
        }
    }

    /**
     * A table is loaded; all replicas tell this of each, since any may lead next. Said twice it
     * counts once.
     */
    public void onTableLoaded(long now, RouteTable table) {
        if (known.containsKey(table.number())) {
            return;
        }
        TrafficSplit next = TrafficSplit.of(table, zones);
        TrafficSplit before =
                known.isEmpty() ? TrafficSplit.of(null, zones) : known.lastEntry().getValue();
        for (int zone = 0; zone < zones; zone++) {
            if (!next.same(zone, before)) {
                courses[zone].moves.add(now);
                courses[zone].movedAt = now;
            }
        }
        known.put(table.number(), next);
        while (known.size() > KNOWN_TABLES) {
            known.pollFirstEntry();
        }
    }

    /**
     * This replica leads from here on, or no longer. This avoids what it knew when it led before
     * being acted on.
     */
    public void onLeadership() {
        planning = false;
    }

    /** The moves of the last plan. */
    public List<Move> moves() {
        return List.copyOf(moves);
    }

    /**
     * The shares of the next table; those of the present one where nothing is to change.
     *
     * @param current the table that is loaded; null for none
     * @param evacuated zones that an operator has left
     */
    public List<ZoneRoute> plan(
            long now,
            RouteTable current,
            ZoneHealthSnapshot picture,
            Collection<Integer> evacuated) {
        TrafficSplit held = TrafficSplit.of(current, zones);
        if (!planning) {
            planning = true;
            Arrays.setAll(courses, zone -> resumed(now, courses[zone], held, zone));
        }
        for (int zone = 0; zone < zones; zone++) {
            follow(
                    now,
                    zone,
                    picture.zones().get(zone),
                    evacuated.contains(zone),
                    held.parts[zone][zone] / (double) RouteTable.TOTAL_WEIGHT);
            boolean over =
                    picture.zones().get(zone).capacity() > 0
                            && load(held, picture, zone)
                                    > MAX_PAST
                                            * settings.nearShare()
                                            * picture.zones().get(zone).capacity();
            courses[zone].overSince =
                    over ? Math.min(courses[zone].overSince, now) : Long.MAX_VALUE;
        }
        boolean[] moving = new boolean[zones];
        Arrays.fill(moving, true);
        TrafficSplit wanted = allocate(held, picture, moving);
        moves.clear();
        for (int zone = 0; zone < zones; zone++) {
            Reason reason = reason(now, held, wanted, picture, zone);
            moving[zone] = reason != null || current == null;
            if (reason != null) {
                Zone seen = picture.zones().get(zone);
                moves.add(new Move(zone, reason, seen.bad(), seen.well()));
            }
        }
        TrafficSplit next = allocate(held, picture, moving);
        // What the rows that stay hold is only known now; a change that came to nothing is none.
        moves.removeIf(
                move ->
                        next.moved(move.zone(), held) < MIN_MOVE
                                && !outgrown(held, picture, move.zone()));
        for (int zone = 0; zone < zones; zone++) {
            int each = zone;
            if (current != null && moves.stream().noneMatch(move -> move.zone() == each)) {
                next.row(zone, held);
            }
        }
        return next.list();
    }

    /** Begins to lead: what the table says is all that is known of a zone's course. */
    private ZoneCourse resumed(long now, ZoneCourse course, TrafficSplit held, int zone) {
        ZoneCourse fresh = new ZoneCourse();
        fresh.moves.addAll(course.moves);
        fresh.movedAt = course.movedAt;
        fresh.hold = Math.max(settings.returnHold(), course.hold);
        int near = held.parts[zone][zone];
        if (near < RouteTable.TOTAL_WEIGHT - 2 * watch() - MIN_MOVE) {
            fresh.ceiling = near <= 2 * watch() ? 0 : near / (double) RouteTable.TOTAL_WEIGHT;
            fresh.limited = true;
            fresh.left = held.left[zone] || fresh.ceiling == 0;
            fresh.moved = fresh.left;
            fresh.cutAt = now;
            fresh.steppedAt = now;
        }
        return fresh;
    }

    /**
     * Takes one zone's course to now.
     *
     * @param near the share of its own calls that it gets by the table; a step is from there
     */
    private void follow(long now, int number, Zone zone, boolean evacuated, double near) {
        ZoneCourse course = courses[number];
        course.cut = false;
        // Where its own replicas say nothing it may be lost to the others alone.
        boolean lost = zone.state() == ZoneState.LOST && zone.bad().contains(number);
        course.badSince = !lost ? Long.MAX_VALUE : Math.min(course.badSince, now);
        course.strainedSince =
                !zone.strained() ? Long.MAX_VALUE : Math.min(course.strainedSince, now);
        boolean well = zone.state() == ZoneState.WELL && !zone.strained();
        course.wellSince = !well ? Long.MAX_VALUE : Math.min(course.wellSince, now);
        course.evacuated = evacuated;
        if (evacuated) {
            course.ceiling = 0;
            course.steppedAt = now;
            return;
        }
        double able =
                zone.demand() <= 0
                        ? 1
                        : Math.min(1, settings.nearShare() * zone.capacity() / zone.demand());
        if (zone.fresh() == 0) {
            // Nobody there loads a table now, and what they are served is not known: it stays as it
            // was.
            course.steppedAt = Math.max(course.steppedAt, now);
        } else if (lost && now - course.badSince >= settings.lossHold()) {
            cut(now, course, 0);
            course.left = true;
            course.moved = true;
        } else if (zone.state() == ZoneState.WELL
                && zone.capacity() > 0
                && now - course.strainedSince >= STRAIN_PERIODS * settings.period()
                && able < course.ceiling) {
            cut(now, course, able);
            course.moved = false;
            course.strainedSince = now; // what that came to is to be seen first
        } else if (course.ceiling < 1
                && course.wellSince != Long.MAX_VALUE
                && now - Math.max(course.wellSince, course.steppedAt) >= course.hold) {
            course.ceiling = Math.max(course.ceiling, Math.min(1, near + settings.returnStep()));
            course.ceiling = course.ceiling + WATCHED > 1 ? 1 : course.ceiling;
            course.steppedAt = now;
        } else if (course.ceiling == 1
                && course.limited
                && now - course.steppedAt >= course.hold
                && (zone.blind() || able >= 1)) {
            course.limited = false;
            course.left = false;
            course.moved = false;
        }
        if (now - course.cutAt > 2 * settings.maxReturnHold() && course.ceiling == 1) {
            course.hold = settings.returnHold();
        }
    }

    /**
     * The ceiling comes down; where it had gone up a step shortly before, the next one takes
     * longer.
     */
    private void cut(long now, ZoneCourse course, double ceiling) {
        if (ceiling < course.ceiling) {
            if (now - course.cutAt < 2 * settings.maxReturnHold()
                    && course.steppedAt > course.cutAt) {
                course.hold = Math.min(2 * course.hold, settings.maxReturnHold());
            }
            course.cut = true;
            course.ceiling = ceiling;
            course.cutAt = now;
        }
        course.limited = true;
        course.steppedAt = now;
    }

    /** Why a zone's row is to change now; null where it stays. */
    private Reason reason(
            long now,
            TrafficSplit held,
            TrafficSplit wanted,
            ZoneHealthSnapshot picture,
            int zone) {
        ZoneCourse course = courses[zone];
        while (!course.moves.isEmpty() && now - course.moves.peek() > WINDOW) {
            course.moves.remove();
        }
        boolean bounds = outgrown(held, picture, zone);
        if (picture.zones().get(zone).fresh() == 0
                || picture.zones().get(zone).demand() < MIN_DEMAND
                || wanted.moved(zone, held) < MIN_MOVE && !bounds) {
            return null;
        }
        boolean bad = badTarget(now, held, picture, zone);
        boolean leaves = wanted.parts[zone][zone] < held.parts[zone][zone];
        Reason reason =
                course.evacuated && leaves
                        ? Reason.EVACUATED
                        : leaves && course.ceiling == 0
                                ? Reason.LOST
                                : leaves && course.limited
                                        ? Reason.STRAINED
                                        : wanted.parts[zone][zone] > held.parts[zone][zone]
                                                ? Reason.RETURN
                                                : Reason.TARGETS;
        boolean urgent = course.cut || course.evacuated && leaves || reason == Reason.LOST || bad;
        // This avoids calls going to and fro among zones that serve them as well.
        if (!urgent && !bounds && course.steppedAt != now && gain(held, wanted, zone) < MIN_GAIN) {
            return null;
        }
        int max =
                settings.movesPerMinute()
                        - (urgent ? 0 : KEPT_FOR_LEAVING)
                        - (urgent || reason == Reason.RETURN ? 0 : KEPT_FOR_RETURN);
        // A step that waits out its hold is taken at once; all else that is not urgent comes no
        // sooner.
        boolean soon =
                urgent
                        || reason == Reason.RETURN && course.steppedAt == now
                        || now - course.movedAt >= settings.returnHold();
        return soon && course.moves.size() < max ? reason : null;
    }

    /** Parts more that are served, or served nearer. */
    private int gain(TrafficSplit held, TrafficSplit wanted, int zone) {
        int gain = 0;
        int sum = 0;
        int farthest = Arrays.stream(ranks[zone]).max().orElse(0);
        for (int rank = 0; rank <= farthest; rank++) {
            for (int to = 0; to < zones; to++) {
                sum += ranks[zone][to] == rank ? wanted.parts[zone][to] - held.parts[zone][to] : 0;
            }
            gain = Math.max(gain, sum);
        }
        return gain;
    }

    /**
     * Whether some zone that serves a part of this one's calls can't, or has no room for them any
     * more.
     */
    private boolean badTarget(long now, TrafficSplit held, ZoneHealthSnapshot picture, int from) {
        for (int to = 0; to < zones; to++) {
            Zone zone = picture.zones().get(to);
            if (to != from
                    && held.parts[from][to] > MIN_MOVE
                    && (!zone.takes(from)
                            || courses[to].evacuated
                            || now - courses[to].overSince >= STRAIN_PERIODS * settings.period())) {
                return true;
            }
        }
        return false;
    }

    /** Whether the bound on what a zone gets from there holds calls back, while it has room. */
    private boolean outgrown(TrafficSplit held, ZoneHealthSnapshot picture, int from) {
        for (int to = 0; to < zones; to++) {
            double rate =
                    picture.zones().get(from).demand()
                            * held.parts[from][to]
                            / RouteTable.TOTAL_WEIGHT;
            if (to != from
                    && held.parts[from][to] > MIN_MOVE
                    && held.perSecond[from][to] > 0
                    && rate > OUTGROWN * held.perSecond[from][to]
                    && load(held, picture, to)
                            < settings.targetShare() * picture.zones().get(to).capacity()) {
                return true;
            }
        }
        return false;
    }

    /** What a zone gets by these shares, and of calls that nobody tells of. */
    private double load(TrafficSplit shares, ZoneHealthSnapshot picture, int to) {
        double load = hidden(picture, to);
        for (int from = 0; from < zones; from++) {
            load += rate(shares, picture, from, to);
        }
        return load;
    }

    /** Calls a second of one zone that these shares let another serve. */
    private static double rate(TrafficSplit shares, ZoneHealthSnapshot picture, int from, int to) {
        double rate =
                picture.zones().get(from).demand()
                        * shares.parts[from][to]
                        / RouteTable.TOTAL_WEIGHT;
        return shares.perSecond[from][to] == 0 ? rate : Math.min(rate, shares.perSecond[from][to]);
    }

    /**
     * Calls of replicas that are cut off. Where endpoints report their load they are seen there;
     * else they are reckoned with where their last table sent them.
     */
    private double hidden(ZoneHealthSnapshot picture, int to) {
        if (!picture.zones().get(to).blind()) {
            return picture.zones().get(to).unseen();
        }
        double hidden = 0;
        for (RemoteTraffic away : picture.away()) {
            TrafficSplit last = known.get(away.table());
            double part =
                    last != null
                            ? last.parts[away.zone()][to] / (double) RouteTable.TOTAL_WEIGHT
                            : away.zone() == to ? 1 : 0;
            hidden += part * away.rate();
        }
        return hidden;
    }

    private int watch() {
        return (int) Math.ceil(settings.watchShare() * RouteTable.TOTAL_WEIGHT);
    }

    /** What a zone's own calls may take of it. */
    private double near(Zone zone, ZoneCourse course) {
        double near = course.ceiling * zone.demand();
        return course.limited && !zone.blind()
                ? Math.min(near, settings.nearShare() * zone.capacity())
                : near;
    }

    /** What there is to deal out: rows of zones that don't move are as they are held. */
    private TrafficSplit allocate(TrafficSplit held, ZoneHealthSnapshot picture, boolean[] moving) {
        double[][] dealt = new double[zones][zones];
        double[] excess = new double[zones];
        double[] room = new double[zones];
        for (int zone = 0; zone < zones; zone++) {
            Zone seen = picture.zones().get(zone);
            dealt[zone][zone] = near(seen, courses[zone]);
            excess[zone] = moving[zone] ? seen.demand() - dealt[zone][zone] : 0;
            room[zone] = spareCapacity(seen, courses[zone], picture, zone);
        }
        for (int from = 0; from < zones; from++) {
            for (int to = 0; to < zones && !moving[from]; to++) {
                if (to != from) {
                    room[to] -= rate(held, picture, from, to);
                }
            }
        }
        allocateAll(dealt, excess, room, picture);
        // What would be rejected elsewhere may take zones as far as their own calls may.
        double more = settings.nearShare() - settings.targetShare();
        for (int zone = 0; zone < zones && more > 0; zone++) {
            Zone seen = picture.zones().get(zone);
            room[zone] +=
                    isServing(seen, courses[zone]) && !seen.blind() ? more * seen.capacity() : 0;
            excess[zone] = courses[zone].left ? excess[zone] : 0;
        }
        allocateAll(dealt, excess, room, picture);
        int[] sharers = new int[zones];
        for (int from = 0; from < zones; from++) {
            for (int to = 0; to < zones; to++) {
                sharers[to] +=
                        to != from
                                        && (moving[from]
                                                ? dealt[from][to] > 0
                                                : held.parts[from][to] > MIN_MOVE)
                                ? 1
                                : 0;
            }
        }
        TrafficSplit next = new TrafficSplit(zones);
        for (int zone = 0; zone < zones; zone++) {
            if (moving[zone] && picture.zones().get(zone).demand() >= MIN_DEMAND) {
                write(next, dealt[zone], excess[zone], room, sharers, picture, zone);
            } else {
                next.row(zone, held);
                watched(next, zone);
            }
        }
        return next;
    }

    /** Whether a zone may serve calls of others. */
    private static boolean isServing(Zone zone, ZoneCourse course) {
        return zone.state() == ZoneState.WELL
                && !course.evacuated
                && !course.left
                && course.ceiling >= 1
                && !zone.strained();
    }

    private double spareCapacity(
            Zone zone, ZoneCourse course, ZoneHealthSnapshot picture, int number) {
        if (!isServing(zone, course)) {
            return 0;
        }
        double max =
                zone.blind() && course.wellSince != Long.MAX_VALUE
                        ? Math.max(
                                settings.targetShare() * zone.capacity(),
                                BLIND_GROWTH * zone.served())
                        : settings.targetShare() * zone.capacity();
        return max - zone.demand() - hidden(picture, number);
    }

    /** Deals what is over to the nearest that have room. */
    private void allocateAll(
            double[][] dealt, double[] excess, double[] room, ZoneHealthSnapshot picture) {
        int farthest = Arrays.stream(ranks).flatMapToInt(Arrays::stream).max().orElse(0);
        for (int rank = 1; rank <= farthest; rank++) {
            double[] whole = excess.clone();
            for (int round = 0; round < ROUNDS; round++) {
                for (int from = 0; from < zones; from++) {
                    allocateZone(dealt, excess, room, picture, from, rank, whole[from] / ROUNDS);
                }
            }
        }
    }

    /** Deals some of one zone's calls to zones of this rank, to each by its room. */
    private void allocateZone(
            double[][] dealt,
            double[] excess,
            double[] room,
            ZoneHealthSnapshot picture,
            int from,
            int rank,
            double max) {
        double wanted = Math.min(max, excess[from]);
        double all = 0;
        for (int to = 0; to < zones; to++) {
            all += isSuitable(picture, from, to, rank) ? Math.max(0, room[to]) : 0;
        }
        double part = all <= 0 || wanted <= 0 ? 0 : Math.min(1, wanted / all);
        for (int to = 0; to < zones && part > 0; to++) {
            if (isSuitable(picture, from, to, rank) && room[to] > 0) {
                double amount = part * room[to];
                dealt[from][to] += amount;
                room[to] -= amount;
                excess[from] -= amount;
            }
        }
    }

    private boolean isSuitable(ZoneHealthSnapshot picture, int from, int to, int rank) {
        return ranks[from][to] == rank && picture.zones().get(to).takes(from);
    }

    /** Writes one zone's row. */
    private void write(
            TrafficSplit next,
            double[] dealt,
            double left,
            double[] room,
            int[] sharers,
            ZoneHealthSnapshot picture,
            int zone) {
        Zone seen = picture.zones().get(zone);
        ZoneCourse course = courses[zone];
        double near = dealt[zone];
        if (course.left && course.ceiling > 0) {
            near = Math.max(near, Math.min(near + left, settings.nearShare() * seen.capacity()));
        }
        next.left[zone] = course.moved || course.evacuated;
        long moved = 0;
        for (int to = 0; to < zones; to++) {
            int parts =
                    (int)
                            (RouteTable.TOTAL_WEIGHT
                                    * (to == zone ? near : dealt[to])
                                    / seen.demand());
            next.parts[zone][to] = Math.min(RouteTable.TOTAL_WEIGHT, parts);
            if (to != zone && parts > 0) {
                // What is left of its room is for those that come beyond what is seen now.
                next.perSecond[zone][to] =
                        (int)
                                Math.max(
                                        1,
                                        dealt[to]
                                                + Math.max(0, room[to]) / Math.max(1, sharers[to]));
                moved += parts;
            }
        }
        if (!course.left
                || near + 1e-9 >= seen.demand() - moved * seen.demand() / RouteTable.TOTAL_WEIGHT) {
            // None is rejected for a zone that serves, and no part is lost by rounding.
            next.parts[zone][zone] = (int) (RouteTable.TOTAL_WEIGHT - moved);
        }
        watched(next, zone);
    }

    /**
     * A zone to which nothing goes is not seen: a few calls go there, as well as to one's own that
     * is lost.
     */
    private void watched(TrafficSplit next, int zone) {
        if (watch() == 0 || zones == 1) {
            return;
        }
        int[] row = next.parts[zone];
        int each = Math.max(1, watch() / (zones - 1));
        for (int to = 0; to < zones; to++) {
            int min = to == zone ? watch() : each;
            int lacks = min - row[to];
            if (lacks > 0) {
                int max = 0;
                for (int other = 0; other < zones; other++) {
                    max = row[other] > row[max] ? other : max;
                }
                lacks = Math.min(lacks, next.unserved(zone) + Math.max(0, row[max] - min));
                row[max] -= Math.max(0, lacks - next.unserved(zone));
                row[to] += lacks;
            }
        }
    }
}
