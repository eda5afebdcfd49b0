package cedarrudder.lab.consensus;

import cedarrudder.consensus.ConsensusEvent;
import cedarrudder.consensus.ConsensusSettings;
import cedarrudder.consensus.LogEntry;
import cedarrudder.consensus.LogPosition;
import cedarrudder.consensus.Proposal;
import cedarrudder.consensus.ProposalOutcome;
import cedarrudder.consensus.RaftNode;
import cedarrudder.consensus.StableStorage;
import cedarrudder.consensus.Voter;
import cedarrudder.consensus.VoterGroup;
import cedarrudder.consensus.VoterSet;
import cedarrudder.lab.checker.HistoryEvent;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import java.util.zip.CRC32C;

/**
 * Simulates the consensus of the replicas of a tier in virtual time. The network loses, delays,
 * duplicates and corrupts datagrams and can be partitioned; the clocks of the replicas differ and
 * drift. The state of a replica is a running checksum of all log entries that it has applied. One
 * seed always gives the same history.
 */
public final class ConsensusSimulation {

    private static final long SECOND = 1_000_000_000L;
    private static final long HOUR = 3_600 * SECOND;
    private static final int ZONES = 3;

    /**
     * The faults and delays of the network.
     *
     * @param loss the fraction of datagrams that are lost, from 0 to 1
     * @param doubled the fraction that is delivered twice
     * @param corrupt the fraction in which one bit is flipped
     * @param minDelay the minimum delay of a delivered datagram, in nanoseconds
     * @param maxDelay the maximum delay; delays are uniformly distributed between the two, so
     *     datagrams overtake one another
     */
    public record Network(
            double loss, double doubled, double corrupt, long minDelay, long maxDelay) {}

    /**
     * The outcome of a proposal, as reported to the replica that made it.
     *
     * @param number the log position; null if the proposal is not committed
     */
    public record Settled(
            long at, Proposal proposal, ProposalOutcome outcome, LogPosition number) {}

    /** Creates the consensus node of a replica, so that a test can use a faulty one instead. */
    public interface NodeFactory {
        RaftNode create(
                int[] zones,
                int self,
                long incarnation,
                ConsensusSettings settings,
                StableStorage store,
                RandomGenerator random,
                RaftNode.Actions actions,
                long now);
    }

    /** A host of the tier and the consensus node that runs on it. */
    private final class Host extends SimulatedProcess implements RaftNode.Actions {
        final int number;
        StableStorage store = StableStorage.NONE;
        RaftNode node;
        final List<Settled> settled = new ArrayList<>();
        long sum;
        long messages;
        long bytes;
        long recordedContact;

        /**
         * The latest instant at which a leader had contact with a majority, as far as messages can
         * have carried this information here, directly or through others.
         */
        long knownMajorityContact;

        /** By peer: when the latest datagram of this replica that arrived there was sent. */
        final long[] sentTo = new long[zones.length];

        /**
         * By peer: when the latest datagram of this replica was sent that the peer had received
         * before it sent something that arrived here.
         */
        final long[] answered = new long[zones.length];

        Host(int number) {
            super(time, random.nextDouble(-1, 1) * HOUR, 1 + random.nextDouble(-1, 1) / 1_000);
            this.number = number;
        }

        @Override
        protected boolean isRunning() {
            return node != null;
        }

        @Override
        protected long nextTickAt() {
            return node.nextTickAt();
        }

        @Override
        protected void tick() {
            node.tick(ownTime());
        }

        @Override
        protected void onHandled() {
            recordLeaderContact();
        }

        void start(long incarnation, StableStorage storage, boolean hasState) {
            begin();
            sum = 0;
            store = storage;
            settled.clear();
            recordedContact = Long.MIN_VALUE;
            knownMajorityContact = Long.MIN_VALUE;
            Arrays.fill(sentTo, Long.MIN_VALUE);
            Arrays.fill(answered, Long.MIN_VALUE);
            hosts.forEach(each -> each.sentTo[number] = Long.MIN_VALUE);
            emit("started", Map.of("kept", hasState ? "1" : "0"));
            node =
                    nodeFactory.create(
                            zones,
                            number,
                            incarnation,
                            settings,
                            storage,
                            random.split(),
                            this,
                            ownTime());
            wake();
        }

