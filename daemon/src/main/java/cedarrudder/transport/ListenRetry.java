package cedarrudder.transport;

import java.io.IOException;
import java.net.BindException;
import java.util.concurrent.TimeUnit;

/** Repeats an attempt to listen: at the start, a system call that fails for a moment is no end. */
final class ListenRetry {

    private static final int MAX_ATTEMPTS = 50;
    private static final long INTERVAL_MILLIS = 20;

    /**
     * An attempt to listen at an address.
     *
     * @param <T> its result
     */
    interface Attempt<T> {
        T listen() throws IOException, InterruptedException;
    }

    private ListenRetry() {}

    /**
     * Returns the result of the first attempt that succeeds.
     *
     * @throws IOException of the first attempt that fails because of its address, or of the last
     */
    static <T> T listen(Attempt<T> attempt) throws IOException, InterruptedException {
        for (int i = 1; i < MAX_ATTEMPTS; i++) {
            try {
                return attempt.listen();
            } catch (IOException e) {
                if (isOfAddress(e)) {
                    throw e;
                }
                TimeUnit.MILLISECONDS.sleep(INTERVAL_MILLIS);
            }
        }
        return attempt.listen();
    }

    private static boolean isOfAddress(Throwable failure) {
        for (Throwable cause = failure; cause != null; cause = cause.getCause()) {
            if (cause instanceof BindException) {
                return true;
            }
        }
        return false;
    }
}
