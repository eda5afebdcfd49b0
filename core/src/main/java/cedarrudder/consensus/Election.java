package cedarrudder.consensus;

import cedarrudder.consensus.RaftMessage.RequestVote;
import cedarrudder.consensus.RaftMessage.VoteResponse;
import java.util.HashSet;
import java.util.Set;
import java.util.random.RandomGenerator;

/** Terms, votes and who leads (paper, 5.2 and 5.4.1; thesis, 4.2.3 and 9.6). */
final class Election {

    /** What a replica does in its term. */
    enum Role {
        FOLLOWER,
        PRE_CANDIDATE,
        CANDIDATE,
        LEADER
    }

    private final RaftContext context;
    private final ConsensusSettings settings;
    private final SafetyRules rules;
    private final RandomGenerator random;
    private final Set<Voter> granted = new HashSet<>();
    private Role role = Role.FOLLOWER;
    private long term;
    private Voter vote;
    private boolean admitted;
    private int leader = -1;
    private long leaderContactAt;
    private long electionTimeoutAt;
    private long askAt;
    private boolean transferred;

    Election(
            RaftContext context,
            ConsensusSettings settings,
            SafetyRules rules,
            RandomGenerator random,
            long now) {
        this.context = context;
        this.settings = settings;
        this.rules = rules;
        this.random = random;
        this.leaderContactAt = now - settings.minElection();
        resetElectionTimeout(now);
    }

    void restore(StableStorage.HardState promise) {
        term = promise.term();
        vote = promise.vote();
        admitted = promise.admitted();
    }

    /** Another group: nothing of the former counts. */
    void reset(long now) {
        role = Role.FOLLOWER;
        term = 0;
        vote = null;
        admitted = false;
        leader = -1;
        leaderContactAt = now - settings.minElection();
        resetElectionTimeout(now);
    }

    Role role() {
        return role;
    }

    boolean isLeader() {
        return role == Role.LEADER;
    }

    long term() {
        return term;
    }

    Voter vote() {
        return vote;
    }

    boolean isAdmitted() {
        return admitted;
    }

    /** The replica that leads, as far as this one knows; -1 where it knows of none. */
    int leader() {
        return isLeader() ? context.self().replica() : leader;
    }

    /** The group has committed this life as a voter. */
    void admitAsVoter() {
        if (!admitted) {
            admitted = true;
            context.onHardStateChanged();
        }
    }

    boolean mayVote() {
        return rules.mayVote(admitted, context.log().voters().contains(context.self()));
    }

    private void resetElectionTimeout(long now) {
        electionTimeoutAt =
                now
                        + settings.minElection()
                        + (long)
                                (random.nextDouble()
                                        * (settings.maxElection() - settings.minElection()));
    }

    /** A message of a leader came, of a term that is not past. */
    void onLeaderContact(long now, int from, long ofTerm) {
        becomeFollower(now, ofTerm);
        leader = from;
        leaderContactAt = now;
    }

    /** Goes on as one who follows, in this term where it is a later one. */
    void becomeFollower(long now, long ofTerm) {
        if (ofTerm > term) {
            term = ofTerm;
            vote = null;
            leader = -1;
            context.onHardStateChanged();
        }
        role = Role.FOLLOWER;
        resetElectionTimeout(now);
    }

    /** Whether a leader was there so lately that no election is called for. */
    private boolean content(long now) {
        return isLeader() || leader >= 0 && now - leaderContactAt < settings.minElection();
    }

    long due() {
        if (isLeader() || !mayVote()) {
            return Long.MAX_VALUE;
        }
        return role == Role.FOLLOWER ? electionTimeoutAt : Math.min(electionTimeoutAt, askAt);
    }

    void tick(long now) {
        if (isLeader() || !mayVote()) {
            return;
        }
        if (now >= electionTimeoutAt) {
            leader = -1;
            transferred = false;
            begin(now, rules.requiresPreVote() ? Role.PRE_CANDIDATE : Role.CANDIDATE);
        } else if (role != Role.FOLLOWER && now >= askAt) {
            requestVotes(now);
        }
    }

    /** The leader asked for it by TimeoutNow. */
    void startElection(long now) {
        if (!isLeader() && mayVote()) {
            transferred = true;
            begin(now, Role.CANDIDATE);
        }
    }

    private void begin(long now, Role as) {
        role = as;
        granted.clear();
        granted.add(context.self());
        if (as == Role.CANDIDATE) {
            term++;
            vote = context.self();
            context.onHardStateChanged();
            context.record(new ConsensusEvent.VoteGranted(context.group(), term, vote, vote));
        }
        resetElectionTimeout(now);
        requestVotes(now);
        count(now);
    }

    private void requestVotes(long now) {
        askAt = now + settings.heartbeat();
        boolean ahead = role == Role.PRE_CANDIDATE;
        RaftLog log = context.log();
        for (Voter voter : log.voters().all()) {
            if (!granted.contains(voter)) {
                context.send(
                        voter.replica(),
                        new RequestVote(
                                ahead, transferred, log.lastIndex(), log.term(log.lastIndex())),
                        ahead ? term + 1 : term);
            }
        }
    }

    private void count(long now) {
        if (!context.log().voters().quorum(granted::contains)) {
            return;
        }
        if (role == Role.PRE_CANDIDATE) {
            begin(now, Role.CANDIDATE);
        } else if (role == Role.CANDIDATE) {
            role = Role.LEADER;
            context.record(new ConsensusEvent.LeaderElected(context.group(), term, context.self()));
        }
    }

    void onRequestVote(long now, Voter by, long inTerm, RequestVote ask) {
        if (content(now) && !ask.transferred()) {
            return;
        }
        RaftLog log = context.log();
        long ownTerm = log.term(log.lastIndex());
        boolean upToDate =
                ask.lastTerm() > ownTerm
                        || ask.lastTerm() == ownTerm && ask.lastIndex() >= log.lastIndex();
        if (ask.preVote()) {
            context.send(
                    by.replica(),
                    new VoteResponse(true, inTerm > term && upToDate && mayVote(), inTerm));
            return;
        }
        if (inTerm > term) {
            becomeFollower(now, inTerm);
        }
        boolean grants =
                inTerm == term && upToDate && mayVote() && (vote == null || vote.equals(by));
        if (grants && vote == null) {
            vote = by;
            context.onHardStateChanged();
            context.record(
                    new ConsensusEvent.VoteGranted(context.group(), term, context.self(), by));
        }
        if (grants) {
            resetElectionTimeout(now);
        }
        context.send(by.replica(), new VoteResponse(false, grants, inTerm));
    }

    void onVoteResponse(long now, Voter by, long inTerm, VoteResponse say) {
        if (inTerm > term && !say.granted()) {
            if (!isLeader()) {
                becomeFollower(now, inTerm);
            }
            return;
        }
        boolean ahead = role == Role.PRE_CANDIDATE;
        if (say.granted()
                && (ahead || role == Role.CANDIDATE)
                && say.preVote() == ahead
                && say.requestedTerm() == (ahead ? term + 1 : term)) {
            granted.add(by);
            count(now);
        }
    }
}
