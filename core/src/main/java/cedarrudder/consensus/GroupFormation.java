package cedarrudder.consensus;

import java.util.random.RandomGenerator;

/**
 * When a replica that hears of no leader forms a new group by itself, where the settings allow it.
 * Replicas wait for random times, so that not all form a group at once, and those that have no
 * state come last.
 */
final class GroupFormation {

    private final ConsensusSettings settings;
    private final RandomGenerator random;
    private long waitsFrom;
    private long wait;

    GroupFormation(ConsensusSettings settings, RandomGenerator random, long now) {
        this.settings = settings;
        this.random = random;
        restart(now);
    }

    boolean isAllowed() {
        return settings.formationTimeout() > 0;
    }

    /** The wait begins anew. */
    void restart(long now) {
        waitsFrom = now;
        wait =
                settings.formationTimeout()
                        + (long) (random.nextDouble() * settings.formationTimeout());
    }

    /**
     * When a group is formed.
     *
     * @param lastHeartbeatAt when a leader was last known to be there, by any way
     * @param hasState whether this replica has applied anything
     */
    long dueAt(long lastHeartbeatAt, boolean hasState) {
        return Math.max(lastHeartbeatAt, waitsFrom)
                + wait
                + (hasState ? 0 : settings.formationTimeout());
    }
}
