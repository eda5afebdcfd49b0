package cedarrudder.lab.emulator;

import cedarrudder.lab.model.EventQueue;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.HdrHistogram.Histogram;

/**
 * Plays a run's agenda by the machine's clock, on one event loop, which sockets share. Measures how
 * late it is: whoever plays nodes and clients too late must not blame a proxy for it.
 */
final class RealTimeClock {

    /** Nearer to its next event than this the loop spins: timers of the selector are no finer. */
    private static final long SPIN = 1_200_000L;

    private static final int DIGITS = 3;

    private final EventLoop loop;
    private final Consumer<Throwable> failed;
    private final Histogram late = new Histogram(DIGITS);
    private EventQueue agenda;
    private long offset;
    private long max;
    private long maxAt;
    private long before;
    private ScheduledFuture<?> timer;
    private long timerAt = Long.MAX_VALUE;
    private boolean spinning;
    private boolean over;

    /**
     * @param failed takes what an event throws; the run is over then
     */
    RealTimeClock(EventLoop loop, Consumer<Throwable> failed) {
        this.loop = loop;
        this.failed = failed;
    }

    /** Begins; the agenda's instant is now. On the loop, like all below. */
    void begin(EventQueue ofRun) {
        agenda = ofRun;
        offset = agenda.now() - System.nanoTime();
    }

    /**
     * Skips the time until an instant: what was due by then comes at once, and then something more.
     */
    void skipTo(long instant, Runnable then) {
        turn(() -> offset += Math.max(0, instant - now()));
        turn(then);
        measureAnew();
        before = 0;
    }

    long now() {
        return System.nanoTime() + offset;
    }

    /**
     * Something has happened outside the agenda, such as on a socket: handled at the present
     * instant.
     */
    void turn(Runnable event) {
        if (over) {
            return;
        }
        try {
            due();
            agenda.pass(now());
            event.run();
            due();
        } catch (RuntimeException | Error fault) {
            over = true;
            failed.accept(fault);
        }
        arm();
    }

    private void due() {
        while (!over && agenda.next(now())) {
            long by = Math.max(0, now() - agenda.now());
            if (by > max) {
                max = by;
                maxAt = agenda.now();
            }
            late.recordValue(by / 1000);
        }
    }

    private void arm() {
        long next = agenda.earliest();
        if (over || spinning || next == Long.MAX_VALUE) {
            return;
        }
        long wait = next - now();
        if (wait <= SPIN) {
            spinning = true;
            loop.execute(
                    () -> {
                        spinning = false;
                        turn(() -> {});
                    });
        } else if (next < timerAt) {
            if (timer != null) {
                timer.cancel(false);
            }
            timerAt = next;
            timer =
                    loop.schedule(
                            () -> {
                                timerAt = Long.MAX_VALUE;
                                turn(() -> {});
                            },
                            wait - SPIN / 2,
                            TimeUnit.NANOSECONDS);
        }
    }

    void end() {
        over = true;
    }

    /** Lateness counts from now on. */
    void measureAnew() {
        before = max;
        max = 0;
        late.reset();
    }

    /** By how much the latest event came late before lateness counted, in nanoseconds. */
    long maxBefore() {
        return before;
    }

    /** The instant of the event that came latest. */
    long maxAt() {
        return maxAt;
    }

    /** How late events came, in microseconds. */
    Histogram late() {
        return late;
    }
}
