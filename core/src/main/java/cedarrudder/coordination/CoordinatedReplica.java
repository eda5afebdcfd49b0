package cedarrudder.coordination;

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
import cedarrudder.coordination.ReportMessage.Part;
import cedarrudder.coordination.ReportMessage.ReportKind;
import cedarrudder.footprint.RouteTableCapacity;
import cedarrudder.footprint.RouteTableFootprint;
import cedarrudder.routetable.CurrentRouteTable;
import cedarrudder.routetable.RouteTable;
import cedarrudder.routetable.RouteTableCodec;
import cedarrudder.routetable.RouteTableDelta;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/**
 * One copy of a tier, as it decides with the others: the log, the route table that comes of it and
 * its lease, the reports to the replica that leads and, where this one does, the plan. Where
 * clients go and which nodes leave are the affairs of {@link TrafficCoordination} and {@link
 * DrainCoordination}.
 *
 * <p>It has no clock, no socket and no thread. It is told of datagrams and of the time, which never
 * goes back, and is asked by {@link #due} when it wants to be told next. Not thread-safe: from one
 * thread at a time, and its outlet must not call it.
 */
public final class CoordinatedReplica {

    /**
     * What {@link TrafficCoordination}, and {@link DrainCoordination}, may say in one report:
     * parts, and bytes of each.
     */
    public static final int MAX_PARTS = 4;

    public static final int MAX_PART = 136;

    /** What the log can take of a table. */
    private static final RouteTableCapacity LOG =
            new RouteTableCapacity(
                    RaftNode.MAX_CONTENT - 1, RouteTable.MAX_LEAVING, Integer.MAX_VALUE);

    /** What an entry holds, by its first byte. */
    private static final byte TABLE = 1;

    private static final byte COMMAND = 2;

    /** What a part takes beside its bytes. */
    private static final int PART_HEAD = 2;

    /** Reports of which an answer may still come. */
    private static final int OPEN = 32;

    /**
     * A process numbers its reports from its start, in milliseconds, times 2 to the power of this.
     * This avoids an answer to the process before, where it had the same life, being taken for one
     * to this one.
     */
    private static final int START = 20;

    private static final long MAX_START = (1L << 42) - 1;

    /** What is proposed and not loaded after this many periods is taken to have come to nothing. */
    private static final int MAX_WAITED = 10;

    /** A replica that was silent for this many reports says nothing of its room. */
    private static final int HEARD_LATELY = 4;

    /** What it causes. */
    public interface Actions {
        /** Sends a datagram of at most 224 bytes; it may be lost. */
        void send(int to, byte[] datagram);

        /**
         * This table counts from here on; null: none does, and the replica does what it does
         * without one.
         */
        void onTable(RouteTable table);

        /**
         * The table that counts must not be used from this instant on, unless another one is said
         * before. To be looked at before each use: this avoids one who stood still and goes on with
         * a table of then.
         */
        void onLeaseExtended(long instant);

        /**
         * These nodes are being removed, whether a table counts or not: a lease that is over brings
         * none back.
         */
        void onDrainingNodes(List<RouteTable.DrainingNode> leaving);

        /**
         * What became of a command that was proposed here, said once.
         *
         * @param number the one that it was applied under, where it is committed; otherwise null
         */
        void onProposalSettled(Proposal proposal, ProposalOutcome outcome, LogPosition number);

        /** Something that others may want to know; words of {@code docs/AGREEMENT.md}. */
        void record(String what, Map<String, String> fields);
    }

    /** How things stand, for operators. */
    public record Status(
            VoterGroup group,
            long term,
            int leader,
            boolean leads,
            VoterSet voters,
            RouteTable agreed,
            RouteTable used,
            long leaseLeft) {}

    /** What came that was none, for figures. */
    public record Counts(long malformed, long notItsSender) {}

