package cedarrudder.draining;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.IntPredicate;

/**
 * What all replicas, the leader included, have reported to the leader. It is not part of the
 * replicated state.
 */
final class ReportedDrainProgress {

    private static final class ReplicaReport {
        private long version;
        private long reportedAt;
        private boolean hasReported;
        private long lastAliveAt;
        private TrafficSample trafficSample = TrafficSample.NONE;
        private int disabled;
        private final Map<Integer, NodeRequests> requests = new HashMap<>();
        private final Map<Long, Long> disabledAt = new HashMap<>();
    }

    private record NodeRequests(long version, int inFlight) {}

    private final DrainSettings settings;
    private final ReplicaReport[] replicas;

    ReportedDrainProgress(DrainSettings settings, int replicas) {
        this.settings = settings;
        this.replicas = new ReplicaReport[replicas];
        reset(0);
    }

    /**
     * Discards all reports, as the leadership has changed. Each replica is taken to have been alive
     * until now.
     */
    void reset(long now) {
        for (int i = 0; i < replicas.length; i++) {
            replicas[i] = new ReplicaReport();
            replicas[i].lastAliveAt = now;
        }
    }

    void onReport(long now, int from, DrainReport report, DrainStateMachine agreed) {
        ReplicaReport replica = replicas[from];
        replica.version = report.version();
        replica.reportedAt = now;
        replica.hasReported = true;
        replica.trafficSample = report.trafficSample();
        replica.disabled = report.disabled();
        for (long node : report.disabledSample()) {
            replica.disabledAt.put(node, now);
        }
        long stale =
                now
                        - settings.reportTimeout()
                                * (1 + report.disabled() / DrainReport.maxDisabledSample());
        replica.disabledAt.values().removeIf(at -> at < stale);
        Map<Integer, Integer> inFlight = new HashMap<>();
        report.inFlight().forEach(each -> inFlight.put(each.slot(), each.requests()));
        for (Iterator<Integer> slots = replica.requests.keySet().iterator(); slots.hasNext(); ) {
            Drain drain = agreed.drainInSlot(slots.next());
            if (drain == null || !drain.state.isOpen()) {
                slots.remove();
            }
        }
        for (Drain drain : agreed.drains()) {
            if (drain.state.isOpen()
                    && drain.slot >= report.firstSlot()
                    && drain.slot <= report.lastSlot()) {
                replica.requests.put(
                        drain.slot,
                        new NodeRequests(report.version(), inFlight.getOrDefault(drain.slot, 0)));
            }
        }
    }

    /** Records when each live replica was last alive. */
    void update(long now, IntPredicate alive) {
        for (int i = 0; i < replicas.length; i++) {
            if (alive.test(i)) {
                replicas[i].lastAliveAt = now;
            }
        }
    }

    /** Returns whether drains have to wait for a replica: it was alive recently. */
    private boolean isAwaited(long now, int replica) {
        return now - replicas[replica].lastAliveAt < settings.forgetAfter();
    }

    private boolean isLive(long now, int replica) {
        return replicas[replica].lastAliveAt == now;
    }

    private boolean isFresh(long now, ReplicaReport replica) {
        return replica.hasReported && now - replica.reportedAt < settings.reportTimeout();
    }

    /** Returns the number of live replicas without a recent report. */
    int liveReplicasWithoutReport(long now) {
        int withoutReport = 0;
        for (int i = 0; i < replicas.length; i++) {
            withoutReport += isLive(now, i) && !isFresh(now, replicas[i]) ? 1 : 0;
        }
        return withoutReport;
    }

    int liveReplicas(long now) {
        int live = 0;
        for (int i = 0; i < replicas.length; i++) {
            live += isLive(now, i) ? 1 : 0;
        }
        return live;
    }

    /** Returns whether all awaited replicas have applied the state of this version. */
    boolean allHaveApplied(long now, long version) {
        for (int i = 0; i < replicas.length; i++) {
            if (isAwaited(now, i)
                    && (!replicas[i].hasReported
                            || replicas[i].version < version
                            || isLive(now, i) && !isFresh(now, replicas[i]))) {
                return false;
            }
        }
        return true;
    }

    /**
     * Returns the replicas whose requests in flight, known or possible, keep a drain open; empty if
     * there are none.
     */
    List<DrainCommand.RemainingRequests> remainingRequests(long now, Drain drain) {
        List<DrainCommand.RemainingRequests> remaining = new ArrayList<>();
        for (int i = 0; i < replicas.length; i++) {
            if (isAwaited(now, i)) {
                NodeRequests reportedRequests = replicas[i].requests.get(drain.slot);
                boolean known =
                        reportedRequests != null
                                && reportedRequests.version >= drain.stateVersion
                                && (isFresh(now, replicas[i]) || !isLive(now, i));
                if (!known || reportedRequests.inFlight > 0) {
                    remaining.add(
                            new DrainCommand.RemainingRequests(
                                    drain.slot, i, known ? reportedRequests.inFlight : -1));
                }
            }
        }
        return remaining;
    }

    /** Returns the sum of the traffic samples that live replicas have reported recently. */
    TrafficSample trafficSample(long now) {
        TrafficSample sum = TrafficSample.NONE;
        for (int i = 0; i < replicas.length; i++) {
            sum =
                    isLive(now, i) && isFresh(now, replicas[i])
                            ? sum.plus(replicas[i].trafficSample)
                            : sum;
        }
        return sum;
    }

    /**
     * Returns the nodes that are disabled at some live replica, or null if a live replica has not
     * reported all nodes that are disabled there yet.
     */
    Set<Long> disabled(long now) {
        Set<Long> all = new HashSet<>();
        for (int i = 0; i < replicas.length; i++) {
            if (isLive(now, i)) {
                if (replicas[i].disabledAt.size() < replicas[i].disabled) {
                    return null;
                }
                all.addAll(replicas[i].disabledAt.keySet());
            }
        }
        return all;
    }
}
