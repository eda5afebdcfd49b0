package cedarrudder.consensus;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Whom a leader makes a voter and whom it takes out, one at a time (thesis, 4.1 and 4.2): out are
 * those that are silent or came back in another life; in come live replicas, from the zones with
 * the fewest voters, that have the whole log.
 */
final class VoterReplacement {

    private static final int TRAINING_HEARTBEATS = 20;

    private final RaftContext context;
    private final ConsensusSettings settings;
    private final ReplicaDirectory replicas;
    private final RandomGenerator random;
    private long learnerUntil;

    VoterReplacement(
            RaftContext context,
            ConsensusSettings settings,
            ReplicaDirectory replicas,
            RandomGenerator random) {
        this.context = context;
        this.settings = settings;
        this.replicas = replicas;
        this.random = random;
    }

    /**
     * The voters that are to follow those of now; null where they may stay or can't be changed yet.
     */
    VoterSet next(long now, LogReplication replication) {
        RaftLog log = context.log();
        boolean settled =
                log.votersAt() <= log.commitIndex()
                        && log.term(log.commitIndex()) == context.term();
        if (!settled) {
            return null;
        }
        VoterSet voters = log.voters();
        List<Voter> spare = candidate(now, voters);
        for (Voter voter : voters.all()) {
            boolean gone =
                    !voter.equals(context.self())
                            && (replicas.incarnation(voter.replica()) > voter.incarnation()
                                    || now - replicas.lastReceivedAt(voter.replica())
                                            > settings.voterPatience());
            boolean back =
                    replicas.incarnation(voter.replica()) > voter.incarnation()
                            && now - replicas.lastReceivedAt(voter.replica())
                                    < settings.voterPatience() / 2;
            if (gone && (voters.size() > 3 || !spare.isEmpty() || back)) {
                return voters.without(voter);
            }
        }
        if (voters.size() >= settings.voters()) {
            replication.startLearner(null);
            return null;
        }
        Voter trainee = replication.learner();
        boolean fits = trainee != null && spare.contains(trainee) && now < learnerUntil;
        if (fits && replication.matchIndex(trainee) >= log.commitIndex()) {
            replication.startLearner(null);
            return voters.with(trainee);
        }
        if (!fits && !spare.isEmpty()) {
            replication.startLearner(spare.get(random.nextInt(spare.size())));
            learnerUntil = now + TRAINING_HEARTBEATS * settings.heartbeat();
        }
        return null;
    }

    /** Those who could be voters, of the zones that have the fewest. */
    private List<Voter> candidate(long now, VoterSet voters) {
        List<Voter> best = new ArrayList<>();
        long fewest = Long.MAX_VALUE;
        for (int replica = 0; replica < replicas.replicas(); replica++) {
            if (voters.containsReplica(replica)
                    || replica == context.self().replica()
                    || !replicas.isAlive(replica)
                    || now - replicas.lastReceivedAt(replica) > settings.voterPatience() / 2) {
                continue;
            }
            int zone = replicas.zone(replica);
            long there =
                    voters.all().stream()
                            .filter(voter -> replicas.zone(voter.replica()) == zone)
                            .count();
            if (there < fewest) {
                fewest = there;
                best.clear();
            }
            if (there == fewest) {
                best.add(new Voter(replica, replicas.incarnation(replica)));
            }
        }
        return best;
    }
}
