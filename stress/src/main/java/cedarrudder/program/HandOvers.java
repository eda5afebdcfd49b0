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
 * Each true hand-over between threads of the daemon, under stress. All else runs on the loop alone.
 */
public final class HandOvers {

    private HandOvers() {}

    /**
     * The start joins the clients' address while SIGTERM comes: never both as if the other had not
     * been.
     */
    @JCStressTest
    @Outcome(id = "true, true", expect = ACCEPTABLE, desc = "joined first: callers are waited for")
    @Outcome(id = "false, false", expect = ACCEPTABLE, desc = "ended first: nobody came")
    @Outcome(
            expect = FORBIDDEN,
            desc = "callers came and were not waited for, or the other way round")
    @State
    public static class StartAndSignal {
        private final StartupGate gate = new StartupGate();

        /** The thread that starts. */
        @Actor
        public void start(ZZ_Result result) {
            result.r1 = gate.join();
        }

        /** The shutdown hook. */
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

        /** The loop. */
        @Actor
        public void loop() {
            log.offer("loop");
        }

        /** Another thread, such as a signal's. */
        @Actor
        public void other() {
            log.offer("other");
        }

        /** The shutdown hook, once the loop has ended. */
        @Arbiter
        public void end(II_Result result) {
            log.stop();
            String said = out.toString(StandardCharsets.UTF_8);
            result.r1 = said.length();
            result.r2 = said.equals("loop\nother\n") || said.equals("other\nloop\n") ? 1 : 0;
        }
    }

    /**
     * A signal beside one whose files are being read: what changed before it is read by one of
     * them.
     */
    @JCStressTest
    @Outcome(id = "1", expect = ACCEPTABLE, desc = "the change was read")
    @Outcome(expect = FORBIDDEN, desc = "the last change was read by none")
    @State
    public static class SignalsAndTheirFile {
        private final ReloadSignal hangups = new ReloadSignal();
        private volatile int file;
        private int read;

        /** One signal, before which nothing had changed. */
        @Actor
        public void first() {
            hangups.onSignal(() -> read = file);
        }

        /** The file changes, and then a second signal comes. */
        @Actor
        public void second() {
            file = 1;
            hangups.onSignal(() -> read = file);
        }

        /** What counts in the end. */
        @Arbiter
        public void end(I_Result result) {
            result.r1 = read;
        }
    }
}
