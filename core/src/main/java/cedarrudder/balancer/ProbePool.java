package cedarrudder.balancer;

import cedarrudder.balancer.BalancerParameters.Parameter;
import cedarrudder.balancer.LoadBalancer.Actions;
import cedarrudder.balancer.LoadBalancer.BalancerSettings;
import cedarrudder.balancer.LoadBalancer.LoadReport;
import cedarrudder.balancer.LoadBalancer.Outcome;
import cedarrudder.balancer.LoadBalancer.ZoneTrafficShare;
import cedarrudder.routetable.RouteTable;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import java.util.stream.IntStream;

/**
 * Prequal's probe pool: when and whom to probe, how answers age and leave, and the hot-cold rule
 * over them.
 *
 * <p>Each call pays for a part of a probe to a random endpoint of the roster, a larger one where
 * calls fail. An answer becomes an entry of the pool, one an endpoint. A pick takes the entry of
 * lowest latency among those whose requests in flight (RIF) stay within a quantile of the pool, and
 * failing that the one of lowest RIF.
 */
final class ProbePool {

    /** Weight of the newest outcome in the share of failed attempts: about the last fifty count. */
    private static final double FAILED_WEIGHT = 0.02;

    /** A probe that has not come back for this long is lost. */
    private static final long PROBE_LOST = 5_000_000_000L;

    /**
     * One endpoint of other zones is probed for so many of the own: a way out when the own zone is
     * overloaded.
     */
    private static final int FAR_PART = 3;

    /**
     * Among the hot, the sound ones first: a failing endpoint holds little, which must not speak
     * for it.
     */
    private static final double SUSPECT = 1e9;

    /** The order of the ring. */
    private static final Comparator<EndpointState> ORDER =
            (a, b) ->
                    a.order != b.order
                            ? Long.compareUnsigned(a.order, b.order)
                            : Long.compareUnsigned(a.id, b.id);

    private final class Entry {
        EndpointState server;
        double rif;
        double latency;
        long at;
        int ownThen;
        double rifNow;
        double latencyNow;

        /**
         * RIF now: this copy's own attempts, which it knows, and the others' as reported. What was
         * reported of others ages towards the pool's mean as requests turn over. Guards against
         * picks by reports that are older than the requests they count: many copies would follow
         * the same old news at once.
         */
        void look(long now, double others, double turnover) {
            double kept = Math.exp(-(now - at + tuning.nanos(Parameter.REPORT_AGE_MS)) / turnover);
            // A connection to be opened counts as a request: it costs the endpoint work and one of
            // few
            // places; but not the first since a start, which it would keep from being made at all.
            // So does
            // crossing zones, which has its price, so that it is done only to get past a queue.
            int dial = server.needsConnection() && !server.untried ? 1 : 0;
            rifNow =
                    server.inFlight
                            + dial
                            + (server.far ? 1 : 0)
                            + Math.max(0, others + (rif - ownThen - others) * kept);
            // The report leaves waiting out, so the time of one request is counted for each that is
            // there and
            // for the one to come. Guards against every copy crowding the quickest endpoint until
            // it is hot.
            latencyNow = server.untried ? 0 : latency * (1 + rifNow);
        }

        /** Cold ones first, by latency; then hot ones by RIF. */
        boolean before(Entry other, double hotAbove) {
            boolean cold = rifNow <= hotAbove;
            return cold && other.rifNow <= hotAbove
                    ? latencyNow < other.latencyNow
                    : cold || other.rifNow > hotAbove && rifNow < other.rifNow;
        }
    }

    private final BalancerSettings settings;
    private final BalancerParameters tuning;
    private final RandomGenerator random;
    private final Actions actions;

    /**
     * All ready endpoints, in an order that every copy agrees on and that has to do with nothing
     * else.
     */
    final List<EndpointState> ring = new ArrayList<>();

    private final List<EndpointState> roster = new ArrayList<>();

    /** The zones that may be probed and sent to; none: all may. */
    private List<ZoneTrafficShare> shares = List.of();

    private boolean rosterStale = true;
    private int rosterSize;

    private final Entry[] entries;
    private final double[] rifs;
    private int size;

    /** Share of this copy's recent attempts that failed. */
    private double failed;

    private double owed;
    private long lastProbe = Long.MIN_VALUE / 2;

    ProbePool(
            BalancerSettings settings,
            BalancerParameters tuning,
            RandomGenerator random,
            Actions actions) {
        this.settings = settings;
        this.tuning = tuning;
        this.random = random;
        this.actions = actions;
        this.rosterSize = (int) tuning.get(Parameter.ROSTER_LEAST);
        this.entries = new Entry[(int) tuning.get(Parameter.POOL_SIZE)];
        this.rifs = new double[entries.length];
        Arrays.setAll(entries, i -> new Entry());
    }