    private final Actions actions;
    private final CoordinationSettings settings;
    private final int[] zones;
    private final int self;
    private final long reports;
    private final RandomGenerator random;
    private final TrafficCoordination trafficCoordination;
    private final DrainCoordination drainCoordination;
    private final Supplier<RouteTableCapacity> capacity;
    private final CurrentRouteTable tables = new CurrentRouteTable();
    private final ReportCollector reporters;
    private final BitSet dead = new BitSet();
    private final TierView tierView = new View();
    private final long[] sentAt = new long[OPEN];
    private final TableLease lease;
    private final RaftNode raft;

    private RouteTable used;
    private boolean counts;
    private boolean fits;
    private long until;
    private long contact;
    private List<RouteTable.DrainingNode> drainingNodes = List.of();
    private long longest;

    private long reportAt;
    private long number;
    private VoterGroup grantGroup = VoterGroup.NONE;
    private long grantTerm;
    private long grantAt = ReportMessage.NEVER;

    private boolean wasLeader;
    private long planAt;
    private long firstOfTerm;
    private LogPosition waitsForNumber;
    private long waitsSince;
    private RouteTable heldBack;

    private long now;
    private long malformed;
    private long notItsSender;

    /**
     * Takes part as one that has nothing, or where its store remembers something, with that.
     *
     * @param zones the zone of each copy of the tier
     * @param self the number of this one
     * @param incarnation larger than that of any earlier life of this one
     * @param room what this replica can load now
     * @throws IllegalArgumentException if a figure is outside its range, or the lease is too short
     *     for this many replicas
     */
    public CoordinatedReplica(
            int[] zones,
            int self,
            long incarnation,
            ConsensusSettings agreed,
            CoordinationSettings settings,
            StableStorage store,
            RandomGenerator random,
            TrafficCoordination shares,
            DrainCoordination removal,
            Supplier<RouteTableCapacity> room,
            Actions outlet,
            long now) {
        if (settings.lease() < settings.minLease(zones.length)) {
            throw new IllegalArgumentException(
                    "lease: found "
                            + settings.lease()
                            + " ns with "
                            + zones.length
                            + " copies; allowed: "
                            + settings.minLease(zones.length)
                            + " ns or more");
        }
        this.zones = zones.clone();
        this.self = self;
        this.settings = settings;
        this.reports = settings.reports(zones.length);
        this.random = random;
        this.trafficCoordination = shares;
        this.drainCoordination = removal;
        this.capacity = room;
        this.actions = outlet;
        this.now = now;
        this.reporters = new ReportCollector(zones.length, now);
        this.lease = new TableLease(now);
        this.until = lease.until();
        this.contact = lease.contact();
        this.number = (incarnation & MAX_START) << START;
        this.reportAt = now + (long) (random.nextDouble() * reports);
        this.raft =
                new RaftNode(
                        zones,
                        self,
                        incarnation,
                        agreed,
                        store,
                        random,
                        new LogActions(store),
                        now);
    }

    /** What the log causes. */
    private final class LogActions implements RaftNode.Actions {
        private final StableStorage store;

        LogActions(StableStorage store) {
            this.store = store;
        }

        @Override
        public void send(int to, byte[] piece) {
            actions.send(to, piece);
        }

        @Override
        public void apply(LogPosition at, byte[] content) {
            if (content.length > 0 && content[0] == TABLE) {
                byte[] bytes = new byte[content.length - 1];
                System.arraycopy(content, 1, bytes, 0, bytes.length);
                RouteTable table = RouteTableCodec.decode(bytes).table();
                RouteTable before = lease.agreed();
                // One that was composed before another leader's came may come after it.
                boolean counts =
                        table != null && (before == null || table.number() > before.number());
                agreed(at.group(), counts ? table : before);
            } else if (content.length > 0 && content[0] == COMMAND) {
                byte[] command = new byte[content.length - 1];
                System.arraycopy(content, 1, command, 0, command.length);
                drainCoordination.apply(now, command);
                agreed(at.group(), lease.agreed());
            }
            recordHistory(HistoryEventText.loaded(at, content, state()));
        }

