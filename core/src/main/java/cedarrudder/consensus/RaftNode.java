package cedarrudder.consensus;

import cedarrudder.consensus.LogEntry.Kind;
import cedarrudder.consensus.RaftMessage.Append;
import cedarrudder.consensus.RaftMessage.Ask;
import cedarrudder.consensus.RaftMessage.AskVote;
import cedarrudder.consensus.RaftMessage.Chunk;
import cedarrudder.consensus.RaftMessage.Digest;
import cedarrudder.consensus.RaftMessage.Hand;
import cedarrudder.consensus.RaftMessage.Lack;
import cedarrudder.consensus.RaftMessage.Lead;
import cedarrudder.consensus.RaftMessage.News;
import cedarrudder.consensus.RaftMessage.SayAppend;
import cedarrudder.consensus.RaftMessage.SayVote;
import cedarrudder.consensus.RaftMessage.Sure;
import cedarrudder.consensus.RaftMessage.Took;
import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * What the replicas of a tier agree on, as one of them takes part: a log by Raft (Ongaro and
 * Ousterhout 2014; Ongaro's thesis 2014) among a few voters, spread to all others. Voters that
 * forgot come back as learners (Liskov and Cowling 2012, recovery), and a group whose majority
 * forgot stops until a new one is formed.
 *
 * <p>It has no clock, no socket and no thread. It is told of messages and of the time, which never
 * goes back, and is asked by {@link #due} when it wants to be told next. Not thread-safe: from one
 * thread at a time, and its outlet must not call it. Whatever it sends leaves at the end of an
 * event, after all that it says is in the store.
 */
public final class RaftNode {

    /** The largest content of one entry, in bytes. */
    public static final int MAX_CONTENT = 32_768;

    /** The largest state of a replica, in bytes. */
    public static final int MAX_STATE = 262_144;

    /** The largest content of a proposal that is handed on, in bytes. */
    public static final int MAX_HANDED = 4_096;

    static final int MAX_SNAPSHOT = MAX_STATE + AppliedProposals.MAX_BYTES;

    /** Entries that a leader holds without knowing that they are committed. */
    private static final int MAX_OPEN = 32;

    /** How many of them others may have handed on, one each. */
    private static final int MAX_OPEN_HANDED = 16;

    /** Voters without which nothing is taken: a group that is just formed waits for others. */
    private static final int MIN_VOTERS = 3;

    /** What it causes. */
    public interface Actions {
        /** Sends a piece of at most 224 bytes; it may be lost. */
        void send(int to, byte[] piece);

        /** This is committed: takes effect here, after all before it. */
        void loaded(LogPosition number, byte[] content);

        /**
         * All that was loaded, as at most {@link #MAX_STATE} bytes; the same at each replica that
         * loaded the same.
         */
        byte[] state();

        /** This state takes the place of all that was loaded. */
        void restored(LogPosition number, byte[] state);

        /**
         * What became of a proposal that was handed on here, said once; it comes after {@link
         * #loaded}.
         *
         * @param number the one that it was loaded under, where it is committed; otherwise null
         */
        void settled(Proposal proposal, ProposalOutcome outcome, LogPosition number);

        /** Something that others may want to know. */
        void noted(ConsensusEvent note);
    }

    /** What came that was none, or came too late; for figures. */
    public record Counts(long malformed, long notItsSender, long stale) {}

    private record Out(int to, byte[] piece) {}

    private final Actions outlet;
    private final ConsensusSettings settings;
    private final RandomGenerator random;
    private final SafetyRules conduct;
    private final StableStorage store;
    private final ReplicaDirectory tier;
    private final RaftLog log;
    private final MessageFragmenter pieces;
    private final ByteRateLimiter allowance;
    private final LeaderContact contact;
    private final RaftContext circle = new Own();
    private final Election election;
    private final LogDissemination spreading;
    private final VoterReplacement seats;
    private final ProposalForwarder proposing;
    private final ByteRateLimiter handed;
    private final List<Out> out = new ArrayList<>();
    private Voter self;
    private VoterGroup group = VoterGroup.NONE;
    private LogReplication replication;
    private AppliedProposals proposers = new AppliedProposals();
    private long applied;
    private long waitsFrom;
    private long wait;
    private boolean promised;
    private long malformed;
    private long notItsSender;
    private long stale;

    /**
     * Takes part as one that is in no group, or where its store remembers one, in that.
     *
     * @param zones the zone of each copy of the tier, from 1 to 65,535 replicas
     * @param self the number of this one
     * @param incarnation larger than that of any earlier life of this one, such as the time of its
     *     start in milliseconds; where it is not, the others say so and it takes the next one;
     *     where the store remembers, only proposals go by it
     * @throws IllegalArgumentException if a figure is outside its range
     */
    public RaftNode(
            int[] zones,
            int self,
            long incarnation,
            ConsensusSettings settings,
            StableStorage store,
            RandomGenerator random,
            Actions outlet,
            long now) {
        this(zones, self, incarnation, settings, store, random, outlet, now, new SafetyRules());
    }

    RaftNode(
            int[] zones,
            int self,
            long incarnation,
            ConsensusSettings settings,
            StableStorage store,
            RandomGenerator random,
            Actions outlet,
            long now,
            SafetyRules conduct) {
        if (zones.length < 1
                || zones.length > 0xffff
                || self < 0
                || self >= zones.length
                || incarnation < 1) {
            throw new IllegalArgumentException(
                    "copy " + self + " of " + zones.length + ", life " + incarnation);
        }
        this.self = new Voter(self, incarnation);
        this.settings = settings;
        this.store = store;
        this.random = random;
        this.outlet = outlet;
        this.conduct = conduct;
        this.tier = new ReplicaDirectory(self, zones, now);
        this.log = new RaftLog(store);
        this.pieces = new MessageFragmenter(conduct, random.nextInt());
        this.contact = new LeaderContact(conduct);
        this.allowance = new ByteRateLimiter(settings.bytesPerSecond(), now);
        this.election = new Election(circle, settings, conduct, random, now);
        this.spreading =
                new LogDissemination(circle, settings, tier, random, allowance, contact, now);
        this.seats = new VoterReplacement(circle, settings, tier, random);
        this.proposing =
                new ProposalForwarder(
                        circle, outlet, incarnation, random.nextInt() & Integer.MAX_VALUE);
        this.handed = new ByteRateLimiter(settings.bytesPerSecond(), now);
        waitAnew(now);
        StableStorage.Kept kept = store.kept();
        if (kept != null) {
            this.self = new Voter(self, kept.promise().incarnation());
            group = kept.promise().group();
            election.remember(kept.promise());
            log.remember(kept.snapshot(), kept.entries());
            applied = log.committed();
            AppliedProposals.Parts parts = AppliedProposals.decode(kept.snapshot().state());
            if (parts == null) {
                throw new IllegalArgumentException("store: its snapshot is none");
            }
            proposers = parts.proposers();
            outlet.restored(new LogPosition(group, applied), parts.state());
        }
    }

    private final class Own implements RaftContext {
        @Override
        public Voter self() {
            return self;
        }

        @Override
        public VoterGroup group() {
            return group;
        }

        @Override
        public RaftLog log() {
            return log;
        }

        @Override
        public void post(int to, RaftMessage message, long term) {
            if (to != self.replica()) {
                pieces.cut(group, term, self, to, message.encode())
                        .forEach(piece -> out.add(new Out(to, piece)));
            }
        }

        @Override
        public long term() {
            return election.term();
        }

        @Override
        public int leader() {
            return RaftNode.this.leader();
        }

        @Override
        public boolean takes(long now, Proposal proposal) {
            return RaftNode.this.takes(now, proposal);
        }

        @Override
        public void promised() {
            promised = true;
        }

        @Override
        public void advanced(long now) {
            apply(now);
        }

        @Override
        public void note(ConsensusEvent note) {
            outlet.noted(note);
        }
    }

    // ---- what is known ----

    public VoterGroup group() {
        return group;
    }

    /** This replica's life as a voter. */
    public long incarnation() {
        return self.incarnation();
    }

    /** Whether this replica leads, as far as it knows; nothing is settled by that alone. */
    public boolean leads() {
        return election.leads();
    }

    /** The replica that leads, as far as this one knows; -1 where it knows of none. */
    public int leader() {
        return election.leader() >= 0 || spreading.beatTerm() < election.term()
                ? election.leader()
                : spreading.leader();
    }

    public long term() {
        return election.term();
    }

    /** Those who vote, as far as this replica knows. */
    public VoterSet voters() {
        return log.voters();
    }

    /** What was loaded last, or the state that stands for it. */
    public LogPosition loaded() {
        return new LogPosition(group, applied);
    }

    /**
     * The latest instant of this replica's clock at which a leader whom a majority answered was
     * surely in office, all of whose commits until then are loaded here; {@link Long#MIN_VALUE}
     * where none is known. It rises within a group. It is never later than it truly was, however
     * late datagrams came and however long this replica stood still, where clocks drift by no more
     * than 1 in 1,000.
     */
    public long sureSince() {
        return contact.since();
    }

    public Counts counts() {
        return new Counts(malformed, notItsSender, stale);
    }

    // ---- events ----

    /** When {@link #tick} is to be called next; it does no harm to call it sooner or later. */
    public long due() {
        long due = Math.min(Math.min(election.due(), spreading.due()), pieces.due());
        if (election.leads()) {
            due = Math.min(due, replication.due());
        }
        if (settings.silence() > 0 && !election.leads()) {
            due = Math.min(due, formsAt());
        }
        return Math.min(due, proposing.due());
    }

    /** Does what is due. */
    public void tick(long now) {
        lapse(now);
        for (MessageFragmenter.Wanted wanted : pieces.lacks(now)) {
            circle.post(wanted.of(), wanted.lack());
        }
        election.tick(now);
        lead(now);
        if (election.leads() && replication.tick(now)) {
            spreading.beats(now);
            VoterSet next = seats.next(now, replication);
            if (next != null) {
                append(now, new LogEntry(election.term(), Kind.VOTERS, next.encode()));
            }
        }
        spreading.tick(now);
        if (settings.silence() > 0 && !election.leads() && now >= formsAt()) {
            waitAnew(now);
            if (tier.living() * 2 > tier.replicas()) {
                formNext(now);
            }
        }
        end(now);
    }

    /**
     * Forms a new group with this replica as its only voter and its state as the first; others join
     * it as they hear of it. What an older group goes on to do has no effect where this one is
     * known.
     *
     * @return false where no further group can be formed
     */
    public boolean form(long now) {
        boolean formed = formNext(now);
        end(now);
        return formed;
    }

    private boolean formNext(long now) {
        if (group.era() == Integer.MAX_VALUE) {
            return false;
        }
        VoterGroup next = conduct.next(group, self);
        byte[] state = state();
        join(now, next);
        Snapshot first = new Snapshot(1, 1, new VoterSet(List.of(self)), state);
        install(now, first);
        return true;
    }

    /**
     * Proposes something to be agreed on.
     *
     * @return its number if it comes to be committed; another may get that number if this replica
     *     loses its lead first. Null where this replica does not lead, the group has not enough
     *     voters yet, or too much is under way
     * @throws IllegalArgumentException if the content is larger than {@link #MAX_CONTENT}
     */
    public LogPosition propose(long now, byte[] content) {
        if (content.length > MAX_CONTENT) {
            throw new IllegalArgumentException(
                    "content: found " + content.length + " bytes; allowed: up to " + MAX_CONTENT);
        }
        lapse(now);
        LogPosition number = null;
        if (election.leads()
                && log.voters().size() >= MIN_VOTERS
                && log.last() - log.committed() < MAX_OPEN) {
            append(now, new LogEntry(election.term(), Kind.CONTENT, content.clone()));
            number = new LogPosition(group, log.last());
        }
        end(now);
        return number;
    }

    /**
     * Has something agreed on, whoever leads. Those of one replica go one after another, in their
     * order.
     *
     * @param patience after which its outcome is said, whatever is known by then, in nanoseconds
     * @return what {@link Actions#settled} will name; null where too many wait here, so that it is
     *     not taken
     * @throws IllegalArgumentException if the content is larger than {@link #MAX_HANDED}
     */
    public Proposal hand(long now, byte[] content, long patience) {
        if (content.length > MAX_HANDED) {
            throw new IllegalArgumentException(
                    "content: found " + content.length + " bytes; allowed: up to " + MAX_HANDED);
        }
        Proposal made = proposing.make(now, loaded(), content, patience);
        end(now);
        return made;
    }

    /**
     * Hands on again what {@link #hand} made in this process and what became of which is unknown:
     * where it took effect, it does not do so again. Where a later one of this replica took effect
     * since, it stays unknown.
     *
     * @return false where too many wait here, or it does
     */
    public boolean again(long now, Proposal proposal, long patience) {
        boolean taken = proposing.again(now, proposal, patience);
        end(now);
        return taken;
    }

    /**
     * Takes what a replica hands on, as the one that leads; false where it can't now. What others
     * can make it hold is bounded: one of each replica, and this many of all.
     */
    private boolean takes(long now, Proposal proposal) {
        if (!election.leads() || log.voters().size() < MIN_VOTERS) {
            return false;
        }
        int open = 0;
        for (long i = log.committed() + 1; i <= log.last(); i++) {
            if (log.entry(i).kind() == Kind.HANDED) {
                Proposal other = Proposal.decode(log.entry(i).bytes());
                if (other.replica() == proposal.replica()) {
                    return other.same(proposal);
                }
                open++;
            }
        }
        if (!conduct.once(proposers.isNew(proposal))) {
            return true;
        }
        byte[] bytes = proposal.encode();
        if (open >= MAX_OPEN_HANDED
                || log.last() - log.committed() >= MAX_OPEN
                || !handed.spend(now, bytes.length)) {
            return false;
        }
        append(now, new LogEntry(election.term(), Kind.HANDED, bytes));
        return true;
    }

    /**
     * Has another voter lead that has all entries, such as before this replica ends; false where
     * none has.
     */
    public boolean transfer(long now) {
        lapse(now);
        Voter to = null;
        for (Voter voter : election.leads() ? log.voters().all() : List.<Voter>of()) {
            if (!voter.equals(self)
                    && replication.match(voter) == log.last()
                    && tier.incarnations(voter.replica())) {
                to = voter;
            }
        }
        if (to != null) {
            circle.post(to.replica(), new Lead());
        }
        end(now);
        return to != null;
    }

    /**
     * Membership holds that a replica lives, or that it is dead. It guides whom this replica speaks
     * to and makes a voter, and keeps it from forming a group by itself while it sees no more than
     * half of the tier; no safety rests on it.
     */
    public void lives(int replica, boolean lives) {
        if (replica != self.replica()) {
            tier.incarnations(replica, lives);
        }
    }

    /**
     * Takes a piece. One that can't be read, or that names another as its sender, is counted and
     * dropped.
     *
     * @param from the replica whose address it came from
     */
    public void received(long now, int from, byte[] bytes) {
        lapse(now);
        MessageFragment piece = MessageFragment.decode(bytes, tier.replicas());
        if (piece == null) {
            malformed++;
        } else if (piece.sender() != from || from == self.replica()) {
            notItsSender++;
        } else if (admits(now, piece)) {
            byte[] whole = pieces.take(now, piece);
            RaftMessage message = whole == null ? null : RaftMessage.decode(whole);
            if (message != null) {
                handle(now, new Voter(from, piece.incarnation()), piece.term(), message);
                lead(now);
            } else if (whole != null) {
                malformed++;
            }
        }
        end(now);
    }

    /**
     * A leader that was away for long, or whom nobody answers, does nothing before it has stepped
     * down.
     */
    private void lapse(long now) {
        if (election.leads()
                && conduct.lapsed(replication.sinceMajority(now), settings.maxElection())) {
            election.follow(now, election.term());
        }
    }

    /** Looks at what every piece says, before anything of it is kept. */
    private boolean admits(long now, MessageFragment piece) {
        int from = piece.sender();
        int byGroup = piece.group().compareTo(group);
        boolean raises =
                byGroup > 0
                        || piece.incarnation() > tier.incarnation(from)
                                && tier.incarnation(from) > 0;
        if (raises && !conduct.believes(answers(from, piece))) {
            spreading.refuse(now, from, digest(piece), true);
            return false;
        }
        if (piece.incarnation() < tier.incarnation(from)) {
            stale++;
            spreading.refuse(now, from, digest(piece), true);
            return false;
        }
        if (byGroup < 0) {
            stale++;
            if (piece.part()[0] != RaftMessage.SURE) {
                spreading.refuse(now, from, digest(piece), false);
            }
            return false;
        }
        tier.heard(now, from, piece.incarnation());
        if (byGroup > 0) {
            join(now, piece.group());
        }
        return true;
    }

    /**
     * A raise is only believed of one who answers: whoever sends from a peer's address can't do
     * that.
     */
    private boolean answers(int from, MessageFragment piece) {
        return piece.count() == 1
                && piece.part()[0] == RaftMessage.SURE
                && RaftMessage.decode(piece.part()) instanceof Sure sure
                && spreading.answers(from, sure);
    }

    /** The question of a piece that is not admitted; null where it is none. */
    private static Digest digest(MessageFragment piece) {
        return piece.count() == 1
                        && piece.part()[0] == RaftMessage.DIGEST
                        && RaftMessage.decode(piece.part()) instanceof Digest digest
                ? digest
                : null;
    }

    /**
     * Leaves all that was, and has nothing of the other group yet. What the replica has loaded, and
     * what of it was handed on, stays together until another state takes its place: it may be the
     * first of the next group.
     */
    private void join(long now, VoterGroup other) {
        group = other;
        log.install(Snapshot.EMPTY);
        pieces.clear();
        election.reset(now);
        spreading.reset(now);
        proposing.reset();
        contact.reset();
        waitAnew(now);
        replication = null;
        applied = 0;
        promised = true;
    }

    /**
     * Replicas that hear of no leader don't all form a group at once, and those that have nothing
     * come last.
     */
    private void waitAnew(long now) {
        waitsFrom = now;
        wait = settings.silence() + (long) (random.nextDouble() * settings.silence());
    }

    private long formsAt() {
        return Math.max(spreading.beatAt(), waitsFrom)
                + wait
                + (applied == 0 ? settings.silence() : 0);
    }

    private void handle(long now, Voter from, long term, RaftMessage message) {
        if (message instanceof AskVote m) {
            election.asked(now, from, term, m);
        } else if (message instanceof SayVote m) {
            election.said(now, from, term, m);
        } else if (message instanceof Append m) {
            follow(now, from.replica(), term, m);
        } else if (message instanceof SayAppend m) {
            if (election.leads() && term == election.term()) {
                replication.said(now, from, m);
            } else if (term > election.term() && log.voters().has(from)) {
                election.follow(now, term);
            }
        } else if (message instanceof Lead) {
            if (term == election.term() && from.replica() == election.leader()) {
                election.call(now);
            }
        } else if (message instanceof Digest m) {
            if (m.yourIncarnation() > self.incarnation() && !election.sworn()) {
                self = new Voter(self.replica(), m.yourIncarnation() + 1);
                promised = true;
            }
            spreading.told(now, from.replica(), m);
        } else if (message instanceof Ask m) {
            spreading.asked(now, from.replica(), m);
        } else if (message instanceof News m) {
            spreading.took(now, from.replica(), m);
            if (log.term(log.committed()) > election.term()) {
                election.follow(now, log.term(log.committed()));
            }
        } else if (message instanceof Chunk m) {
            Snapshot whole = spreading.took(now, from.replica(), m);
            if (whole != null && AppliedProposals.decode(whole.state()) != null) {
                install(now, whole);
                spreading.learned(now, 0);
            } else if (whole != null) {
                malformed++;
            }
        } else if (message instanceof Hand m) {
            if (m.proposal().replica() != from.replica()) {
                notItsSender++;
            } else if (takes(now, m.proposal())) {
                circle.post(
                        from.replica(),
                        new Took(m.proposal().incarnation(), m.proposal().sequence()));
            }
        } else if (message instanceof Sure m) {
            spreading.took(now, from.replica(), m);
        } else if (message instanceof Took m) {
            proposing.heard(now, from.replica(), m);
        } else if (message instanceof Lack m) {
            for (byte[] piece : pieces.again(from.replica(), m)) {
                if (allowance.spend(now, piece.length)) {
                    out.add(new Out(from.replica(), piece));
                }
            }
        }
    }

    // ---- leading and following ----

    /** Begins to lead where it was just elected: its first entry commits all before it. */
    private void lead(long now) {
        if (!election.leads()) {
            replication = null;
        } else if (replication == null) {
            replication = new LogReplication(circle, settings, conduct, random, now);
            log.voters().all().forEach(voter -> tier.expect(now, voter.replica()));
            append(now, new LogEntry(election.term(), Kind.BEGIN, new byte[0]));
        }
    }

    private void append(long now, LogEntry entry) {
        log.append(entry);
        sync();
        outlet.noted(new ConsensusEvent.Stored(group, log.last(), self, entry));
        replication.appended(now);
    }

    private void follow(long now, int leader, long term, Append append) {
        if (term < election.term()) {
            circle.post(leader, new SayAppend(false, log.last(), append.ask()));
            return;
        }
        election.heard(now, leader, term);
        long after = append.after();
        int skip = (int) Math.max(0, Math.min(log.committed() - after, append.entries().size()));
        after += skip;
        boolean behind = after < log.committed();
        if (!behind
                && (after > log.last()
                        || log.term(after)
                                != (skip == 0
                                        ? append.afterTerm()
                                        : append.entries().get(skip - 1).term()))) {
            circle.post(
                    leader,
                    new SayAppend(
                            false, Math.max(0, Math.min(log.last(), after - 1)), append.ask()));
            if (append.committed() > log.last()) {
                spreading.ask(now, leader);
            }
            return;
        }
        if (!behind) {
            for (LogEntry entry : append.entries().subList(skip, append.entries().size())) {
                after++;
                if (log.term(after) != entry.term()) {
                    if (after <= log.last()) {
                        log.cut(after);
                    }
                    log.append(entry);
                    outlet.noted(new ConsensusEvent.Stored(group, after, self, entry));
                }
            }
        }
        sync();
        circle.post(leader, new SayAppend(true, after, append.ask()));
        long known = Math.min(append.committed(), after);
        if (known > log.committed()) {
            log.commit(known);
            apply(now);
        }
    }

    // ---- what is committed ----

    private void apply(long now) {
        sync();
        long from = applied;
        while (applied < log.committed()) {
            LogEntry entry = log.entry(++applied);
            if (entry.kind() == Kind.CONTENT) {
                outlet.loaded(new LogPosition(group, applied), entry.bytes());
            } else if (entry.kind() == Kind.HANDED) {
                takesEffect(new LogPosition(group, applied), Proposal.decode(entry.bytes()));
            } else if (entry.kind() == Kind.VOTERS) {
                seated(applied, VoterSet.decode(entry.bytes()));
            }
        }
        if (log.committed() - log.snapshot().index() >= 2L * settings.keptEntries()) {
            log.compact(state(), settings.keptEntries());
        }
        spreading.learned(now, from);
    }

    /** Once, whatever leaders took into the log. */
    private void takesEffect(LogPosition number, Proposal proposal) {
        if (conduct.once(proposers.isNew(proposal))) {
            proposers.took(proposal, number);
            outlet.loaded(number, proposal.content());
        }
        proposing.loaded(proposers.last(self.replica()));
    }

    private byte[] state() {
        byte[] state = outlet.state();
        if (state.length > MAX_STATE) {
            throw new IllegalStateException(
                    "state: found " + state.length + " bytes; allowed: up to " + MAX_STATE);
        }
        return proposers.with(state);
    }

    private void install(long now, Snapshot snapshot) {
        log.install(snapshot);
        applied = log.committed();
        sync();
        AppliedProposals.Parts parts = AppliedProposals.decode(snapshot.state());
        proposers = parts.proposers();
        outlet.restored(new LogPosition(group, applied), parts.state());
        seated(applied, snapshot.voters());
        election.follow(now, Math.max(election.term(), snapshot.term()));
    }

    private void seated(long index, VoterSet voters) {
        outlet.noted(new ConsensusEvent.Seated(group, index, voters));
        if (voters.has(self)) {
            election.swear();
        }
    }

    // ---- the end of an event ----

    /** What was written and promised is kept from here on. */
    private void sync() {
        if (promised) {
            promised = false;
            store.promise(
                    new StableStorage.Promise(
                            group,
                            self.incarnation(),
                            election.term(),
                            election.vote(),
                            election.sworn()));
        }
        store.sync();
    }

    private void end(long now) {
        proposing.loaded(proposers.last(self.replica()));
        proposing.tick(now);
        if (election.leads()
                && log.voters().size() >= MIN_VOTERS
                && log.term(log.committed()) == election.term()) {
            contact.sure(replication.answeredSince(now), log.committed());
        }
        if (promised) {
            sync();
        }
        out.forEach(each -> outlet.send(each.to, each.piece));
        out.clear();
    }
}
