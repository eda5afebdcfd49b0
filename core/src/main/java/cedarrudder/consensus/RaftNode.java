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
 * One replica's node in a Raft group (Ongaro and Ousterhout 2014; Ongaro's thesis 2014): a few
 * voters replicate a log, and its committed entries are disseminated to all other replicas. A voter
 * that lost its state rejoins as a learner (Liskov and Cowling 2012, recovery). A group whose
 * majority lost its state stops until a new group is formed.
 *
 * <p>The node has no clock, socket or thread. Its owner passes in datagrams and the current time,
 * which must never decrease, and calls {@link #tick} when {@link #nextTickAt} is reached. Not
 * thread-safe: only one thread at a time may use a node, and its actions must not call it. The
 * datagrams of an event are sent at its end, after everything that they report has been synced to
 * the storage.
 */
public final class RaftNode {

    /** The maximum size of the content of one entry, in bytes. */
    public static final int MAX_CONTENT = 32_768;

    /** The maximum size of a replica's state, in bytes. */
    public static final int MAX_STATE = 262_144;

    /** The maximum size of the content of a proposal that is forwarded to the leader, in bytes. */
    public static final int MAX_FORWARDED_CONTENT = 4_096;

    static final int MAX_SNAPSHOT = MAX_STATE + AppliedProposals.MAX_BYTES;

    private static final int MAX_REPLICAS = 0xffff;

    /**
     * The maximum number of entries that a leader appends before they are known to be committed.
     */
    private static final int MAX_UNCOMMITTED = 32;

    /** The maximum number of those entries that are forwarded proposals, one per replica. */
    private static final int MAX_UNCOMMITTED_FORWARDED = 16;

    /**
     * The minimum number of voters for accepting proposals: a newly formed group waits until it has
     * that many.
     */
    private static final int MIN_VOTERS = 3;

    /** The outputs of a node, implemented by its owner. */
    public interface Actions {
        /** Sends a datagram of at most 224 bytes, which may be lost. */
        void send(int to, byte[] datagram);

        /** Applies a committed entry. Entries are applied in the order of their positions. */
        void apply(LogPosition position, byte[] content);

        /**
         * Returns everything that was applied, as at most {@link #MAX_STATE} bytes. Replicas that
         * applied the same entries return the same bytes.
         */
        byte[] state();

        /** Replaces everything that was applied by this state. */
        void restore(LogPosition position, byte[] state);

        /**
         * Reports the outcome of a proposal of this replica, once, after {@link #apply}.
         *
         * @param position the position at which the proposal was applied if it is committed,
         *     otherwise null
         */
        void onProposalSettled(Proposal proposal, ProposalOutcome outcome, LogPosition position);

        /** Records an event, for logs and for checkers of the protocol. */
        void record(ConsensusEvent event);
    }

    /**
     * Counts of the datagrams that were dropped because they were unreadable, named another sender
     * than the one they came from, or were outdated.
     */
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

    /** The leader's replication of the log in its term; null where this replica does not lead. */
    private LogReplication replication;

    private boolean hardStateChanged;
    private long malformed;
    private long wrongSender;
    private long stale;

    /**
     * Creates a node that is in no group, or, where its storage holds a state, in the group of that
     * state.
     *
     * @param zones the zone of each replica of the tier, which has 1 to 65,535 replicas
     * @param self the number of this replica
     * @param incarnation larger than any earlier incarnation of this replica, such as the time of
     *     its start in milliseconds; if it is not, the other replicas report that and the node
     *     moves on to the next higher one; if the storage holds a state, only proposals use this
     *     value
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

    // ---- state

    /** Returns the group that this replica belongs to. */
    public VoterGroup group() {
        return group;
    }

    /** Returns this replica's incarnation as a voter. */
    public long incarnation() {
        return self.incarnation();
    }

    /**
     * Returns whether this replica leads as far as it knows. Another replica may already have been
     * elected.
     */
    public boolean isLeader() {
        return election.isLeader();
    }

    /**
     * Returns the leader's number as far as this replica knows, or -1 where it knows of no leader.
     */
    public int leader() {
        boolean electionKnows =
                election.leader() >= 0 || dissemination.heartbeatTerm() < election.term();
        return electionKnows ? election.leader() : dissemination.leader();
    }

    /** Returns this replica's current term. */
    public long term() {
        return election.term();
    }

    /** Returns the voters as far as this replica knows. */
    public VoterSet voters() {
        return log.voters();
    }

    /**
     * Returns the position of the entry that was applied last, by itself or as part of a snapshot.
     */
    public LogPosition appliedPosition() {
        return applier.position();
    }

    /**
     * Returns the latest instant of this replica's clock at which a leader that a majority had
     * answered was certainly in office and all of whose commits until then are applied here; {@link
     * Long#MIN_VALUE} where no such instant is known. The value only rises within a group. It is
     * never later than the true instant, however late datagrams arrived and however long this
     * replica was stopped, provided that clocks drift by no more than 1 in 1,000.
     */
    public long leaderContactSince() {
        return contact.since();
    }

    /** Returns how many datagrams were dropped. */
    public Counts counts() {
        return new Counts(malformed, wrongSender, stale);
    }

    // ---- time

    /** Returns when {@link #tick} is to be called next. An earlier or later call does no harm. */
    public long nextTickAt() {
        long due = Math.min(Math.min(election.due(), dissemination.due()), fragmenter.due());
        if (election.isLeader()) {
            due = Math.min(due, replication.due());
        } else if (formation.isAllowed()) {
            due = Math.min(due, formationDueAt());
        }
        return Math.min(due, forwarder.due());
    }

    /** Performs everything that is due by now. */
    public void tick(long now) {
        stepDownWithoutQuorum(now);
        for (MessageFragmenter.Missing missing : fragmenter.missing(now)) {
            context.send(missing.sender(), missing.request());
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
     * Forms a new group with this replica as its only voter and with its state as the initial one.
     * Other replicas join the group when they learn of it. Whatever an older group still decides
     * has no effect at replicas that know this group.
     *
     * @return false if no further group can be formed
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

    /**
     * Forms a group without an operator if that is allowed and due, and more than half of the
     * replicas are alive.
     */
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
     * Leaves the current group and joins another, of which this replica has no entries yet. The
     * applied state and the forwarded proposals that took effect in it are retained together until
     * another state replaces them: they may become the initial state of the next group.
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
     * Appends an entry to the log if this replica leads.
     *
     * @return the position of the entry if it gets committed; another entry may get that position
     *     if this replica loses leadership first. Null if this replica does not lead, the group
     *     does not have enough voters yet, or too many entries are uncommitted
     * @throws IllegalArgumentException if the content is larger than {@link #MAX_CONTENT}
     */
    public LogPosition propose(long now, byte[] content) {
        checkSize(content, MAX_CONTENT);
        stepDownWithoutQuorum(now);
        LogPosition position = null;
        if (leadsEnoughVoters() && !hasTooManyUncommitted()) {
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

    private boolean hasTooManyUncommitted() {
        return log.lastIndex() - log.commitIndex() >= MAX_UNCOMMITTED;
    }

    /**
     * Proposes an entry, whichever replica leads. The proposals of one replica are forwarded one
     * after another, in order.
     *
     * @param patience the time after which the outcome is reported with whatever is known by then,
     *     in nanoseconds
     * @return the proposal that {@link Actions#onProposalSettled} will be called with; null if it
     *     is not accepted because too many proposals are pending here
     * @throws IllegalArgumentException if the content is larger than {@link #MAX_FORWARDED_CONTENT}
     */
    public Proposal forward(long now, byte[] content, long patience) {
        checkSize(content, MAX_FORWARDED_CONTENT);
        Proposal proposal = forwarder.add(now, appliedPosition(), content, patience);
        finishEvent(now);
        return proposal;
    }

    /**
     * Forwards again a proposal that {@link #forward} created in this process and whose outcome is
     * unknown. If the proposal took effect, it does not take effect a second time. If a later
     * proposal of this replica took effect since, the outcome stays unknown.
     *
     * @return false if too many proposals are pending here, or this one still is
     */
    public boolean forwardAgain(long now, Proposal proposal, long patience) {
        boolean accepted = forwarder.addAgain(now, proposal, patience);
        finishEvent(now);
        return accepted;
    }

    /**
     * Accepts, as the leader, a proposal that a replica forwards; returns false if it can't be
     * accepted now. The number of uncommitted forwarded proposals is bounded: one per replica, and
     * {@value #MAX_UNCOMMITTED_FORWARDED} in total.
     */
    private boolean acceptProposal(long now, Proposal proposal) {
        if (!leadsEnoughVoters()) {
            return false;
        }
        int uncommittedForwarded = 0;
        for (long i = log.commitIndex() + 1; i <= log.lastIndex(); i++) {
            if (log.entry(i).kind() == Kind.FORWARDED) {
                Proposal other = Proposal.decode(log.entry(i).bytes());
                if (other.replica() == proposal.replica()) {
                    return other.isSame(proposal);
                }
                uncommittedForwarded++;
            }
        }
        if (!applier.mayTakeEffect(proposal)) {
            return true;
        }
        byte[] bytes = proposal.encode();
        if (uncommittedForwarded >= MAX_UNCOMMITTED_FORWARDED
                || hasTooManyUncommitted()
                || !forwardedLimiter.tryAcquire(now, bytes.length)) {
            return false;
        }
        append(now, new LogEntry(election.term(), Kind.FORWARDED, bytes));
        return true;
    }

    // ---- received datagrams

    /**
     * Records whether membership considers a replica alive. This decides which replicas this one
     * sends to and makes voters, and keeps it from forming a group by itself while no more than
     * half of the tier is alive. Safety does not depend on it.
     */
    public void setAlive(int replica, boolean alive) {
        if (replica != self.replica()) {
            replicas.setAlive(replica, alive);
        }
    }

    /**
     * Handles a datagram. A datagram that can't be read, or that names another replica as its
     * sender, is counted and dropped.
     *
     * @param from the replica from whose address it was sent
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

    private void onMessage(long now, MessageFragment fragment, byte[] bytes) {
        RaftMessage message = RaftMessageCodec.decode(bytes);
        if (message == null) {
            malformed++;
            return;
        }
        Voter from = new Voter(fragment.sender(), fragment.incarnation());
        onMessage(now, from, fragment.term(), message);
        updateRole(now);
    }

    /** Checks the header of a fragment before any of its payload is buffered. */
    private boolean admit(long now, MessageFragment fragment) {
        int from = fragment.sender();
        int groupOrder = fragment.group().compareTo(group);
        long known = replicas.incarnation(from);
        boolean isHigher = groupOrder > 0 || fragment.incarnation() > known && known > 0;
        if (isHigher && !rules.acceptsHigherGroupOrIncarnation(answersQuery(from, fragment))) {
            dissemination.rejectOutdated(now, from, digest(fragment), true);
            return false;
        }
        if (fragment.incarnation() < known) {
            stale++;
            dissemination.rejectOutdated(now, from, digest(fragment), true);
            return false;
        }
        if (groupOrder < 0) {
            stale++;
            if (fragment.payload()[0] != RaftMessage.DIGEST_RESPONSE) {
                dissemination.rejectOutdated(now, from, digest(fragment), false);
            }
            return false;
        }
        replicas.onMessageReceived(now, from, fragment.incarnation());
        if (groupOrder > 0) {
            joinGroup(now, fragment.group());
        }
        return true;
    }

    /**
     * Returns whether a fragment is the answer to a query of this replica. A higher group or
     * incarnation is accepted only from a sender that answers a query: whoever merely sends from a
     * peer's address can't do that.
     */
    private boolean answersQuery(int from, MessageFragment fragment) {
        return fragment.count() == 1
                && fragment.payload()[0] == RaftMessage.DIGEST_RESPONSE
                && RaftMessageCodec.decode(fragment.payload()) instanceof DigestResponse response
                && dissemination.answersQuery(from, response);
    }

    /** Returns the digest in a fragment that is not admitted, or null if it contains none. */
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

    /**
     * Starts an election because the leader transfers leadership to this replica (thesis, 3.10).
     */
    private void onTimeoutNow(long now, int from, long term) {
        if (term == election.term() && from == election.leader()) {
            election.startElection(now);
        }
    }

    /**
     * Handles a digest. If the sender knows a later incarnation of this replica, this replica
     * changes to the one after that.
     */
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

    // ---- leadership

    /**
     * Steps down as leader after no majority has answered for too long. A leader does this before
     * anything else, also after its process was stopped for long (thesis, 6.2).
     */
    private void stepDownWithoutQuorum(long now) {
        if (election.isLeader()
                && rules.hasLostQuorum(replication.nanosSinceQuorum(now), settings.maxElection())) {
            election.becomeFollower(now, election.term());
        }
    }

    /**
     * Starts replication after this replica was elected, and ends it after it stepped down. The
     * first entry of a new leader commits all entries before it.
     */
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
     * Transfers leadership to another voter that has all entries, for example before this replica's
     * process ends (thesis, 3.10). Returns false if there is no such voter.
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
        Voter successor = null;
        for (Voter voter : log.voters().all()) {
            if (!voter.equals(self)
                    && replication.matchIndex(voter) == log.lastIndex()
                    && replicas.isAlive(voter.replica())) {
                successor = voter;
            }
        }
        return successor;
    }

    // ---- committed entries

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

    // ---- end of an event

    /**
     * Syncs the log, and the hard state if it has changed. Both are persisted when this returns.
     */
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
            contact.onQuorum(replication.quorumConfirmedAt(now), log.commitIndex());
        }
        if (hardStateChanged) {
            sync();
        }
        outgoing.forEach(each -> actions.send(each.to, each.datagram));
        outgoing.clear();
    }
}
