package cedarrudder.draining;

import cedarrudder.draining.DrainCommand.Step;
import cedarrudder.draining.DrainPolicy.Window;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * Computes the next step that the leader proposes for drains. Its only state is what a new leader
 * can find out for itself.
 */
final class WaveScheduler {

    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final DrainSettings settings;
    private final ReportedDrainProgress reported;

    /** By node with a drain: since when it has not been listed. */
    private final Map<Long, Long> unlistedSince = new HashMap<>();

    WaveScheduler(DrainSettings settings, ReportedDrainProgress reported) {
        this.settings = settings;
        this.reported = reported;
    }

    /** Discards its state, as the leadership has changed. */
    void reset() {
        unlistedSince.clear();
    }

    /**
     * Returns the next step, or null if nothing is due.
     *
     * @param clock the replicated clock as this replica estimates it now, in milliseconds
     * @param utcMillis milliseconds since 1970, by this machine's clock
     */
    Step next(
            long now,
            long clock,
            long utcMillis,
            DrainStateMachine state,
            CompiledPolicies policies,
            Collection<DrainableNode> listed,
            int replicas) {
        if (state.drains().isEmpty()) {
            unlistedSince.clear();
            return null;
        }
        WavePlan plan =
                new WavePlan(
                        now,
                        clock,
                        Window.minute(utcMillis),
                        state,
                        policies,
                        listed,
                        reported,
                        this::isGone);
        plan.collectEvents();
        plan.pauseAndResume(replicas);
        plan.beginWaves();
        Step step = plan.step();
        return isDue(step, clock, state) ? step : null;
    }

    private boolean isDue(Step step, long clock, DrainStateMachine state) {
        if (!step.changes().isEmpty() || !step.pauses().isEmpty()) {
            return true;
        }
        boolean hasOpen = state.drains().stream().anyMatch(drain -> drain.state.isOpen());
        boolean hasNews = hasOpen || !step.status().equals(state.waveStatus());
        return hasNews && clock - state.clock() >= settings.heartbeat() / NANOS_PER_MILLI;
    }

    /** Returns whether a node has been unlisted for long enough to count as gone. */
    private boolean isGone(long now, long node, boolean isListed) {
        if (isListed) {
            unlistedSince.remove(node);
            return false;
        }
        Long since = unlistedSince.putIfAbsent(node, now);
        return since != null && now - since >= settings.unlistedTimeout();
    }
}
