package cedarrudder.lab.cluster;

import cedarrudder.lab.checker.History;
import cedarrudder.lab.checker.HistoryEvent;
import java.io.BufferedWriter;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;

/**
 * Writes down what the world does to replicas and what clients see, in the same form and on the
 * same clock as the replicas' own histories: {@link System#nanoTime} is one for all processes of a
 * machine on Linux. From any thread.
 */
final class HistoryRecorder implements AutoCloseable {

    /** Of events that are about no replica. */
    static final int NOBODY = -1;

    private final BufferedWriter out;
    private boolean closed;

    HistoryRecorder(Path file) throws IOException {
        out = Files.newBufferedWriter(file);
    }

    /** Something happens now. */
    synchronized void tell(int replica, long incarnation, String what, Map<String, String> fields) {
        if (closed) {
            return;
        }
        try {
            out.write(
                    History.line(
                                    new HistoryEvent(
                                            System.nanoTime(), replica, incarnation, what, fields))
                            + "\n");
            out.flush(); // a lab that dies leaves what it saw
        } catch (IOException e) {
            throw new UncheckedIOException("the chronicle can't be written", e);
        }
    }

    @Override
    public synchronized void close() throws IOException {
        closed = true;
        out.close();
    }
}
