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
 * Replicas of a tier that decide together, in virtual time: a network that loses, delays, doubles
 * and cuts, clocks that differ and drift, processes that are killed and that stand still. One seed
 * gives one history.
 */
public final class CoordinationSimulation {

    private static final long SECOND = 1_000_000_000L;
    private static final long HOUR = 3_600 * SECOND;

    /** What makes a replica's part, with its subjects and its room. */
    public interface Maker {
        CoordinatedReplica make(
                int[] zones,
                int self,
                long incarnation,
                StableStorage store,
                RandomGenerator random,
                CoordinatedReplica.Actions outlet,
                long now);
    }

    /** One whose zones keep their clients, and that has room for all. */
    public static Maker plain(ConsensusSettings agreed, CoordinationSettings settings) {
        return (zones, self, incarnation, store, random, outlet, now) ->
                new CoordinatedReplica(
                        zones,
                        self,
                        incarnation,
                        agreed,
                        settings,
                        store,
                        random,
                        TrafficCoordination.NONE,
                        DrainCoordination.NONE,
                        () -> RouteTableCapacity.ANY,
                        outlet,
                        now);
    }

    /** Looks at each datagram that is sent; one that it does not let pass is lost. */
    public interface Filter {
        boolean passes(int from, int to, byte[] datagram);
    }

    /** One place in the tier, and the process that runs there. */
    private final class Place extends SimulatedProcess implements CoordinatedReplica.Actions {
        final int number;
        StableStorage store = StableStorage.NONE;
        CoordinatedReplica replica;
        RouteTable table;
        long until;
        List<RouteTable.DrainingNode> leaving = List.of();
        final List<ProposalOutcome> settled = new ArrayList<>();
        long bytes;

