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

    private final RaftContext circle;
    private final ConsensusSettings settings;
    private final ReplicaDirectory tier;
    private final RandomGenerator random;
    private long trainedUntil;

    VoterReplacement(
            RaftContext circle,
            ConsensusSettings settings,
            ReplicaDirectory tier,
            RandomGenerator random) {
        this.circle = circle;
        this.settings = settings;
        this.tier = tier;
        this.random = random;
    }

    /**
     * The voters that are to follow those of now; null where they may stay or can't be changed yet.
     */
    VoterSet next(long now, LogReplication replication) {
        RaftLog log = circle.log();
        boolean settled =
                log.votersAt() <= log.committed() && log.term(log.committed()) == circle.term();
        if (!settled) {
            return null;
        }
        VoterSet voters = log.voters();
        List<Voter> spare = spare(now, voters);
        for (Voter voter : voters.all()) {
            boolean gone =
                    !voter.equals(circle.self())
                            && (tier.incarnation(voter.replica()) > voter.incarnation()
                                    || now - tier.heardAt(voter.replica())
                                            > settings.voterPatience());
            boolean back =
                    tier.incarnation(voter.replica()) > voter.incarnation()
                            && now - tier.heardAt(voter.replica()) < settings.voterPatience() / 2;
            if (gone && (voters.size() > 3 || !spare.isEmpty() || back)) {
                return voters.without(voter);
            }
        }
        if (voters.size() >= settings.voters()) {
            replication.train(null);
            return null;
        }
        Voter trainee = replication.trainee();
        boolean fits = trainee != null && spare.contains(trainee) && now < trainedUntil;
        if (fits && replication.match(trainee) >= log.committed()) {
            replication.train(null);
            return voters.with(trainee);
        }
        if (!fits && !spare.isEmpty()) {
            replication.train(spare.get(random.nextInt(spare.size())));
            trainedUntil = now + TRAINING_HEARTBEATS * settings.heartbeat();
        }
        return null;
    }

    /** Those who could be voters, of the zones that have the fewest. */
    private List<Voter> spare(long now, VoterSet voters) {
        List<Voter> best = new ArrayList<>();
        long fewest = Long.MAX_VALUE;
        for (int replica = 0; replica < tier.replicas(); replica++) {
            if (voters.hasCopy(replica)
                    || replica == circle.self().replica()
                    || !tier.incarnations(replica)
                    || now - tier.heardAt(replica) > settings.voterPatience() / 2) {
                continue;
            }
            int zone = tier.zone(replica);
            long there =
                    voters.all().stream()
                            .filter(voter -> tier.zone(voter.replica()) == zone)
                            .count();
            if (there < fewest) {
                fewest = there;
                best.clear();
            }
            if (there == fewest) {
                best.add(new Voter(replica, tier.incarnation(replica)));
            }
        }
        return best;
    }
}
