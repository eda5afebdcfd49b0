package cedarrudder.lab.attack;

import java.util.Set;

/**
 * What an attack is owed.
 *
 * @param statuses what each final answer may be
 * @param answers how many final answers are owed
 * @param closeDoes whether a close without an answer does as well
 * @param end what must become of the connection
 * @param reaches whether a request that is answered 200 has reached a node; nothing else ever may
 * @param withinMillis the first final answer, or the close, comes no later than this after the
 *     connection did
 * @param source the rule: a section of an RFC, or a bound of our own
 */
public record ExpectedAnswer(
        Set<Integer> statuses,
        int answers,
        boolean closeDoes,
        End end,
        boolean reaches,
        int withinMillis,
        String source) {

    /** What becomes of the connection behind the answer. */
    public enum End {
        /** A sound request behind it is served. */
        OPEN,
        /** It ends. */
        CLOSED,
        /** Either of the two. */
        EITHER
    }

    /** Whoever sends what is no request gets an answer or a close by then: a bound of our own. */
    private static final int ANSWERED_BY = 3000;

    /** Served, and what comes behind it too. */
    public static ExpectedAnswer served(String source) {
        return new ExpectedAnswer(Set.of(200), 1, false, End.OPEN, true, ANSWERED_BY, source);
    }

    /** Served, and the connection ends. */
    public static ExpectedAnswer servedAndClosed(String source) {
        return new ExpectedAnswer(Set.of(200), 1, false, End.CLOSED, true, ANSWERED_BY, source);
    }

    /** Rejected with one of these statuses, and the connection ends. Nothing reaches a node. */
    public static ExpectedAnswer refused(String source, Integer... statuses) {
        return new ExpectedAnswer(
                Set.of(statuses), 1, false, End.CLOSED, true, ANSWERED_BY, source);
    }

    /** Served, or rejected with one of these statuses. */
    public static ExpectedAnswer servedOr(String source, Integer... statuses) {
        Set<Integer> all = new java.util.TreeSet<>(Set.of(statuses));
        all.add(200);
        return new ExpectedAnswer(Set.copyOf(all), 1, false, End.EITHER, true, ANSWERED_BY, source);
    }

    /** An end in time, with or without one of these statuses. Nothing reaches a node. */
    public static ExpectedAnswer closed(String source, Integer... statuses) {
        return new ExpectedAnswer(Set.of(statuses), 1, true, End.CLOSED, true, ANSWERED_BY, source);
    }

    /** The same with this many answers. */
    public ExpectedAnswer times(int count) {
        return new ExpectedAnswer(statuses, count, closeDoes, end, reaches, withinMillis, source);
    }

    /** The same with another end. */
    public ExpectedAnswer ends(End other) {
        return new ExpectedAnswer(
                statuses, answers, closeDoes, other, reaches, withinMillis, source);
    }

    /** The same with other patience. */
    public ExpectedAnswer within(int millis) {
        return new ExpectedAnswer(statuses, answers, closeDoes, end, reaches, millis, source);
    }

    /** The same, answered by the daemon itself: nothing reaches a node. */
    public ExpectedAnswer itself() {
        return new ExpectedAnswer(statuses, answers, closeDoes, end, false, withinMillis, source);
    }

    /** In a few words, as a table has it. */
    @Override
    public String toString() {
        StringBuilder text = new StringBuilder();
        statuses.stream().sorted().forEach(s -> text.append(text.isEmpty() ? "" : "/").append(s));
        if (answers > 1) {
            text.append(" x").append(answers);
        }
        if (closeDoes) {
            text.append(text.isEmpty() ? "" : " or ").append("close");
        } else if (end == End.CLOSED) {
            text.append(", close");
        } else if (end == End.OPEN) {
            text.append(", open");
        }
        return text.append(" <").append(withinMillis / 1000.0).append(" s").toString();
    }
}
