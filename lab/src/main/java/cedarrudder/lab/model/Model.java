package cedarrudder.lab.model;

import cedarrudder.lab.policy.Policy;
import cedarrudder.lab.result.RunResult;
import cedarrudder.lab.scenario.Scenario;
import cedarrudder.lab.trace.Trace;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.List;
import java.util.concurrent.atomic.AtomicReference;

/**
 * The model of the platform in virtual time: the daemon's own driver and a balancer, one of each a
 * proxy, before modelled nodes, discovery, front and clients.
 *
 * <p>A run has one thread, one clock and one queue of events; it reads no other clock, and all its
 * chance comes from its seed, from a source for each concern ({@code L64X128MixRandom}; balancers
 * get a {@code SplittableRandom}, as in the daemon). Equal scenario, seed and policy give an equal
 * result and an equal trace, whatever else the machine does. Events at the same instant come in the
 * order in which they were scheduled. Two variants of one seed meet the same world, faults and
 * first tries.
 */
public final class Model {

    /**
     * The instant at which a run begins: its clock's zero means nothing. The trace's first event is
     * then.
     */
    public static final long START = 1_000_000_000_000L;

    /** How often the run is looked at from outside, in milliseconds. */
    private static final long LOOK_MILLIS = 100;

    /** What a run came to, and what it cost. */
    public record Played(RunResult result, RunResult.Cost cost) {}

    private Model() {}

    /**
     * Plays a scenario. A balancer that throws, loops or floods ends the run with a finding in its
     * result.
     *
     * <p>The run has a thread of its own. Where one event takes more than the guard's seconds of
     * processor time, a balancer is taken to loop for good: its thread is interrupted and, as
     * nothing more can be done to it, left behind at the lowest priority; the result then holds the
     * finding and no figures.
     *
     * @param trace is called on the run's thread
     * @throws InterruptedException if the calling thread is interrupted; the run is given up
     */
    public static Played run(
            Scenario scenario, long seed, Policy policy, String variant, Trace trace, Guard guard)
            throws InterruptedException {
        Run run = of(scenario, seed, policy, variant, trace, guard);
        AtomicReference<Played> played = new AtomicReference<>();
        AtomicReference<Throwable> failed = new AtomicReference<>();
        ThreadMXBean threads = ManagementFactory.getThreadMXBean();
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                long before = threads.getCurrentThreadCpuTime();
                                RunResult result = run.play();
                                played.set(
                                        new Played(
                                                result,
                                                new RunResult.Cost(
                                                        (threads.getCurrentThreadCpuTime() - before)
                                                                / 1e9,
                                                        run.progress,
                                                        run.decisionNanos / 1e9)));
                            } catch (RuntimeException | Error fault) {
                                failed.set(fault);
                            }
                        },
                        "model-" + scenario.name() + "-" + seed);
        thread.setDaemon(true);
        thread.start();
        long stallNanos = (long) (guard.stallSeconds() * 1e9);
        long progress = -1;
        long cpuThen = 0;
        try {
            for (thread.join(LOOK_MILLIS); thread.isAlive(); thread.join(LOOK_MILLIS)) {
                long cpu = threads.getThreadCpuTime(thread.getId());
                if (run.progress != progress) {
                    progress = run.progress;
                    cpuThen = cpu;
                } else if (cpu - cpuThen > stallNanos) {
                    return abandon(run, thread, cpu);
                }
            }
        } catch (InterruptedException interrupted) {
            run.end("interrupted");
            throw interrupted;
        }
        if (failed.get() != null) {
            throw new IllegalStateException(
                    "the model failed: " + scenario.name() + ", seed " + seed, failed.get());
        }
        return played.get();
    }

    /**
     * A run with modelled proxies that its caller plays itself, on one thread: {@link Run#begin},
     * then the agenda's events until it is over. So a world can have events of its own between.
     */
    public static Run of(
            Scenario scenario, long seed, Policy policy, String variant, Trace trace, Guard guard) {
        return new Run(scenario, seed, variant, trace, START, new ModelProxies(policy, guard));
    }

    private static Played abandon(Run run, Thread thread, long cpu) {
        String finding = "a balancer never came back from an event";
        run.end(finding);
        thread.interrupt();
        thread.setPriority(Thread.MIN_PRIORITY);
        RunResult.Latency none = new RunResult.Latency(0, 0, 0, 0, 0);
        return new Played(
                new RunResult(
                        run.scenario.name(),
                        run.variant,
                        run.seed,
                        0,
                        0,
                        0,
                        0,
                        0,
                        0,
                        new RunResult.Charges(0, 0, 0, 0, 0),
                        none,
                        0,
                        0,
                        List.of(),
                        List.of(),
                        List.of(),
                        List.of(),
                        List.of(),
                        List.of(),
                        List.of(),
                        List.of(),
                        finding),
                new RunResult.Cost(cpu / 1e9, run.progress, 0));
    }
}
