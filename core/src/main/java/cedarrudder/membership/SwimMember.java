package cedarrudder.membership;

import cedarrudder.membership.SwimMessage.Kind;
import cedarrudder.membership.SwimMessage.MemberUpdate;
import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Decides which of a fixed set of instances are alive, from the point of view of one of them: SWIM
 * (Das, Gupta, Motivala 2002) with suspicion, incarnations and indirect pings, and Lifeguard
 * (Dadgar, Phillips, Currey 2017) against instances that are slow themselves. {@link
 * RepeatedProbes} precede a suspicion, and {@link StateExchange} delivers what gossip did not.
 *
 * <p>The class has no clock, no socket and no thread. Its owner passes in messages and the time,
 * which never decreases, and reads from {@link #nextTickAt} when to call it next. Not thread-safe:
 * use it from one thread at a time.
 *
 * <p>Outgoing traffic is bounded whatever the number of instances: per period one ping, two more to
 * unresponsive and suspected instances, another to a dead instance now and then, {@code helpers}
 * and one more if no ack arrives, and a bounded number of acks.
 */
public final class SwimMember {

    /** The actions and notifications of a member, which its owner carries out. */
    public interface Actions {
        /** Sends a message of at most 224 bytes; it may be lost. */
        void send(int to, byte[] message);

        /** Called when the known state of another instance has changed. */
        void onMemberChanged(Member before, Member now);
    }

    /**
     * Counters of dropped and refuted messages, for metrics.
     *
     * @param malformed messages that could not be decoded
     * @param wrongSender messages whose named sender is not the one they were received from
     * @param refuted wrong claims about this instance
     * @param relaysRefused refused requests to ping another instance
     * @param unanswered pings beyond the bound on acks
     */
    public record Counts(
            long malformed, long wrongSender, long refuted, long relaysRefused, long unanswered) {}

    private static final int MAX_INSTANCES = 0xffff;

    /**
     * Maximum number of acks per period; after a suspension the member would otherwise answer every
     * message that has queued up.
     */
    private static final int MAX_ACKS = 64;

    /** A target is pinged twice in its period, besides the pings by helpers. */
    private static final int DIRECT_PINGS = 2;

    private final int self;
    private final MembershipSettings settings;
    private final RandomGenerator random;
    private final LocalHealth health;
    private final MemberTable members;
    private final Suspicions suspicions;
    private final LossEstimate lossEstimate = new LossEstimate();
    private final SuspectProber suspectProber;
    private final StateExchange exchange;
    private final ProbeOrder probeOrder;
    private final MessageSender sender;
    private final RelayedPings relays = new RelayedPings();
    private ProbeRound round;
    private int periods;
    private long nextPeriodAt;
    private boolean receivedAnything;
    private boolean left;
    private int acks;
    private long malformed;
    private long wrongSender;
    private long relaysRefused;
    private long unanswered;

    /**
     * Creates a member for which all others count as alive until they are found not to be.
     *
     * @param instances the maximum number of instances, from 1 to 65,535
     * @param self the number of this instance
     * @param incarnation larger than any earlier incarnation of this instance, such as the time of
     *     its start in milliseconds; if it is not, the other instances report a larger one, and
     *     this instance continues with the next number
     * @throws IllegalArgumentException if a value is outside its range
     */
    public SwimMember(
            int instances,
            int self,
            long incarnation,
            MembershipSettings settings,
            RandomGenerator random,
            Actions actions,
            long now) {
        boolean valid =
                instances >= 1
                        && instances <= MAX_INSTANCES
                        && self >= 0
                        && self < instances
                        && incarnation >= 0
                        && incarnation <= Member.MAX_INCARNATION;
        if (!valid) {
            throw new IllegalArgumentException(
                    "invalid member " + self + " of " + instances + ", incarnation " + incarnation);
        }
        this.self = self;
        this.settings = settings;
        this.random = random;
        this.health = new LocalHealth(settings.maxHealthScore());
        this.suspicions = new Suspicions(random.nextInt(instances));
        this.exchange = new StateExchange(instances);
        GossipQueue gossip = new GossipQueue(instances);
        this.members =
                new MemberTable(
                        instances,
                        self,
                        incarnation,
                        settings,
                        health,
                        suspicions,
                        exchange,
                        gossip,
                        new TableListener(actions));
        this.sender = new MessageSender(self, settings, random, members, exchange, gossip, actions);
        this.suspectProber =
                new SuspectProber(settings, random, members, suspicions, lossEstimate, sender);
        this.probeOrder = new ProbeOrder(instances, self, random);
        // Start times are spread over a period: instances that start at the same time would
        // otherwise probe at the same time for ever.
        this.nextPeriodAt = now + (long) (random.nextDouble() * settings.period());
    }

    private final class TableListener implements MemberTable.Listener {
        private final Actions actions;

        TableListener(Actions actions) {
            this.actions = actions;
        }

        @Override
        public void onSuspected(long now) {
            suspectProber.onSuspected(now);
        }

        @Override
        public void onChanged(Member before, Member after) {
            if (!after.isLive()) {
                suspectProber.remove(after.number());
            }
            actions.onMemberChanged(before, after);
        }
    }

    // ---- state ----

    /** Returns the known state of an instance. */
    public Member member(int number) {
        return members.member(number);
    }

    /** Returns the number of instances that count as live, including this one. */
    public int liveCount() {
        return members.liveCount();
    }

    /**
     * Returns the local health score: 0 if healthy; timeouts are multiplied by the score plus one.
     */
    public int healthScore() {
        return health.value();
    }

    /** Returns the counters of dropped and refuted messages since the start. */
    public Counts counts() {
        return new Counts(malformed, wrongSender, members.refuted(), relaysRefused, unanswered);
    }

    // ---- time ----

    /** Returns when {@link #tick} is to be called next; an earlier or later call does no harm. */
    public long nextTickAt() {
        if (left) {
            return Long.MAX_VALUE;
        }
        long next = Math.min(nextPeriodAt, relays.nextNackAt());
        if (round != null) {
            next = Math.min(next, round.indirectAt());
        }
        return Math.min(next, suspectProber.nextDueAt());
    }

    /** Performs all actions that are due. */
    public void tick(long now) {
        if (left) {
            return;
        }
        long late = now - nextTickAt();
        if (late > settings.period() / 2) {
            onSuspended(late);
        }
        for (int number : suspicions.expired(now)) {
            members.declareDead(now, number);
        }
        suspectProber.ping(now);
        sendNacks(now);
        if (round != null && now >= round.indirectAt()) {
            sendIndirectPings();
        }
        if (now >= nextPeriodAt) {
            endPeriod(now);
            startPeriod(now);
        }
    }

    /**
     * Handles a suspension of the process for this long. The acks and refutations of others may be
     * waiting unread, so nobody may be declared dead for their absence.
     */
    private void onSuspended(long nanos) {
        health.worsen();
        round = null;
        suspectProber.clear();
        suspicions.extend(nanos);
    }

    private void sendNacks(long now) {
        for (RelayedPings.RelayedPing ping : relays.pollDueNacks(now)) {
            sender.send(ping.requester(), Kind.NACK, ping.requesterSequence(), ping.target());
        }
    }

    private void sendIndirectPings() {
        round.startIndirect();
        // This instance pings once more itself: on a network with much loss, two lost messages
        // would otherwise be enough for a suspicion.
        sender.ping(round.target(), round.sequence());
        List<Integer> candidates = new ArrayList<>();
        for (int number : probeOrder.instances()) {
            if (number != round.target() && members.isAlive(number)) {
                candidates.add(number);
            }
        }
        for (int i = 0; i < settings.helpers() && !candidates.isEmpty(); i++) {
            int helper = candidates.remove(random.nextInt(candidates.size()));
            round.addHelper(helper);
            sender.send(helper, Kind.PING_REQUEST, round.sequence(), round.target());
        }
    }

    private void endPeriod(long now) {
        if (round == null) {
            return;
        }
        if (round.isAcknowledged()) {
            health.improve();
        } else if (members.isLive(round.target())) {
            onTargetUnresponsive(now, round.target());
        }
        round = null;
    }

    private void onTargetUnresponsive(long now, int target) {
        if (!receivedAnything) {
            health.worsen();
        }
        suspectProber.onProbeUnanswered(now, target, DIRECT_PINGS);
    }

    private void startPeriod(long now) {
        nextPeriodAt = now + settings.period() * health.multiplier();
        acks = 0;
        relays.removeExpired(now, settings.period());
        int target = probeOrder.next(members::isLive);
        if (target != ProbeOrder.NONE) {
            probe(now, target);
        }
        if (++periods % settings.deadProbePeriods() == 0 && exchange.deadCount() > 0) {
            // Heals a partition in which each side counts the other as dead: the target refutes the
            // claim.
            sender.ping(exchange.randomDead(random));
        }
    }

    private void probe(long now, int target) {
        receivedAnything = false;
        long indirectAt = now + settings.ackTimeout() * health.multiplier();
        round = new ProbeRound(target, sender.nextSequence(), indirectAt);
        sender.ping(target, round.sequence());
    }

    // ---- messages ----

    /**
     * Handles a received datagram. Its first byte is 1, which distinguishes membership from other
     * protocols on the same socket. A datagram that can't be decoded, or that names another sender,
     * is counted and dropped.
     *
     * @param from the instance whose address it was received from
     */
    public void onDatagram(long now, int from, byte[] datagram) {
        if (left) {
            return;
        }
        SwimMessage message = SwimCodec.decode(datagram, members.members().length);
        if (message == null) {
            malformed++;
        } else if (message.from() != from || from == self) {
            wrongSender++;
        } else {
            onMessage(now, message);
        }
    }

    private void onMessage(long now, SwimMessage message) {
        receivedAnything = true;
        if (suspectProber.remove(message.from())) {
            lossEstimate.onAnswer(false);
        }
        members.onMessageReceived(now, message.from(), message.incarnation());
        for (MemberUpdate update : message.updates()) {
            members.onUpdate(now, update.member(), update.accuser());
        }
        exchange.onDigest(message.digest());
        switch (message.kind()) {
            case PING -> onPing(message);
            case PING_REQUEST -> onPingRequest(now, message);
            case ACK -> onAck(message);
            case NACK -> {} // only the arrival of a nack matters
        }
    }

    private void onPing(SwimMessage ping) {
        if (acks >= MAX_ACKS) {
            unanswered++;
            return;
        }
        acks++;
        sender.acknowledge(ping);
    }

    private void onPingRequest(long now, SwimMessage request) {
        int target = request.subject();
        if (target == self || target == request.from() || relays.isFull()) {
            relaysRefused++;
            return;
        }
        int sequence = sender.nextSequence();
        relays.add(sequence, request, now, settings.ackTimeout());
        sender.ping(target, sequence);
    }

    private void onAck(SwimMessage ack) {
        if (round != null && round.isAcknowledgedBy(ack)) {
            if (round.acknowledge()) {
                lossEstimate.onAnswer(round.isDirect());
            }
            return;
        }
        RelayedPings.RelayedPing ping = relays.acknowledge(ack);
        if (ping != null) {
            sender.send(ping.requester(), Kind.ACK, ping.requesterSequence(), ping.target());
        }
    }

    // ---- leaving ----

    /**
     * Notifies some others that this incarnation ends; after that the member sends nothing and
     * ignores what it receives. The next incarnation needs a larger number.
     */
    public void leave() {
        if (left) {
            return;
        }
        members.announceLeave();
        int notified = 0;
        int max = Math.max(1, settings.helpers());
        for (int number : probeOrder.instances()) {
            if (notified < max && members.isAlive(number)) {
                sender.ping(number);
                notified++;
            }
        }
        left = true;
    }

    @Override
    public String toString() {
        return "instance " + self + " with members " + members;
    }
}
