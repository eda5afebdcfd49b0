package cedarrudder.lab.load;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.HdrHistogram.Histogram;

/**
 * What a load run came to. Times are milliseconds; latencies count from the intended time of
 * sending.
 *
 * @param seconds over which sends were intended
 * @param intended sends that were to leave
 * @param ends how they ended, by the name of the end
 * @param latency of what was served
 * @param service the same from the time of leaving: smaller where requests had to wait for a
 *     connection
 * @param turned how late this tool turned to its sends: its own error
 * @param left how late requests left, for its own lateness and for want of a free connection
 * @param kept whether the rate was kept
 * @param problems why it was not; empty where it was
 */
public record LoadResult(
        double seconds,
        long intended,
        double intendedPerSecond,
        double servedPerSecond,
        Map<String, Long> ends,
        long advised,
        long resent,
        long opened,
        Times latency,
        Times service,
        Times turned,
        Times left,
        List<KindResult> kinds,
        boolean kept,
        List<String> problems) {

    private static final double REPORTED_PERCENTILE = 99;

    /** Percentiles; all 0 where there is nothing. */
    public record Times(long count, double p50, double p90, double p99, double p999, double max) {

        static Times of(Histogram micros) {
            return new Times(
                    micros.getTotalCount(),
                    at(micros, 50),
                    at(micros, 90),
                    at(micros, 99),
                    at(micros, 99.9),
                    at(micros, 100));
        }

        private static double at(Histogram micros, double percentile) {
            return micros.getTotalCount() == 0
                    ? 0
                    : micros.getValueAtPercentile(percentile) / 1000.0;
        }
    }

    /** One class. */
    public record KindResult(String name, Map<String, Long> ends, Times latency) {}

    static LoadResult of(Options options, Counts counts) {
        double seconds = options.rate().seconds() - options.leadSeconds();
        List<KindResult> kinds = new ArrayList<>();
        Map<String, Long> ends = new LinkedHashMap<>();
        for (End end : End.values()) {
            ends.put(name(end), counts.ends(end));
        }
        for (int i = 0; i < counts.kinds.size(); i++) {
            Counts.OfKind kind = counts.kinds.get(i);
            Map<String, Long> own = new LinkedHashMap<>();
            for (End end : End.values()) {
                own.put(name(end), kind.ends[end.ordinal()]);
            }
            kinds.add(
                    new KindResult(
                            options.traffic().kinds().get(i).name(), own, Times.of(kind.latency)));
        }
        List<String> problems = problems(options, counts);
        return new LoadResult(
                seconds,
                counts.intended,
                counts.intended / seconds,
                counts.ends(End.SERVED) / seconds,
                ends,
                counts.advised,
                counts.resent,
                counts.opened,
                Times.of(counts.latency()),
                Times.of(counts.service),
                Times.of(counts.turned),
                Times.of(counts.left),
                List.copyOf(kinds),
                problems.isEmpty(),
                problems);
    }

    private static List<String> problems(Options options, Counts counts) {
        List<String> problems = new ArrayList<>();
        double max = options.maxLateMillis();
        double turned = counts.turned.getValueAtPercentile(REPORTED_PERCENTILE) / 1000.0;
        double left = counts.left.getValueAtPercentile(REPORTED_PERCENTILE) / 1000.0;
        if (turned > max) {
            problems.add(
                    String.format(
                            Locale.ROOT,
                            "this tool ran late: 1 in 100 sends was turned to "
                                    + "%.1f ms or more after its time (allowed: %.1f)",
                            turned,
                            max));
        } else if (left > max) {
            problems.add(
                    String.format(
                            Locale.ROOT,
                            "no connection was free: 1 in 100 requests left %.1f ms or more after"
                                    + " its time (allowed: %.1f); %d connections at the most",
                            left,
                            max,
                            options.connections()));
        }
        long unsent = counts.ends(End.UNSENT);
        if (unsent > 0) {
            problems.add(unsent + " requests never left: no connection was free by their deadline");
        }
        return List.copyOf(problems);
    }

    private static String name(End end) {
        return end.name().toLowerCase(Locale.ROOT).replace('_', ' ');
    }

    /** The result as lines for a terminal. */
    public List<String> lines() {
        List<String> lines = new ArrayList<>();
        lines.add(
                String.format(
                        Locale.ROOT,
                        "%d requests in %.1f s: %.1f a second intended, %.1f served",
                        intended,
                        seconds,
                        intendedPerSecond,
                        servedPerSecond));
        lines.add(
                "ends: "
                        + shown(ends)
                        + "; "
                        + advised
                        + " told when to come back, "
                        + resent
                        + " sent once more, "
                        + opened
                        + " connections opened");
        lines.add("latency    " + shown(latency));
        for (KindResult kind : kinds) {
            if (kinds.size() > 1) {
                lines.add(
                        "  "
                                + kind.name()
                                + ": "
                                + shown(kind.ends())
                                + ", "
                                + shown(kind.latency()));
            }
        }
        lines.add("service    " + shown(service) + " (from leaving; not the callers' time)");
        lines.add("own error  " + shown(turned) + " (turned to a send after its time)");
        lines.add("left late  " + shown(left));
        problems.forEach(problem -> lines.add("THE RATE WAS NOT KEPT: " + problem));
        return lines;
    }

    private static String shown(Map<String, Long> ends) {
        StringBuilder text = new StringBuilder();
        ends.forEach(
                (name, count) -> {
                    if (count > 0) {
                        text.append(text.length() == 0 ? "" : ", ")
                                .append(count)
                                .append(' ')
                                .append(name);
                    }
                });
        return text.length() == 0 ? "none" : text.toString();
    }

    private static String shown(Times times) {
        return String.format(
                Locale.ROOT,
                "p50 %.3f  p90 %.3f  p99 %.3f  p99.9 %.3f  max %.3f ms",
                times.p50(),
                times.p90(),
                times.p99(),
                times.p999(),
                times.max());
    }
}