        @Override
        public byte[] state() {
            return new ReplicatedState(lease.agreed(), drainCoordination.state()).encode();
        }

        @Override
        public void restore(LogPosition at, byte[] bytes) {
            ReplicatedState state = ReplicatedState.decode(bytes);
            if (state == null) {
                // This avoids a state that another version wrote: nothing of it counts.
                state = new ReplicatedState(null, new byte[0]);
            }
            drainCoordination.restored(now, state.drainState());
            agreed(at.group(), state.table());
            if (at.index() > 0) {
                recordHistory(
                        HistoryEventText.restored(
                                at,
                                bytes,
                                raft == null
                                        ? store.recovered().hardState().incarnation()
                                        : raft.incarnation()));
            }
        }

        @Override
        public void onProposalSettled(
                Proposal proposal, ProposalOutcome outcome, LogPosition number) {
            actions.onProposalSettled(proposal, outcome, number);
        }

        @Override
        public void record(ConsensusEvent note) {
            if (note instanceof ConsensusEvent.EntryStored stored
                    && stored.entry().kind() == LogEntry.Kind.TERM_START
                    && stored.by().replica() == self
                    && stored.entry().term() == raft.term()
                    && raft.isLeader()) {
                firstOfTerm = stored.index();
            }
            recordHistory(HistoryEventText.of(note));
        }
    }

    /**
     * What {@link TrafficCoordination} and {@link DrainCoordination} see where this replica leads.
     */
    private final class View implements TierView {
        @Override
        public int replicas() {
            return zones.length;
        }

        @Override
        public int self() {
            return self;
        }

        @Override
        public int zone(int replica) {
            return zones[replica];
        }

        @Override
        public boolean isAlive(int replica) {
            return !dead.get(replica);
        }

        @Override
        public RouteTable agreed() {
            return lease.agreed();
        }

        @Override
        public long isLeaseOver(int replica) {
            return reporters.grantedAt(replica)
                    + longest
                    + 2 * longest / CoordinationSettings.DRIFT;
        }
    }

    // ---- what is known ----

    /** How things stand. */
    public Status status(long at) {
        return new Status(
                raft.group(),
                raft.term(),
                leader(),
                raft.isLeader(),
                raft.voters(),
                lease.agreed(),
                used,
                used == null ? 0 : Math.max(0, until - at));
    }

    /** The replica that leads, as far as this one knows; -1 where it knows of none. */
    public int leader() {
        return raft.leader();
    }

    public Counts counts() {
        return new Counts(malformed, notItsSender);
    }

    // ---- events ----

    /** When {@link #tick} is to be called next; it does no harm to call it sooner or later. */
    public long due() {
        long due = Math.min(raft.due(), reportAt);
        due = used == null ? due : Math.min(due, until);
        return raft.isLeader() ? Math.min(due, planAt) : due;
    }

    /** Does what is due. */
    public void tick(long at) {
        begin(at);
        raft.tick(now);
        settleLeadership();
        if (now >= reportAt) {
            reportAt = now + reports;
            if (!fits) {
                updateTable(); // there may be room by now
            }
            report();
        }
        if (raft.isLeader() && now >= planAt) {
            planAt = now + settings.period();
            plan();
        }
        settleLeadership();
    }

    /** Takes a datagram that begins as one of agreement, or as one of these. Garbage is dropped. */
    public void onDatagram(long at, int from, byte[] bytes) {
        begin(at);
        if (bytes.length > 0 && bytes[0] == ReportMessage.FIRST) {
            ReportMessage.Sealed sealed = ReportMessage.decode(bytes, zones.length);
            if (sealed == null) {
                malformed++;
            } else if (sealed.sender() != from || from == self) {
                notItsSender++;
            } else if (sealed.letter() instanceof ReportMessage.Report report) {
                onReport(from, sealed.incarnation(), report);
            } else if (sealed.letter() instanceof ReportMessage.Grant grant) {
                onGrant(grant);
            }
        } else {
            raft.onDatagram(now, from, bytes);
        }
        settleLeadership();
    }

