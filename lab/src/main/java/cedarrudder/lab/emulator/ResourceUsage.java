package cedarrudder.lab.emulator;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SequenceWriter;
import java.io.IOException;
import java.io.Writer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.ToLongFunction;
import org.apache.commons.math3.stat.StatUtils;

/**
 * What the daemons of a run held, looked at each second: tells what grows with time, which the most
 * that each held does not. It belongs to the thread that looks.
 */
final class ResourceUsage {

    private static final int QUARTERS = 4;

    /**
     * A shorter run has no quarters worth telling apart: a young daemon's memory still grows to its
     * size.
     */
    private static final int SECONDS_FOR_QUARTERS = 120;

    /**
     * One look at one process.
     *
     * @param incarnation counts the processes of this proxy, from 1
     * @param cpuSeconds of this process since its start
     */
    record Sample(
            int second,
            int proxy,
            int incarnation,
            long residentKib,
            long descriptors,
            double cpuSeconds) {}

    private final List<Sample> samples = new ArrayList<>();

    void add(Sample sample) {
        samples.add(sample);
    }

    /** Writes all samples as JSON lines. */
    void write(Path file) throws IOException {
        try (Writer out = Files.newBufferedWriter(file);
                SequenceWriter lines =
                        new ObjectMapper().writer().withRootValueSeparator("\n").writeValues(out)) {
            lines.writeAll(samples);
        }
    }

    /** Medians of the samples of each quarter of the run; none where it was short. */
    List<EmulationResult.Quarter> quarters() {
        int seconds = samples.isEmpty() ? 0 : samples.get(samples.size() - 1).second;
        List<EmulationResult.Quarter> quarters = new ArrayList<>();
        for (int i = 0; i < QUARTERS && seconds >= SECONDS_FOR_QUARTERS; i++) {
            int from = seconds * i / QUARTERS;
            int to = seconds * (i + 1) / QUARTERS;
            List<Sample> own =
                    samples.stream().filter(s -> s.second > from && s.second <= to).toList();
            quarters.add(
                    new EmulationResult.Quarter(
                            median(own, Sample::residentKib),
                            median(own, Sample::descriptors),
                            own.stream().mapToLong(Sample::residentKib).max().orElse(0)));
        }
        return quarters;
    }

    private static double median(List<Sample> samples, ToLongFunction<Sample> figure) {
        return samples.isEmpty()
                ? Double.NaN
                : StatUtils.percentile(
                        samples.stream().mapToDouble(figure::applyAsLong).toArray(), 50);
    }
}
