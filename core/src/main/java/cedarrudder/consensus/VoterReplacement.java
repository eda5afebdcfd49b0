package cedarrudder.consensus;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * A leader's changes of the voters, one at a time (thesis, 4.1 and 4.2). Voters are removed if they
 * are silent or came back in another incarnation. Live replicas that have the whole log are added,
 * from the zones with the fewest voters.
 */
final class VoterReplacement {

    private static final int LEARNER_TIMEOUT_HEARTBEATS = 20;

    private final RaftContext context;
    private final ConsensusSettings settings;
    private final ReplicaDirectory replicas;
    private final RandomGenerator random;
    private long learnerTimeoutAt;

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
     * Returns the next set of voters, or null if the current one is to stay or can't be changed
     * yet.
     */
    VoterSet next(long now, LogReplication replication) {
        RaftLog log = context.log();
        boolean currentVotersCommitted =
                log.votersAt() <= log.commitIndex()
                        && log.term(log.commitIndex()) == context.term();
        if (!currentVotersCommitted) {
            return null;
        }
        VoterSet voters = log.voters();
        List<Voter> candidates = findCandidates(now, voters);
        for (Voter voter : voters.all()) {
            boolean isLost =
                    !voter.equals(context.self())
                            && (replicas.incarnation(voter.replica()) > voter.incarnation()
                                    || now - replicas.lastReceivedAt(voter.replica())
                                            > settings.voterPatience());
            boolean hasReturned =
                    replicas.incarnation(voter.replica()) > voter.incarnation()
                            && now - replicas.lastReceivedAt(voter.replica())
                                    < settings.voterPatience() / 2;
            if (isLost && (voters.size() > 3 || !candidates.isEmpty() || hasReturned)) {
                return voters.without(voter);
            }
        }
        if (voters.size() >= settings.voters()) {
            replication.startLearner(null);
            return null;
        }
        Voter learner = replication.learner();
        boolean valid = learner != null && candidates.contains(learner) && now < learnerTimeoutAt;
        if (valid && replication.matchIndex(learner) >= log.commitIndex()) {
            replication.startLearner(null);
            return voters.with(learner);
        }
        if (!valid && !candidates.isEmpty()) {
            replication.startLearner(candidates.get(random.nextInt(candidates.size())));
            learnerTimeoutAt = now + LEARNER_TIMEOUT_HEARTBEATS * settings.heartbeat();
        }
        return null;
    }

    /**
     * Returns the replicas that could become voters, from the zones that have the fewest voters.
     */
    private List<Voter> findCandidates(long now, VoterSet voters) {
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
            long votersInZone =
                    voters.all().stream()
                            .filter(voter -> replicas.zone(voter.replica()) == zone)
                            .count();
            if (votersInZone < fewest) {
                fewest = votersInZone;
                best.clear();
            }
            if (votersInZone == fewest) {
                best.add(new Voter(replica, replicas.incarnation(replica)));
            }
        }
        return best;
    }
}