        /**
         * Records the arrival of a datagram, which can carry everything that its sender knew when
         * it was sent.
         */
        void onReceived(Host from, long sentAt, long knownToSender, long receivedBySender) {
            knownMajorityContact = Math.max(knownMajorityContact, knownToSender);
            from.sentTo[number] = Math.max(from.sentTo[number], sentAt);
            answered[from.number] = Math.max(answered[from.number], receivedBySender);
        }

        /**
         * Records a new leader contact in the history, with the latest one that can be known here.
         */
        private void recordLeaderContact() {
            if (listener == null) {
                return;
            }
            if (node.isLeader()) {
                List<Long> acknowledgedAt =
                        node.voters().all().stream()
                                .map(
                                        voter ->
                                                voter.replica() == number
                                                        ? now()
                                                        : answered[voter.replica()])
                                .sorted(Comparator.reverseOrder())
                                .toList();
                knownMajorityContact =
                        Math.max(
                                knownMajorityContact,
                                acknowledgedAt.get(acknowledgedAt.size() / 2));
            }
            long since = node.leaderContactSince();
            if (since != recordedContact && since != Long.MIN_VALUE) {
                emit(
                        "sure",
                        Map.of(
                                "since",
                                Long.toString((long) Math.floor(instantOf(since))),
                                "reached",
                                Long.toString(knownMajorityContact)));
            }
            recordedContact = since;
        }

        private void emit(String what, Map<String, String> fields) {
            if (listener != null) {
                listener.accept(new HistoryEvent(now(), number, process(), what, fields));
            }
        }

        @Override
        public void send(int to, byte[] datagram) {
            messages++;
            bytes += datagram.length;
            if (random.nextDouble() < network.loss || isCut(number, to)) {
                return;
            }
            int times = random.nextDouble() < network.doubled ? 2 : 1;
            for (int i = 0; i < times; i++) {
                byte[] sent = datagram;
                if (random.nextDouble() < network.corrupt) {
                    sent = datagram.clone();
                    sent[random.nextInt(sent.length)] ^= (byte) (1 << random.nextInt(8));
                }
                byte[] delivered = sent;
                Host target = hosts.get(to);
                long sentAt = now();
                long knownAtSend = knownMajorityContact;
                long lastReceived = target.sentTo[number];
                time.at(
                        now() + random.nextLong(network.minDelay, network.maxDelay + 1),
                        () -> {
                            if (!isCut(number, to)) {
                                target.run(
                                        target.process(),
                                        () -> {
                                            target.onReceived(
                                                    this, sentAt, knownAtSend, lastReceived);
                                            target.node.onDatagram(
                                                    target.ownTime(), number, delivered);
                                        });
                            }
                        });
            }
        }

        @Override
        public void apply(LogPosition at, byte[] content) {
            sum = sum * 31 + checksum(content) + at.index();
            if (listener == null) {
                return;
            }
            emit(
                    "loaded",
                    Map.of(
                            "group",
                            text(at.group()),
                            "index",
                            Long.toString(at.index()),
                            "sum",
                            Integer.toHexString(checksum(content)),
                            "state",
                            Long.toHexString(sum)));
        }

        @Override
        public byte[] state() {
            // As long as a route table, so that it is sent in fragments; only the first 8 bytes
            // matter.
            return ByteBuffer.allocate(stateBytes).putLong(sum).array();
        }

