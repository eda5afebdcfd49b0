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
 * Replicas of a tier that agree, in virtual time, with a network that loses, delays, doubles,
 * corrupts and cuts, and with clocks that differ and drift. What a replica loads is a running sum
 * of all that was loaded. One seed gives one history.
 */
public final class ConsensusSimulation {

    private static final long SECOND = 1_000_000_000L;
    private static final long HOUR = 3_600 * SECOND;
    private static final int ZONES = 3;

    /**
     * What the network does.
     *
     * @param loss the share of datagrams that are lost, from 0 to 1
     * @param doubled the share that comes twice
     * @param corrupt the share of which one bit is wrong
     * @param minDelay of those that come, in nanoseconds
     * @param maxDelay the longest; delays are even between the two, so datagrams overtake one
     *     another
     */
    public record Network(
            double loss, double doubled, double corrupt, long minDelay, long maxDelay) {}

    /**
     * What a replica was told of a proposal of its own.
     *
     * @param number null where it is not committed
     */
    public record Settled(
            long at, Proposal proposal, ProposalOutcome outcome, LogPosition number) {}

    /** What makes a replica's part, so that a broken one can be put in its place. */
    public interface Maker {
        RaftNode make(
                int[] zones,
                int self,
                long incarnation,
                ConsensusSettings settings,
                StableStorage store,
                RandomGenerator random,
                RaftNode.Actions outlet,
                long now);
    }

    /** One place in the tier, and the process that runs there. */
    private final class Place extends SimulatedProcess implements RaftNode.Actions {
        final int number;
        StableStorage store = StableStorage.NONE;
        RaftNode agreement;
        final List<Settled> settled = new ArrayList<>();
        long sum;
        long messages;
        long bytes;
        long believed;

        /**
         * The latest contact of a leader with a majority of which word can have come here, by any
         * way.
         */
        long reached;

        /** When what this one sent to each other left, of what has come there. */
        final long[] sentTo = new long[zones.length];

        /**
         * The latest of what each other had of this one, when it sent something that has come here.
         */
        final long[] answered = new long[zones.length];

        Place(int number) {
            super(time, random.nextDouble(-1, 1) * HOUR, 1 + random.nextDouble(-1, 1) / 1_000);
            this.number = number;
        }

        @Override
        protected boolean isRunning() {
            return agreement != null;
        }

        @Override
        protected long nextTickAt() {
            return agreement.nextTickAt();
        }

        @Override
        protected void tick() {
            agreement.tick(ownTime());
        }

        @Override
        protected void onHandled() {
            look();
        }

        void start(long incarnation, StableStorage on, boolean keeps) {
            begin();
            sum = 0;
            store = on;
            settled.clear();
            believed = Long.MIN_VALUE;
            reached = Long.MIN_VALUE;
            Arrays.fill(sentTo, Long.MIN_VALUE);
            Arrays.fill(answered, Long.MIN_VALUE);
            places.forEach(each -> each.sentTo[number] = Long.MIN_VALUE);
            say("started", Map.of("kept", keeps ? "1" : "0"));
            agreement =
                    maker.make(
                            zones,
                            number,
                            incarnation,
                            settings,
                            on,
                            random.split(),
                            this,
                            ownTime());
            wake();
        }

        /** Something of another has come: what that one knew when it sent it may be known here. */
        void onReceived(Place from, long sentAt, long itsReach, long hadOfThis) {
            reached = Math.max(reached, itsReach);
            from.sentTo[number] = Math.max(from.sentTo[number], sentAt);
            answered[from.number] = Math.max(answered[from.number], hadOfThis);
        }

        /** Who believes in a contact says so, with that which it can have heard of. */
        private void look() {
            if (listener == null) {
                return;
            }
            if (agreement.isLeader()) {
                List<Long> asked =
                        agreement.voters().all().stream()
                                .map(
                                        voter ->
                                                voter.replica() == number
                                                        ? now()
                                                        : answered[voter.replica()])
                                .sorted(Comparator.reverseOrder())
                                .toList();
                reached = Math.max(reached, asked.get(asked.size() / 2));
            }
            long since = agreement.leaderContactSince();
            if (since != believed && since != Long.MIN_VALUE) {
                say(
                        "sure",
                        Map.of(
                                "since",
                                Long.toString((long) Math.floor(instantOf(since))),
                                "reached",
                                Long.toString(reached)));
            }
            believed = since;
        }

        private void say(String what, Map<String, String> fields) {
            if (listener != null) {
                listener.accept(new HistoryEvent(now(), number, process(), what, fields));
            }
        }

