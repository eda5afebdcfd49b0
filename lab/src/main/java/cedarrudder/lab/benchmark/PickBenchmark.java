package cedarrudder.lab.benchmark;

import cedarrudder.balancer.LoadBalancer;
import cedarrudder.balancer.LoadBalancer.EndpointListKind;
import cedarrudder.balancer.LoadBalancer.LoadReport;
import cedarrudder.balancer.LoadBalancer.Outcome;
import cedarrudder.balancer.LoadBalancer.Request;
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
 * The balancer alone: a request is taken and placed, the oldest of twenty that are out is served,
 * and probes that came of it are answered. A pick is the larger part of that. Timers don't ring
 * here.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
public class PickBenchmark {

    private static final int OUT = 20;

    /** Requests before measuring: the pool is full after some fifty. */
    private static final int FIRST = 2000;

    /** Nodes of the tier. */
    @Param({"10", "100", "1000"})
    public int nodes;

    /** Nodes for each replica: five, as on the users' platform, or one replica for all. */
    @Param({"5", "1000"})
    public int nodesPerReplica;

    private final long[] sentTo = new long[OUT];
    private final long[] toProbe = new long[64];
    private int probes;
    private long now = Platform.SECOND;
    private long request;
    private LoadBalancer module;

    /** Sets up what is measured. */
    @Setup
    public void fill() {
        int replicas = Math.max(1, nodes / nodesPerReplica);
        module =
                new PrequalBalancer(
                        Platform.settings(replicas, 0), new SplittableRandom(1), new Hands());
        module.onEndpoints(now, EndpointListKind.FULL, Platform.nodes(nodes));
        for (int i = 0; i < FIRST; i++) {
            place();
        }
    }

    /** One selection of an endpoint. */
    @Benchmark
    public long place() {
        now += Platform.MS;
        if (request >= OUT) {
            long oldest = request + 1 - OUT;
            module.onAttemptEnded(
                    now,
                    oldest,
                    0,
                    sentTo[(int) (oldest % OUT)],
                    Outcome.OK,
                    OUT * Platform.MS,
                    true,
                    null);
        }
        request++;
        module.onRequest(
                now,
                new Request(
                        request, 0, 0, now + 600 * Platform.MS, 0, false, false, 15 * Platform.MS));
        while (probes > 0) {
            long node = toProbe[--probes];
            module.onProbeEnded(
                    now,
                    node,
                    Outcome.OK,
                    0,
                    new LoadReport(
                            node % 5, Double.NaN, 0.5, 15 + node % 10, Double.NaN, Double.NaN));
        }
        return sentTo[(int) (request % OUT)];
    }

    private final class Hands implements LoadBalancer.Actions {
        @Override
        public void startAttempt(long id, long endpoint, long timeout) {
            sentTo[(int) (id % OUT)] = endpoint;
        }

        @Override
        public void sendProbe(long endpoint) {
            toProbe[probes++] = endpoint;
        }

        @Override
        public void reject(long id, long retryAfter) {
            throw new IllegalStateException("refused: then this measures something else");
        }

        @Override
        public void fail(long id) {
            throw new IllegalStateException("failed: then this measures something else");
        }

        @Override
        public void cancelAttempt(long id, int attempt) {}

        @Override
        public void closeIdleConnections(long endpoint) {}

        @Override
        public void scheduleTimer(long at, long token) {}

        @Override
        public void watchEndpoints(boolean on) {}

        @Override
        public void fetchEndpoints() {}

        @Override
        public void sendToPeers(int replica, byte[] message) {}

        @Override
        public void log(String line) {}
    }
}
