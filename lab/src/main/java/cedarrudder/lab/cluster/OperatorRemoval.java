package cedarrudder.lab.cluster;

import cedarrudder.lab.attack.Answer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.function.IntConsumer;

/** Operators who remove nodes: by drains, or by hand at each replica. */
final class OperatorRemoval {

    private static final int PATIENCE_MILLIS = 6_000;
    private static final int HAND_MILLIS = 1_000;
    private static final long LOOK_MILLIS = 200;

    /** By hand a node that was disabled everywhere is taken off after this long. */
    private static final long WAIT_MILLIS = 2_000;

    private final List<InetSocketAddress> operators;
    private final IntConsumer unlist;

    /**
     * @param unlist takes a node off discovery's list, and ends it
     */
    OperatorRemoval(List<InetSocketAddress> operators, IntConsumer unlist) {
        this.operators = operators;
        this.unlist = unlist;
    }

    /** The body of an answer with status 200; else null. */
    private static String ask(InetSocketAddress replica, String method, String path, int patience) {
        try {
            Answer answer = new OperatorCall(method, path, "", 200).answer(replica, patience);
            return answer != null && answer.status() == 200 ? answer.body() : null;
        } catch (IOException e) {
            return null; // stopped, or ended
        }
    }

    /**
     * By drains: each node is asked for until one of the replicas has said yes, and is taken off
     * the list once any replica says that it is out. Returns when all are.
     */
    void byDrains(List<Integer> nodes, List<Integer> replicas) throws InterruptedException {
        int asked = 0;
        for (int node : nodes) {
            while (ask(
                            operators.get(replicas.get(asked++ % replicas.size())),
                            "POST",
                            "/-/drains/node/node-" + node + "/begin",
                            PATIENCE_MILLIS)
                    == null) {
                TimeUnit.MILLISECONDS.sleep(LOOK_MILLIS);
            }
        }
        TreeSet<Integer> left = new TreeSet<>(nodes);
        while (!left.isEmpty()) {
            String page =
                    ask(
                            operators.get(replicas.get(asked++ % replicas.size())),
                            "GET",
                            "/-/drains",
                            HAND_MILLIS);
            for (int node : page == null ? List.<Integer>of() : List.copyOf(left)) {
                if (page.contains("{\"node\":\"node-" + node + "\",\"state\":\"out\"")) {
                    left.remove(node);
                    unlist.accept(node);
                }
            }
            TimeUnit.MILLISECONDS.sleep(LOOK_MILLIS);
        }
    }

    /**
     * By hand, as many at once as the policy would have: each is disabled at all replicas in turn,
     * one that gives no answer within a second is left, and after a while it is taken off the list.
     *
     * @param pace milliseconds between two such turns
     */
    void byHand(List<Integer> nodes, List<Integer> replicas, int atOnce, long pace)
            throws InterruptedException {
        for (int from = 0; from < nodes.size(); from += atOnce) {
            List<Integer> these =
                    new ArrayList<>(nodes.subList(from, Math.min(nodes.size(), from + atOnce)));
            for (int node : these) {
                for (int replica : replicas) {
                    ask(
                            operators.get(replica),
                            "POST",
                            "/-/nodes/node-" + node + "/disable",
                            HAND_MILLIS);
                }
            }
            TimeUnit.MILLISECONDS.sleep(WAIT_MILLIS);
            these.forEach(unlist::accept);
            if (from + atOnce < nodes.size()) {
                TimeUnit.MILLISECONDS.sleep(pace);
            }
        }
    }
}