        @Override
        public void restore(LogPosition at, byte[] state) {
            sum = state.length < 8 ? 0 : ByteBuffer.wrap(state).getLong();
            if (at.index() > 0 && listener != null) {
                emit(
                        "restored",
                        Map.of(
                                "group",
                                text(at.group()),
                                "index",
                                Long.toString(at.index()),
                                "state",
                                Long.toHexString(sum),
                                "as",
                                Long.toString(
                                        node == null
                                                ? store.recovered().hardState().incarnation()
                                                : node.incarnation())));
            }
        }

        @Override
        public void onProposalSettled(Proposal proposal, ProposalOutcome outcome, LogPosition at) {
            settled.add(new Settled(now(), proposal, outcome, at));
            if (listener != null) {
                Map<String, String> fields =
                        new HashMap<>(
                                Map.of(
                                        "proposal",
                                        text(proposal),
                                        "sum",
                                        Integer.toHexString(checksum(proposal.content())),
                                        "outcome",
                                        outcome.name()));
                if (at != null) {
                    fields.put("group", text(at.group()));
                    fields.put("index", Long.toString(at.index()));
                }
                emit("settled", fields);
            }
        }

        @Override
        public void record(ConsensusEvent consensusEvent) {
            if (consensusEvent instanceof ConsensusEvent.LeaderElected) {
                leadsSince = now();
            }
            if (listener == null) {
                return;
            }
            String group = text(consensusEvent.group());
            if (consensusEvent instanceof ConsensusEvent.VoteGranted n) {
                emit(
                        "voted",
                        Map.of(
                                "group",
                                group,
                                "term",
                                Long.toString(n.term()),
                                "as",
                                Long.toString(n.by().incarnation()),
                                "for",
                                text(n.candidate())));
            } else if (consensusEvent instanceof ConsensusEvent.LeaderElected n) {
                emit(
                        "leads",
                        Map.of(
                                "group",
                                group,
                                "term",
                                Long.toString(n.term()),
                                "as",
                                Long.toString(n.by().incarnation())));
            } else if (consensusEvent instanceof ConsensusEvent.EntryStored n) {
                Map<String, String> fields =
                        new HashMap<>(
                                Map.of(
                                        "group",
                                        group,
                                        "index",
                                        Long.toString(n.index()),
                                        "as",
                                        Long.toString(n.by().incarnation()),
                                        "sum",
                                        Integer.toHexString(checksum(n.entry().content()))));
                if (n.entry().kind() == LogEntry.Kind.VOTERS) {
                    fields.put("voters", text(VoterSet.decode(n.entry().bytes())));
                }
                emit("stored", fields);
            } else if (consensusEvent instanceof ConsensusEvent.VotersChanged n) {
                emit(
                        "seated",
                        Map.of(
                                "group",
                                group,
                                "index",
                                Long.toString(n.index()),
                                "voters",
                                text(n.voters())));
            }
        }
    }

    private final ConsensusSettings settings;
    private final NodeFactory nodeFactory;
    private final Consumer<HistoryEvent> listener;
    private final SplittableRandom random;
    private final int[] zones;
    private final int stateBytes;
    private final VirtualTime time = new VirtualTime();
    private final List<Host> hosts = new ArrayList<>();
    private final boolean[][] cut;
    private final Map<VoterGroup, String> groups = new HashMap<>();
    private Network network;
    private long incarnations = 1;
    private long leadsSince = -1;

    /**
     * Starts {@code size} replicas at once, in no group.
     *
     * @param disks whether each replica has a persistent disk
     * @param stateBytes the size of the state of a replica, in bytes; 8 or more
     * @param listener receives all events of the history; may be null
     */
    public ConsensusSimulation(
            int size,
            Network network,
            ConsensusSettings settings,
            boolean disks,
            int stateBytes,
            long seed,
            NodeFactory nodeFactory,
            Consumer<HistoryEvent> listener) {
        this.network = network;
        this.settings = settings;
        this.nodeFactory = nodeFactory;
        this.listener = listener;
        this.random = new SplittableRandom(seed);
        this.stateBytes = stateBytes;
        this.zones = new int[size];
        this.cut = new boolean[size][size];
        for (int i = 0; i < size; i++) {
            zones[i] = i % ZONES;
            hosts.add(new Host(i));
        }
        hosts.forEach(
                host ->
                        host.start(
                                incarnations++,
                                disks ? new SimulatedDisk() : StableStorage.NONE,
                                false));
    }