        @Override
        public void send(int to, byte[] piece) {
            messages++;
            bytes += piece.length;
            if (random.nextDouble() < network.loss || blocked(number, to)) {
                return;
            }
            int times = random.nextDouble() < network.doubled ? 2 : 1;
            for (int i = 0; i < times; i++) {
                byte[] sent = piece;
                if (random.nextDouble() < network.corrupt) {
                    sent = piece.clone();
                    sent[random.nextInt(sent.length)] ^= (byte) (1 << random.nextInt(8));
                }
                byte[] comes = sent;
                Place target = places.get(to);
                long sentAt = now();
                long reach = reached;
                long had = target.sentTo[number];
                time.at(
                        now() + random.nextLong(network.minDelay, network.maxDelay + 1),
                        () -> {
                            if (!blocked(number, to)) {
                                target.run(
                                        target.process(),
                                        () -> {
                                            target.onReceived(this, sentAt, reach, had);
                                            target.agreement.onDatagram(
                                                    target.ownTime(), number, comes);
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
            say(
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
            // As long as a table is, so that it takes pieces; what counts are the first bytes.
            return ByteBuffer.allocate(stateBytes).putLong(sum).array();
        }

        @Override
        public void restore(LogPosition at, byte[] state) {
            sum = state.length < 8 ? 0 : ByteBuffer.wrap(state).getLong();
            if (at.index() > 0 && listener != null) {
                say(
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
                                        agreement == null
                                                ? store.recovered().hardState().incarnation()
                                                : agreement.incarnation())));
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
                say("settled", fields);
            }
        }

        @Override
        public void record(ConsensusEvent note) {
            if (note instanceof ConsensusEvent.LeaderElected) {
                leadsSince = now();
            }
            if (listener == null) {
                return;
            }
            String group = text(note.group());
            if (note instanceof ConsensusEvent.VoteGranted n) {
                say(
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
            } else if (note instanceof ConsensusEvent.LeaderElected n) {
                say(
                        "leads",
                        Map.of(
                                "group",
                                group,
                                "term",
                                Long.toString(n.term()),
                                "as",
                                Long.toString(n.by().incarnation())));
            } else if (note instanceof ConsensusEvent.EntryStored n) {
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
                say("stored", fields);
            } else if (note instanceof ConsensusEvent.VotersChanged n) {
                say(
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
    private final Maker maker;
    private final Consumer<HistoryEvent> listener;
    private final SplittableRandom random;
    private final int[] zones;
    private final int stateBytes;
    private final VirtualTime time = new VirtualTime();
    private final List<Place> places = new ArrayList<>();
    private final boolean[][] cut;
    private final Map<VoterGroup, String> groups = new HashMap<>();
    private Network network;
    private long incarnations = 1;
    private long leadsSince = -1;

    /**
     * Starts this many at once, in no group.
     *
     * @param disks whether each has a lasting disk
     * @param stateBytes the size of what a replica has loaded, 8 or more
     * @param listener hears all that happens; or null
     */
    public ConsensusSimulation(
            int size,
            Network network,
            ConsensusSettings settings,
            boolean disks,
            int stateBytes,
            long seed,
            Maker maker,
            Consumer<HistoryEvent> listener) {
        this.network = network;
        this.settings = settings;
        this.maker = maker;
        this.listener = listener;
        this.random = new SplittableRandom(seed);
        this.stateBytes = stateBytes;
        this.zones = new int[size];
        this.cut = new boolean[size][size];
        for (int i = 0; i < size; i++) {
            zones[i] = i % ZONES;
            places.add(new Place(i));
        }
        places.forEach(
                place ->
                        place.start(
                                incarnations++,
                                disks ? new SimulatedDisk() : StableStorage.NONE,
                                false));
    }

    private boolean blocked(int from, int to) {
        return cut[from][to];
    }

    private static int checksum(byte[] bytes) {
        CRC32C sum = new CRC32C();
        sum.update(bytes);
        return (int) sum.getValue();
    }

    /** As texts that sort as the groups do. */
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

    /** This one is gone without a word. */
    public void kill(int number) {
        Place place = places.get(number);
        place.agreement = null;
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

    /** It starts again and says that it has this life and this store, though it kept nothing. */
    public void pretend(int number, long incarnation, StableStorage with) {
        places.get(number).start(incarnation, with, false);
        updateLiveness();
    }

    /** For this long it does nothing; what comes meanwhile waits. */
    public void stall(int number, long length) {
        places.get(number).stall(length);
    }

    /**
     * Nothing comes from this one to that one from now on, what is on its way included; or all does
     * again.
     */
    public void cut(int from, int to, boolean cuts) {
        cut[from][to] = cuts;
    }

    /** No link is cut. */
    public void heal() {
        for (boolean[] row : cut) {
            Arrays.fill(row, false);
        }
        updateLiveness();
    }

    /** Membership, which knows at once what can be known. */
    public void updateLiveness() {
        for (Place place : places) {
            for (Place other : places) {
                if (place != other && place.agreement != null) {
                    place.agreement.setAlive(
                            other.number,
                            other.agreement != null
                                    && !cut[place.number][other.number]
                                    && !cut[other.number][place.number]);
                }
            }
        }
    }

    // ---- calls ----

    /** An operator has it form a group. */
    public void form(int number) {
        Place place = places.get(number);
        place.run(place.process(), () -> place.agreement.formGroup(place.ownTime()));
    }

    /**
     * Something is proposed at this replica; its number, or null where the replica doesn't run or
     * takes nothing.
     */
    public LogPosition propose(int number, byte[] content) {
        Place place = places.get(number);
        LogPosition[] taken = new LogPosition[1];
        place.run(
                place.process(),
                () -> taken[0] = place.agreement.propose(place.ownTime(), content));
        return taken[0];
    }

    /**
     * Something is handed on by this replica to whoever leads; null where it doesn't run or too
     * many wait.
     */
    public Proposal hand(int number, byte[] content, long patience) {
        Place place = places.get(number);
        Proposal[] made = new Proposal[1];
        place.run(
                place.process(),
                () -> {
                    made[0] = place.agreement.forward(place.ownTime(), content, patience);
                    if (made[0] != null) {
                        place.say(
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

    /** The same is handed on once more. */
    public void again(int number, Proposal proposal, long patience) {
        Place place = places.get(number);
        place.run(
                place.process(),
                () -> place.agreement.forwardAgain(place.ownTime(), proposal, patience));
    }

    /** It hands over its lead. */
    public void transfer(int number) {
        Place place = places.get(number);
        place.run(place.process(), () -> place.agreement.transferLeadership(place.ownTime()));
    }

    /** Gives a replica bytes as if from another. */
    public void inject(int to, int from, byte[] bytes) {
        Place place = places.get(to);
        place.run(place.process(), () -> place.agreement.onDatagram(place.ownTime(), from, bytes));
    }

    // ---- what is seen ----

    public int size() {
        return places.size();
    }

    public boolean runs(int number) {
        return places.get(number).agreement != null;
    }

    /** How old the last sure contact is, on a replica's own clock; -1 where it knows of none. */
    public long contactAge(int number) {
        Place place = places.get(number);
        long since = place.agreement.leaderContactSince();
        return since == Long.MIN_VALUE ? -1 : place.ownTime() - since;
    }

    /** Whether it runs and does not stand still. */
    public boolean awake(int number) {
        return runs(number) && !places.get(number).isStalled();
    }

    /** A replica's part; null where it doesn't run. */
    public RaftNode view(int number) {
        return places.get(number).agreement;
    }

    /** The sum of all that a replica has loaded. */
    public long sum(int number) {
        return places.get(number).sum;
    }

    /**
     * The replica that leads the newest term of the newest group, of those that run and don't stand
     * still; or -1.
     */
    public int leader() {
        int found = -1;
        for (Place place : places) {
            if (place.agreement != null
                    && !place.isStalled()
                    && place.agreement.isLeader()
                    && (found < 0 || newer(place.agreement, places.get(found).agreement))) {
                found = place.number;
            }
        }
        return found;
    }

    private static boolean newer(RaftNode one, RaftNode other) {
        int byGroup = one.group().compareTo(other.group());
        return byGroup > 0 || byGroup == 0 && one.term() > other.term();
    }

    /** When a replica last began to lead; -1 where none did. */
    public long leadsSince() {
        return leadsSince;
    }

    /** What a replica was told of its proposals since it started, in order. */
    public List<Settled> settled(int number) {
        return List.copyOf(places.get(number).settled);
    }

    /** All datagrams that were sent. */
    public long messages() {
        return places.stream().mapToLong(place -> place.messages).sum();
    }

    /** All bytes that were sent, without the headers of lower layers. */
    public long bytes() {
        return places.stream().mapToLong(place -> place.bytes).sum();
    }

    /** The bytes that one replica's place sent. */
    public long bytes(int number) {
        return places.get(number).bytes;
    }

    /** Whether all that run have loaded this, or what came after it. */
    public boolean allLoaded(LogPosition number) {
        return places.stream()
                .allMatch(
                        place ->
                                place.agreement == null
                                        || place.agreement.appliedPosition().compareTo(number)
                                                >= 0);
    }

    /** Whether all that run hold the same of the same group. */
    public boolean agree() {
        List<Place> running = places.stream().filter(place -> place.agreement != null).toList();
        return running.stream()
                .allMatch(
                        place ->
                                place.sum == running.get(0).sum
                                        && place.agreement
                                                .appliedPosition()
                                                .equals(
                                                        running.get(0)
                                                                .agreement
                                                                .appliedPosition()));
    }
}
