package cedarrudder.draining;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.IntPredicate;

/** What all replicas have reported to the leader, itself among them. It is no part of the state. */
final class ReportedDrainProgress {

    private static final class ReplicaReport {
        private long version;
        private long reportedAt;
        private boolean hasReported;
        private long lastAliveAt;
        private TrafficSample trafficSample = TrafficSample.NONE;
        private int disabled;
        private final Map<Integer, NodeCalls> calls = new HashMap<>();
        private final Map<Long, Long> disabledAt = new HashMap<>();
    }

    private record NodeCalls(long version, int calls) {}

    private final DrainSettings settings;
    private final ReplicaReport[] replicas;

    ReportedDrainProgress(DrainSettings settings, int replicas) {
        this.settings = settings;
        this.replicas = new ReplicaReport[replicas];
        reset(0);
    }

    /**
     * This replica begins to lead: it knows nothing of the others, and each may have lived until
     * now.
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
        Map<Integer, Integer> calls = new HashMap<>();
        report.calls().forEach(each -> calls.put(each.slot(), each.calls()));
        for (Iterator<Integer> slots = replica.calls.keySet().iterator(); slots.hasNext(); ) {
            Drain drain = agreed.drainInSlot(slots.next());
            if (drain == null || !drain.state.isOpen()) {
                slots.remove();
            }
        }
        for (Drain drain : agreed.drains()) {
            if (drain.state.isOpen()
                    && drain.slot >= report.firstSlot()
                    && drain.slot <= report.lastSlot()) {
                replica.calls.put(
                        drain.slot,
                        new NodeCalls(report.version(), calls.getOrDefault(drain.slot, 0)));
            }
        }
    }

    /** Those that live are noted as such, for the time after their death. */
    void update(long now, IntPredicate alive) {
        for (int i = 0; i < replicas.length; i++) {
            if (alive.test(i)) {
                replicas[i].lastAliveAt = now;
            }
        }
    }

    /** Whether a replica has to be waited for. */
    private boolean isAwaited(long now, int replica) {
        return now - replicas[replica].lastAliveAt < settings.forgetAfter();
    }

    private boolean isLive(long now, int replica) {
        return replicas[replica].lastAliveAt == now;
    }

    private boolean isFresh(long now, ReplicaReport replica) {
        return replica.hasReported && now - replica.reportedAt < settings.reportTimeout();
    }

    /** The live replicas that have said nothing lately. */
    int silentReplicas(long now) {
        int silent = 0;
        for (int i = 0; i < replicas.length; i++) {
            silent += isLive(now, i) && !isFresh(now, replicas[i]) ? 1 : 0;
        }
        return silent;
    }

    int liveReplicas(long now) {
        int live = 0;
        for (int i = 0; i < replicas.length; i++) {
            live += isLive(now, i) ? 1 : 0;
        }
        return live;
    }

    /** Whether all that have to be waited for have carried out the state of this version. */
    boolean allHaveSeen(long now, long version) {
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

    /** Where calls are, or may be, that keep a node's drain open; empty where it has none. */
    List<DrainCommand.RemainingRequests> remainingRequests(long now, Drain drain) {
        List<DrainCommand.RemainingRequests> still = new ArrayList<>();
        for (int i = 0; i < replicas.length; i++) {
            if (isAwaited(now, i)) {
                NodeCalls reportedCalls = replicas[i].calls.get(drain.slot);
                boolean known =
                        reportedCalls != null
                                && reportedCalls.version >= drain.stateVersion
                                && (isFresh(now, replicas[i]) || !isLive(now, i));
                if (!known || reportedCalls.calls > 0) {
                    still.add(
                            new DrainCommand.RemainingRequests(
                                    drain.slot, i, known ? reportedCalls.calls : -1));
                }
            }
        }
        return still;
    }

    /** What became of the calls of the live replicas. */
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
     * Nodes that are left out by hand at a live replica; null where one has not said all of its own
     * yet.
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
