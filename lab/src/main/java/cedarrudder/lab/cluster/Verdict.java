package cedarrudder.lab.cluster;

import cedarrudder.lab.checker.ConcurrentDisruptions;
import cedarrudder.lab.checker.DrainInvariants;
import cedarrudder.lab.checker.FailureDetection;
import cedarrudder.lab.checker.FootprintInvariants;
import cedarrudder.lab.checker.History;
import cedarrudder.lab.checker.HistoryEvent;
import cedarrudder.lab.checker.LeaseSafety;
import cedarrudder.lab.checker.MembershipConvergence;
import cedarrudder.lab.checker.SingleFinalAnswer;
import cedarrudder.lab.checker.SingleLeader;
import cedarrudder.lab.checker.SingleSpeaker;
import cedarrudder.lab.checker.SingleTable;
import cedarrudder.lab.checker.TableConvergence;
import cedarrudder.lab.checker.Violation;
import cedarrudder.lab.checker.ZoneEvacuation;
import cedarrudder.lab.checker.ZoneLoad;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * What the judge says of a history.
 *
 * @param found what is no breach of a rule, and makes the run worth nothing all the same: a replica
 *     that crashed, a history with holes
 * @param events that were judged
 * @param requests that were asked
 * @param deaths that a replica found, over pairs
 * @param slowestSeconds the longest that one took
 * @param falseDeaths times that one that ran was taken for dead, with ground or without
 * @param agreedSeconds from the end of the faults until all held one view
 * @param leaders that there were
 * @param tables that there were
 * @param service what clients got
 */
public record Verdict(
        List<Violation> breaches,
        List<String> found,
        int events,
        long requests,
        long deaths,
        double slowestSeconds,
        long falseDeaths,
        double agreedSeconds,
        long leaders,
        long tables,
        ServiceSummary service) {

    private static final long SECOND = 1_000_000_000L;
    private static final long LISTENS = 300_000_000L;
    private static final int AT_THE_DOOR = 2;

    /** What a killed process did so shortly before may be missing from its history. */
    private static final long UNWRITTEN = SECOND;

    /**
     * The oldest word that arrives: the relay keeps one for 0.3 s and a delay, and a machine may be
     * busy.
     */
    private static final long UNDER_WAY = SECOND;

    /** The rule is 2 s; on the way to a node a call may wait for a busy machine. */
    private static final long STOPS = 2 * SECOND + SECOND / 2;

    /** What is over its time is said to be, over the time that a leader's loss takes. */
    private static final long GRACE = 10 * SECOND;

    /** Replicas find out by then that a node is down. */
    private static final long KNOWN = 5 * SECOND;

    /** What was seen of a zone longer ago is no ground to leave it. */
    private static final long WINDOW = 10 * SECOND;

    /** As docs/FOOTPRINT.md has it. */
    private static final double ERROR = 0.03;

    /** What the defaults of failover promise, and what clients by chance may add. */
    private static final ZoneLoad.Bounds LOAD = new ZoneLoad.Bounds(0.92, 0.1, 10 * SECOND, 8);

    /** What is allowed to membership at its usual period of 500 ms; others in proportion. */
    private static final double USUAL = 5e8;

    /** Whether all rules were kept and nothing else was found. */
    public boolean good() {
        return breaches.isEmpty() && found.isEmpty();
    }

    /**
     * Judges.
     *
     * @param events in the order of time
     * @param until when the history ended
     * @param period of membership, by which its bounds go; nanoseconds
     * @param within after the faults, in which replicas have to agree; nanoseconds
     */
    public static Verdict of(
            List<HistoryEvent> events, long until, long period, long within, List<String> crashes) {
        double scale = period / USUAL;
        SingleFinalAnswer answers =
                new SingleFinalAnswer(
                        TestClients.PATIENCE_MILLIS * 1_000_000L, LISTENS, AT_THE_DOOR);
        FailureDetection deaths =
                new FailureDetection(
                        new FailureDetection.Bounds(
                                (long) (60 * SECOND * scale),
                                (long) (60 * SECOND * scale),
                                (long) (60 * SECOND * scale)));
        MembershipConvergence views = new MembershipConvergence(within);
        List<Violation> breaches =
                History.judged(
                        events,
                        until,
                        List.of(
                                answers,
                                new SingleSpeaker(),
                                deaths,
                                views,
                                new SingleTable(UNWRITTEN),
                                new SingleLeader(),
                                new TableConvergence(within),
                                new LeaseSafety(UNDER_WAY),
                                new ZoneEvacuation(WINDOW),
                                new ZoneLoad(LOAD),
                                new ConcurrentDisruptions(KNOWN),
                                new DrainInvariants(STOPS, GRACE),
                                new FootprintInvariants(ERROR)));
        List<String> found = new ArrayList<>(crashes);
        events.stream()
                .filter(event -> event.what().equals("lost"))
                .forEach(
                        event ->
                                found.add(
                                        "copy "
                                                + event.replica()
                                                + " lost "
                                                + event.text("events")
                                                + " events of its history"));
        return new Verdict(
                breaches,
                found,
                events.size(),
                answers.asked(),
                deaths.found(),
                (double) deaths.longestToFind() / SECOND,
                deaths.falseDeaths(),
                (double) views.agreedAfter() / SECOND,
                different(events, "leads", "group", "term"),
                different(events, "table", "number"),
                ServiceSummary.of(events));
    }

    private static long different(List<HistoryEvent> events, String what, String... fields) {
        return events.stream()
                .filter(event -> event.what().equals(what))
                .map(event -> Arrays.stream(fields).map(event::text).toList())
                .distinct()
                .count();
    }
}
