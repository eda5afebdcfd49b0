package cedarrudder.lab.coordination;

import cedarrudder.consensus.ConsensusSettings;
import cedarrudder.consensus.LogPosition;
import cedarrudder.consensus.Proposal;
import cedarrudder.consensus.ProposalOutcome;
import cedarrudder.consensus.StableStorage;
import cedarrudder.coordination.CoordinatedReplica;
import cedarrudder.coordination.CoordinationSettings;
import cedarrudder.coordination.DrainCoordination;
import cedarrudder.coordination.HistoryEntry;
import cedarrudder.coordination.TrafficCoordination;
import cedarrudder.footprint.RouteTableCapacity;
import cedarrudder.lab.checker.HistoryEvent;
import cedarrudder.lab.consensus.ConsensusSimulation.Network;
import cedarrudder.lab.consensus.SimulatedDisk;
import cedarrudder.lab.consensus.SimulatedProcess;
import cedarrudder.lab.consensus.VirtualTime;
import cedarrudder.routetable.RouteTable;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

/**
 * Simulates the coordination of the replicas of a tier in virtual time. The network loses, delays,
 * duplicates and corrupts datagrams and can be partitioned; clocks differ and drift; processes are
 * killed and paused. One seed always gives the same history.
 */
public final class CoordinationSimulation {

    private static final long SECOND = 1_000_000_000L;
    private static final long HOUR = 3_600 * SECOND;

    /** Creates a replica with its traffic and drain coordination and its table capacity. */
    public interface ReplicaFactory {
        CoordinatedReplica create(
                int[] zones,
                int self,
                long incarnation,
                StableStorage store,
                RandomGenerator random,
                CoordinatedReplica.Actions actions,
                long now);
    }

    /** Returns a factory of replicas that keep traffic in its zone and load any route table. */
    public static ReplicaFactory plain(ConsensusSettings consensus, CoordinationSettings settings) {
        return (zones, self, incarnation, store, random, actions, now) ->
                new CoordinatedReplica(
                        zones,
                        self,
                        incarnation,
                        consensus,
                        settings,
                        store,
                        random,
                        TrafficCoordination.NONE,
                        DrainCoordination.NONE,
                        () -> RouteTableCapacity.ANY,
                        actions,
                        now);
    }

    /** Inspects each datagram that is sent; a datagram that does not pass is lost. */
    public interface Filter {
        boolean passes(int from, int to, byte[] datagram);
    }

    /** A host of the tier and the replica that runs on it. */
    private final class Host extends SimulatedProcess implements CoordinatedReplica.Actions {
        final int number;
        StableStorage store = StableStorage.NONE;
        CoordinatedReplica replica;
        RouteTable table;
        long leaseEnd;
        List<RouteTable.DrainingNode> leaving = List.of();
        final List<ProposalOutcome> settled = new ArrayList<>();
        long bytes;

        Host(int number) {
            super(
                    time,
                    random.nextDouble(-1, 1) * HOUR,
                    1 + random.nextDouble(-1, 1) / CoordinationSettings.DRIFT);
            this.number = number;
        }

        @Override
        protected boolean isRunning() {
            return replica != null;
        }

        @Override
        protected long nextTickAt() {
            return replica.nextTickAt();
        }

        @Override
        protected void tick() {
            replica.tick(ownTime());
        }

        void start(long incarnation, StableStorage storage, boolean hasState) {
            begin();
            store = storage;
            table = null;
            leaving = List.of();
            record(new HistoryEntry("started", Map.of("kept", hasState ? "1" : "0")));
            replica =
                    replicaFactory.create(
                            zones, number, incarnation, storage, random.split(), this, ownTime());
            wake();
        }

