package cedarrudder.consensus;

import cedarrudder.consensus.LogEntry.Kind;
import cedarrudder.consensus.RaftMessage.AppendEntries;
import cedarrudder.consensus.RaftMessage.AppendResponse;
import cedarrudder.consensus.RaftMessage.CommittedEntries;
import cedarrudder.consensus.RaftMessage.Digest;
import cedarrudder.consensus.RaftMessage.DigestResponse;
import cedarrudder.consensus.RaftMessage.FetchRequest;
import cedarrudder.consensus.RaftMessage.ForwardProposal;
import cedarrudder.consensus.RaftMessage.MissingFragments;
import cedarrudder.consensus.RaftMessage.ProposalAccepted;
import cedarrudder.consensus.RaftMessage.RequestVote;
import cedarrudder.consensus.RaftMessage.SnapshotChunk;
import cedarrudder.consensus.RaftMessage.TimeoutNow;
import cedarrudder.consensus.RaftMessage.VoteResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * One replica's part in a replicated log by Raft (Ongaro and Ousterhout 2014; Ongaro's thesis 2014)
 * among a few voters, whose committed entries are disseminated to all other replicas. Voters that
 * lost their state come back as learners (Liskov and Cowling 2012, recovery), and a group whose
 * majority lost its state stops until a new one is formed.
 *
 * <p>It has no clock, no socket and no thread. It is fed datagrams and the time, which never goes
 * back, and says by {@link #nextTickAt} when it wants the time next. Not thread-safe: from one
 * thread at a time, and its actions must not call it. Whatever it sends leaves at the end of an
 * event, after all that it says is in the storage.
 */
public final class RaftNode {

    /** The largest content of one entry, in bytes. */
    public static final int MAX_CONTENT = 32_768;

    /** The largest state of a replica, in bytes. */
    public static final int MAX_STATE = 262_144;

    /** The largest content of a proposal that is forwarded to the leader, in bytes. */
    public static final int MAX_FORWARDED_CONTENT = 4_096;

    static final int MAX_SNAPSHOT = MAX_STATE + AppliedProposals.MAX_BYTES;

    private static final int MAX_REPLICAS = 0xffff;

    /** Entries that a leader holds without knowing that they are committed. */
    private static final int MAX_OPEN = 32;

    /** How many of them others may have forwarded, one each. */
    private static final int MAX_OPEN_FORWARDED = 16;

    /** Voters without which nothing is taken: a group that is just formed waits for others. */
    private static final int MIN_VOTERS = 3;

    /** What it causes. */
    public interface Actions {
        /** Sends a datagram of at most 224 bytes; it may be lost. */
        void send(int to, byte[] datagram);

        /** Applies a committed entry, after all before it. */
        void apply(LogPosition position, byte[] content);

        /**
         * All that was applied, as at most {@link #MAX_STATE} bytes; the same at each replica that
         * applied the same.
         */
        byte[] state();

        /** Replaces all that was applied by this state. */
        void restore(LogPosition position, byte[] state);

        /**
         * A proposal of this replica is settled; said once, after {@link #apply}.
         *
         * @param position where it was applied, where it is committed; otherwise null
         */
        void onProposalSettled(Proposal proposal, ProposalOutcome outcome, LogPosition position);

        /** Records an event, for logs and checkers. */
        void record(ConsensusEvent event);
    }

    /** Datagrams that were dropped: unreadable, from another sender, or outdated. */
    public record Counts(long malformed, long wrongSender, long stale) {}

    private record Outgoing(int to, byte[] datagram) {}

    private final Actions actions;
    private final ConsensusSettings settings;
    private final RandomGenerator random;
    private final SafetyRules rules;
    private final StableStorage storage;
    private final ReplicaDirectory replicas;
    private final RaftLog log;
    private final MessageFragmenter fragmenter;
    private final ByteRateLimiter resendLimiter;
    private final ByteRateLimiter forwardedLimiter;
    private final LeaderContact contact;
    private final RaftContext context = new Context();
    private final Election election;
    private final LogDissemination dissemination;
    private final VoterReplacement voterReplacement;
    private final ProposalForwarder forwarder;
    private final LogApplier applier;
    private final LogFollower follower;
    private final GroupFormation formation;
    private final List<Outgoing> outgoing = new ArrayList<>();
    private Voter self;
    private VoterGroup group = VoterGroup.NONE;

    /** What a leader does in its term; null where this replica does not lead. */
    private LogReplication replication;

    private boolean hardStateChanged;
    private long malformed;
    private long wrongSender;
    private long stale;

    /**
     * Takes part as one that is in no group, or where its storage holds one, in that.
     *
     * @param zones the zone of each replica of the tier, from 1 to 65,535 replicas
     * @param self the number of this one
     * @param incarnation larger than that of any earlier one of this replica, such as the time of
     *     its start in milliseconds; where it is not, the others say so and it takes the next one;
     *     where the storage holds a state, only proposals go by it
     * @throws IllegalArgumentException if a value is outside its range
     */
    public RaftNode(
            int[] zones,
            int self,
            long incarnation,
            ConsensusSettings settings,
            StableStorage storage,
            RandomGenerator random,
            Actions actions,
            long now) {
        this(zones, self, incarnation, settings, storage, random, actions, now, new SafetyRules());
    }

    RaftNode(
            int[] zones,
            int self,
            long incarnation,
            ConsensusSettings settings,
            StableStorage storage,
            RandomGenerator random,
            Actions actions,
            long now,
            SafetyRules rules) {
        boolean valid =
                zones.length >= 1
                        && zones.length <= MAX_REPLICAS
                        && self >= 0
                        && self < zones.length
                        && incarnation >= 1;
        if (!valid) {
            throw new IllegalArgumentException(
                    "replica " + self + " of " + zones.length + ", incarnation " + incarnation);
        }
        this.self = new Voter(self, incarnation);
        this.settings = settings;
        this.storage = storage;
        this.random = random;
        this.actions = actions;
        this.rules = rules;
        this.replicas = new ReplicaDirectory(self, zones, now);
        this.log = new RaftLog(storage);
        this.fragmenter = new MessageFragmenter(rules, random.nextInt());
        this.contact = new LeaderContact(rules);
        this.resendLimiter = new ByteRateLimiter(settings.bytesPerSecond(), now);
        this.election = new Election(context, settings, rules, random, now);
        this.dissemination =
                new LogDissemination(
                        context, settings, replicas, random, resendLimiter, contact, now);
        this.voterReplacement = new VoterReplacement(context, settings, replicas, random);
        this.forwarder =
                new ProposalForwarder(
                        context, actions, incarnation, random.nextInt() & Integer.MAX_VALUE);
        this.forwardedLimiter = new ByteRateLimiter(settings.bytesPerSecond(), now);
        this.applier = new LogApplier(context, settings, rules, actions, forwarder);
        this.follower = new LogFollower(context, election, dissemination);
        this.formation = new GroupFormation(settings, random, now);
        if (storage.recovered() != null) {
            recover(storage.recovered());
        }
    }

    private void recover(StableStorage.Recovered recovered) {
        self = new Voter(self.replica(), recovered.hardState().incarnation());
        group = recovered.hardState().group();
        election.restore(recovered.hardState());
        log.restore(recovered.snapshot(), recovered.entries());
        applier.restore(recovered.snapshot());
    }

    private final class Context implements RaftContext {
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
        public void send(int to, RaftMessage message, long term) {
            if (to != self.replica()) {
                fragmenter
                        .split(group, term, self, to, RaftMessageCodec.encode(message))
                        .forEach(datagram -> outgoing.add(new Outgoing(to, datagram)));
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
        public boolean acceptProposal(long now, Proposal proposal) {
            return RaftNode.this.acceptProposal(now, proposal);
        }

        @Override
        public void onHardStateChanged() {
            hardStateChanged = true;
        }

        @Override
        public void sync() {
            RaftNode.this.sync();
        }

        @Override
        public void onCommitAdvanced(long now) {
            applyCommitted(now);
        }

        @Override
        public void record(ConsensusEvent event) {
            actions.record(event);
        }
    }

    // ---- what is known

    /** The group that this replica belongs to. */
    public VoterGroup group() {
        return group;
    }

    /** This replica's incarnation as a voter. */
    public long incarnation() {
        return self.incarnation();
    }

    /** Whether this replica leads, as far as it knows; nothing is settled by that alone. */
    public boolean isLeader() {
        return election.isLeader();
    }

    /** The replica that leads, as far as this one knows; -1 where it knows of none. */
    public int leader() {
        boolean electionKnows =
                election.leader() >= 0 || dissemination.heartbeatTerm() < election.term();
        return electionKnows ? election.leader() : dissemination.leader();
    }

    /** This replica's term. */
    public long term() {
        return election.term();
    }

    /** Those who vote, as far as this replica knows. */
    public VoterSet voters() {
        return log.voters();
    }

    /** What was applied last, or the state that stands for it. */
    public LogPosition appliedPosition() {
        return applier.position();
    }

    /**
     * The latest instant of this replica's clock at which a leader whom a majority answered was
     * surely in office, all of whose commits until then are applied here; {@link Long#MIN_VALUE}
     * where none is known. It rises within a group. It is never later than it truly was, however
     * late datagrams came and however long this replica was stopped, where clocks drift by no more
     * than 1 in 1,000.
     */
    public long leaderContactSince() {
        return contact.since();
    }

    /** Datagrams that were dropped. */
    public Counts counts() {
        return new Counts(malformed, wrongSender, stale);
    }

    // ---- time

    /** When {@link #tick} is to be called next; it does no harm to call it sooner or later. */
    public long nextTickAt() {
        long due = Math.min(Math.min(election.due(), dissemination.due()), fragmenter.due());
        if (election.isLeader()) {
            due = Math.min(due, replication.due());
        } else if (formation.isAllowed()) {
            due = Math.min(due, formationDueAt());
        }
        return Math.min(due, forwarder.due());
    }

    /** Does what is due. */
    public void tick(long now) {
        stepDownWithoutQuorum(now);
        for (MessageFragmenter.Missing missing : fragmenter.missing(now)) {
            context.send(missing.of(), missing.lack());
        }
        election.tick(now);
        updateRole(now);
        if (election.isLeader() && replication.tick(now)) {
            dissemination.onLeaderHeartbeat(now);
            VoterSet next = voterReplacement.next(now, replication);
            if (next != null) {
                append(now, new LogEntry(election.term(), Kind.VOTERS, next.encode()));
            }
        }
        dissemination.tick(now);
        formGroupIfDue(now);
        finishEvent(now);
    }

    // ---- groups

    /**
     * Forms a new group with this replica as its only voter and its state as the first; others join
     * it as they hear of it. What an older group goes on to do has no effect where this one is
     * known.
     *
     * @return false where no further group can be formed
     */
    public boolean formGroup(long now) {
        boolean formed = formNextGroup(now);
        finishEvent(now);
        return formed;
    }

    private boolean formNextGroup(long now) {
        if (group.era() == Integer.MAX_VALUE) {
            return false;
        }
        VoterGroup next = rules.nextGroup(group, self);
        byte[] state = applier.encodeState();
        joinGroup(now, next);
        install(now, new Snapshot(1, 1, new VoterSet(List.of(self)), state));
        return true;
    }

    private long formationDueAt() {
        return formation.dueAt(dissemination.heartbeatAt(), applier.applied() > 0);
    }

    /** Forms a group by itself, where that is allowed and most replicas are alive. */
    private void formGroupIfDue(long now) {
        if (!formation.isAllowed() || election.isLeader() || now < formationDueAt()) {
            return;
        }
        formation.restart(now);
        if (replicas.liveCount() * 2 > replicas.replicas()) {
            formNextGroup(now);
        }
    }

    /**
     * Leaves all that was, and has nothing of the other group yet. What the replica has applied,
     * and what of it was forwarded, stays together until another state takes its place: it may be
     * the first of the next group.
     */
    private void joinGroup(long now, VoterGroup other) {
        group = other;
        log.install(Snapshot.EMPTY);
        fragmenter.clear();
        election.reset(now);
        dissemination.reset(now);
        forwarder.reset();
        contact.reset();
        formation.restart(now);
        replication = null;
        applier.reset();
        hardStateChanged = true;
    }

    // ---- proposals

    /**
     * Proposes an entry.
     *
     * @return its position if it comes to be committed; another may get that position if this
     *     replica loses its lead first. Null where this replica does not lead, the group has not
     *     enough voters yet, or too much is in flight
     * @throws IllegalArgumentException if the content is larger than {@link #MAX_CONTENT}
     */
    public LogPosition propose(long now, byte[] content) {
        checkSize(content, MAX_CONTENT);
        stepDownWithoutQuorum(now);
        LogPosition position = null;
        if (leadsEnoughVoters() && !isLogFull()) {
            append(now, new LogEntry(election.term(), Kind.CONTENT, content.clone()));
            position = new LogPosition(group, log.lastIndex());
        }
        finishEvent(now);
        return position;
    }

    private static void checkSize(byte[] content, int max) {
        if (content.length > max) {
            throw new IllegalArgumentException(
                    "content: found " + content.length + " bytes; allowed: up to " + max);
        }
    }

    private boolean leadsEnoughVoters() {
        return election.isLeader() && log.voters().size() >= MIN_VOTERS;
    }

    private boolean isLogFull() {
        return log.lastIndex() - log.commitIndex() >= MAX_OPEN;
    }

    /**
     * Proposes something, whoever leads. Those of one replica go one after another, in their order.
     *
     * @param patience after which its outcome is said, whatever is known by then, in nanoseconds
     * @return what {@link Actions#onProposalSettled} will name; null where too many wait here, so
     *     that it is not taken
     * @throws IllegalArgumentException if the content is larger than {@link #MAX_FORWARDED_CONTENT}
     */
    public Proposal forward(long now, byte[] content, long patience) {
        checkSize(content, MAX_FORWARDED_CONTENT);
        Proposal made = forwarder.add(now, appliedPosition(), content, patience);
        finishEvent(now);
        return made;
    }

    /**
     * Forwards again what {@link #forward} made in this process and the outcome of which is
     * unknown: where it took effect, it does not do so again. Where a later one of this replica
     * took effect since, it stays unknown.
     *
     * @return false where too many wait here, or it does
     */
    public boolean forwardAgain(long now, Proposal proposal, long patience) {
        boolean taken = forwarder.addAgain(now, proposal, patience);
        finishEvent(now);
        return taken;
    }

    /**
     * Takes what a replica forwards, as the leader; false where it can't now. What others can make
     * it hold is bounded: one of each replica, and {@value #MAX_OPEN_FORWARDED} of all.
     */
    private boolean acceptProposal(long now, Proposal proposal) {
        if (!leadsEnoughVoters()) {
            return false;
        }
        int open = 0;
        for (long i = log.commitIndex() + 1; i <= log.lastIndex(); i++) {
            if (log.entry(i).kind() == Kind.FORWARDED) {
                Proposal other = Proposal.decode(log.entry(i).bytes());
                if (other.replica() == proposal.replica()) {
                    return other.same(proposal);
                }
                open++;
            }
        }
        if (!applier.mayTakeEffect(proposal)) {
            return true;
        }
        byte[] bytes = proposal.encode();
        if (open >= MAX_OPEN_FORWARDED
                || isLogFull()
                || !forwardedLimiter.tryAcquire(now, bytes.length)) {
            return false;
        }
        append(now, new LogEntry(election.term(), Kind.FORWARDED, bytes));
        return true;
    }

    // ---- what is received

    /**
     * Membership holds that a replica is alive, or dead. It guides whom this replica sends to and
     * makes a voter, and keeps it from forming a group by itself while it sees no more than half of
     * the tier; no safety rests on it.
     */
    public void setAlive(int replica, boolean alive) {
        if (replica != self.replica()) {
            replicas.setAlive(replica, alive);
        }
    }

    /**
     * Takes a datagram. One that can't be read, or that names another as its sender, is counted and
     * dropped.
     *
     * @param from the replica whose address it came from
     */
    public void onDatagram(long now, int from, byte[] datagram) {
        stepDownWithoutQuorum(now);
        MessageFragment fragment = MessageFragment.decode(datagram, replicas.replicas());
        if (fragment == null) {
            malformed++;
        } else if (fragment.sender() != from || from == self.replica()) {
            wrongSender++;
        } else if (admit(now, fragment)) {
            byte[] message = fragmenter.accept(now, fragment);
            if (message != null) {
                onMessage(now, fragment, message);
            }
        }
        finishEvent(now);
    }

    private void onMessage(long now, MessageFragment last, byte[] bytes) {
        RaftMessage message = RaftMessageCodec.decode(bytes);
        if (message == null) {
            malformed++;
            return;
        }
        Voter from = new Voter(last.sender(), last.incarnation());
        onMessage(now, from, last.term(), message);
        updateRole(now);
    }

    /** Looks at what every fragment says, before anything of it is kept. */
    private boolean admit(long now, MessageFragment fragment) {
        int from = fragment.sender();
        int byGroup = fragment.group().compareTo(group);
        long known = replicas.incarnation(from);
        boolean isHigher = byGroup > 0 || fragment.incarnation() > known && known > 0;
        if (isHigher && !rules.acceptsHigherGroupOrIncarnation(answersQuery(from, fragment))) {
            dissemination.rejectOutdated(now, from, digest(fragment), true);
            return false;
        }
        if (fragment.incarnation() < known) {
            stale++;
            dissemination.rejectOutdated(now, from, digest(fragment), true);
            return false;
        }
        if (byGroup < 0) {
            stale++;
            if (fragment.payload()[0] != RaftMessage.DIGEST_RESPONSE) {
                dissemination.rejectOutdated(now, from, digest(fragment), false);
            }
            return false;
        }
        replicas.onMessageReceived(now, from, fragment.incarnation());
        if (byGroup > 0) {
            joinGroup(now, fragment.group());
        }
        return true;
    }

    /**
     * A higher group or incarnation is only believed of one who answers a query: whoever sends from
     * a peer's address can't do that.
     */
    private boolean answersQuery(int from, MessageFragment fragment) {
        return fragment.count() == 1
                && fragment.payload()[0] == RaftMessage.DIGEST_RESPONSE
                && RaftMessageCodec.decode(fragment.payload()) instanceof DigestResponse response
                && dissemination.answersQuery(from, response);
    }

    /** The digest in a fragment that is not admitted; null where it is none. */
    private static Digest digest(MessageFragment fragment) {
        return fragment.count() == 1
                        && fragment.payload()[0] == RaftMessage.DIGEST
                        && RaftMessageCodec.decode(fragment.payload()) instanceof Digest digest
                ? digest
                : null;
    }

    private void onMessage(long now, Voter from, long term, RaftMessage message) {
        int sender = from.replica();
        if (message instanceof RequestVote m) {
            election.onRequestVote(now, from, term, m);
        } else if (message instanceof VoteResponse m) {
            election.onVoteResponse(now, from, term, m);
        } else if (message instanceof AppendEntries m) {
            follower.onAppend(now, sender, term, m);
        } else if (message instanceof AppendResponse m) {
            onAppendResponse(now, from, term, m);
        } else if (message instanceof TimeoutNow) {
            onTimeoutNow(now, sender, term);
        } else if (message instanceof Digest m) {
            onDigest(now, sender, m);
        } else if (message instanceof FetchRequest m) {
            dissemination.onFetchRequest(now, sender, m);
        } else if (message instanceof CommittedEntries m) {
            onCommittedEntries(now, sender, m);
        } else if (message instanceof SnapshotChunk m) {
            onSnapshotChunk(now, sender, m);
        } else if (message instanceof ForwardProposal m) {
            onForwardedProposal(now, sender, m.proposal());
        } else if (message instanceof DigestResponse m) {
            dissemination.onReceived(now, sender, m);
        } else if (message instanceof ProposalAccepted m) {
            forwarder.onAccepted(now, sender, m);
        } else if (message instanceof MissingFragments m) {
            resend(now, sender, m);
        }
    }

    private void onAppendResponse(long now, Voter from, long term, AppendResponse response) {
        if (election.isLeader() && term == election.term()) {
            replication.onResponse(now, from, response);
        } else if (term > election.term() && log.voters().contains(from)) {
            election.becomeFollower(now, term);
        }
    }

    /** The leader hands its office over (thesis, 3.10). */
    private void onTimeoutNow(long now, int from, long term) {
        if (term == election.term() && from == election.leader()) {
            election.startElection(now);
        }
    }

    /** Another knows a later incarnation of this replica: it takes the next one. */
    private void onDigest(long now, int from, Digest digest) {
        if (digest.yourIncarnation() > self.incarnation() && !election.isAdmitted()) {
            self = new Voter(self.replica(), digest.yourIncarnation() + 1);
            hardStateChanged = true;
        }
        dissemination.onDigest(now, from, digest);
    }

    private void onCommittedEntries(long now, int from, CommittedEntries entries) {
        dissemination.onReceived(now, from, entries);
        long committedTerm = log.term(log.commitIndex());
        if (committedTerm > election.term()) {
            election.becomeFollower(now, committedTerm);
        }
    }

    private void onSnapshotChunk(long now, int from, SnapshotChunk chunk) {
        Snapshot complete = dissemination.onReceived(now, from, chunk);
        if (complete == null) {
            return;
        }
        if (AppliedProposals.decode(complete.state()) == null) {
            malformed++;
            return;
        }
        install(now, complete);
        dissemination.onCommitted(now, 0);
    }

    private void onForwardedProposal(long now, int from, Proposal proposal) {
        if (proposal.replica() != from) {
            wrongSender++;
        } else if (acceptProposal(now, proposal)) {
            context.send(from, new ProposalAccepted(proposal.incarnation(), proposal.sequence()));
        }
    }

    private void resend(long now, int to, MissingFragments missing) {
        for (byte[] datagram : fragmenter.resend(to, missing)) {
            if (resendLimiter.tryAcquire(now, datagram.length)) {
                outgoing.add(new Outgoing(to, datagram));
            }
        }
    }

    // ---- leading

    /**
     * A leader that was stopped for long, or whom no majority answers, does nothing before it has
     * stepped down (thesis, 6.2).
     */
    private void stepDownWithoutQuorum(long now) {
        if (election.isLeader()
                && rules.hasLostQuorum(
                        replication.sinceMajorityNanos(now), settings.maxElection())) {
            election.becomeFollower(now, election.term());
        }
    }

    /** Begins to lead where it was just elected: its first entry commits all before it. */
    private void updateRole(long now) {
        if (!election.isLeader()) {
            replication = null;
        } else if (replication == null) {
            replication = new LogReplication(context, settings, rules, random, now);
            log.voters().all().forEach(voter -> replicas.expectAnswer(now, voter.replica()));
            append(now, new LogEntry(election.term(), Kind.TERM_START, new byte[0]));
        }
    }

    private void append(long now, LogEntry entry) {
        log.append(entry);
        sync();
        actions.record(new ConsensusEvent.EntryStored(group, log.lastIndex(), self, entry));
        replication.onAppended(now);
    }

    /**
     * Has another voter lead that has all entries, such as before this replica ends; false where
     * none has (thesis, 3.10).
     */
    public boolean transferLeadership(long now) {
        stepDownWithoutQuorum(now);
        Voter successor = election.isLeader() ? upToDateVoter() : null;
        if (successor != null) {
            context.send(successor.replica(), new TimeoutNow());
        }
        finishEvent(now);
        return successor != null;
    }

    private Voter upToDateVoter() {
        Voter found = null;
        for (Voter voter : log.voters().all()) {
            if (!voter.equals(self)
                    && replication.matchIndex(voter) == log.lastIndex()
                    && replicas.isAlive(voter.replica())) {
                found = voter;
            }
        }
        return found;
    }

    // ---- what is committed

    private void applyCommitted(long now) {
        sync();
        long before = applier.applied();
        applier.applyCommitted(this::onVoters);
        dissemination.onCommitted(now, before);
    }

    private void install(long now, Snapshot snapshot) {
        log.install(snapshot);
        sync();
        applier.install(snapshot);
        onVoters(applier.applied(), snapshot.voters());
        election.becomeFollower(now, Math.max(election.term(), snapshot.term()));
    }

    private void onVoters(long index, VoterSet voters) {
        actions.record(new ConsensusEvent.VotersChanged(group, index, voters));
        if (voters.contains(self)) {
            election.admitAsVoter();
        }
    }

    // ---- the end of an event

    /** What was written and promised is persisted from here on. */
    private void sync() {
        if (hardStateChanged) {
            hardStateChanged = false;
            storage.writeHardState(
                    new StableStorage.HardState(
                            group,
                            self.incarnation(),
                            election.term(),
                            election.vote(),
                            election.isAdmitted()));
        }
        storage.sync();
    }

    private void finishEvent(long now) {
        applier.settleOwn();
        forwarder.tick(now);
        if (leadsEnoughVoters() && log.term(log.commitIndex()) == election.term()) {
            contact.onQuorum(replication.answeredSince(now), log.commitIndex());
        }
        if (hardStateChanged) {
            sync();
        }
        outgoing.forEach(each -> actions.send(each.to, each.datagram));
        outgoing.clear();
    }
}
