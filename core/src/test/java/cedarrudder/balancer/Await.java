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
 * The waits of tests, of all modules: each ends, after a bound that no event needs on the slowest
 * machine, in a failure that names what did not come. A process that was waited for is ended then.
 */
public final class Await {

    /** No test waits longer for what must come; none depends on how soon it comes. */
    public static final int LONGEST_SECONDS = 60;

    /** What may come to hold. */
    public interface Condition {
        boolean holds() throws Exception;
    }

    private Await() {}

    private static AssertionError never(String event) {
        return new AssertionError("not in " + LONGEST_SECONDS + " s: " + event);
    }

    private static long end() {
        return System.nanoTime() + TimeUnit.SECONDS.toNanos(LONGEST_SECONDS);
    }

    /** Looks once a millisecond, until this holds. */
    public static void until(String event, Condition condition) throws Exception {
        long end = end();
        while (!condition.holds()) {
            if (System.nanoTime() - end > 0) {
                throw never(event);
            }
            Thread.sleep(1);
        }
    }

    /** The next of a queue. */
    public static <T> T next(String event, BlockingQueue<T> queue) throws InterruptedException {
        T next = queue.poll(LONGEST_SECONDS, TimeUnit.SECONDS);
        if (next == null) {
            throw never(event);
        }
        return next;
    }

    /** Until a latch is open. */
    public static void open(String event, CountDownLatch latch) throws InterruptedException {
        if (!latch.await(LONGEST_SECONDS, TimeUnit.SECONDS)) {
            throw never(event);
        }
    }

    /** Until a thread has ended. */
    public static void end(String event, Thread thread) throws InterruptedException {
        thread.join(TimeUnit.SECONDS.toMillis(LONGEST_SECONDS));
        if (thread.isAlive()) {
            throw never(event);
        }
    }

    /**
     * Until a process has ended, with this code. Nothing is read of what it says: see {@link #all}.
     */
    public static int end(String event, Process process) throws InterruptedException {
        if (!process.waitFor(LONGEST_SECONDS, TimeUnit.SECONDS)) {
            process.destroyForcibly();
            throw never(event);
        }
        return process.exitValue();
    }

    /** The same for a process that is known by its handle alone. */
    public static void end(String event, ProcessHandle process) throws Exception {
        try {
            process.onExit().get(LONGEST_SECONDS, TimeUnit.SECONDS);
        } catch (TimeoutException e) {
            process.destroyForcibly();
            throw never(event);
        }
    }

    /** All that a process says on standard output, until it ends. */
    public static String all(String event, Process process) throws IOException {
        return all(event, process, process.inputReader(StandardCharsets.UTF_8));
    }

    /** The rest of it, where some was read. */
    public static String all(String event, Process process, BufferedReader lines)
            throws IOException {
        CompletableFuture<Void> over = new CompletableFuture<>();
        over.orTimeout(LONGEST_SECONDS, TimeUnit.SECONDS)
                .exceptionally(
                        late -> {
                            process.toHandle().destroyForcibly(); // which ends what it says
                            return null;
                        });
        StringBuilder said = new StringBuilder();
        for (String line = lines.readLine(); line != null; line = lines.readLine()) {
            said.append(line).append('\n');
        }
        if (!over.complete(null)) {
            throw never(event + "; it said:\n" + said);
        }
        return said.toString();
    }

    /**
     * Reads lines of a process up to the one that is looked for.
     *
     * @return all that were read, the one looked for being the last
     */
    public static String line(
            String event, Process process, BufferedReader lines, Predicate<String> wanted)
            throws IOException, InterruptedException {
        StringBuilder said = new StringBuilder();
        long end = end();
        while (true) {
            boolean ended = !process.isAlive(); // before the look: detects missing its last words
            if (!ended && !lines.ready()) {
                if (System.nanoTime() - end > 0) {
                    process.destroyForcibly();
                    throw never(event + "; the process said:\n" + said);
                }
                Thread.sleep(1);
                continue;
            }
            String line = lines.readLine();
            if (line == null) {
                throw new AssertionError(
                        "the process ended without: " + event + "; it said:\n" + said);
            }
            said.append(line).append('\n');
            if (wanted.test(line)) {
                return said.toString();
            }
        }
    }
}
