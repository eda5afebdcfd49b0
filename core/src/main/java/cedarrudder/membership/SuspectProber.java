package cedarrudder.membership;

import java.util.random.RandomGenerator;

/**
 * Pings instances that did not answer a probe ({@link RepeatedProbes}) and suspected instances
 * ({@link Suspicions}) again, at a bounded rate. Without these pings live instances would be
 * declared dead on a network that loses messages: an unresponsive instance becomes a suspect only
 * after repeated misses, and a suspect learns of its suspicion from the ping and refutes it.
 */
final class SuspectProber {

    /** Pings per period to unresponsive and suspected instances together. */
    private static final int PINGS_PER_PERIOD = 2;

    /**
     * Approximate number of pings per period that each suspect receives from all live instances
     * together. Without the bound, all instances of a large tier would ping one suspect at once.
     */
    private static final int PINGS_OF_SUSPECT_PER_PERIOD = 8;

    /**
     * Approximate maximum of suspicions per period, over all live instances, that are caused by
     * message loss alone.
     */
    private static final double MAX_FALSE_SUSPICIONS = 0.1;

    /**
     * Missed pings after which an instance is suspected at any estimate of loss; a very high
     * estimate would otherwise prevent every suspicion.
     */
    private static final int MAX_MISSED_PINGS = 16;

    private final MembershipSettings settings;
    private final RandomGenerator random;
    private final MemberTable members;
    private final Suspicions suspicions;
    private final LossEstimate lossEstimate;
    private final MessageSender sender;
    private final RepeatedProbes unanswered = new RepeatedProbes();
    private long nextPingAt;
    private boolean pingedSuspectLast;

    SuspectProber(
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

    /**
     * Returns when the next ping or suspicion deadline is due; {@link Long#MAX_VALUE} if nothing
     * is.
     */
    long nextDueAt() {
        return isEmpty() ? Long.MAX_VALUE : Math.min(suspicions.nextDeadline(), nextPingAt);
    }

    private boolean isEmpty() {
        return suspicions.isEmpty() && unanswered.isEmpty();
    }

    /** Records that an instance is suspected from now on. */
    void onSuspected(long now) {
        nextPingAt = Math.max(nextPingAt, now);
    }

    /** Records that an instance did not answer its probe, which sent it this many pings. */
    void onProbeUnanswered(long now, int target, int pings) {
        if (missesBeforeSuspicion() <= pings) {
            members.suspect(now, target);
        } else {
            nextPingAt = Math.max(nextPingAt, now);
            unanswered.add(target, pings);
        }
    }

    /** Removes an instance that answered or is dead; returns whether it had been unresponsive. */
    boolean remove(int number) {
        return unanswered.remove(number);
    }

    /** Removes all unresponsive instances; suspicions stay. */
    void clear() {
        unanswered.clear();
    }

    /**
     * Pings one unresponsive or suspected instance, alternating between the two groups, if a ping
     * is due.
     */
    void ping(long now) {
        if (now < nextPingAt || isEmpty()) {
            return;
        }
        nextPingAt = now + settings.period() / PINGS_PER_PERIOD;
        suspectUnresponsive(now);
        pingedSuspectLast = !suspicions.isEmpty() && (unanswered.isEmpty() || !pingedSuspectLast);
        if (pingedSuspectLast) {
            pingSuspect();
        } else if (!unanswered.isEmpty()) {
            int number = unanswered.first();
            unanswered.onFirstProbed();
            sender.ping(number);
        }
    }

    private void suspectUnresponsive(long now) {
        while (!unanswered.isEmpty() && unanswered.missesOfFirst() >= missesBeforeSuspicion()) {
            int number = unanswered.first();
            unanswered.remove(number);
            members.suspect(now, number);
        }
    }

    private void pingSuspect() {
        double draw = random.nextDouble() * PINGS_PER_PERIOD * members.liveCount();
        if (draw < PINGS_OF_SUSPECT_PER_PERIOD * suspicions.size()) {
            sender.ping(suspicions.nextToProbe());
        }
    }

    /**
     * Returns the number of missed pings at which hardly any instance of the tier is suspected
     * because of message loss alone.
     */
    private int missesBeforeSuspicion() {
        double chance = MAX_FALSE_SUSPICIONS / members.liveCount();
        return Math.min(MAX_MISSED_PINGS, lossEstimate.missesBeforeSuspicion(chance));
    }
}
