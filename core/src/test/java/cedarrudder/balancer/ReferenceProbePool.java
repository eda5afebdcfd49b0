package cedarrudder.balancer;

import cedarrudder.balancer.BalancerParameters.Parameter;
import cedarrudder.balancer.LoadBalancer.LoadReport;
import cedarrudder.balancer.LoadBalancer.Outcome;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;

/**
 * The pool as the design page and the paper say it, kept as the list of all that was asked and
 * told: what is valid is derived anew at each question. Slow, and without entries that could go
 * wrong.
 */
final class ReferenceProbePool {

    /** A probe that went out, with this replica's own requests there at that time. */
    private record Asked(long at, EndpointState server, int own) {}

    /** What came back, and when the probe that it answers was sent. */
    private record Told(
            long at, EndpointState server, long askedAt, Outcome outcome, LoadReport load) {}

    /**
     * From now on a server's reports count for nothing: it is no longer listed as ready, or not
     * probed.
     */
    private record Forgotten(long at, EndpointState server) {}

    /** An entry: a report that still counts. */
    record Valid(EndpointState server, long at, double rif, double latency, int own) {}

    private final List<Object> history = new ArrayList<>();
    private Set<EndpointState> roster = Set.of();

    void asked(long now, EndpointState server, int own) {
        history.add(new Asked(now, server, own));
    }

    void told(long now, EndpointState server, long askedAt, Outcome outcome, LoadReport load) {
        history.add(new Told(now, server, askedAt, outcome, load));
    }

    void unlisted(long now, EndpointState server) {
        history.add(new Forgotten(now, server));
    }

    /** Those that are probed now. */
    void roster(long now, Set<EndpointState> servers) {
        roster.stream()
                .filter(s -> !servers.contains(s))
                .forEach(s -> history.add(new Forgotten(now, s)));
        roster = servers;
    }

    /** The reports that count now, of those that may hold this many places. */
    List<Valid> valid(long now) {
        List<Valid> valid = new ArrayList<>();
        for (int i = 0; i < history.size(); i++) {
            if (history.get(i) instanceof Forgotten gone) {
                valid.removeIf(v -> v.server() == gone.server());
            } else if (history.get(i) instanceof Told told
                    && counts(i)
                    && told.outcome() != Outcome.NOT_STARTED) {
                valid.removeIf(v -> v.server() == told.server() || tooOld(told.at(), v));
                if (told.outcome() == Outcome.OK && told.load() != null) {
                    if (valid.size()
                            == (int) BalancerParameters.DEFAULTS.get(Parameter.POOL_CAPACITY)) {
                        valid.remove(
                                valid.stream()
                                        .min(Comparator.comparingLong(Valid::at))
                                        .orElseThrow());
                    }
                    valid.add(
                            new Valid(
                                    told.server(),
                                    told.at(),
                                    told.load().inFlight(),
                                    latency(i),
                                    probeOf(i).own()));
                }
            }
        }
        valid.removeIf(v -> tooOld(now, v));
        return valid;
    }

    private static boolean tooOld(long now, Valid valid) {
        return now - valid.at() > BalancerParameters.DEFAULTS.nanos(Parameter.PROBE_MAX_AGE_MS);
    }

    /** The last probe of a server before an answer; null where there is none. */
    private Asked probeOf(int answer) {
        Asked last = null;
        for (Object event : history.subList(0, answer)) {
            last =
                    event instanceof Asked asked
                                    && asked.server() == ((Told) history.get(answer)).server()
                            ? asked
                            : last;
        }
        return last;
    }

    /** An answer counts when it is the first to the last probe of its server. */
    private boolean counts(int answer) {
        Told told = (Told) history.get(answer);
        Asked probe = probeOf(answer);
        if (probe == null || told.askedAt() != probe.at()) {
            return false;
        }
        return history.subList(0, answer).stream()
                .noneMatch(
                        e ->
                                e instanceof Told earlier
                                        && earlier.server() == told.server()
                                        && earlier.askedAt() == probe.at());
    }

    /** The reported latency, smoothed over the reports of this life of the server that counted. */
    private double latency(int answer) {
        double smoothed = 0;
        for (int i = 0; i <= answer; i++) {
            if (history.get(i) instanceof Told told
                    && told.server() == ((Told) history.get(answer)).server()
                    && told.outcome() == Outcome.OK
                    && told.load() != null
                    && counts(i)) {
                double weight =
                        smoothed == 0
                                ? 1
                                : BalancerParameters.DEFAULTS.get(
                                        Parameter.REPORTED_LATENCY_WEIGHT);
                smoothed += weight * (told.load().latencyMillis() - smoothed);
            }
        }
        return smoothed;
    }

    /**
     * Requests in flight there, by now: own ones are known, those of others age to the mean of the
     * pool.
     */
    private static double inFlight(long now, Valid entry, double others, double turnover) {
        double age = now - entry.at() + BalancerParameters.DEFAULTS.nanos(Parameter.REPORT_AGE_MS);
        double kept = Math.exp(-age / turnover);
        EndpointState server = entry.server();
        return server.inFlight()
                + (server.needsNewConnection() && !server.isUnused() ? 1 : 0)
                + (server.isInOtherZone() ? 1 : 0)
                + Math.max(0, others + (entry.rif() - entry.own() - others) * kept);
    }

    /** The hot-cold rule: those with the least latency among the cold, else the least in flight. */
    List<EndpointState> picks(
            long now,
            double turnover,
            Predicate<EndpointState> may,
            Predicate<EndpointState> suspect) {
        List<Valid> valid = valid(now);
        double others =
                valid.stream().mapToDouble(v -> Math.max(0, v.rif() - v.own())).sum()
                        / Math.max(1, valid.size());
        List<Double> rifs =
                valid.stream()
                        .filter(v -> !suspect.test(v.server()))
                        .map(v -> inFlight(now, v, others, turnover))
                        .sorted()
                        .toList();
        double limit =
                rifs.isEmpty()
                        ? -1
                        : rifs.get(
                                (int)
                                        (BalancerParameters.DEFAULTS.get(Parameter.RIF_QUANTILE)
                                                * (rifs.size() - 1)));
        List<Valid> allowed = valid.stream().filter(v -> may.test(v.server())).toList();
        List<Valid> cold =
                allowed.stream()
                        .filter(
                                v ->
                                        !suspect.test(v.server())
                                                && inFlight(now, v, others, turnover)
                                                        <= limit + 1e-9)
                        .toList();
        if (!cold.isEmpty()) {
            return min(
                    cold,
                    v ->
                            v.server().isUnused()
                                    ? 0
                                    : v.latency() * (1 + inFlight(now, v, others, turnover)));
        }
        List<Valid> sound = allowed.stream().filter(v -> !suspect.test(v.server())).toList();
        return min(sound.isEmpty() ? allowed : sound, v -> inFlight(now, v, others, turnover));
    }

    /** All that tie for the least. */
    private static List<EndpointState> min(List<Valid> among, ToDoubleFunction<Valid> by) {
        double min = among.stream().mapToDouble(by).min().orElse(0);
        return among.stream()
                .filter(v -> by.applyAsDouble(v) <= min + 1e-9)
                .map(Valid::server)
                .toList();
    }
}