        @Override
        public void send(int to, byte[] datagram) {
            bytes += datagram.length;
            if (random.nextDouble() < network.loss()
                    || cut[number][to]
                    || !filter.passes(number, to, datagram)) {
                return;
            }
            int times = random.nextDouble() < network.doubled() ? 2 : 1;
            Host target = hosts.get(to);
            for (int i = 0; i < times; i++) {
                byte[] delivered = datagram.clone();
                if (random.nextDouble() < network.corrupt()) {
                    delivered[random.nextInt(delivered.length)] ^= (byte) (1 << random.nextInt(8));
                }
                time.at(
                        now() + random.nextLong(network.minDelay(), network.maxDelay() + 1),
                        () -> {
                            if (!cut[number][to]) {
                                target.run(
                                        target.process(),
                                        () ->
                                                target.replica.onDatagram(
                                                        target.ownTime(), number, delivered));
                            }
                        });
            }
        }

        @Override
        public void onTable(RouteTable next) {
            table = next;
        }

        @Override
        public void onLeaseExtended(long instant) {
            leaseEnd = instant;
        }

        @Override
        public void onDrainingNodes(List<RouteTable.DrainingNode> next) {
            leaving = next;
        }

        @Override
        public void onProposalSettled(
                Proposal proposal, ProposalOutcome outcome, LogPosition number) {
            settled.add(outcome);
        }

        @Override
        public void record(HistoryEntry entry) {
            listener.accept(
                    new HistoryEvent(now(), number, process(), entry.event(), entry.fields()));
        }
    }

    private final ReplicaFactory replicaFactory;
    private final Consumer<HistoryEvent> listener;
    private final SplittableRandom random;
    private final int[] zones;
    private final VirtualTime time = new VirtualTime();
    private final List<Host> hosts = new ArrayList<>();
    private final boolean[][] cut;
    private Network network;
    private Filter filter = (from, to, datagram) -> true;
    private long incarnations = 1;

    /**
     * Starts all replicas at once, in no group.
     *
     * @param zones the zone of each replica
     * @param disks whether each replica has a persistent disk
     * @param listener receives all events of the history
     */
    public CoordinationSimulation(
            int[] zones,
            Network network,
            boolean disks,
            long seed,
            ReplicaFactory replicaFactory,
            Consumer<HistoryEvent> listener) {
        this.zones = zones.clone();
        this.network = network;
        this.replicaFactory = replicaFactory;
        this.listener = listener;
        this.random = new SplittableRandom(seed);
        this.cut = new boolean[zones.length][zones.length];
        for (int i = 0; i < zones.length; i++) {
            hosts.add(new Host(i));
        }
        hosts.forEach(
                host ->
                        host.start(
                                incarnations++,
                                disks ? new SimulatedDisk() : StableStorage.NONE,
                                false));
    }

    /** Returns the current instant, in nanoseconds. */
    public long now() {
        return time.now();
    }

    /** Runs the simulation for this many nanoseconds. */
    public void play(long length) {
        time.play(length);
    }

    // ---- faults ----

    /** Replaces the faults and delays of the network from now on. */
    public void network(Network other) {
        network = other;
    }

    /** Replaces the filter that inspects all datagrams from now on. */
    public void filter(Filter other) {
        filter = other;
    }

    /** Kills a replica without notice to the others; its disk loses what was not synced. */
    public void kill(int number) {
        Host host = hosts.get(number);
        host.replica = null;
        host.table = null;
        host.end();
        if (host.store instanceof SimulatedDisk disk) {
            disk.crash();
        }
        updateLiveness();
    }

    /** Restarts a replica under a new incarnation, with its disk if it has one. */
    public void restart(int number) {
        Host host = hosts.get(number);
        host.start(incarnations++, host.store, host.store.recovered() != null);
        updateLiveness();
    }

    /** Pauses a replica for this many nanoseconds; datagrams that arrive meanwhile are buffered. */
    public void stall(int number, long length) {
        hosts.get(number).stall(length);
    }

    /** Cuts the link from one replica to another from now on, or restores it. */
    public void cut(int from, int to, boolean cuts) {
        cut[from][to] = cuts;
        updateLiveness();
    }

