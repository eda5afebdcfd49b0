package cedarrudder.lab.benchmark;

import cedarrudder.balancer.PrequalBalancer;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;

/**
 * A whole request through the driver: accepted, placed, attempted, served and replied to, with its
 * share of probes and timers. With {@code none} nothing is decided: the cost of driver and
 * surroundings alone.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
public class DriverBenchmark {

    private static final int FIRST = 2000;
    private static final int NODES_PER_REPLICA = 5;

    /** Nodes of the tier, five for each replica. */
    @Param({"10", "100", "1000"})
    public int nodes;

    /** Who decides: the balancer, or nobody. */
    @Param({"cedarrudder", "none"})
    public String module;

    private SimulatedEnvironment proxy;

    /** Sets up what is measured. */
    @Setup
    public void fill() {
        proxy =
                new SimulatedEnvironment(
                        nodes,
                        actions ->
                                module.equals("none")
                                        ? new PassThroughBalancer(actions)
                                        : new PrequalBalancer(
                                                Platform.settings(nodes / NODES_PER_REPLICA, 0),
                                                new SplittableRandom(1),
                                                actions));
        for (int i = 0; i < FIRST; i++) {
            proxy.request();
        }
    }

    @Benchmark
    public long request() {
        return proxy.request();
    }
}
