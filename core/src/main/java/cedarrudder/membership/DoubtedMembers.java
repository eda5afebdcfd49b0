package cedarrudder.membership;

import java.util.random.RandomGenerator;

/**
 * Pings again those that did not answer ({@link RepeatedProbes}) and those that are suspected
 * ({@link Suspicions}), at a bounded rate. This avoids declaring live instances dead where messages
 * are lost: the first answer or become suspected, the others hear of their suspicion and refute it.
 */
final class DoubtedMembers {

    /** The doubted and the suspected are pinged so often a period, all together. */
    private static final int PINGS_PER_PERIOD = 2;

    /**
     * All live instances together ping each suspected one about so often a period. This avoids all
     * of a large tier pinging one at once.
     */
    private static final int PINGS_OF_SUSPECT_PER_PERIOD = 8;

    /** Suspicions caused by loss alone that all live instances may come to in a period, about. */
    private static final double MAX_FALSE_SUSPICIONS = 0.1;

    /** This avoids so high an estimate of loss that nobody would be suspected. */
    private static final int MAX_SILENCES = 16;

    private final MembershipSettings settings;
    private final RandomGenerator random;
    private final MemberTable members;
    private final Suspicions suspicions;
    private final LossEstimate lossEstimate;
    private final MessageSender sender;
    private final RepeatedProbes unanswered = new RepeatedProbes();
    private long nextPingAt;
    private boolean pingedSuspectLast;

    DoubtedMembers(
            MembershipSettings settings,
            RandomGenerator random,
            MemberTable members,
            Suspicions suspicions,
            LossEstimate lossEstimate,
            MessageSender sender) {
        this.settings = settings;
        this.random = random;
        this.members = members;
        this.suspicions = suspicions;
        this.lossEstimate = lossEstimate;
        this.sender = sender;
    }

    /** When something is due; {@link Long#MAX_VALUE} where nothing is. */
    long nextAt() {
        return isEmpty() ? Long.MAX_VALUE : Math.min(suspicions.nextDeadline(), nextPingAt);
    }

    private boolean isEmpty() {
        return suspicions.isEmpty() && unanswered.isEmpty();
    }

    /** An instance is suspected from now on. */
    void onSuspected(long now) {
        nextPingAt = Math.max(nextPingAt, now);
    }

    /** An instance did not answer so many pings of its probe. */
    void onSilent(long now, int target, int pings) {
        if (silencesBeforeSuspicion() <= pings) {
            members.suspect(now, target);
        } else {
            nextPingAt = Math.max(nextPingAt, now);
            unanswered.add(target, pings);
        }
    }

    /** An instance answered, or is dead; says whether an answer was waited for. */
    boolean remove(int number) {
        return unanswered.remove(number);
    }

    /** Forgets who did not answer; suspicions stay. */
    void clear() {
        unanswered.clear();
    }

    /** Pings one of the doubted and suspected, by turns, where that is due. */
    void ping(long now) {
        if (now < nextPingAt || isEmpty()) {
            return;
        }
        nextPingAt = now + settings.period() / PINGS_PER_PERIOD;
        suspectSilent(now);
        pingedSuspectLast = !suspicions.isEmpty() && (unanswered.isEmpty() || !pingedSuspectLast);
        if (pingedSuspectLast) {
            pingSuspect();
        } else if (!unanswered.isEmpty()) {
            int number = unanswered.first();
            unanswered.onFirstProbed();
            sender.ping(number);
        }
    }

    private void suspectSilent(long now) {
        while (!unanswered.isEmpty() && unanswered.silencesOfFirst() >= silencesBeforeSuspicion()) {
            int number = unanswered.first();
            unanswered.remove(number);
            members.suspect(now, number);
        }
    }

    private void pingSuspect() {
        double ownShare = random.nextDouble() * PINGS_PER_PERIOD * members.liveCount();
        if (ownShare < PINGS_OF_SUSPECT_PER_PERIOD * suspicions.size()) {
            sender.ping(suspicions.nextToProbe());
        }
    }

    /** So many that in all the tier hardly anybody is suspected for loss alone. */
    private int silencesBeforeSuspicion() {
        double chance = MAX_FALSE_SUSPICIONS / members.liveCount();
        return Math.min(MAX_SILENCES, lossEstimate.silencesBeforeSuspicion(chance));
    }
}