    // ---- whom to probe ----

    /**
     * Adds or removes an endpoint as the list says. An endpoint that is not ready leaves the pool
     * at once.
     */
    void listed(EndpointState server, boolean ready) {
        server.far = server.listed.zone() != settings.zone();
        int at = Collections.binarySearch(ring, server, ORDER);
        if (ready && at < 0) {
            ring.add(-at - 1, server);
        } else if (!ready && at >= 0) {
            ring.remove(at);
        }
        rosterStale |= ready == at < 0;
        if (!ready) {
            forget(server);
        }
    }

    /**
     * Only the zones named have a place in the roster from now on, each by its part; none named:
     * all.
     */
    void shares(List<ZoneTrafficShare> zones) {
        shares = List.copyOf(zones);
        rosterStale = true;
    }

    /**
     * Fits the roster to the calls this copy has out: a caller with much to send needs more
     * endpoints.
     */
    void resize(double callsOut) {
        double covering =
                tuning.get(Parameter.ROSTER_COVER) * ring.size() / Math.max(1, settings.replicas());
        double bearing = tuning.get(Parameter.ROSTER_PER_CALL) * callsOut;
        int wanted =
                (int)
                        Math.ceil(
                                Math.max(
                                        tuning.get(Parameter.ROSTER_LEAST),
                                        Math.max(covering, bearing)));
        // A quarter of slack, so that the roster does not breathe with every call.
        if (wanted > rosterSize || wanted < rosterSize * 3 / 4) {
            rosterSize = wanted;
            rosterStale = true;
        }
    }

    /**
     * The endpoints that this copy probes and sends to: a run of the ring that starts where this
     * copy's number puts it. Guards against connections that grow as copies x endpoints: each
     * endpoint accepts a limited number, and random probing by every copy would have each of them
     * connect to all. The runs of all copies cover the ring evenly, and a change of the list moves
     * each by one endpoint at most.
     */
    List<EndpointState> roster() {
        if (rosterStale) {
            rosterStale = false;
            roster.forEach(server -> server.inRoster = false);
            List<EndpointState> before = new ArrayList<>(roster);
            roster.clear();
            for (ZoneTrafficShare share : shares) {
                double part = (double) share.parts() / RouteTable.WHOLE;
                add(
                        s -> s.listed.zone() == share.zone(),
                        (int) Math.ceil(rosterSize * (part + (1 - part) / FAR_PART)));
            }
            if (roster.isEmpty()) {
                int near = add(s -> !s.far, rosterSize);
                add(
                        s -> s.far,
                        near < tuning.get(Parameter.ROSTER_LEAST)
                                ? rosterSize
                                : rosterSize / FAR_PART);
            }
            before.removeIf(server -> server.inRoster);
            before.forEach(this::forget);
            before.stream().filter(server -> server.inFlight == 0).forEach(this::closeIdle);
        }
        return roster;
    }

    /** Takes a run of those of the ring; returns how many there are. */
    private int add(Predicate<EndpointState> which, int max) {
        List<EndpointState> from = ring.stream().filter(which).toList();
        int count = Math.min(max, from.size());
        long start = (long) settings.self() * from.size() / Math.max(1, settings.replicas());
        for (int i = 0; i < count; i++) {
            EndpointState server = from.get((int) ((start + i) % from.size()));
            server.inRoster = true;
            roster.add(server);
        }
        return from.size();
    }

    // ---- when to probe ----

    /** Takes note of how an attempt ended. */
    void ended(Outcome outcome) {
        if (outcome != Outcome.CANCELLED && outcome != Outcome.MOOT) {
            failed += FAILED_WEIGHT * ((outcome == Outcome.OK ? 0 : 1) - failed);
        }
    }

    /**
     * Pays for the probes that a call triggers: few while all goes well, more the more attempts
     * fail. Guards against paying for answers that change no pick, and against blind picks once
     * endpoints turn work away.
     */
    void call(long now) {
        expire(now);
        double calm = tuning.get(Parameter.PROBES_PER_CALL);
        double more = Math.max(0, tuning.get(Parameter.PROBES_PER_CALL_FAILING) - calm);
        double rate = calm + more * Math.min(1, failed / tuning.get(Parameter.PROBES_FAILED_SHARE));
        owed +=
                size < tuning.get(Parameter.THIN_POOL)
                        ? tuning.get(Parameter.PROBES_PER_CALL_THIN)
                        : rate;
        for (; owed >= 1; owed--) {
            probe(now);
        }
    }

