package cedarrudder.consensus;

import java.util.random.RandomGenerator;

/**
 * Decides when a replica that knows of no leader forms a new group by itself, if the settings allow
 * that. Replicas wait for random times, so that they do not all form a group at once, and replicas
 * that have no state wait longest.
 */
final class GroupFormation {

    private final ConsensusSettings settings;
    private final RandomGenerator random;
    private long waitStart;
    private long wait;

    GroupFormation(ConsensusSettings settings, RandomGenerator random, long now) {
        this.settings = settings;
        this.random = random;
        restart(now);
    }

    boolean isAllowed() {
        return settings.formationTimeout() > 0;
    }

    /** Restarts the wait with a new random duration. */
    void restart(long now) {
        waitStart = now;
        wait =
                settings.formationTimeout()
                        + (long) (random.nextDouble() * settings.formationTimeout());
    }

    /**
     * Returns when this replica forms a group.
     *
     * @param lastHeartbeatAt when the last sign of a leader was received, directly or through other
     *     replicas
     * @param hasState whether this replica has applied anything
     */
    long dueAt(long lastHeartbeatAt, boolean hasState) {
        return Math.max(lastHeartbeatAt, waitStart)
                + wait
                + (hasState ? 0 : settings.formationTimeout());
    }
}
