package cedarrudder.program;

import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Handles SIGHUP, one signal at a time, so that the later of two changes takes effect. A signal
 * that arrives while another one is pending has no further effect, which bounds a burst of them.
 * Thread-safe.
 */
final class ReloadSignal {

    /** Set while a signal has arrived for which no reload has begun. */
    private final AtomicBoolean pending = new AtomicBoolean();

    /**
     * Reloads for a signal and returns once that is done; returns at once where an earlier signal
     * is still pending.
     */
    void onSignal(Runnable reload) {
        if (!pending.getAndSet(true)) {
            synchronized (this) {
                pending.set(false); // first: changes from here on belong to the next signal
                reload.run();
            }
        }
    }
}