    /** Cuts all links between these replicas and all others, and restores all other links. */
    public void cutOff(List<Integer> isolated) {
        for (int i = 0; i < cut.length; i++) {
            for (int j = 0; j < cut.length; j++) {
                cut[i][j] = isolated.contains(i) != isolated.contains(j);
            }
        }
        updateLiveness();
    }

    /** Restores all links. */
    public void heal() {
        for (boolean[] row : cut) {
            Arrays.fill(row, false);
        }
        updateLiveness();
    }

    /** Reports to each replica which others it can reach, at once and without errors. */
    private void updateLiveness() {
        for (Host host : hosts) {
            for (Host other : hosts) {
                if (host != other && host.replica != null) {
                    host.replica.setAlive(
                            other.number,
                            other.replica != null
                                    && !cut[host.number][other.number]
                                    && !cut[other.number][host.number]);
                }
            }
        }
    }

    /** Makes a replica form a group, as an operator would. */
    public void form(int number) {
        Host host = hosts.get(number);
        host.run(host.process(), () -> host.replica.formGroup(host.ownTime()));
    }

    /** Proposes a command as an operator would; false if the replica is down or rejects it. */
    public boolean propose(int number, byte[] command, long patience) {
        Host host = hosts.get(number);
        Proposal[] proposed = new Proposal[1];
        host.run(
                host.process(),
                () -> proposed[0] = host.replica.propose(host.ownTime(), command, patience));
        return proposed[0] != null;
    }

    /** Returns the outcomes of a replica's proposals, in the order in which they were reported. */
    public List<ProposalOutcome> settled(int number) {
        return hosts.get(number).settled;
    }

    /** Delivers bytes to a replica as if another had sent them. */
    public void inject(int to, int from, byte[] bytes) {
        Host host = hosts.get(to);
        host.run(host.process(), () -> host.replica.onDatagram(host.ownTime(), from, bytes));
    }

    // ---- state ----

    public int size() {
        return hosts.size();
    }

    public boolean runs(int number) {
        return hosts.get(number).replica != null;
    }

    /** Returns a replica, or null if it does not run. */
    public CoordinatedReplica view(int number) {
        return hosts.get(number).replica;
    }

    /**
     * Returns the table that a replica would use for a request that arrived now, or null if it
     * would use none. The host of a replica checks the lease before each request.
     */
    public RouteTable uses(int number) {
        Host host = hosts.get(number);
        return host.table == null || host.ownTime() >= host.leaseEnd ? null : host.table;
    }

    /** Returns the draining nodes that a replica excludes. */
    public List<RouteTable.DrainingNode> leaving(int number) {
        return hosts.get(number).leaving;
    }

    /**
     * Returns the replica that leads the newest term of the newest group, among those that run and
     * are not paused, or -1 if there is none.
     */
    public int leader() {
        int found = -1;
        for (Host host : hosts) {
            if (host.replica != null
                    && !host.isStalled()
                    && host.replica.status(host.ownTime()).isLeader()
                    && (found < 0 || isNewer(host, hosts.get(found)))) {
                found = host.number;
            }
        }
        return found;
    }

    private static boolean isNewer(Host one, Host other) {
        CoordinatedReplica.Status a = one.replica.status(one.ownTime());
        CoordinatedReplica.Status b = other.replica.status(other.ownTime());
        int byGroup = a.group().compareTo(b.group());
        return byGroup > 0 || byGroup == 0 && a.term() > b.term();
    }

    /** Returns whether all running replicas use the same table. */
    public boolean agree() {
        Map<RouteTable, Integer> used = new HashMap<>();
        for (Host host : hosts) {
            if (host.replica != null) {
                used.merge(uses(host.number), 1, Integer::sum);
            }
        }
        return used.size() == 1 && !used.containsKey(null);
    }

    /** Returns the bytes that a host has sent, without the headers of lower layers. */
    public long bytes(int number) {
        return hosts.get(number).bytes;
    }
}
