package cedarrudder.program;

import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * Writes lines on a separate thread. A writer to a full pipe blocks until there is space, and the
 * event loop must not block where the reader of standard error has stopped or reads slowly.
 *
 * <p>Lines may come from any thread; lines that do not fit into the queue are dropped. Each line
 * costs one reference in a queue of fixed size.
 */
final class AsyncLogWriter {

    /** The maximum number of queued lines: some 100 KB. */
    static final int MAX_WAITING_LINES = 256;

    /**
     * The length at which a line that the program did not produce itself, such as a library's
     * fault, is truncated.
     */
    private static final int MAX_LINE_BYTES = 1024;

    /**
     * The time, in milliseconds, that the shutdown waits for the last lines to be read; all
     * responses have been sent by then.
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
     * Creates a writer and starts its thread.
     *
     * @param name the name of the thread
     * @param max the maximum number of queued lines
     */
    AsyncLogWriter(PrintStream out, String name, int max) {
        lines = new ArrayBlockingQueue<>(max);
        thread = new Thread(() -> write(out), name);
        thread.setDaemon(true);
        thread.start();
    }

    /**
     * Returns a writer that replaces the standard error of the process, so that nothing written
     * there from now on, by any code, blocks.
     */
    static AsyncLogWriter replacingStandardError() {
        AsyncLogWriter writer = new AsyncLogWriter(System.err);
        System.setErr(new PrintStream(writer.new LineSplitter(), true, StandardCharsets.UTF_8));
        return writer;
    }

    /** Queues a line; returns false if the queue is full. */
    boolean offer(String line) {
        return lines.offer(line);
    }

    /**
     * Returns once all queued lines are written, or once the timeout expires because they are not
     * read. May be called from any thread.
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
                continue; // to check whether the writer is stopping
            }
            if (line == null) {
                stopped.countDown();
                return;
            }
            try {
                out.println(line);
            } catch (OutOfMemoryError e) {
                // This line is lost, but the thread must not end: the log would stay silent from
                // then on, maybe for months.
            }
        }
    }

    /**
     * Splits the bytes written into lines; the stream in front of it admits one thread at a time.
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
