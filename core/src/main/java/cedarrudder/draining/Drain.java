package cedarrudder.draining;

import cedarrudder.draining.DrainPolicy.OnDeadline;
import cedarrudder.draining.DrainPolicy.OnRestart;

/** The drain of one node, as part of the replicated state. */
final class Drain {
    final int slot;
    final long node;
    DrainState state = DrainState.WAITING;

    /** The wave that the drain belongs to, once that has begun. */
    int wave;

    /** The start time of the node, as listed when its wave began or at a restart since. */
    long nodeStart;

    /** How long the drain may take, in milliseconds. */
    long deadlineMillis;

    /** The deadline of the drain, on the replicated clock in milliseconds. */
    long deadlineAt;

    OnDeadline onDeadline = OnDeadline.LET_GO;
    OnRestart onRestart = OnRestart.BACK;

    /** The policies that apply to the drain, as a bit set. */
    int policies;

    /** The version of the replicated state at which {@link #state} last changed. */
    long stateVersion;

    /**
     * Creates a drain that waits for its wave.
     *
     * @param slot the number of the drain, which is never reused
     */
    Drain(int slot, long node) {
        this.slot = slot;
        this.node = node;
    }

    /** Returns whether a policy applies to the drain. */
    boolean isUnder(int policy) {
        return (policies >> policy & 1) != 0;
    }
}
