package cedarrudder.balancer;

import java.io.BufferedReader;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Predicate;

/**
 * Waits for events in the tests of all modules. Each wait has a time limit that no event needs on
 * the slowest machine; past it, the wait fails with an error that names the missing event. A
 * process that is waited for is ended then.
 */
public final class Await {

    /** Maximum time that a test waits, in seconds; no test depends on how soon the event occurs. */
    public static final int LONGEST_SECONDS = 60;

    /** A condition to wait for. */
    public interface Condition {
        boolean holds() throws Exception;
    }

    private Await() {}

    private static AssertionError never(String event) {
        return new AssertionError("not within " + LONGEST_SECONDS + " s: " + event);
    }

    private static long end() {
        return System.nanoTime() + TimeUnit.SECONDS.toNanos(LONGEST_SECONDS);
    }

    /** Waits until the condition holds, checking it every millisecond. */
    public static void until(String event, Condition condition) throws Exception {
        long end = end();
        while (!condition.holds()) {
            if (System.nanoTime() - end > 0) {
                throw never(event);
            }
            Thread.sleep(1);
        }
    }

    /** Waits for the next element of a queue and returns it. */
    public static <T> T next(String event, BlockingQueue<T> queue) throws InterruptedException {
        T next = queue.poll(LONGEST_SECONDS, TimeUnit.SECONDS);
        if (next == null) {
            throw never(event);
        }
        return next;
    }

    /** Waits until a latch has counted down to zero. */
    public static void open(String event, CountDownLatch latch) throws InterruptedException {
        if (!latch.await(LONGEST_SECONDS, TimeUnit.SECONDS)) {
            throw never(event);
        }
    }

    /** Waits until a thread has ended. */
    public static void end(String event, Thread thread) throws InterruptedException {
        thread.join(TimeUnit.SECONDS.toMillis(LONGEST_SECONDS));
        if (thread.isAlive()) {
            throw never(event);
        }
    }

    /**
     * Waits until a process has ended and returns its exit code. Its output is not read: see {@link
     * #all}.
     */
    public static int end(String event, Process process) throws InterruptedException {
        if (!process.waitFor(LONGEST_SECONDS, TimeUnit.SECONDS)) {
            process.destroyForcibly();
            throw never(event);
        }
        return process.exitValue();
    }

    /** Waits until a process that is known only by its handle has ended. */
    public static void end(String event, ProcessHandle process) throws Exception {
        try {
            process.onExit().get(LONGEST_SECONDS, TimeUnit.SECONDS);
        } catch (TimeoutException e) {
            process.destroyForcibly();
            throw never(event);
        }
    }

    /** Returns everything that a process writes to standard output until it ends. */
    public static String all(String event, Process process) throws IOException {
        return all(event, process, process.inputReader(StandardCharsets.UTF_8));
    }

    /** Returns the rest of the output of a process, where some has been read already. */
    public static String all(String event, Process process, BufferedReader lines)
            throws IOException {
        CompletableFuture<Void> outputEnded = new CompletableFuture<>();
        outputEnded
                .orTimeout(LONGEST_SECONDS, TimeUnit.SECONDS)
                .exceptionally(
                        late -> {
                            process.toHandle().destroyForcibly(); // which ends its output
                            return null;
                        });
        StringBuilder output = new StringBuilder();
        for (String line = lines.readLine(); line != null; line = lines.readLine()) {
            output.append(line).append('\n');
        }
        if (!outputEnded.complete(null)) {
            throw never(event + "; its output:\n" + output);
        }
        return output.toString();
    }

    /**
     * Reads lines of a process until one matches.
     *
     * @return all lines that were read, the matching line last
     */
    public static String line(
            String event, Process process, BufferedReader lines, Predicate<String> wanted)
            throws IOException, InterruptedException {
        StringBuilder output = new StringBuilder();
        long end = end();
        while (true) {
            boolean ended =
                    !process.isAlive(); // read before ready(), so that the last lines before its
            // end are not missed
            if (!ended && !lines.ready()) {
                if (System.nanoTime() - end > 0) {
                    process.destroyForcibly();
                    throw never(event + "; output of the process:\n" + output);
                }
                Thread.sleep(1);
                continue;
            }
            String line = lines.readLine();
            if (line == null) {
                throw new AssertionError(
                        "the process ended before: " + event + "; its output:\n" + output);
            }
            output.append(line).append('\n');
            if (wanted.test(line)) {
                return output.toString();
            }
        }
    }
}
