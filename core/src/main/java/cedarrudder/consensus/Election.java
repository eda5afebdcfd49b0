package cedarrudder.consensus;

import cedarrudder.consensus.RaftMessage.AskVote;
import cedarrudder.consensus.RaftMessage.SayVote;
import java.util.HashSet;
import java.util.Set;
import java.util.random.RandomGenerator;

/** Terms, votes and who leads (paper, 5.2 and 5.4.1; thesis, 4.2.3 and 9.6). */
final class Election {

    /** What a replica does in its term. */
    enum Role {
        FOLLOWS,
        ASKS_AHEAD,
        ASKS,
        LEADS
    }

    private final RaftContext circle;
    private final ConsensusSettings settings;
    private final SafetyRules conduct;
    private final RandomGenerator random;
    private final Set<Voter> granted = new HashSet<>();
    private Role role = Role.FOLLOWS;
    private long term;
    private Voter vote;
    private boolean sworn;
    private int leader = -1;
    private long heardAt;
    private long electionAt;
    private long askAt;
    private boolean called;

    Election(
            RaftContext circle,
            ConsensusSettings settings,
            SafetyRules conduct,
            RandomGenerator random,
            long now) {
        this.circle = circle;
        this.settings = settings;
        this.conduct = conduct;
        this.random = random;
        this.heardAt = now - settings.minElection();
        putOff(now);
    }

    void remember(StableStorage.Promise promise) {
        term = promise.term();
        vote = promise.vote();
        sworn = promise.sworn();
    }

    /** Another group: nothing of the former counts. */
    void reset(long now) {
        role = Role.FOLLOWS;
        term = 0;
        vote = null;
        sworn = false;
        leader = -1;
        heardAt = now - settings.minElection();
        putOff(now);
    }

    Role role() {
        return role;
    }

    boolean leads() {
        return role == Role.LEADS;
    }

    long term() {
        return term;
    }

    Voter vote() {
        return vote;
    }

    boolean sworn() {
        return sworn;
    }

    /** The replica that leads, as far as this one knows; -1 where it knows of none. */
    int leader() {
        return leads() ? circle.self().replica() : leader;
    }

    /** The group has committed this life as a voter. */
    void swear() {
        if (!sworn) {
            sworn = true;
            circle.promised();
        }
    }

    boolean mayVote() {
        return conduct.mayVote(sworn, circle.log().voters().has(circle.self()));
    }

    private void putOff(long now) {
        electionAt =
                now
                        + settings.minElection()
                        + (long)
                                (random.nextDouble()
                                        * (settings.maxElection() - settings.minElection()));
    }

    /** A leader of a term that is not past has been heard of. */
    void heard(long now, int from, long ofTerm) {
        follow(now, ofTerm);
        leader = from;
        heardAt = now;
    }

    /** Goes on as one who follows, in this term where it is a later one. */
    void follow(long now, long ofTerm) {
        if (ofTerm > term) {
            term = ofTerm;
            vote = null;
            leader = -1;
            circle.promised();
        }
        role = Role.FOLLOWS;
        putOff(now);
    }

    /** Whether it has heard of a leader so lately that another is not called for. */
    private boolean content(long now) {
        return leads() || leader >= 0 && now - heardAt < settings.minElection();
    }

    long due() {
        if (leads() || !mayVote()) {
            return Long.MAX_VALUE;
        }
        return role == Role.FOLLOWS ? electionAt : Math.min(electionAt, askAt);
    }

    void tick(long now) {
        if (leads() || !mayVote()) {
            return;
        }
        if (now >= electionAt) {
            leader = -1;
            called = false;
            begin(now, conduct.asksFirst() ? Role.ASKS_AHEAD : Role.ASKS);
        } else if (role != Role.FOLLOWS && now >= askAt) {
            ask(now);
        }
    }

    /** The leader told it to. */
    void call(long now) {
        if (!leads() && mayVote()) {
            called = true;
            begin(now, Role.ASKS);
        }
    }

    private void begin(long now, Role as) {
        role = as;
        granted.clear();
        granted.add(circle.self());
        if (as == Role.ASKS) {
            term++;
            vote = circle.self();
            circle.promised();
            circle.note(new ConsensusEvent.Voted(circle.group(), term, vote, vote));
        }
        putOff(now);
        ask(now);
        count(now);
    }

    private void ask(long now) {
        askAt = now + settings.heartbeat();
        boolean ahead = role == Role.ASKS_AHEAD;
        RaftLog log = circle.log();
        for (Voter voter : log.voters().all()) {
            if (!granted.contains(voter)) {
                circle.post(
                        voter.replica(),
                        new AskVote(ahead, called, log.last(), log.term(log.last())),
                        ahead ? term + 1 : term);
            }
        }
    }

    private void count(long now) {
        if (!circle.log().voters().majority(granted::contains)) {
            return;
        }
        if (role == Role.ASKS_AHEAD) {
            begin(now, Role.ASKS);
        } else if (role == Role.ASKS) {
            role = Role.LEADS;
            circle.note(new ConsensusEvent.Leads(circle.group(), term, circle.self()));
        }
    }

    void asked(long now, Voter by, long inTerm, AskVote ask) {
        if (content(now) && !ask.called()) {
            return;
        }
        RaftLog log = circle.log();
        long ownTerm = log.term(log.last());
        boolean upToDate =
                ask.lastTerm() > ownTerm
                        || ask.lastTerm() == ownTerm && ask.lastIndex() >= log.last();
        if (ask.ahead()) {
            circle.post(
                    by.replica(),
                    new SayVote(true, inTerm > term && upToDate && mayVote(), inTerm));
            return;
        }
        if (inTerm > term) {
            follow(now, inTerm);
        }
        boolean grants =
                inTerm == term && upToDate && mayVote() && (vote == null || vote.equals(by));
        if (grants && vote == null) {
            vote = by;
            circle.promised();
            circle.note(new ConsensusEvent.Voted(circle.group(), term, circle.self(), by));
        }
        if (grants) {
            putOff(now);
        }
        circle.post(by.replica(), new SayVote(false, grants, inTerm));
    }

    void said(long now, Voter by, long inTerm, SayVote say) {
        if (inTerm > term && !say.granted()) {
            if (!leads()) {
                follow(now, inTerm);
            }
            return;
        }
        boolean ahead = role == Role.ASKS_AHEAD;
        if (say.granted()
                && (ahead || role == Role.ASKS)
                && say.ahead() == ahead
                && say.askedTerm() == (ahead ? term + 1 : term)) {
            granted.add(by);
            count(now);
        }
    }
}