    /** Membership holds that a replica lives, or that it is dead; no safety rests on it. */
    public void setAlive(int replica, boolean lives) {
        dead.set(replica, !lives);
        raft.setAlive(replica, lives);
    }

    /**
     * An operator has it form a group, with what it has loaded.
     *
     * @return false where no further group can be formed
     */
    public boolean formGroup(long at) {
        begin(at);
        boolean formed = raft.formGroup(now);
        settleLeadership();
        return formed;
    }

    /**
     * Proposes a command of {@link DrainCoordination}, at any replica, whoever leads.
     *
     * @param patience after which its outcome is said, whatever is known by then; nanoseconds
     * @return what {@link Actions#onProposalSettled} will name; null where too many wait here, so
     *     that it is not taken
     * @throws IllegalArgumentException if it is larger than what may be handed on
     */
    public Proposal propose(long at, byte[] command, long patience) {
        begin(at);
        Proposal made = raft.forward(now, tagged(COMMAND, command), patience);
        settleLeadership();
        return made;
    }

    /** This replica is about to end: another leads where this one does; false where none can. */
    public boolean stop(long at) {
        begin(at);
        boolean handed = raft.transferLeadership(now);
        settleLeadership();
        return handed;
    }

    /** First of all: this avoids one that stood still doing anything with what was then. */
    private void begin(long at) {
        now = at;
        settleLeadership();
    }

    private void recordHistory(HistoryEventText.HistoryEntry said) {
        actions.record(said.what(), said.fields());
    }

    private static byte[] tagged(byte tag, byte[] content) {
        byte[] bytes = new byte[content.length + 1];
        bytes[0] = tag;
        System.arraycopy(content, 0, bytes, 1, content.length);
        return bytes;
    }

    // ---- the table ----

    /** All that is agreed on and loaded here is this from now on. */
    private void agreed(VoterGroup group, RouteTable table) {
        boolean other = table != null && !table.equals(lease.agreed());
        lease.agreed(group, table);
        if (table == null) {
            counts = false;
            fits = false;
        } else if (other) {
            longest = Math.max(longest, table.lease());
            CurrentRouteTable.Loaded loaded = tables.load(table);
            counts = loaded.counts();
            updateTable();
            if (!fits) {
                recordHistory(HistoryEventText.refused(table, counts ? "no room" : loaded.why()));
            }
        }
        List<RouteTable.DrainingNode> next = drainCoordination.drainingNodes();
        if (!next.equals(drainingNodes)) {
            drainingNodes = next;
            recordHistory(HistoryEventText.leaving(drainingNodes));
            actions.onDrainingNodes(drainingNodes);
        }
    }

    /** Whether there is room for what is agreed on. */
    private void updateTable() {
        RouteTable table = lease.agreed();
        fits = counts && capacity.get().fits(table, RouteTableFootprint.bytes(table));
    }

    /** Sees to it that the table that counts is the one that may. */
    private void settleLeadership() {
        if (raft.isLeader() != wasLeader) {
            wasLeader = !wasLeader;
            planAt = now;
            waitsForNumber = null;
            if (wasLeader) {
                reporters.begin(now);
                reportAt =
                        now; // what the others say comes to this one from now on, and so does its
                // own
            }
            trafficCoordination.onLeadership(now, wasLeader);
            drainCoordination.onLeadership(now, wasLeader);
        }
        if (wasLeader && begun()) {
            lease.onContact(raft.group(), agreedNumber(), majorityAt());
        }
        if (lease.contact() > contact) {
            contact = lease.contact();
            recordHistory(HistoryEventText.renewed(now - contact));
        }
        long next = lease.until();
        RouteTable holds = fits && now < next ? lease.agreed() : null;
        if (holds != null && next != until) {
            actions.onLeaseExtended(next); // first: a table never counts by an older one's time
        }
        until = next;
        if (holds == used) {
            return;
        }
        RouteTable before = used;
        used = holds;
        if (before != null && holds == null) {
            recordHistory(HistoryEventText.lapsed(before));
        } else if (holds != null) {
            recordHistory(HistoryEventText.table(holds));
        }
        actions.onTable(holds);
    }

