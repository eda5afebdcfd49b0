package cedarrudder.draining;

import cedarrudder.draining.DrainPolicy.OnDeadline;
import cedarrudder.draining.DrainPolicy.OnRestart;

/** The drain of one node, as the replicas have agreed on it. */
final class Drain {
    final int slot;
    final long node;
    DrainState state = DrainState.WAITING;

    /** The wave that it belongs to, once that has begun. */
    int wave;

    /** When the node started, as listed as its wave began, or at its restart since. */
    long nodeStart;

    /** How long it may take, in milliseconds. */
    long deadlineMillis;

    /** When its time is up, on the agreed clock in milliseconds. */
    long deadlineAt;

    OnDeadline onDeadline = OnDeadline.LET_GO;
    OnRestart onRestart = OnRestart.BACK;

    /** The policies that are for it, as bits. */
    int policies;

    /** The version of the state that began its present state. */
    long stateVersion;

    /**
     * A drain that waits for its wave.
     *
     * @param slot its own number, which no other drain ever has
     */
    Drain(int slot, long node) {
        this.slot = slot;
        this.node = node;
    }

    /** Whether a policy is for it. */
    boolean isUnder(int policy) {
        return (policies >> policy & 1) != 0;
    }
}
