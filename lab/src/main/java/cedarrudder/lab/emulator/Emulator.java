package cedarrudder.lab.emulator;

import cedarrudder.lab.model.Caller;
import cedarrudder.lab.model.Model;
import cedarrudder.lab.referee.RuleChecker;
import cedarrudder.lab.referee.RuleParameters;
import cedarrudder.lab.result.RunResult;
import cedarrudder.lab.scenario.Scenario;
import cedarrudder.lab.trace.TraceWriter;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.BufferedOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CancellationException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;

/**
 * Plays a scenario in real time on loopback sockets: the model's clients, nodes, faults and
 * discovery, and the built daemon as a process for each proxy. Scenario and seed give the world,
 * the arrivals and the faults, as in the model; what the daemons do, and so the result, differs a
 * little from run to run.
 */
public final class Emulator {

    /** What results call it, beside the model's variants. */
    public static final String VARIANT = "emulator";

    /** Clients come after this long though not all proxies are ready. */
    private static final long READY_SECONDS = 30;

    /**
     * The run is marked as late when one in a hundred events came later, or one much later;
     * milliseconds.
     */
    private static final double LATE_P99 = 5;

    private static final double MAX_LATE = 100;

    /** A second as clients saw it. */
    public record Second(
            int second,
            long tries,
            long served,
            long refused,
            long other,
            double p50Millis,
            double p99Millis,
            int proxiesUp,
            int nodesUp,
            int nodes) {}

    private Emulator() {}