    private long agreedNumber() {
        return lease.agreed() == null ? 0 : lease.agreed().number();
    }

    /**
     * Whether an entry of this term is committed, and with it all that leaders before had
     * committed.
     */
    private boolean begun() {
        return raft.appliedPosition().index() >= firstOfTerm;
    }

    private long majorityAt() {
        return reporters.majorityAt(now, new Voter(self, raft.incarnation()), raft.voters());
    }

    // ---- reports ----

    private void report() {
        List<Part> parts = new ArrayList<>();
        trafficCoordination
                .report(now)
                .forEach(part -> parts.add(new Part(ReportKind.SHARES, part)));
        drainCoordination
                .report(now)
                .forEach(part -> parts.add(new Part(ReportKind.REMOVAL, part)));
        if (raft.isLeader()) {
            parts.forEach(part -> onReportMessage(self, part));
            return;
        }
        int leads = raft.leader();
        if (leads < 0 || leads == self) {
            return;
        }
        boolean sameTerm = grantGroup.equals(raft.group()) && grantTerm == raft.term();
        for (int next = 0; next == 0 || next < parts.size(); ) {
            List<Part> these = new ArrayList<>();
            int size = 0;
            while (next < parts.size() && size + parts.get(next).bytes().length <= MAX_PART) {
                size += parts.get(next).bytes().length + PART_HEAD;
                these.add(parts.get(next++));
            }
            boolean first = next == these.size();
            sentAt[(int) (++number % OPEN)] = now;
            post(
                    leads,
                    new ReportMessage.Report(
                            first,
                            number,
                            raft.group(),
                            raft.term(),
                            sameTerm ? grantAt : ReportMessage.NEVER,
                            agreedNumber(),
                            Math.max(agreedNumber(), highest()),
                            capacity.get(),
                            these));
            if (these.isEmpty()) {
                return;
            }
        }
    }

    private long highest() {
        return tables.current() == null ? 0 : tables.current().number();
    }

    private void post(int to, ReportMessage letter) {
        actions.send(to, letter.encode(self, raft.incarnation()));
    }

    private void onReportMessage(int from, Part part) {
        if (part.kind() == ReportKind.SHARES) {
            trafficCoordination.reported(now, from, part.bytes());
        } else {
            drainCoordination.reported(now, from, part.bytes());
        }
    }

    private void onReport(int from, long incarnation, ReportMessage.Report report) {
        if (!raft.isLeader()) {
            return;
        }
        boolean ours = report.group().equals(raft.group()) && report.term() == raft.term();
        boolean fresh = reporters.onReport(now, from, incarnation, report, ours);
        if (fresh) {
            // Of another group or term what a replica has carried out is told by other numbers.
            report.parts().stream()
                    .filter(part -> ours || part.kind() != ReportKind.REMOVAL)
                    .forEach(part -> onReportMessage(from, part));
        }
        if (report.asks() && reporters.answers(now, from, reports)) {
            long since = majorityAt();
            boolean sure =
                    fresh && begun() && now - since < 2 * Math.max(longest, settings.lease());
            if (sure) {
                reporters.granted(now, from);
            }
            post(
                    from,
                    new ReportMessage.Grant(
                            incarnation,
                            report.number(),
                            raft.group(),
                            raft.term(),
                            now,
                            sure ? now - since : -1,
                            agreedNumber(),
                            reporters.last(from)));
        }
    }

