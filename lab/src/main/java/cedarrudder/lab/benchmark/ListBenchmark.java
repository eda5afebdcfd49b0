package cedarrudder.lab.benchmark;

import cedarrudder.balancer.LoadBalancer;
import cedarrudder.balancer.LoadBalancer.Endpoint;
import cedarrudder.balancer.LoadBalancer.EndpointListKind;
import cedarrudder.balancer.PrequalBalancer;
import java.util.List;
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

/** What a change of the list costs, with the request that follows it and finds its roster stale. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
public class ListBenchmark {

    private static final int FIRST = 2000;
    private static final int NODES_PER_REPLICA = 5;

    /** Nodes of the tier, five for each replica. */
    @Param({"10", "100", "1000"})
    public int nodes;

    private SimulatedEnvironment proxy;
    private List<Endpoint> whole;
    private List<Endpoint> drains;
    private List<Endpoint> returns;
    private boolean drained;

    /** Sets up what is measured. */
    @Setup
    public void fill() {
        proxy =
                new SimulatedEnvironment(
                        nodes,
                        actions ->
                                new PrequalBalancer(
                                        Platform.settings(nodes / NODES_PER_REPLICA, 0),
                                        new SplittableRandom(1),
                                        actions));
        whole = Platform.nodes(nodes);
        drains = List.of(Platform.node(nodes / 2, LoadBalancer.EndpointStatus.DRAINING));
        returns = List.of(Platform.node(nodes / 2, LoadBalancer.EndpointStatus.READY));
        for (int i = 0; i < FIRST; i++) {
            proxy.request();
        }
    }

    /** One node drains, or comes back. */
    @Benchmark
    public long oneChange() {
        drained = !drained;
        proxy.changed(EndpointListKind.DELTA, drained ? drains : returns);
        return proxy.request();
    }

    /** The whole list comes again, unchanged. */
    @Benchmark
    public long wholeList() {
        proxy.changed(EndpointListKind.FULL, whole);
        return proxy.request();
    }
}
