package cedarrudder.program;

import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Reads what SIGHUP asks for, one signal at a time, so that of two changes the later one counts. A
 * signal that comes while another one waits to be read adds nothing, which bounds a storm of them.
 * Thread-safe.
 */
final class ReloadSignal {

    /** Whether one came that nobody has begun to read for. */
    private final AtomicBoolean pending = new AtomicBoolean();

    /** A signal came; returns once it is read, or at once where an earlier one is yet to be. */
    void onSignal(Runnable reload) {
        if (!pending.getAndSet(true)) {
            synchronized (this) {
                pending.set(false); // first: what changes from here on is the next signal's
                reload.run();
            }
        }
    }
}
