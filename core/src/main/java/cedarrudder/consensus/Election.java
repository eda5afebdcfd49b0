package cedarrudder.consensus;

import cedarrudder.consensus.RaftMessage.RequestVote;
import cedarrudder.consensus.RaftMessage.VoteResponse;
import java.util.HashSet;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * Leader election: terms, votes and the role of this replica (Raft paper, 5.2 and 5.4.1; thesis,
 * 4.2.3 and 9.6).
 */
final class Election {

    /** The role of a replica in its term. */
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
    private long nextRequestAt;
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

    void restore(StableStorage.HardState hardState) {
        term = hardState.term();
        vote = hardState.vote();
        admitted = hardState.admitted();
    }

    /** Resets everything to the state of a replica that has just joined a group. */
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

    /**
     * Returns the leader's number as far as this replica knows, or -1 where it knows of no leader.
     */
    int leader() {
        return isLeader() ? context.self().replica() : leader;
    }

    /** Records that the group has committed this incarnation as a voter. */
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

    /** Handles a message from a leader whose term is not before this replica's. */
    void onLeaderContact(long now, int from, long leaderTerm) {
        becomeFollower(now, leaderTerm);
        leader = from;
        leaderContactAt = now;
    }

    /** Becomes a follower, in the given term if that is later than the current one. */
    void becomeFollower(long now, long newTerm) {
        if (newTerm > term) {
            term = newTerm;
            vote = null;
            leader = -1;
            context.onHardStateChanged();
        }
        role = Role.FOLLOWER;
        resetElectionTimeout(now);
    }

    /** Returns whether a leader was in contact so recently that no election is needed. */
    private boolean hasRecentLeader(long now) {
        return isLeader() || leader >= 0 && now - leaderContactAt < settings.minElection();
    }

    long due() {
        if (isLeader() || !mayVote()) {
            return Long.MAX_VALUE;
        }
        return role == Role.FOLLOWER
                ? electionTimeoutAt
                : Math.min(electionTimeoutAt, nextRequestAt);
    }

    void tick(long now) {
        if (isLeader() || !mayVote()) {
            return;
        }
        if (now >= electionTimeoutAt) {
            leader = -1;
            transferred = false;
            startCampaign(now, rules.requiresPreVote() ? Role.PRE_CANDIDATE : Role.CANDIDATE);
        } else if (role != Role.FOLLOWER && now >= nextRequestAt) {
            requestVotes(now);
        }
    }

    /** Starts an election at once, on the leader's TimeoutNow. */
    void startElection(long now) {
        if (!isLeader() && mayVote()) {
            transferred = true;
            startCampaign(now, Role.CANDIDATE);
        }
    }

    private void startCampaign(long now, Role newRole) {
        role = newRole;
        granted.clear();
        granted.add(context.self());
        if (newRole == Role.CANDIDATE) {
            term++;
            vote = context.self();
            context.onHardStateChanged();
            context.record(new ConsensusEvent.VoteGranted(context.group(), term, vote, vote));
        }
        resetElectionTimeout(now);
        requestVotes(now);
        countVotes(now);
    }

    private void requestVotes(long now) {
        nextRequestAt = now + settings.heartbeat();
        boolean isPreVote = role == Role.PRE_CANDIDATE;
        RaftLog log = context.log();
        for (Voter voter : log.voters().all()) {
            if (!granted.contains(voter)) {
                context.send(
                        voter.replica(),
                        new RequestVote(
                                isPreVote, transferred, log.lastIndex(), log.term(log.lastIndex())),
                        isPreVote ? term + 1 : term);
            }
        }
    }

    private void countVotes(long now) {
        if (!context.log().voters().hasQuorum(granted::contains)) {
            return;
        }
        if (role == Role.PRE_CANDIDATE) {
            startCampaign(now, Role.CANDIDATE);
        } else if (role == Role.CANDIDATE) {
            role = Role.LEADER;
            context.record(new ConsensusEvent.LeaderElected(context.group(), term, context.self()));
        }
    }

    void onRequestVote(long now, Voter sender, long messageTerm, RequestVote request) {
        if (hasRecentLeader(now) && !request.transferred()) {
            return;
        }
        RaftLog log = context.log();
        long ownLastTerm = log.term(log.lastIndex());
        boolean upToDate =
                request.lastTerm() > ownLastTerm
                        || request.lastTerm() == ownLastTerm
                                && request.lastIndex() >= log.lastIndex();
        if (request.preVote()) {
            context.send(
                    sender.replica(),
                    new VoteResponse(
                            true, messageTerm > term && upToDate && mayVote(), messageTerm));
            return;
        }
        if (messageTerm > term) {
            becomeFollower(now, messageTerm);
        }
        boolean grants =
                messageTerm == term
                        && upToDate
                        && mayVote()
                        && (vote == null || vote.equals(sender));
        if (grants && vote == null) {
            vote = sender;
            context.onHardStateChanged();
            context.record(
                    new ConsensusEvent.VoteGranted(context.group(), term, context.self(), sender));
        }
        if (grants) {
            resetElectionTimeout(now);
        }
        context.send(sender.replica(), new VoteResponse(false, grants, messageTerm));
    }

    void onVoteResponse(long now, Voter sender, long messageTerm, VoteResponse response) {
        if (messageTerm > term && !response.granted()) {
            if (!isLeader()) {
                becomeFollower(now, messageTerm);
            }
            return;
        }
        boolean isPreVote = role == Role.PRE_CANDIDATE;
        if (response.granted()
                && (isPreVote || role == Role.CANDIDATE)
                && response.preVote() == isPreVote
                && response.requestedTerm() == (isPreVote ? term + 1 : term)) {
            granted.add(sender);
            countVotes(now);
        }
    }
}
