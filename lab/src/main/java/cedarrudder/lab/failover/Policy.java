package cedarrudder.lab.failover;

import cedarrudder.balancer.LoadBalancer.EndpointStatus;
import cedarrudder.balancer.LoadBalancer.Outcome;
import java.util.Arrays;

/** How replicas divide their calls among zones. */
abstract class Policy {

    /** What can be chosen. */
    enum Kind {
        /** Every replica stays in its zone. */
        NONE,
        /** Each by what it sees itself, as Envoy documents its priorities. */
        OWN_EYES,
        /** What is true decides, at once. */
        ALL_SEEING,
        /** What is built here. */
        TOGETHER
    }

    /** Time passes; each replica's shares are set. */
    abstract void step(Site site);

    /** Every replica stays in its zone. */
    static final class Near extends Policy {
        @Override
        void step(Site site) {}
    }

    /**
     * Envoy's priorities: own zone, own region, other regions; a priority gets what its share of
     * healthy nodes times 1.4 allows, the next one the rest. A node is ejected by five failures in
     * a row, longer each time.
     */
    static final class OwnEyes extends Policy {
        private static final double OVERPROVISIONED = 1.4;
        private static final int IN_A_ROW = 5;
        private static final long EJECTED = 10 * Site.SECOND;
        private static final int PRIORITIES = 3;

        private final int[][] failures;
        private final int[][] times;
        private final long[][] until;

        OwnEyes(Site site) {
            failures = new int[site.replicas.length][site.nodes.length];
            times = new int[site.replicas.length][site.nodes.length];
            until = new long[site.replicas.length][site.nodes.length];
            for (SimulatedReplica replica : site.replicas) {
                replica.eyes = ended -> saw(site.now(), replica.number, ended);
            }
        }

        private void saw(long now, int replica, SimulatedReplica.Ended ended) {
            if (ended.outcome() == Outcome.OK) {
                failures[replica][ended.node()] = 0;
            } else if (ended.outcome() != Outcome.REJECTED
                    && ++failures[replica][ended.node()] >= IN_A_ROW
                    && now >= until[replica][ended.node()]) {
                failures[replica][ended.node()] = 0;
                until[replica][ended.node()] = now + EJECTED * ++times[replica][ended.node()];
            }
        }

        @Override
        void step(Site site) {
            for (SimulatedReplica replica : site.replicas) {
                double left = 1;
                Arrays.fill(replica.shares, 0);
                for (int priority = 0; priority < PRIORITIES; priority++) {
                    double[] healthy = new double[Site.ZONES];
                    double all = 0;
                    int total = 0;
                    for (SimulatedNode node : site.nodes) {
                        if (Site.rank(replica.zone, node.zone) == priority) {
                            total++;
                            if (node.listed == EndpointStatus.READY
                                    && site.now() >= until[replica.number][node.id]) {
                                healthy[node.zone]++;
                                all++;
                            }
                        }
                    }
                    double part =
                            Math.min(
                                    left,
                                    total == 0 ? 0 : Math.min(1, OVERPROVISIONED * all / total));
                    for (int zone = 0; zone < Site.ZONES && all > 0; zone++) {
                        replica.shares[zone] += part * healthy[zone] / all;
                    }
                    left -= all > 0 ? part : 0;
                }
                double sum = Arrays.stream(replica.shares).sum();
                if (sum == 0) {
                    replica.near();
                } else {
                    for (int zone = 0; zone < Site.ZONES; zone++) {
                        replica.shares[zone] /= sum;
                    }
                }
            }
        }
    }

    /** Near as far as a zone truly can now, the rest as near as there truly is room. */
    static final class AllSeeing extends Policy {
        private static final double MAX = 0.95;
        private static final int ROUNDS = 20;

        @Override
        void step(Site site) {
            double[] comes = site.comesTo();
            double[] spare = new double[Site.ZONES];
            double[][] dealt = new double[Site.ZONES][Site.ZONES];
            double[] left = comes.clone();
            for (int zone = 0; zone < Site.ZONES; zone++) {
                spare[zone] = MAX * site.capacity(zone);
                dealt[zone][zone] = Math.min(spare[zone], comes[zone]);
                spare[zone] -= dealt[zone][zone];
                left[zone] -= dealt[zone][zone];
            }
            for (int rank = 1; rank <= 2; rank++) {
                double[] complete = left.clone();
                for (int round = 0; round < ROUNDS * Site.ZONES; round++) {
                    deal(site, dealt, spare, left, complete, round % Site.ZONES, rank);
                }
            }
            for (SimulatedReplica replica : site.replicas) {
                for (int to = 0; to < Site.ZONES; to++) {
                    replica.shares[to] =
                            comes[replica.zone] == 0
                                    ? 0
                                    : dealt[replica.zone][to] / comes[replica.zone];
                }
            }
        }

        private static void deal(
                Site site,
                double[][] dealt,
                double[] spare,
                double[] left,
                double[] complete,
                int from,
                int rank) {
            double all = 0;
            for (int to = 0; to < Site.ZONES; to++) {
                all += may(site, from, to, rank) ? spare[to] : 0;
            }
            double wanted = Math.min(left[from], complete[from] / ROUNDS);
            double part = all <= 0 ? 0 : Math.min(1, wanted / all);
            for (int to = 0; to < Site.ZONES; to++) {
                if (may(site, from, to, rank)) {
                    double amount = part * spare[to];
                    dealt[from][to] += amount;
                    spare[to] -= amount;
                    left[from] -= amount;
                }
            }
        }

        private static boolean may(Site site, int from, int to, int rank) {
            return Site.rank(from, to) == rank && !site.cut[from][to];
        }
    }
}