        Place(int number) {
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

        void start(long incarnation, StableStorage on, boolean keeps) {
            begin();
            store = on;
            table = null;
            leaving = List.of();
            record(new HistoryEntry("started", Map.of("kept", keeps ? "1" : "0")));
            replica = maker.make(zones, number, incarnation, on, random.split(), this, ownTime());
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
            Place target = places.get(to);
            for (int i = 0; i < times; i++) {
                byte[] comes = datagram.clone();
                if (random.nextDouble() < network.corrupt()) {
                    comes[random.nextInt(comes.length)] ^= (byte) (1 << random.nextInt(8));
                }
                time.at(
                        now() + random.nextLong(network.minDelay(), network.maxDelay() + 1),
                        () -> {
                            if (!cut[number][to]) {
                                target.run(
                                        target.process(),
                                        () ->
                                                target.replica.onDatagram(
                                                        target.ownTime(), number, comes));
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
            until = instant;
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

    private final Maker maker;
    private final Consumer<HistoryEvent> listener;
    private final SplittableRandom random;
    private final int[] zones;
    private final VirtualTime time = new VirtualTime();
    private final List<Place> places = new ArrayList<>();
    private final boolean[][] cut;
    private Network network;
    private Filter filter = (from, to, datagram) -> true;
    private long incarnations = 1;

    /**
     * Starts all replicas at once, in no group.
     *
     * @param zones that of each replica
     * @param disks whether each has a lasting disk
     * @param listener hears all that happens
     */
    public CoordinationSimulation(
            int[] zones,
            Network network,
            boolean disks,
            long seed,
            Maker maker,
            Consumer<HistoryEvent> listener) {
        this.zones = zones.clone();
        this.network = network;
        this.maker = maker;
        this.listener = listener;
        this.random = new SplittableRandom(seed);
        this.cut = new boolean[zones.length][zones.length];
        for (int i = 0; i < zones.length; i++) {
            places.add(new Place(i));
        }
        places.forEach(
                place ->
                        place.start(
                                incarnations++,
                                disks ? new SimulatedDisk() : StableStorage.NONE,
                                false));
    }

    // ---- time ----

    /** The present instant, in nanoseconds. */
    public long now() {
        return time.now();
    }

    /** Plays on for this long, in nanoseconds. */
    public void play(long length) {
        time.play(length);
    }

    // ---- faults ----

    /** From now on the network does this. */
    public void network(Network other) {
        network = other;
    }

    /** From now on this looks at all datagrams. */
    public void filter(Filter other) {
        filter = other;
    }

    /** This one is gone without a word. */
    public void kill(int number) {
        Place place = places.get(number);
        place.replica = null;
        place.table = null;
        place.end();
        if (place.store instanceof SimulatedDisk disk) {
            disk.crash();
        }
        updateLiveness();
    }

    /** It starts again, in a new life, with its disk where it has one. */
    public void restart(int number) {
        Place place = places.get(number);
        place.start(incarnations++, place.store, place.store.recovered() != null);
        updateLiveness();
    }

    /** For this long it does nothing; what comes meanwhile waits. */
    public void stall(int number, long length) {
        places.get(number).stall(length);
    }

    /** Nothing comes from this one to that one from now on, or all does again. */
    public void cut(int from, int to, boolean cuts) {
        cut[from][to] = cuts;
        updateLiveness();
    }

    /** Nothing passes between these and all others. */
    public void cutOff(List<Integer> these) {
        for (int i = 0; i < cut.length; i++) {
            for (int j = 0; j < cut.length; j++) {
                cut[i][j] = these.contains(i) != these.contains(j);
            }
        }
        updateLiveness();
    }

    /** No link is cut. */
    public void heal() {
        for (boolean[] row : cut) {
            Arrays.fill(row, false);
        }
        updateLiveness();
    }

    /** Membership, which knows at once what can be known. */
    private void updateLiveness() {
        for (Place place : places) {
            for (Place other : places) {
                if (place != other && place.replica != null) {
                    place.replica.setAlive(
                            other.number,
                            other.replica != null
                                    && !cut[place.number][other.number]
                                    && !cut[other.number][place.number]);
                }
            }
        }
    }

    /** An operator has it form a group. */
    public void form(int number) {
        Place place = places.get(number);
        place.run(place.process(), () -> place.replica.formGroup(place.ownTime()));
    }

    /** An operator asks for something at this replica; false where it does not take it. */
    public boolean propose(int number, byte[] command, long patience) {
        Place place = places.get(number);
        Proposal[] made = new Proposal[1];
        place.run(
                place.process(),
                () -> made[0] = place.replica.propose(place.ownTime(), command, patience));
        return made[0] != null;
    }

    /** What became of all that was asked for at a replica, in the order in which that was known. */
    public List<ProposalOutcome> settled(int number) {
        return places.get(number).settled;
    }

    /** Gives a replica bytes as if from another. */
    public void inject(int to, int from, byte[] bytes) {
        Place place = places.get(to);
        place.run(place.process(), () -> place.replica.onDatagram(place.ownTime(), from, bytes));
    }

    // ---- what is seen ----

    public int size() {
        return places.size();
    }

    public boolean runs(int number) {
        return places.get(number).replica != null;
    }

    /** A replica's part; null where it doesn't run. */
    public CoordinatedReplica view(int number) {
        return places.get(number).replica;
    }

    /**
     * The table that a replica would use for a call that came now, as its host looks at the time
     * before each; null where it would use none.
     */
    public RouteTable uses(int number) {
        Place place = places.get(number);
        return place.table == null || place.ownTime() >= place.until ? null : place.table;
    }

    /** Nodes that a replica leaves out. */
    public List<RouteTable.DrainingNode> leaving(int number) {
        return places.get(number).leaving;
    }

    /**
     * The replica that leads the newest term of the newest group, of those that don't stand still;
     * or -1.
     */
    public int leader() {
        int found = -1;
        for (Place place : places) {
            if (place.replica != null
                    && !place.isStalled()
                    && place.replica.status(place.ownTime()).isLeader()
                    && (found < 0 || newer(place, places.get(found)))) {
                found = place.number;
            }
        }
        return found;
    }

    private static boolean newer(Place one, Place other) {
        CoordinatedReplica.Status a = one.replica.status(one.ownTime());
        CoordinatedReplica.Status b = other.replica.status(other.ownTime());
        int byGroup = a.group().compareTo(b.group());
        return byGroup > 0 || byGroup == 0 && a.term() > b.term();
    }

    /** Whether all that run use one table. */
    public boolean agree() {
        Map<RouteTable, Integer> used = new HashMap<>();
        for (Place place : places) {
            if (place.replica != null) {
                used.merge(uses(place.number), 1, Integer::sum);
            }
        }
        return used.size() == 1 && !used.containsKey(null);
    }

    /** All bytes that a replica's place sent, without the headers of lower layers. */
    public long bytes(int number) {
        return places.get(number).bytes;
    }
}
