package cedarrudder.program;

import static org.openjdk.jcstress.annotations.Expect.ACCEPTABLE;
import static org.openjdk.jcstress.annotations.Expect.FORBIDDEN;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.openjdk.jcstress.annotations.Actor;
import org.openjdk.jcstress.annotations.Arbiter;
import org.openjdk.jcstress.annotations.JCStressTest;
import org.openjdk.jcstress.annotations.Outcome;
import org.openjdk.jcstress.annotations.State;
import org.openjdk.jcstress.infra.results.II_Result;
import org.openjdk.jcstress.infra.results.I_Result;
import org.openjdk.jcstress.infra.results.ZZ_Result;

/**
 * Stress tests of each true hand-over between threads of the daemon. All other code runs on the
 * loop alone.
 */
public final class HandOvers {

    private HandOvers() {}

    /**
     * The start begins to listen on the clients' address while SIGTERM arrives: one of the two must
     * observe the other.
     */
    @JCStressTest
    @Outcome(
            id = "true, true",
            expect = ACCEPTABLE,
            desc = "joined first: the shutdown waits for clients")
    @Outcome(id = "false, false", expect = ACCEPTABLE, desc = "ended first: no client connected")
    @Outcome(
            expect = FORBIDDEN,
            desc = "clients connected and the shutdown did not wait, or the other way round")
    @State
    public static class StartAndSignal {
        private final StartupGate gate = new StartupGate();

        /** Runs on the thread that starts the proxy. */
        @Actor
        public void start(ZZ_Result result) {
            result.r1 = gate.join();
        }

        /** Runs in the shutdown hook. */
        @Actor
        public void signal(ZZ_Result result) {
            result.r2 = gate.end();
        }
    }

    /**
     * The loop and another thread write a line each while the log's thread writes: none is lost or
     * mixed.
     */
    @JCStressTest
    @Outcome(id = "11, 1", expect = ACCEPTABLE, desc = "both lines, whole")
    @Outcome(expect = FORBIDDEN, desc = "a line is lost, doubled or mixed with another")
    @State
    public static class TwoWritersAndTheEnd {
        private final ByteArrayOutputStream out = new ByteArrayOutputStream();
        private final AsyncLogWriter log =
                new AsyncLogWriter(new PrintStream(out, true, StandardCharsets.UTF_8));

        /** Runs on the loop. */
        @Actor
        public void loop() {
            log.offer("loop");
        }

        /** Runs on another thread, such as a signal's. */
        @Actor
        public void other() {
            log.offer("other");
        }

        /** Runs in the shutdown hook, once the loop has ended. */
        @Arbiter
        public void end(II_Result result) {
            log.stop();
            String written = out.toString(StandardCharsets.UTF_8);
            result.r1 = written.length();
            result.r2 = written.equals("loop\nother\n") || written.equals("other\nloop\n") ? 1 : 0;
        }
    }

    /**
     * A signal arrives while the files are read for another one: one of the two reads what changed
     * before it.
     */
    @JCStressTest
    @Outcome(id = "1", expect = ACCEPTABLE, desc = "the change was read")
    @Outcome(expect = FORBIDDEN, desc = "the last change was read by none")
    @State
    public static class SignalsAndTheirFile {
        private final ReloadSignal reloadSignal = new ReloadSignal();
        private volatile int file;
        private int read;

        /** Handles a signal before which nothing had changed. */
        @Actor
        public void first() {
            reloadSignal.onSignal(() -> read = file);
        }

        /** Changes the file, and then handles a second signal. */
        @Actor
        public void second() {
            file = 1;
            reloadSignal.onSignal(() -> read = file);
        }

        /** Reports the state that was read last. */
        @Arbiter
        public void end(I_Result result) {
            result.r1 = read;
        }
    }
}
