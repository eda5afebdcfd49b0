package cedarrudder.lab.emulator;

import java.io.IOException;
import java.io.OutputStream;
import java.util.Arrays;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;

/**
 * Writes to another stream on a thread of its own. This avoids a disk that is busy holding up the
 * loop that plays clients and nodes. Memory holds what is not written yet.
 */
final class BackgroundWriter extends OutputStream {

    private static final byte[] END = new byte[0];

    private final OutputStream to;
    private final BlockingQueue<byte[]> waiting = new LinkedBlockingQueue<>();
    private final Thread thread = new Thread(this::drain, "record");
    private volatile IOException failure;

    BackgroundWriter(OutputStream to) {
        this.to = to;
        thread.setDaemon(true);
        thread.start();
    }

    private void drain() {
        try (to) {
            for (byte[] next = waiting.take(); next != END; next = waiting.take()) {
                to.write(next);
            }
        } catch (IOException e) {
            failure = e;
        } catch (InterruptedException e) {
            failure = new IOException("interrupted", e);
        }
    }

    @Override
    public void write(int one) throws IOException {
        write(new byte[] {(byte) one}, 0, 1);
    }

    @Override
    public void write(byte[] bytes, int from, int length) throws IOException {
        if (failure != null) {
            throw failure;
        }
        if (length > 0) {
            waiting.add(Arrays.copyOfRange(bytes, from, from + length));
        }
    }

    /** Waits until all is written. */
    @Override
    public void close() throws IOException {
        waiting.add(END);
        try {
            thread.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted before all was written", e);
        }
        if (failure != null) {
            throw failure;
        }
    }
}
