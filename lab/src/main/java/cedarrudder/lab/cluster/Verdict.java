package cedarrudder.lab.cluster;

import cedarrudder.lab.judge.Breach;
import cedarrudder.lab.judge.Event;
import cedarrudder.lab.judge.History;
import cedarrudder.lab.judge.OneAnswer;
import cedarrudder.lab.judge.OneVoice;
import cedarrudder.lab.judge.TrueDeaths;
import cedarrudder.lab.judge.Views;
import java.util.ArrayList;
import java.util.List;

/**
 * What the judge says of a history.
 *
 * @param found what is no breach of a rule, and makes the run worth nothing all the same: a copy that
 * crashed, a history with holes
 * @param events that were judged
 * @param rpcs that were asked
 * @param deaths that a copy found, over pairs
 * @param slowestSeconds the longest that one took
 * @param falseDeaths times that one that ran was taken for dead, with ground or without
 * @param agreedSeconds from the end of the faults until all held one view
 */
public record Verdict(List<Breach> breaches, List<String> found, int events, long rpcs, long deaths,
        double slowestSeconds, long falseDeaths, double agreedSeconds) {

    private static final long SECOND = 1_000_000_000L;
    private static final long LISTENS = 300_000_000L;
    private static final int AT_THE_DOOR = 2;

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
     * @param within after the faults, in which copies have to agree; nanoseconds
     */
    public static Verdict of(List<Event> events, long until, long period, long within, List<String> crashes) {
        double scale = period / USUAL;
        OneAnswer answers = new OneAnswer(Callers.PATIENCE_MILLIS * 1_000_000L, LISTENS, AT_THE_DOOR);
        TrueDeaths deaths = new TrueDeaths(new TrueDeaths.Bounds((long) (60 * SECOND * scale),
                (long) (60 * SECOND * scale), (long) (60 * SECOND * scale)));
        Views views = new Views(within);
        List<Breach> breaches = History.judged(events, until,
                List.of(answers, new OneVoice(), deaths, views));
        List<String> found = new ArrayList<>(crashes);
        events.stream().filter(event -> event.what().equals("lost")).forEach(event -> found.add("copy "
                + event.copy() + " lost " + event.text("events") + " events of its history"));
        return new Verdict(breaches, found, events.size(), answers.asked(), deaths.found(),
                (double) deaths.longestToFind() / SECOND, deaths.falseDeaths(),
                (double) views.agreedAfter() / SECOND);
    }
}