    private void onGrant(ReportMessage.Grant grant) {
        if (grant.incarnation() != raft.incarnation()
                || grant.asked() > number
                || grant.asked() <= number - OPEN) {
            return;
        }
        int byGroup = grant.group().compareTo(grantGroup);
        if (byGroup < 0 || byGroup == 0 && grant.term() < grantTerm) {
            return; // this avoids one that led before being asked again and again
        }
        number = Math.max(number, grant.last());
        boolean first = byGroup != 0 || grant.term() != grantTerm;
        grantAt = first ? grant.at() : Math.max(grantAt, grant.at());
        grantGroup = grant.group();
        grantTerm = grant.term();
        if (grant.age() >= 0) {
            lease.onContact(
                    grant.group(),
                    grant.table(),
                    sentAt[(int) (grant.asked() % OPEN)]
                            - grant.age()
                            - 2 * grant.age() / CoordinationSettings.DRIFT);
        } else if (first) {
            reportAt = now; // it waits to hear that a majority has heard it
        }
    }

    // ---- the plan ----

    private void plan() {
        if (!begun()) {
            return;
        }
        if (waitsForNumber != null
                && raft.appliedPosition().compareTo(waitsForNumber) < 0
                && now - waitsSince < MAX_WAITED * settings.period()) {
            return;
        }
        waitsForNumber = null;
        byte[] command = drainCoordination.nextCommand(now, tierView);
        if (command != null) {
            propose(tagged(COMMAND, command));
            return;
        }
        long base = base(raft.group());
        long next =
                Math.max(base, Math.max(agreedNumber(), Math.max(highest(), reporters.highest())))
                        + 1;
        RouteTable table =
                new RouteTable(
                        next,
                        base >>> COUNTER,
                        raft.term(),
                        settings.lease(),
                        trafficCoordination.plan(now, tierView),
                        drainCoordination.drainingNodes(),
                        List.of());
        RouteTable before = lease.agreed();
        boolean same =
                before != null
                        && before.group() == table.group()
                        && before.lease() == table.lease()
                        && RouteTableDelta.between(before, table).isEmpty();
        if (!same && fitsEverywhere(table)) {
            propose(tagged(TABLE, RouteTableCodec.encode(table)));
        }
    }

    private void propose(byte[] content) {
        waitsForNumber = raft.propose(now, content);
        waitsSince = now;
    }

    /**
     * Bits of a table's number that count within a group; above them are the group's era and
     * founder.
     */
    private static final int COUNTER = 28;

    private static final int FOUNDER = 16;
    private static final long MAX_BASE = Long.MAX_VALUE >>> COUNTER;

    /** No table of a group before has a number above it. */
    private static long base(VoterGroup group) {
        return Math.min((long) group.era() << FOUNDER | group.founder(), MAX_BASE) << COUNTER;
    }

    /** A table that the smallest live replica can't load is not agreed on. */
    private boolean fitsEverywhere(RouteTable table) {
        Map<Integer, RouteTableCapacity> rooms = new HashMap<>();
        for (int replica = 0; replica < zones.length; replica++) {
            if (replica == self) {
                rooms.put(replica, capacity.get().min(LOG));
            } else if (tierView.isAlive(replica)
                    && reporters.heardSince(replica, now - HEARD_LATELY * reports)) {
                rooms.put(replica, reporters.capacity(replica));
            }
        }
        Integer by = RouteTableCapacity.limitingReplica(table, rooms);
        if (by == null) {
            heldBack = null;
        } else if (heldBack == null || !RouteTableDelta.between(heldBack, table).isEmpty()) {
            heldBack = table;
            recordHistory(
                    HistoryEventText.heldBack(
                            by,
                            RouteTableFootprint.bytes(table),
                            table.draining().size(),
                            rooms.get(by)));
        }
        return by == null;
    }
}