    /**
     * Plays a run to its end and ends all processes that it started.
     *
     * @param live takes each second
     * @throws IOException if something can't be started, or the record can't be written
     * @throws InterruptedException if the calling thread is interrupted; the run is given up
     */
    public static EmulationResult play(
            Scenario scenario, long seed, HostEnvironment place, Consumer<Second> live)
            throws IOException, InterruptedException {
        Path record = place.folder().resolve("record.jsonl");
        NioEventLoopGroup group = new NioEventLoopGroup(1, new DefaultThreadFactory("emulator"));
        try (OutputStream out =
                new BufferedOutputStream(
                        new BackgroundWriter(Files.newOutputStream(record)), 1 << 16)) {
            RuleChecker referee = new RuleChecker(figures(scenario), Model.START);
            TraceWriter writer = new TraceWriter(out, Model.START, referee);
            Emulation emulation =
                    new Emulation(scenario, seed, VARIANT, writer, place, group.next());
            Thread hook = new Thread(() -> killAll(emulation), "end-of-emulator");
            Runtime.getRuntime().addShutdownHook(hook);
            try {
                ResourceUsage held = new ResourceUsage();
                double readySeconds = await(emulation, held, live);
                held.write(place.folder().resolve("held.jsonl"));
                EmulationResult emulated =
                        emulation
                                .loop
                                .submit(
                                        () ->
                                                result(
                                                        emulation,
                                                        referee,
                                                        readySeconds,
                                                        held,
                                                        record))
                                .get();
                writer.finish();
                return emulated;
            } catch (ExecutionException e) {
                throw new IllegalStateException("the emulator failed", e.getCause());
            } finally {
                emulation.loop.submit(emulation::close).await();
                killAll(emulation);
                unhook(hook);
            }
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS).await();
        }
    }

    /**
     * The figures by which records of the emulator are judged: limits grow by what sockets may
     * disorder.
     */
    public static RuleParameters figures(Scenario scenario) {
        RuleParameters plain = RuleParameters.of(scenario);
        return new RuleParameters(
                plain.answerGrace() + ReorderBuffer.HOLD,
                plain.drainGrace() + ReorderBuffer.HOLD,
                plain.fallMultiple(),
                plain.fallWindow(),
                plain.secondCopies(),
                plain.attempts());
    }

    private static void unhook(Thread hook) {
        try {
            Runtime.getRuntime().removeShutdownHook(hook);
        } catch (IllegalStateException e) {
            // the virtual machine is ending: the hook runs
        }
    }

    private static void killAll(Emulation emulation) {
        for (EmulatedProxy proxy : List.copyOf(emulation.proxies())) {
            SupervisedProcess process = proxy.process();
            if (process != null) {
                process.kill();
            }
        }
        for (EmulatedProxy proxy : List.copyOf(emulation.proxies())) {
            SupervisedProcess process = proxy.process();
            if (process != null) {
                try {
                    process.end();
                } catch (InterruptedException e) {
                    Thread.currentThread()
                            .interrupt(); // its shell ends it when this process has ended
                }
            }
        }
    }

    /** Plays it; gives the time until all proxies were ready. */
    private static double await(Emulation emulation, ResourceUsage held, Consumer<Second> live)
            throws InterruptedException, ExecutionException {
        long begins = System.nanoTime();
        emulation.loop.execute(emulation::begin);
        ServerWarmup.up();
        try {
            CompletableFuture.anyOf(emulation.ready, emulation.over)
                    .get(READY_SECONDS, TimeUnit.SECONDS);
        } catch (TimeoutException e) {
            // clients come all the same
        }
        long plays = System.nanoTime();
        emulation.loop.submit(emulation::play).get();
        for (int second = 1; !emulation.over.isDone(); second++) {
            try {
                long until = plays + second * 1_000_000_000L;
                emulation.over.get(Math.max(0, until - System.nanoTime()), TimeUnit.NANOSECONDS);
            } catch (TimeoutException e) {
                int number = second;
                emulation.proxies().forEach(proxy -> proxy.look(number, held));
                live.accept(emulation.loop.submit(() -> second(emulation, number)).get());
            } catch (CancellationException e) {
                break;
            }
        }
        emulation.over.get();
        return (plays - begins) / 1e9;
    }

    private static Second second(Emulation emulation, int number) {
        ClientOutcomes seen = emulation.seen;
        int up = 0;
        int nodes = 0;
        for (int tier = 0; tier < emulation.run().world.tiers.size(); tier++) {
            nodes += emulation.run().nodesOf(tier).size();
            up +=
                    (int)
                            emulation.run().nodesOf(tier).stream()
                                    .filter(n -> n.up() && n.hears())
                                    .count();
        }
        long served = seen.ends[Caller.End.SERVED.ordinal()];
        long refused = seen.ends[Caller.End.REFUSED.ordinal()];
        Second second =
                new Second(
                        number,
                        seen.tries,
                        served,
                        refused,
                        seen.tries - served - refused,
                        seen.latency.getValueAtPercentile(50) / 1000.0,
                        seen.latency.getValueAtPercentile(99) / 1000.0,
                        (int) emulation.proxies().stream().filter(EmulatedProxy::up).count(),
                        up,
                        nodes);
        seen.clear();
        return second;
    }

    private static EmulationResult result(
            Emulation emulation,
            RuleChecker referee,
            double readySeconds,
            ResourceUsage held,
            Path record) {
        emulation.trace.finish();
        referee.finish(emulation.now());
        RunResult result = emulation.run().result().judged(referee.breaches());
        var late = emulation.time.late();
        double p99 = late.getValueAtPercentile(99) / 1000.0;
        double max = late.getMaxValue() / 1000.0;
        double lead = emulation.time.maxBefore() / 1e6;
        EmulationResult.Own own =
                new EmulationResult.Own(
                        late.getTotalCount(),
                        late.getValueAtPercentile(50) / 1000.0,
                        p99,
                        max,
                        (emulation.time.maxAt() - Model.START) / 1e9,
                        lead,
                        p99 > LATE_P99 || max > MAX_LATE,
                        readySeconds);
        List<EmulationResult.ProxyUse> uses =
                emulation.proxies().stream()
                        .map(
                                proxy ->
                                        new EmulationResult.ProxyUse(
                                                proxy.number,
                                                emulation.run().world.tiers.get(proxy.tier).name(),
                                                proxy.maxKib(),
                                                proxy.maxDescriptors(),
                                                proxy.cpuSeconds()))
                        .toList();
        return new EmulationResult(
                result, own, uses, held.quarters(), emulation.lostAtRestarts, record.toString());
    }
}
