package cedarrudder.program;

import java.util.concurrent.atomic.AtomicReference;

/**
 * Whether clients may have come: the start asks before it listens at their address, the signal to
 * end before it waits for them, each on a thread of its own. Whoever asks first decides.
 * Thread-safe.
 */
final class StartupGate {

    private enum Phase {
        STARTING,
        JOINED,
        ENDED
    }

    private final AtomicReference<Phase> phase = new AtomicReference<>(Phase.STARTING);

    /** Clients are about to come; false where the process has been asked to end, and none may. */
    boolean join() {
        return phase.compareAndSet(Phase.STARTING, Phase.JOINED);
    }

    /** The process ends; true where clients may have come, who are owed their responses. */
    boolean end() {
        return !phase.compareAndSet(Phase.STARTING, Phase.ENDED) && phase.get() == Phase.JOINED;
    }

    /** The start has failed: nobody is owed anything. */
    void abandon() {
        phase.set(Phase.ENDED);
    }
}
