package cedarrudder.lab.failover;

import cedarrudder.balancer.LoadBalancer.Endpoint;
import cedarrudder.balancer.LoadBalancer.EndpointStatus;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

/**
 * Zones with nodes, replicas and clients, in virtual time. Zones 0 to 2 are one region, 3 and 4
 * another. It is the truth, of which a policy sees what its replicas see.
 */
final class Site {

    static final long MILLI = 1_000_000L;
    static final long SECOND = 1_000 * MILLI;

    static final int ZONES = 5;
    static final int REPLICAS = 4;
    static final int NODES = 6;
    static final List<String> NAMES = List.of("a", "b", "c", "d", "e");
    static final int[] REGION = {0, 0, 0, 1, 1};

    /** The list tells of a node this long after. */
    private static final long DELIVERED = 1_500 * MILLI;

    /** A node that died without a word is taken off the list. */
    private static final long MISSED = 4 * SECOND;

    /** One that fell over is started again. */
    private static final long FALLEN = 10 * SECOND;

    private record Due(long at, long number, Runnable what) {}

    final SimulatedNode[] nodes = new SimulatedNode[ZONES * NODES];
    final SimulatedReplica[] replicas = new SimulatedReplica[ZONES * REPLICAS];

    /** Calls a second that come in each zone. */
    final double[] demand = new double[ZONES];

    /** Between zones, calls and datagrams alike. */
    final boolean[][] cut = new boolean[ZONES][ZONES];

    /** Cold nodes that were pushed over. */
    int fallen;

    private final PriorityQueue<Due> due =
            new PriorityQueue<>(
                    (a, b) ->
                            a.at != b.at
                                    ? Long.compare(a.at, b.at)
                                    : Long.compare(a.number, b.number));
    private final SplittableRandom random;
    private long made;
    private long now = SECOND;

    Site(long seed, double load) {
        random = new SplittableRandom(seed);
        for (int i = 0; i < nodes.length; i++) {
            nodes[i] = new SimulatedNode(this, i, i / NODES, random.split());
        }
        Arrays.fill(demand, load * NODES * SimulatedNode.RATE);
        for (int i = 0; i < replicas.length; i++) {
            replicas[i] = new SimulatedReplica(this, i, i / REPLICAS, random.split());
        }
        for (int zone = 0; zone < ZONES; zone++) {
            comes(zone, random.split());
        }
    }

    long now() {
        return now;
    }

    void after(long length, Runnable what) {
        due.add(new Due(now + length, made++, what));
    }

    void play(long until) {
        while (!due.isEmpty() && due.peek().at <= until) {
            Due next = due.poll();
            now = next.at;
            next.what.run();
        }
        now = until;
    }

    // ---- clients ----

    private void comes(int zone, SplittableRandom own) {
        after(
                (long) (-StrictMath.log(1 - own.nextDouble()) * 1e9 / Math.max(1e-3, demand[zone]))
                        + 1,
                () -> {
                    SimulatedReplica replica = replicaFor(zone, own);
                    SimulatedRequest call =
                            new SimulatedRequest(
                                    own.nextDouble() < SimulatedRequest.SAFE_SHARE, now);
                    total.came(call);
                    if (replica != null) {
                        replica.takes(call);
                    }
                    comes(zone, own);
                });
    }

    final Score total = new Score(this);

    /**
     * Clients go to a copy of their zone; where none is there, to one of the nearest zone that has
     * some.
     */
    private SimulatedReplica replicaFor(int zone, SplittableRandom own) {
        List<SimulatedReplica> live = new ArrayList<>();
        for (int rank = 0; rank <= 2 && live.isEmpty(); rank++) {
            for (SimulatedReplica replica : replicas) {
                if (replica.up && rank(zone, replica.zone) == rank) {
                    live.add(replica);
                }
            }
        }
        return live.isEmpty() ? null : live.get(own.nextInt(live.size()));
    }

    static int rank(int from, int to) {
        return from == to ? 0 : REGION[from] == REGION[to] ? 1 : 2;
    }

    /** One way between two zones. */
    static long delay(int from, int to) {
        return from == to ? MILLI : REGION[from] == REGION[to] ? 3 * MILLI : 21 * MILLI;
    }

    /** Calls a second that come to the replicas of each zone, as clients choose. */
    double[] comesTo() {
        double[] comes = new double[ZONES];
        for (int zone = 0; zone < ZONES; zone++) {
            boolean found = false;
            for (int rank = 0; rank <= 2 && !found; rank++) {
                int live = 0;
                int[] of = new int[ZONES];
                for (SimulatedReplica replica : replicas) {
                    if (replica.up && rank(zone, replica.zone) == rank) {
                        live++;
                        of[replica.zone]++;
                    }
                }
                found = live > 0;
                for (int to = 0; to < ZONES && found; to++) {
                    comes[to] += demand[zone] * of[to] / live;
                }
            }
        }
        return comes;
    }

    /** Calls a second that a zone can serve now. */
    double capacity(int zone) {
        double able = 0;
        for (SimulatedNode node : nodes) {
            able += node.zone == zone && !node.draining ? node.able() : 0;
        }
        return able * SimulatedNode.RATE;
    }

    // ---- the list ----

    private void tell(SimulatedNode node, EndpointStatus state, long start, long when) {
        after(
                when,
                () -> {
                    node.listed = state;
                    node.listedStart = start;
                    for (SimulatedReplica replica : replicas) {
                        replica.told(List.of(node.endpoint()));
                    }
                });
    }

    List<Endpoint> list() {
        return Arrays.stream(nodes).map(SimulatedNode::endpoint).toList();
    }

    // ---- faults ----

    /** All nodes of a zone are gone without a word. */
    void lose(int zone) {
        for (SimulatedNode node : nodes) {
            if (node.zone == zone) {
                node.dies();
                int of = node.incarnation;
                after(
                        MISSED,
                        () -> {
                            if (node.incarnation == of) {
                                tell(node, EndpointStatus.REMOVED, 0, 0);
                            }
                        });
            }
        }
    }

    /** They start again, cold. */
    void bringBack(int zone) {
        for (SimulatedNode node : nodes) {
            if (node.zone == zone) {
                start(node);
            }
        }
    }

    private void start(SimulatedNode node) {
        node.starts();
        tell(node, EndpointStatus.READY, now, DELIVERED);
    }

    /** Those of a zone do this much of what they do when well. */
    void slow(int zone, double speed) {
        for (SimulatedNode node : nodes) {
            if (node.zone == zone) {
                node.speed = speed;
            }
        }
    }

    /** This many of a zone's nodes are removed, as an operator asks. */
    void drain(int zone, int count) {
        for (int i = 0; i < count; i++) {
            SimulatedNode node = nodes[zone * NODES + i];
            node.draining = true;
            tell(node, EndpointStatus.DRAINING, 0, DELIVERED);
        }
    }

    /** A cold node was sent too much. */
    void fell(SimulatedNode node) {
        fallen++;
        node.dies();
        int of = node.incarnation;
        after(
                FALLEN,
                () -> {
                    if (node.incarnation == of) {
                        start(node);
                    }
                });
    }
}