    /** Called now and then: a copy without calls keeps its pool from running dry. */
    void idle(long now) {
        if (now - lastProbe >= tuning.nanos(Parameter.IDLE_MS)) {
            probe(now);
        }
    }

    /**
     * Closes connections that a burst has left behind. Guards against a table of connections that
     * fills with the peaks of many copies: it costs the endpoint capacity, and a full one turns
     * callers away.
     */
    void trim() {
        roster().stream().filter(EndpointState::trim).forEach(this::closeIdle);
    }

    /** Closes the idle connections to an endpoint. */
    void closeIdle(EndpointState server) {
        actions.closeIdle(server.id);
        server.closed();
    }

    private void probe(long now) {
        List<EndpointState> from = roster();
        if (!from.isEmpty()) {
            ask(now, from.get(random.nextInt(from.size())));
        }
    }

    /** Asks an endpoint for its load, unless it has been asked and may still answer. */
    void ask(long now, EndpointState server) {
        // Guards against never probing an endpoint again for the sake of one answer that never
        // came.
        if (settings.limits().probes()
                && (!server.probeOut || now - server.probedAt > PROBE_LOST)) {
            server.probeOut = true;
            server.probedAt = now;
            server.ownAtProbe = server.inFlight;
            lastProbe = now;
            actions.probe(server.id);
        }
    }

    /**
     * Takes in the answer to the probe that was sent at an instant. One that failed takes the
     * endpoint's entry away. Guards against an old report in place of a newer one, and against one
     * that counts twice: only the answer to the probe that is out counts.
     */
    void probed(long now, EndpointState server, Outcome outcome, long sentAt, LoadReport load) {
        if (!server.probeOut || sentAt < server.probedAt) {
            return;
        }
        server.probeOut = false;
        if (outcome != Outcome.MOOT) { // else it was never asked, for want of room in this process
            forget(server);
            server.mute = outcome != Outcome.OK && outcome != Outcome.FULL;
        }
        if (outcome != Outcome.OK
                || load == null
                || Double.isNaN(load.inFlight())
                || !server.ready()) {
            return;
        }
        server.hold.reported(now, load.inFlight() - server.ownAtProbe);
        expire(now);
        int at = size < entries.length ? size++ : oldest();
        Entry entry = entries[at];
        entry.server = server;
        entry.rif = load.inFlight();
        entry.latency =
                server.reportedLatency(
                        Double.isNaN(load.latencyMillis()) ? 0 : load.latencyMillis(),
                        tuning.get(Parameter.REPORT_WEIGHT));
        entry.at = now;
        entry.ownThen = server.ownAtProbe;
    }

    // ---- ageing ----

    private int oldest() {
        return IntStream.range(0, size)
                .boxed()
                .min(Comparator.comparingLong(i -> entries[i].at))
                .get();
    }

    private void expire(long now) {
        remove(e -> now - e.at > tuning.nanos(Parameter.MAX_AGE_MS));
    }

    private void forget(EndpointState server) {
        remove(e -> e.server == server);
    }

    private void remove(Predicate<Entry> which) {
        for (int i = size - 1; i >= 0; i--) {
            if (which.test(entries[i])) {
                Entry entry = entries[i];
                entries[i] = entries[--size];
                entries[size] = entry;
                entry.server = null;
            }
        }
    }

    // ---- the hot-cold rule ----

    /**
     * Picks an endpoint among the pool's that may take the request; null when there is none.
     *
     * @param turnover how long a request stays at an endpoint, about
     * @param may whether an endpoint may take it
     * @param suspect whether an endpoint counts as hot whatever its RIF: one that fails, or is
     *     silent
     */
    EndpointState pick(
            long now,
            double turnover,
            Predicate<EndpointState> may,
            Predicate<EndpointState> suspect) {
        roster(); // brought up to date first: a change of it takes entries away
        expire(now);
        double others = 0;
        for (int i = 0; i < size; i++) {
            others += Math.max(0, entries[i].rif - entries[i].ownThen) / size;
        }
        int sound = 0;
        for (int i = 0; i < size; i++) {
            entries[i].look(now, others, turnover);
            if (suspect.test(entries[i].server)) {
                entries[i].rifNow += SUSPECT;
            } else {
                rifs[sound++] = entries[i].rifNow;
            }
        }
        Arrays.sort(rifs, 0, sound);
        double hotAbove =
                sound == 0 ? -1 : rifs[(int) (tuning.get(Parameter.RIF_QUANTILE) * (sound - 1))];
        return Arrays.stream(entries, 0, size)
                .filter(e -> may.test(e.server))
                .reduce((best, e) -> e.before(best, hotAbove) ? e : best)
                .map(e -> e.server)
                .orElse(null);
    }

    /** How many entries there are, for tests. */
    int size() {
        return size;
    }
}
