package cedarrudder.lab.emulator;

import cedarrudder.lab.model.Caller;
import java.util.Arrays;
import org.HdrHistogram.Histogram;

/** What clients saw since somebody last looked: tries by how they ended. Used on the loop. */
final class ClientOutcomes {

    final long[] ends = new long[Caller.End.values().length];
    long tries;

    /** From a try's send to its answer, served ones only; microseconds. */
    final Histogram latency = new Histogram(3);

    void clear() {
        Arrays.fill(ends, 0);
        tries = 0;
        latency.reset();
    }
}
