package cedarrudder.draining;

import cedarrudder.draining.DrainStateMachine.Drain;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.IntPredicate;

/**
 * What the replica that leads has heard of all replicas, its own word among them. It is no part of
 * the state.
 */
final class ReportedDrainProgress {

    private static final class ReplicaReport {
        private long version;
        private long at;
        private boolean said;
        private long livedAt;
        private TrafficSample flow = TrafficSample.NONE;
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
        clear(0);
    }

    /**
     * This replica begins to lead: it knows nothing of the others, and each may have lived until
     * now.
     */
    void clear(long now) {
        for (int i = 0; i < replicas.length; i++) {
            replicas[i] = new ReplicaReport();
            replicas[i].livedAt = now;
        }
    }

    void onReport(long now, int from, DrainReport report, DrainStateMachine agreed) {
        ReplicaReport replica = replicas[from];
        replica.version = report.version();
        replica.at = now;
        replica.said = true;
        replica.flow = report.flow();
        replica.disabled = report.disabled();
        for (long node : report.some()) {
            replica.disabledAt.put(node, now);
        }
        long stale = now - settings.patience() * (1 + report.disabled() / DrainReport.maxSome());
        replica.disabledAt.values().removeIf(at -> at < stale);
        Map<Integer, Integer> calls = new HashMap<>();
        report.calls().forEach(each -> calls.put(each.slot(), each.calls()));
        for (Iterator<Integer> slots = replica.calls.keySet().iterator(); slots.hasNext(); ) {
            Drain drain = agreed.slot(slots.next());
            if (drain == null || !drain.state.isOpen()) {
                slots.remove();
            }
        }
        for (Drain drain : agreed.drains()) {
            if (drain.state.isOpen()
                    && drain.slot >= report.first()
                    && drain.slot <= report.last()) {
                replica.calls.put(
                        drain.slot,
                        new NodeCalls(report.version(), calls.getOrDefault(drain.slot, 0)));
            }
        }
    }

    /** Those that live are noted as such, for the time after their death. */
    void update(long now, IntPredicate lives) {
        for (int i = 0; i < replicas.length; i++) {
            if (lives.test(i)) {
                replicas[i].livedAt = now;
            }
        }
    }

    /** Whether a replica has to be waited for. */
    private boolean awaitedReplicas(long now, int replica) {
        return now - replicas[replica].livedAt < settings.forgets();
    }

    private boolean setLive(long now, int replica) {
        return replicas[replica].livedAt == now;
    }

    private boolean isFresh(long now, ReplicaReport replica) {
        return replica.said && now - replica.at < settings.patience();
    }

    /** The live replicas that have said nothing lately. */
    int isSilent(long now) {
        int silent = 0;
        for (int i = 0; i < replicas.length; i++) {
            silent += setLive(now, i) && !isFresh(now, replicas[i]) ? 1 : 0;
        }
        return silent;
    }

    int isLive(long now) {
        int live = 0;
        for (int i = 0; i < replicas.length; i++) {
            live += setLive(now, i) ? 1 : 0;
        }
        return live;
    }

    /** Whether all that have to be waited for have carried out the state of this version. */
    boolean allHaveSeen(long now, long version) {
        for (int i = 0; i < replicas.length; i++) {
            if (awaitedReplicas(now, i)
                    && (!replicas[i].said
                            || replicas[i].version < version
                            || setLive(now, i) && !isFresh(now, replicas[i]))) {
                return false;
            }
        }
        return true;
    }

    /** Where calls are, or may be, that keep a node's drain open; empty where it has none. */
    List<DrainCommand.RemainingCalls> remainingCalls(long now, Drain drain) {
        List<DrainCommand.RemainingCalls> still = new ArrayList<>();
        for (int i = 0; i < replicas.length; i++) {
            if (awaitedReplicas(now, i)) {
                NodeCalls said = replicas[i].calls.get(drain.slot);
                boolean known =
                        said != null
                                && said.version >= drain.since
                                && (isFresh(now, replicas[i]) || !setLive(now, i));
                if (!known || said.calls > 0) {
                    still.add(
                            new DrainCommand.RemainingCalls(
                                    drain.slot, i, known ? said.calls : -1));
                }
            }
        }
        return still;
    }

    /** What became of the calls of the live replicas. */
    TrafficSample flow(long now) {
        TrafficSample sum = TrafficSample.NONE;
        for (int i = 0; i < replicas.length; i++) {
            sum = setLive(now, i) && isFresh(now, replicas[i]) ? sum.plus(replicas[i].flow) : sum;
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
            if (setLive(now, i)) {
                if (replicas[i].disabledAt.size() < replicas[i].disabled) {
                    return null;
                }
                all.addAll(replicas[i].disabledAt.keySet());
            }
        }
        return all;
    }
}
