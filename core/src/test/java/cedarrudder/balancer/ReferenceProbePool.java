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
 * The probe pool as the design page and the paper describe it, based on the list of all probes and
 * responses: the valid entries are derived anew at each query. This is slow, but there is no stored
 * state that could be wrong.
 */
final class ReferenceProbePool {

    /**
     * A probe that was sent, with this replica's own requests in flight at the server at that time.
     */
    private record ProbeSent(long at, EndpointState server, int ownInFlight) {}

    /** A probe response, and when its probe was sent. */
    private record ProbeAnswered(
            long at, EndpointState server, long probedAt, Outcome outcome, LoadReport load) {}

    /**
     * From this event on, the earlier reports of a server are ignored: it is no longer listed as
     * ready, or no longer probed.
     */
    private record Removed(long at, EndpointState server) {}

    /** An entry of the pool: a report that is still valid. */
    record Valid(EndpointState server, long at, double rif, double latency, int ownInFlight) {}

    private final List<Object> history = new ArrayList<>();
    private Set<EndpointState> members = Set.of();

    void probeSent(long now, EndpointState server, int ownInFlight) {
        history.add(new ProbeSent(now, server, ownInFlight));
    }

    void probeAnswered(
            long now, EndpointState server, long probedAt, Outcome outcome, LoadReport load) {
        history.add(new ProbeAnswered(now, server, probedAt, outcome, load));
    }

    void unlisted(long now, EndpointState server) {
        history.add(new Removed(now, server));
    }

    /** Records the servers that are probed from now on. */
    void membersChanged(long now, Set<EndpointState> servers) {
        members.stream()
                .filter(s -> !servers.contains(s))
                .forEach(s -> history.add(new Removed(now, s)));
        members = servers;
    }

    /** Returns the entries that are valid now, at most as many as the pool holds. */
    List<Valid> valid(long now) {
        List<Valid> valid = new ArrayList<>();
        for (int i = 0; i < history.size(); i++) {
            if (history.get(i) instanceof Removed removed) {
                valid.removeIf(v -> v.server() == removed.server());
            } else if (history.get(i) instanceof ProbeAnswered probeAnswered
                    && isAccepted(i)
                    && probeAnswered.outcome() != Outcome.NOT_STARTED) {
                valid.removeIf(
                        v -> v.server() == probeAnswered.server() || tooOld(probeAnswered.at(), v));
                if (probeAnswered.outcome() == Outcome.OK && probeAnswered.load() != null) {
                    if (valid.size()
                            == (int) BalancerParameters.DEFAULTS.get(Parameter.POOL_CAPACITY)) {
                        valid.remove(
                                valid.stream()
                                        .min(Comparator.comparingLong(Valid::at))
                                        .orElseThrow());
                    }
                    valid.add(
                            new Valid(
                                    probeAnswered.server(),
                                    probeAnswered.at(),
                                    probeAnswered.load().inFlight(),
                                    latency(i),
                                    probeOf(i).ownInFlight()));
                }
            }
        }
        valid.removeIf(v -> tooOld(now, v));
        return valid;
    }

    private static boolean tooOld(long now, Valid valid) {
        return now - valid.at() > BalancerParameters.DEFAULTS.nanos(Parameter.PROBE_MAX_AGE_MS);
    }

    /** Returns the last probe of a server before an answer, or null if there is none. */
    private ProbeSent probeOf(int answer) {
        ProbeSent last = null;
        for (Object event : history.subList(0, answer)) {
            last =
                    event instanceof ProbeSent probeSent
                                    && probeSent.server()
                                            == ((ProbeAnswered) history.get(answer)).server()
                            ? probeSent
                            : last;
        }
        return last;
    }

    /**
     * Returns whether an answer is accepted: only the first one to the last probe of its server.
     */
    private boolean isAccepted(int answer) {
        ProbeAnswered probeAnswered = (ProbeAnswered) history.get(answer);
        ProbeSent probe = probeOf(answer);
        if (probe == null || probeAnswered.probedAt() != probe.at()) {
            return false;
        }
        return history.subList(0, answer).stream()
                .noneMatch(
                        e ->
                                e instanceof ProbeAnswered earlier
                                        && earlier.server() == probeAnswered.server()
                                        && earlier.probedAt() == probe.at());
    }

    /**
     * Returns the reported latency, smoothed over the accepted reports of this incarnation of the
     * server.
     */
    private double latency(int answer) {
        double smoothed = 0;
        for (int i = 0; i <= answer; i++) {
            if (history.get(i) instanceof ProbeAnswered probeAnswered
                    && probeAnswered.server() == ((ProbeAnswered) history.get(answer)).server()
                    && probeAnswered.outcome() == Outcome.OK
                    && probeAnswered.load() != null
                    && isAccepted(i)) {
                double weight =
                        smoothed == 0
                                ? 1
                                : BalancerParameters.DEFAULTS.get(
                                        Parameter.REPORTED_LATENCY_WEIGHT);
                smoothed += weight * (probeAnswered.load().latencyMillis() - smoothed);
            }
        }
        return smoothed;
    }

    /**
     * Returns the estimated number of requests in flight at a server: those of this replica are
     * known, those of others decay to the mean of the pool.
     */
    private static double inFlight(long now, Valid entry, double others, double turnover) {
        double age = now - entry.at() + BalancerParameters.DEFAULTS.nanos(Parameter.REPORT_AGE_MS);
        double retained = Math.exp(-age / turnover);
        EndpointState server = entry.server();
        return server.inFlight()
                + (server.needsNewConnection() && !server.isUnused() ? 1 : 0)
                + (server.isInOtherZone() ? 1 : 0)
                + Math.max(0, others + (entry.rif() - entry.ownInFlight() - others) * retained);
    }

    /**
     * Returns the servers that the hot-cold rule may pick: those with the lowest latency among the
     * cold entries, or else with the fewest requests in flight.
     */
    List<EndpointState> picks(
            long now,
            double turnover,
            Predicate<EndpointState> eligible,
            Predicate<EndpointState> suspect) {
        List<Valid> valid = valid(now);
        double others =
                valid.stream().mapToDouble(v -> Math.max(0, v.rif() - v.ownInFlight())).sum()
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
        List<Valid> allowed = valid.stream().filter(v -> eligible.test(v.server())).toList();
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
        List<Valid> notSuspect = allowed.stream().filter(v -> !suspect.test(v.server())).toList();
        return min(
                notSuspect.isEmpty() ? allowed : notSuspect,
                v -> inFlight(now, v, others, turnover));
    }

    /** Returns all servers that tie for the minimum. */
    private static List<EndpointState> min(List<Valid> among, ToDoubleFunction<Valid> by) {
        double min = among.stream().mapToDouble(by).min().orElse(0);
        return among.stream()
                .filter(v -> by.applyAsDouble(v) <= min + 1e-9)
                .map(Valid::server)
                .toList();
    }
}
