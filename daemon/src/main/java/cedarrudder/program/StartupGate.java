package cedarrudder.program;

import java.util.concurrent.atomic.AtomicReference;

/**
 * Decides whether clients may have connected: the start calls {@link #join} before it listens on
 * their address, and the shutdown signal calls {@link #end} before it waits for clients, each on a
 * separate thread. The first caller decides. Thread-safe.
 */
final class StartupGate {

    private enum Phase {
        STARTING,
        JOINED,
        ENDED
    }

    private final AtomicReference<Phase> phase = new AtomicReference<>(Phase.STARTING);

    /**
     * Records that clients are about to connect; returns false where the process has been asked to
     * end and must not accept any.
     */
    boolean join() {
        return phase.compareAndSet(Phase.STARTING, Phase.JOINED);
    }

    /**
     * Records that the process ends; returns true where clients may have connected and still wait
     * for responses.
     */
    boolean end() {
        return !phase.compareAndSet(Phase.STARTING, Phase.ENDED) && phase.get() == Phase.JOINED;
    }

    /** Records that the start has failed: no client waits for a response. */
    void abandon() {
        phase.set(Phase.ENDED);
    }
}