    private boolean isCut(int from, int to) {
        return cut[from][to];
    }

    private static int checksum(byte[] bytes) {
        CRC32C sum = new CRC32C();
        sum.update(bytes);
        return (int) sum.getValue();
    }

    /** Returns a text for a group; texts sort as the groups do. */
    private String text(VoterGroup group) {
        return groups.computeIfAbsent(
                group,
                g ->
                        String.format(
                                Locale.ROOT,
                                "%08x.%04x.%012x",
                                g.era(),
                                g.founder(),
                                g.incarnation()));
    }

    private static String text(Proposal proposal) {
        return proposal.replica() + ":" + proposal.incarnation() + ":" + proposal.sequence();
    }

    private static String text(Voter voter) {
        return voter.replica() + ":" + voter.incarnation();
    }

    private static String text(VoterSet voters) {
        return voters.all().stream()
                .map(ConsensusSimulation::text)
                .collect(Collectors.joining(","));
    }

    // ---- time ----

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

    /** Kills a replica without notice to the others; its disk loses what was not synced. */
    public void kill(int number) {
        Host host = hosts.get(number);
        host.node = null;
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

    /**
     * Restarts a replica that claims this incarnation and this storage, although it has no state.
     */
    public void pretend(int number, long incarnation, StableStorage with) {
        hosts.get(number).start(incarnation, with, false);
        updateLiveness();
    }

    /** Pauses a replica for this many nanoseconds; datagrams that arrive meanwhile are buffered. */
    public void stall(int number, long length) {
        hosts.get(number).stall(length);
    }

    /**
     * Cuts the link from one replica to another, or restores it. Datagrams in flight are lost as
     * well. The liveness that the replicas see does not change before {@link #updateLiveness}.
     */
    public void cut(int from, int to, boolean cuts) {
        cut[from][to] = cuts;
    }

    /** Restores all links. */
    public void heal() {
        for (boolean[] row : cut) {
            Arrays.fill(row, false);
        }
        updateLiveness();
    }

    /**
     * Reports to each replica which others it can reach, as a perfect and immediate membership
     * service would.
     */
    public void updateLiveness() {
        for (Host host : hosts) {
            for (Host other : hosts) {
                if (host != other && host.node != null) {
                    host.node.setAlive(
                            other.number,
                            other.node != null
                                    && !cut[host.number][other.number]
                                    && !cut[other.number][host.number]);
                }
            }
        }
    }

    // ---- operations ----

    /** Makes a replica form a group, as an operator would. */
    public void form(int number) {
        Host host = hosts.get(number);
        host.run(host.process(), () -> host.node.formGroup(host.ownTime()));
    }

    /**
     * Proposes content at a replica. Returns its log position, or null if the replica does not run
     * or does not accept it.
     */
    public LogPosition propose(int number, byte[] content) {
        Host host = hosts.get(number);
        LogPosition[] position = new LogPosition[1];
        host.run(host.process(), () -> position[0] = host.node.propose(host.ownTime(), content));
        return position[0];
    }

    /**
     * Makes a replica forward a proposal to the leader. Returns null if the replica does not run or
     * too many proposals are pending.
     *
     * @param patience how long the replica waits for the outcome, in nanoseconds
     */
    public Proposal forwardProposal(int number, byte[] content, long patience) {
        Host host = hosts.get(number);
        Proposal[] made = new Proposal[1];
        host.run(
                host.process(),
                () -> {
                    made[0] = host.node.forward(host.ownTime(), content, patience);
                    if (made[0] != null) {
                        host.emit(
                                "handed",
                                Map.of(
                                        "proposal",
                                        text(made[0]),
                                        "sum",
                                        Integer.toHexString(checksum(content))));
                    }
                });
        return made[0];
    }

    /** Makes a replica forward the same proposal once more. */
    public void forwardProposalAgain(int number, Proposal proposal, long patience) {
        Host host = hosts.get(number);
        host.run(host.process(), () -> host.node.forwardAgain(host.ownTime(), proposal, patience));
    }

    /** Makes a replica hand over its leadership. */
    public void transfer(int number) {
        Host host = hosts.get(number);
        host.run(host.process(), () -> host.node.transferLeadership(host.ownTime()));
    }

    /** Delivers bytes to a replica as if another had sent them. */
    public void inject(int to, int from, byte[] bytes) {
        Host host = hosts.get(to);
        host.run(host.process(), () -> host.node.onDatagram(host.ownTime(), from, bytes));
    }

    // ---- state ----

    public int size() {
        return hosts.size();
    }

    public boolean runs(int number) {
        return hosts.get(number).node != null;
    }

    /**
     * Returns the age of the last leader contact that a replica knows of, in nanoseconds on its own
     * clock, or -1 if it knows of none.
     */
    public long contactAge(int number) {
        Host host = hosts.get(number);
        long since = host.node.leaderContactSince();
        return since == Long.MIN_VALUE ? -1 : host.ownTime() - since;
    }

    /** Returns whether a replica runs and is not paused. */
    public boolean awake(int number) {
        return runs(number) && !hosts.get(number).isStalled();
    }

    /** Returns the consensus node of a replica, or null if it does not run. */
    public RaftNode view(int number) {
        return hosts.get(number).node;
    }

    /** Returns the running checksum of all that a replica has applied. */
    public long sum(int number) {
        return hosts.get(number).sum;
    }

    /**
     * Returns the replica that leads the newest term of the newest group, among those that run and
     * are not paused, or -1 if there is none.
     */
    public int leader() {
        int found = -1;
        for (Host host : hosts) {
            if (host.node != null
                    && !host.isStalled()
                    && host.node.isLeader()
                    && (found < 0 || isNewer(host.node, hosts.get(found).node))) {
                found = host.number;
            }
        }
        return found;
    }

    private static boolean isNewer(RaftNode one, RaftNode other) {
        int byGroup = one.group().compareTo(other.group());
        return byGroup > 0 || byGroup == 0 && one.term() > other.term();
    }

    /** Returns when a replica was last elected leader, or -1 if none was. */
    public long leadsSince() {
        return leadsSince;
    }

    /**
     * Returns the outcomes of proposals that were reported to a replica since it started, in order.
     */
    public List<Settled> settled(int number) {
        return List.copyOf(hosts.get(number).settled);
    }

    /** Returns the number of datagrams sent by all replicas. */
    public long messages() {
        return hosts.stream().mapToLong(host -> host.messages).sum();
    }

    /** Returns the number of bytes sent by all replicas, without the headers of lower layers. */
    public long bytes() {
        return hosts.stream().mapToLong(host -> host.bytes).sum();
    }

    /** Returns the number of bytes that one host has sent, over all its incarnations. */
    public long bytes(int number) {
        return hosts.get(number).bytes;
    }

    /** Returns whether all running replicas have applied this position or a later one. */
    public boolean allLoaded(LogPosition number) {
        return hosts.stream()
                .allMatch(
                        host ->
                                host.node == null
                                        || host.node.appliedPosition().compareTo(number) >= 0);
    }

    /** Returns whether all running replicas have applied the same entries of the same group. */
    public boolean agree() {
        List<Host> running = hosts.stream().filter(host -> host.node != null).toList();
        return running.stream()
                .allMatch(
                        host ->
                                host.sum == running.get(0).sum
                                        && host.node
                                                .appliedPosition()
                                                .equals(running.get(0).node.appliedPosition()));
    }
}
