package cedarrudder.lab.attack;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Recorder;

/**
 * Clients that do no wrong: each asks at fixed times, whether the answer before came or not, and
 * counts from when a request was due. One that finds itself late asks at once; none leaves a
 * request out.
 */
final class WellBehavedClients implements Closeable {

    private static final long EACH_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
    private static final int PATIENCE_MILLIS = 1000;
    private static final int DIGITS = 3;

    private final InetSocketAddress to;
    private final boolean keep;
    private final Recorder served = new Recorder(DIGITS);
    private final List<Thread> threads = new ArrayList<>();
    private final long until;
    private long asked;

    /** Begins; all end by themselves when the time is up. */
    WellBehavedClients(InetSocketAddress to, int count, boolean keep, String run, int seconds) {
        this.to = to;
        this.keep = keep;
        long begin = System.nanoTime();
        until = begin + TimeUnit.SECONDS.toNanos(seconds);
        for (int i = 0; i < count; i++) {
            String name = "good-" + run + (keep ? "-kept-" : "-fresh-") + i + "-";
            long first = begin + EACH_NANOS * i / count;
            Thread thread = new Thread(() -> ask(name, first), name);
            thread.setDaemon(true);
            thread.start();
            threads.add(thread);
        }
    }

    private void ask(String name, long first) {
        Socket socket = null;
        long count = 0;
        for (long due = first; due < until; due += EACH_NANOS, count++) {
            try {
                TimeUnit.NANOSECONDS.sleep(due - System.nanoTime());
            } catch (InterruptedException e) {
                break;
            }
            boolean used = socket != null;
            socket = socket != null ? socket : connected();
            Answer answer = answer(socket, name + count);
            if (answer == null && used) {
                // A close that crosses a request the other side has not read: sent once more, on a
                // new one.
                closed(socket);
                socket = connected();
                answer = answer(socket, name + count);
            }
            long took = System.nanoTime() - due;
            boolean good = answer != null && answer.status() == 200;
            if (good && took <= TimeUnit.MILLISECONDS.toNanos(PATIENCE_MILLIS)) {
                served.recordValue(took / 1000);
            }
            socket = good && keep && !answer.closes() ? socket : closed(socket);
        }
        closed(socket);
        synchronized (this) {
            asked += count;
        }
    }

    /** A new connection; null where none comes up. */
    private Socket connected() {
        Socket socket = new Socket();
        try {
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(PATIENCE_MILLIS);
            socket.connect(to, PATIENCE_MILLIS);
            return socket;
        } catch (IOException e) {
            return closed(socket);
        }
    }

    /** The answer to a request; null where none came. */
    private static Answer answer(Socket socket, String id) {
        if (socket == null) {
            return null;
        }
        try {
            socket.getOutputStream()
                    .write(
                            OwnDaemon.WORDS
                                    .fill(RequestTemplates.get(), id)
                                    .getBytes(StandardCharsets.ISO_8859_1));
            return Answer.read(socket.getInputStream(), false);
        } catch (IOException e) {
            return null;
        }
    }

    private static Socket closed(Socket socket) {
        try {
            if (socket != null) {
                socket.close();
            }
        } catch (IOException e) {
            // it is of no use any more either way
        }
        return null;
    }

    /** Waits for the end, and tells. */
    FloodResult.Served result() throws InterruptedException {
        for (Thread thread : threads) {
            thread.join();
        }
        var micros = served.getIntervalHistogram();
        synchronized (this) {
            return new FloodResult.Served(
                    asked,
                    micros.getTotalCount(),
                    micros.getValueAtPercentile(50) / 1000.0,
                    micros.getValueAtPercentile(99) / 1000.0);
        }
    }

    @Override
    public void close() {
        threads.forEach(Thread::interrupt);
    }
}
