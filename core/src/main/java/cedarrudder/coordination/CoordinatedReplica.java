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
import cedarrudder.coordination.ReportMessage.Of;
import cedarrudder.coordination.ReportMessage.Part;
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
        void table(RouteTable table);

        /**
         * The table that counts must not be used from this instant on, unless another one is said
         * before. To be looked at before each use: this avoids one who stood still and goes on with
         * a table of then.
         */
        void until(long instant);

        /**
         * These nodes are being removed, whether a table counts or not: a lease that is over brings
         * none back.
         */
        void leaving(List<RouteTable.Leaving> leaving);

        /**
         * What became of a command that was proposed here, said once.
         *
         * @param number the one that it was applied under, where it is committed; otherwise null
         */
        void settled(Proposal proposal, ProposalOutcome outcome, LogPosition number);

        /** Something that others may want to know; words of {@code docs/AGREEMENT.md}. */
        void noted(String what, Map<String, String> fields);
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

    private final Actions outlet;
    private final CoordinationSettings settings;
    private final int[] zones;
    private final int self;
    private final long reports;
    private final RandomGenerator random;
    private final TrafficCoordination shares;
    private final DrainCoordination removal;
    private final Supplier<RouteTableCapacity> room;
    private final CurrentRouteTable tables = new CurrentRouteTable();
    private final ReportCollector reporters;
    private final BitSet dead = new BitSet();
    private final TierView tier = new View();
    private final long[] sentAt = new long[OPEN];
    private final TableLease lease;
    private final RaftNode agreement;

    private RouteTable used;
    private boolean counts;
    private boolean fits;
    private long until;
    private long contact;
    private List<RouteTable.Leaving> leaving = List.of();
    private long longest;

    private long reportAt;
    private long number;
    private VoterGroup grantGroup = VoterGroup.NONE;
    private long grantTerm;
    private long grantAt = ReportMessage.NEVER;

    private boolean led;
    private long planAt;
    private long firstOfTerm;
    private LogPosition waitsFor;
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
        this.shares = shares;
        this.removal = removal;
        this.room = room;
        this.outlet = outlet;
        this.now = now;
        this.reporters = new ReportCollector(zones.length, now);
        this.lease = new TableLease(now);
        this.until = lease.until();
        this.contact = lease.contact();
        this.number = (incarnation & MAX_START) << START;
        this.reportAt = now + (long) (random.nextDouble() * reports);
        this.agreement =
                new RaftNode(
                        zones, self, incarnation, agreed, store, random, new FromLog(store), now);
    }

    /** What the log causes. */
    private final class FromLog implements RaftNode.Actions {
        private final StableStorage store;

        FromLog(StableStorage store) {
            this.store = store;
        }

        @Override
        public void send(int to, byte[] piece) {
            outlet.send(to, piece);
        }

        @Override
        public void loaded(LogPosition at, byte[] content) {
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
                removal.apply(now, command);
                agreed(at.group(), lease.agreed());
            }
            say(HistoryEventText.loaded(at, content, state()));
        }

        @Override
        public byte[] state() {
            return new ReplicatedState(lease.agreed(), removal.state()).encode();
        }

        @Override
        public void restored(LogPosition at, byte[] bytes) {
            ReplicatedState state = ReplicatedState.decode(bytes);
            if (state == null) {
                // This avoids a state that another version wrote: nothing of it counts.
                state = new ReplicatedState(null, new byte[0]);
            }
            removal.restored(now, state.removal());
            agreed(at.group(), state.table());
            if (at.index() > 0) {
                say(
                        HistoryEventText.restored(
                                at,
                                bytes,
                                agreement == null
                                        ? store.kept().promise().incarnation()
                                        : agreement.incarnation()));
            }
        }

        @Override
        public void settled(Proposal proposal, ProposalOutcome outcome, LogPosition number) {
            outlet.settled(proposal, outcome, number);
        }

        @Override
        public void noted(ConsensusEvent note) {
            if (note instanceof ConsensusEvent.Stored stored
                    && stored.entry().kind() == LogEntry.Kind.BEGIN
                    && stored.by().replica() == self
                    && stored.entry().term() == agreement.term()
                    && agreement.leads()) {
                firstOfTerm = stored.index();
            }
            say(HistoryEventText.of(note));
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
        public boolean lives(int replica) {
            return !dead.get(replica);
        }

        @Override
        public RouteTable agreed() {
            return lease.agreed();
        }

        @Override
        public long leaseOver(int replica) {
            return reporters.grantedAt(replica)
                    + longest
                    + 2 * longest / CoordinationSettings.DRIFT;
        }
    }

    // ---- what is known ----

    /** How things stand. */
    public Status status(long at) {
        return new Status(
                agreement.group(),
                agreement.term(),
                leader(),
                agreement.leads(),
                agreement.voters(),
                lease.agreed(),
                used,
                used == null ? 0 : Math.max(0, until - at));
    }

    /** The replica that leads, as far as this one knows; -1 where it knows of none. */
    public int leader() {
        return agreement.leader();
    }

    public Counts counts() {
        return new Counts(malformed, notItsSender);
    }

    // ---- events ----

    /** When {@link #tick} is to be called next; it does no harm to call it sooner or later. */
    public long due() {
        long due = Math.min(agreement.due(), reportAt);
        due = used == null ? due : Math.min(due, until);
        return agreement.leads() ? Math.min(due, planAt) : due;
    }

    /** Does what is due. */
    public void tick(long at) {
        begin(at);
        agreement.tick(now);
        settle();
        if (now >= reportAt) {
            reportAt = now + reports;
            if (!fits) {
                look(); // there may be room by now
            }
            report();
        }
        if (agreement.leads() && now >= planAt) {
            planAt = now + settings.period();
            plan();
        }
        settle();
    }

    /** Takes a datagram that begins as one of agreement, or as one of these. Garbage is dropped. */
    public void received(long at, int from, byte[] bytes) {
        begin(at);
        if (bytes.length > 0 && bytes[0] == ReportMessage.FIRST) {
            ReportMessage.Sealed sealed = ReportMessage.decode(bytes, zones.length);
            if (sealed == null) {
                malformed++;
            } else if (sealed.sender() != from || from == self) {
                notItsSender++;
            } else if (sealed.letter() instanceof ReportMessage.Report report) {
                reported(from, sealed.incarnation(), report);
            } else if (sealed.letter() instanceof ReportMessage.Grant grant) {
                granted(grant);
            }
        } else {
            agreement.received(now, from, bytes);
        }
        settle();
    }

    /** Membership holds that a replica lives, or that it is dead; no safety rests on it. */
    public void lives(int replica, boolean lives) {
        dead.set(replica, !lives);
        agreement.lives(replica, lives);
    }

    /**
     * An operator has it form a group, with what it has loaded.
     *
     * @return false where no further group can be formed
     */
    public boolean form(long at) {
        begin(at);
        boolean formed = agreement.form(now);
        settle();
        return formed;
    }

    /**
     * Proposes a command of {@link DrainCoordination}, at any replica, whoever leads.
     *
     * @param patience after which its outcome is said, whatever is known by then; nanoseconds
     * @return what {@link Actions#settled} will name; null where too many wait here, so that it is
     *     not taken
     * @throws IllegalArgumentException if it is larger than what may be handed on
     */
    public Proposal propose(long at, byte[] command, long patience) {
        begin(at);
        Proposal made = agreement.hand(now, tagged(COMMAND, command), patience);
        settle();
        return made;
    }

    /** This replica is about to end: another leads where this one does; false where none can. */
    public boolean leave(long at) {
        begin(at);
        boolean handed = agreement.transfer(now);
        settle();
        return handed;
    }

    /** First of all: this avoids one that stood still doing anything with what was then. */
    private void begin(long at) {
        now = at;
        settle();
    }

    private void say(HistoryEventText.Said said) {
        outlet.noted(said.what(), said.fields());
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
            look();
            if (!fits) {
                say(HistoryEventText.refused(table, counts ? "no room" : loaded.why()));
            }
        }
        List<RouteTable.Leaving> next = removal.leaving();
        if (!next.equals(leaving)) {
            leaving = next;
            say(HistoryEventText.leaving(leaving));
            outlet.leaving(leaving);
        }
    }

    /** Whether there is room for what is agreed on. */
    private void look() {
        RouteTable table = lease.agreed();
        fits = counts && room.get().holds(table, RouteTableFootprint.bytes(table));
    }

    /** Sees to it that the table that counts is the one that may. */
    private void settle() {
        if (agreement.leads() != led) {
            led = !led;
            planAt = now;
            waitsFor = null;
            if (led) {
                reporters.begin(now);
                reportAt =
                        now; // what the others say comes to this one from now on, and so does its
                // own
            }
            shares.leads(now, led);
            removal.leads(now, led);
        }
        if (led && begun()) {
            lease.sure(agreement.group(), agreedNumber(), majorityAt());
        }
        if (lease.contact() > contact) {
            contact = lease.contact();
            say(HistoryEventText.renewed(now - contact));
        }
        long next = lease.until();
        RouteTable holds = fits && now < next ? lease.agreed() : null;
        if (holds != null && next != until) {
            outlet.until(next); // first: a table never counts by an older one's time
        }
        until = next;
        if (holds == used) {
            return;
        }
        RouteTable before = used;
        used = holds;
        if (before != null && holds == null) {
            say(HistoryEventText.lapsed(before));
        } else if (holds != null) {
            say(HistoryEventText.table(holds));
        }
        outlet.table(holds);
    }

    private long agreedNumber() {
        return lease.agreed() == null ? 0 : lease.agreed().number();
    }

    /**
     * Whether an entry of this term is committed, and with it all that leaders before had
     * committed.
     */
    private boolean begun() {
        return agreement.loaded().index() >= firstOfTerm;
    }

    private long majorityAt() {
        return reporters.majorityAt(
                now, new Voter(self, agreement.incarnation()), agreement.voters());
    }

    // ---- reports ----

    private void report() {
        List<Part> parts = new ArrayList<>();
        shares.report(now).forEach(part -> parts.add(new Part(Of.SHARES, part)));
        removal.report(now).forEach(part -> parts.add(new Part(Of.REMOVAL, part)));
        if (agreement.leads()) {
            parts.forEach(part -> took(self, part));
            return;
        }
        int leads = agreement.leader();
        if (leads < 0 || leads == self) {
            return;
        }
        boolean sameTerm = grantGroup.equals(agreement.group()) && grantTerm == agreement.term();
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
                            agreement.group(),
                            agreement.term(),
                            sameTerm ? grantAt : ReportMessage.NEVER,
                            agreedNumber(),
                            Math.max(agreedNumber(), highest()),
                            room.get(),
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
        outlet.send(to, letter.encode(self, agreement.incarnation()));
    }

    private void took(int from, Part part) {
        if (part.of() == Of.SHARES) {
            shares.reported(now, from, part.bytes());
        } else {
            removal.reported(now, from, part.bytes());
        }
    }

    private void reported(int from, long incarnation, ReportMessage.Report report) {
        if (!agreement.leads()) {
            return;
        }
        boolean ours =
                report.group().equals(agreement.group()) && report.term() == agreement.term();
        boolean fresh = reporters.took(now, from, incarnation, report, ours);
        if (fresh) {
            // Of another group or term what a replica has carried out is told by other numbers.
            report.parts().stream()
                    .filter(part -> ours || part.of() != Of.REMOVAL)
                    .forEach(part -> took(from, part));
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
                            agreement.group(),
                            agreement.term(),
                            now,
                            sure ? now - since : -1,
                            agreedNumber(),
                            reporters.last(from)));
        }
    }

    private void granted(ReportMessage.Grant grant) {
        if (grant.incarnation() != agreement.incarnation()
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
            lease.sure(
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
        if (waitsFor != null
                && agreement.loaded().compareTo(waitsFor) < 0
                && now - waitsSince < MAX_WAITED * settings.period()) {
            return;
        }
        waitsFor = null;
        byte[] command = removal.next(now, tier);
        if (command != null) {
            propose(tagged(COMMAND, command));
            return;
        }
        long base = base(agreement.group());
        long next =
                Math.max(base, Math.max(agreedNumber(), Math.max(highest(), reporters.highest())))
                        + 1;
        RouteTable table =
                new RouteTable(
                        next,
                        base >>> COUNTER,
                        agreement.term(),
                        settings.lease(),
                        shares.plan(now, tier),
                        removal.leaving(),
                        List.of());
        RouteTable before = lease.agreed();
        boolean same =
                before != null
                        && before.group() == table.group()
                        && before.lease() == table.lease()
                        && RouteTableDelta.between(before, table).nothing();
        if (!same && roomEverywhere(table)) {
            propose(tagged(TABLE, RouteTableCodec.encode(table)));
        }
    }

    private void propose(byte[] content) {
        waitsFor = agreement.propose(now, content);
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
    private boolean roomEverywhere(RouteTable table) {
        Map<Integer, RouteTableCapacity> rooms = new HashMap<>();
        for (int replica = 0; replica < zones.length; replica++) {
            if (replica == self) {
                rooms.put(replica, room.get().min(LOG));
            } else if (tier.lives(replica)
                    && reporters.heardSince(replica, now - HEARD_LATELY * reports)) {
                rooms.put(replica, reporters.room(replica));
            }
        }
        Integer by = RouteTableCapacity.holdsBack(table, rooms);
        if (by == null) {
            heldBack = null;
        } else if (heldBack == null || !RouteTableDelta.between(heldBack, table).nothing()) {
            heldBack = table;
            say(
                    HistoryEventText.heldBack(
                            by,
                            RouteTableFootprint.bytes(table),
                            table.leaving().size(),
                            rooms.get(by)));
        }
        return by == null;
    }
}
