package cedarrudder.lab.load;

import java.util.ArrayList;
import java.util.List;
import org.HdrHistogram.Histogram;

/** What is counted of a stretch of a run. Histograms hold microseconds to three digits. */
final class Counts {

    private static final int DIGITS = 3;

    /** Of one class. */
    static final class OfKind {
        final long[] ends = new long[End.values().length];
        final Histogram latency = histogram();
    }

    final List<OfKind> kinds = new ArrayList<>();

    /** Sends whose intended time has come. */
    long intended;

    /** Refusals that said when to come back. */
    long advised;

    /** Requests sent once more, since a close of the connection crossed them. */
    long resent;

    /** Connections opened. */
    long opened;

    /** How late this tool's loop turned to a send. */
    final Histogram turned = histogram();

    /** How late a request left, waiting for a connection included. */
    final Histogram left = histogram();

    /**
     * From leaving to the answer: what a tool would tell that starts its clock when it gets to
     * send.
     */
    final Histogram service = histogram();

    Counts(int kindCount) {
        for (int i = 0; i < kindCount; i++) {
            kinds.add(new OfKind());
        }
    }

    private static Histogram histogram() {
        return new Histogram(DIGITS);
    }

    void add(Counts other) {
        for (int i = 0; i < kinds.size(); i++) {
            OfKind to = kinds.get(i);
            OfKind from = other.kinds.get(i);
            for (int end = 0; end < to.ends.length; end++) {
                to.ends[end] += from.ends[end];
            }
            to.latency.add(from.latency);
        }
        intended += other.intended;
        advised += other.advised;
        resent += other.resent;
        opened += other.opened;
        turned.add(other.turned);
        left.add(other.left);
        service.add(other.service);
    }

    long ends(End end) {
        return kinds.stream().mapToLong(kind -> kind.ends[end.ordinal()]).sum();
    }

    /** Latencies of all that was served. */
    Histogram latency() {
        Histogram all = histogram();
        kinds.forEach(kind -> all.add(kind.latency));
        return all;
    }
}
