package cedarrudder.lab.benchmark;

import cedarrudder.balancer.LoadBalancer;
import cedarrudder.balancer.PrequalBalancer;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * The memory that the balancer of one proxy holds: many modules are made and kept, and what the
 * heap has grown by is divided by their number. Each has settings and entries of the list of nodes
 * of its own, as in a process of its own, and has served requests that are over. The first two,
 * which load the classes, aren't counted.
 */
public final class MemoryUse {

    /** Requests that each module serves first. */
    private static final int REQUESTS = 300;

    /**
     * Together the modules know this many nodes: some hundred MB, against which chance is small.
     */
    private static final int NODES_IN_ALL = 200_000;

    private static final int NODES_PER_REPLICA = 5;

    /** After the last request: longer than any deadline. */
    private static final long REST = 2 * Platform.SECOND;

    /** Collections before a reading; the first leaves what the second takes. */
    private static final int COLLECTIONS = 4;

    private MemoryUse() {}

    /** Bytes for each module of a tier of this many nodes, five for each replica. */
    public static double ofModule(int nodes) {
        int replicas = Math.max(1, nodes / NODES_PER_REPLICA);
        int modules = Math.max(20, NODES_IN_ALL / nodes);
        List<LoadBalancer> kept = new ArrayList<>(modules + 2);
        kept.add(module(nodes, replicas, 0));
        kept.add(module(nodes, replicas, 1));
        long before = used();
        for (int i = 0; i < modules; i++) {
            kept.add(module(nodes, replicas, i % replicas));
        }
        long after = used();
        if (kept.size() != modules + 2) {
            throw new IllegalStateException("modules were lost");
        }
        return (after - before) / (double) modules;
    }

    /** A module that has served; its driver and all else around it is let go. */
    private static LoadBalancer module(int nodes, int replicas, int self) {
        ActionsRelay hands = new ActionsRelay();
        SimulatedEnvironment proxy =
                new SimulatedEnvironment(
                        nodes,
                        actions -> {
                            hands.passOn(actions);
                            return new PrequalBalancer(
                                    Platform.settings(replicas, self),
                                    new SplittableRandom(self),
                                    hands);
                        });
        for (int i = 0; i < REQUESTS; i++) {
            proxy.request();
        }
        proxy.pass(REST);
        hands.passOn(null);
        return proxy.module();
    }

    private static long used() {
        Runtime runtime = Runtime.getRuntime();
        for (int i = 0; i < COLLECTIONS; i++) {
            System.gc();
        }
        return runtime.totalMemory() - runtime.freeMemory();
    }
}
