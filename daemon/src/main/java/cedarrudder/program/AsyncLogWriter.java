package cedarrudder.program;

import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * Writes lines on a thread of its own. This avoids a reader of standard error that has stopped
 * reading, or reads slowly: whoever writes to a full pipe stands still until there is room, and the
 * event loop must not.
 *
 * <p>Lines may come from any thread; those for which there is no room are left out. Cost: a line's
 * reference in a queue of fixed size.
 */
final class AsyncLogWriter {

    /** Lines that wait to be written, at most: some 100 KB. */
    static final int MAX_WAITING_LINES = 256;

    /**
     * A longer line that the program itself did not make, such as a fault's of a library, is cut
     * there.
     */
    private static final int MAX_LINE_BYTES = 1024;

    /**
     * How long the end may wait for the last lines to be read, in milliseconds; all answers are
     * out.
     */
    private static final long STOP_TIMEOUT_MILLIS = 200;

    private final BlockingQueue<String> lines;
    private final CountDownLatch stopped = new CountDownLatch(1);
    private final Thread thread;
    private volatile boolean stopping;

    AsyncLogWriter(PrintStream out) {
        this(out, "log", MAX_WAITING_LINES);
    }

    /**
     * @param name the thread's
     * @param max lines that wait, at most
     */
    AsyncLogWriter(PrintStream out, String name, int max) {
        lines = new ArrayBlockingQueue<>(max);
        thread = new Thread(() -> write(out), name);
        thread.setDaemon(true);
        thread.start();
    }

    /**
     * One that takes the place of the process's standard error, so that nothing that is written
     * there from now on, by whomever, stands still.
     */
    static AsyncLogWriter replacingStandardError() {
        AsyncLogWriter writer = new AsyncLogWriter(System.err);
        System.setErr(new PrintStream(writer.new LineSplitter(), true, StandardCharsets.UTF_8));
        return writer;
    }

    /** Takes a line, or says that there is no room for it. */
    boolean offer(String line) {
        return lines.offer(line);
    }

    /**
     * Returns once all that was taken is written, or nobody has read it for a while. From any
     * thread.
     */
    void stop() {
        stopping = true;
        thread.interrupt();
        try {
            stopped.await(STOP_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void write(PrintStream out) {
        while (true) {
            String line;
            try {
                line = stopping ? lines.poll() : lines.take();
            } catch (InterruptedException e) {
                continue; // to look whether this is the end
            }
            if (line == null) {
                stopped.countDown();
                return;
            }
            try {
                out.println(line);
            } catch (OutOfMemoryError e) {
                // This line is lost: this avoids a log that is silent from then on, for months
                // maybe.
            }
        }
    }

    /**
     * What is written as bytes, cut into lines; the stream in front of it sees to one thread at a
     * time.
     */
    private final class LineSplitter extends OutputStream {
        private final byte[] line = new byte[MAX_LINE_BYTES];
        private int length;

        @Override
        public void write(int next) {
            if (next != '\n' && length < line.length) {
                line[length++] = (byte) next;
            } else if (next == '\n') {
                offer(new String(line, 0, length, StandardCharsets.UTF_8));
                length = 0;
            }
        }
    }
}
