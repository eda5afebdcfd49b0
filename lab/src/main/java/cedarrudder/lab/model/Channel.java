package cedarrudder.lab.model;

import java.util.Arrays;

/** What one proxy holds of one node: where it is reached, and its idle connections. */
final class Channel {

    final long endpoint;
    final Node node;

    /** The machine's life that the connection which {@link #take} gave leads to. */
    int taken;

    private int[] machines = new int[2];
    private long[] since = new long[2];
    private int idle;
    private boolean gone;

    Channel(long endpoint, Node node) {
        this.endpoint = endpoint;
        this.node = node;
    }

    /**
     * Takes the idle connection that was used last and isn't known to be closed; false if there is
     * none. The end of a machine is known once its reset is here; one that vanished sends none.
     */
    boolean take(long now) {
        while (idle > 0) {
            int machine = machines[--idle];
            if (machine == node.incarnation || !node.knownToBeOver(machine, now)) {
                taken = machine;
                return true;
            }
        }
        return false;
    }

    /**
     * Puts a connection back that is idle again; where the node is gone from the list, it is
     * closed.
     */
    void give(int machine, long now) {
        if (gone) {
            node.connections -= machine == node.incarnation ? 1 : 0;
            return;
        }
        if (idle == machines.length) {
            machines = Arrays.copyOf(machines, 2 * idle);
            since = Arrays.copyOf(since, 2 * idle);
        }
        machines[idle] = machine;
        since[idle++] = now;
    }

    boolean isIdle() {
        return idle > 0;
    }

    /** Closes connections that have been idle since this instant or before. */
    void close(long before) {
        int kept = 0;
        for (int i = 0; i < idle; i++) {
            if (since[i] > before) {
                machines[kept] = machines[i];
                since[kept++] = since[i];
            } else if (machines[i] == node.incarnation) {
                node.connections--;
            }
        }
        idle = kept;
    }

    void closeAll() {
        close(Long.MAX_VALUE);
    }

    /** Nothing is sent there any more; attempts that are out hold on to it until they end. */
    void leave() {
        gone = true;
        closeAll();
    }
}
