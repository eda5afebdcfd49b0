package cedarrudder.lab.load;

import java.io.Closeable;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.HdrHistogram.Histogram;
import org.HdrHistogram.HistogramLogWriter;

/** Latencies by interval in HdrHistogram's log format: microseconds, maxima in milliseconds. */
final class IntervalLog implements Closeable {

    private static final double MICROS_IN_A_MILLI = 1000;

    private final PrintStream out;
    private final HistogramLogWriter writer;

    /** Begins a log, over what is there. {@code startMillis}: Unix time of the run's start. */
    IntervalLog(Path file, long startMillis) throws IOException {
        out = new PrintStream(Files.newOutputStream(file), false, StandardCharsets.UTF_8);
        writer = new HistogramLogWriter(out);
        writer.outputLogFormatVersion();
        writer.outputStartTime(startMillis);
        writer.setBaseTime(startMillis);
        writer.outputLegend();
    }

    /** Writes one interval, its ends in seconds since the start. */
    void write(Histogram latencies, double from, double to) {
        writer.outputIntervalHistogram(from, to, latencies, MICROS_IN_A_MILLI);
    }

    /** Ends it; an IOException where not all could be written. */
    @Override
    public void close() throws IOException {
        boolean failed = out.checkError();
        out.close();
        if (failed) {
            throw new IOException("the log of latencies could not be written whole");
        }
    }
}
