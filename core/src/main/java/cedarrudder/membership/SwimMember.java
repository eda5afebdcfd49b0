package cedarrudder.membership;

import cedarrudder.membership.SwimMessage.Kind;
import cedarrudder.membership.SwimMessage.MemberUpdate;
import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Which of a fixed set of instances are alive, as one of them sees it: SWIM (Das, Gupta, Motivala
 * 2002) with suspicion, incarnations and indirect pings, and Lifeguard (Dadgar, Phillips, Currey
 * 2017) against instances that are slow themselves. {@link RepeatedProbes} come before a suspicion,
 * and {@link StateExchange} brings what gossip did not.
 *
 * <p>It has no clock, no socket and no thread. It is fed messages and the time, which never goes
 * back, and says by {@link #nextTickAt} when it wants the time next. Not thread-safe: from one
 * thread at a time.
 *
 * <p>What it sends is bounded whatever the number of instances: one ping a period, two more to the
 * doubted and the suspected, another to a dead instance now and then, {@code helpers} and one more
 * where no ack comes, and a bounded number of acks.
 */
public final class SwimMember {

    /** What it causes. */
    public interface Actions {
        /** Sends a message of at most 224 bytes; it may be lost. */
        void send(int to, byte[] message);

        /** What is known of another instance has changed. */
        void onMemberChanged(Member before, Member now);
    }

    /**
     * What was dropped or refuted, for metrics.
     *
     * @param malformed messages that could not be read
     * @param wrongSender messages that name another sender than the one they came from
     * @param refuted updates of this instance that were wrong
     * @param relaysRefused requests to ping another that were refused
     * @param unanswered pings beyond the bound on acks
     */
    public record Counts(
            long malformed, long wrongSender, long refuted, long relaysRefused, long unanswered) {}

    private static final int MAX_INSTANCES = 0xffff;

    /** Acks in a period. This avoids answering everything that waited while it was stopped. */
    private static final int MAX_ACKS = 64;

    /** In its period a target is pinged twice, besides by helpers. */
    private static final int DIRECT_PINGS = 2;

    private final int self;
    private final MembershipSettings settings;
    private final RandomGenerator random;
    private final LocalHealth health;
    private final MemberTable members;
    private final Suspicions suspicions;
    private final LossEstimate lossEstimate = new LossEstimate();
    private final DoubtedMembers doubted;
    private final StateExchange exchange;
    private final ProbeOrder order;
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
     * All others count as alive until they are found not to be.
     *
     * @param instances how many there may be, from 1 to 65,535
     * @param self the number of this one
     * @param incarnation larger than that of any earlier incarnation of this instance, such as the
     *     time of its start in milliseconds; where it is not, the others say so and it takes the
     *     next one
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
                    "instance " + self + " of " + instances + ", incarnation " + incarnation);
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
        this.doubted =
                new DoubtedMembers(settings, random, members, suspicions, lossEstimate, sender);
        this.order = new ProbeOrder(instances, self, random);
        // Spread over a period: this avoids instances that start at once probing at once for ever.
        this.nextPeriodAt = now + (long) (random.nextDouble() * settings.period());
    }

    private final class TableListener implements MemberTable.Listener {
        private final Actions actions;

        TableListener(Actions actions) {
            this.actions = actions;
        }

        @Override
        public void onSuspected(long now) {
            doubted.onSuspected(now);
        }

        @Override
        public void onChanged(Member before, Member after) {
            if (!after.isLive()) {
                doubted.remove(after.number());
            }
            actions.onMemberChanged(before, after);
        }
    }

    // ---- state ----

    /** What is known of an instance. */
    public Member member(int number) {
        return members.member(number);
    }

    /** How many instances count as live, this one among them. */
    public int liveCount() {
        return members.liveCount();
    }

    /** How badly this instance does itself, from 0: it takes that much longer over everything. */
    public int healthScore() {
        return health.value();
    }

    /** What was dropped or refuted so far. */
    public Counts counts() {
        return new Counts(malformed, wrongSender, members.refuted(), relaysRefused, unanswered);
    }

    // ---- time ----

    /** When {@link #tick} is to be called next; calling it sooner or later does no harm. */
    public long nextTickAt() {
        if (left) {
            return Long.MAX_VALUE;
        }
        long next = Math.min(nextPeriodAt, relays.nextNackAt());
        if (round != null) {
            next = Math.min(next, round.indirectAt());
        }
        return Math.min(next, doubted.nextAt());
    }

    /** Does what is due. */
    public void tick(long now) {
        if (left) {
            return;
        }
        long late = now - nextTickAt();
        if (late > settings.period() / 2) {
            onStopped(late);
        }
        for (int number : suspicions.expired(now)) {
            members.declareDead(now, number);
        }
        doubted.ping(now);
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
     * This instance did not run for this long. This avoids declaring others dead whose acks and
     * refutations wait unread.
     */
    private void onStopped(long nanos) {
        health.worsen();
        round = null;
        doubted.clear();
        suspicions.extend(nanos);
    }

    private void sendNacks(long now) {
        for (RelayedPings.RelayedPing ping : relays.takeDueNacks(now)) {
            sender.send(ping.requester(), Kind.NACK, ping.requesterSequence(), ping.target());
        }
    }

    private void sendIndirectPings() {
        round.startIndirect();
        // Once more itself: this avoids suspecting an instance for two losses where many are lost.
        sender.ping(round.target(), round.sequence());
        List<Integer> candidates = new ArrayList<>();
        for (int number : order.instances()) {
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
            onSilentTarget(now, round.target());
        }
        round = null;
    }

    private void onSilentTarget(long now, int target) {
        if (!receivedAnything) {
            health.worsen();
        }
        doubted.onSilent(now, target, DIRECT_PINGS);
    }

    private void startPeriod(long now) {
        nextPeriodAt = now + settings.period() * health.multiplier();
        acks = 0;
        relays.removeExpired(now, settings.period());
        int target = order.next(members::isLive);
        if (target != ProbeOrder.NONE) {
            probe(now, target);
        }
        if (++periods % settings.deadProbePeriods() == 0 && exchange.deadCount() > 0) {
            // Heals a partition of which each side holds the other dead: the target refutes it.
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
     * Takes a message. Its first byte is 1, which tells membership's messages from those of others
     * that share a socket. One that can't be read, or that names another as its sender, is counted
     * and dropped.
     *
     * @param from the instance whose address it came from
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
        if (doubted.remove(message.from())) {
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
            case NACK -> {} // it has come, which is all that it says
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

    // ---- the end ----

    /**
     * Tells some others that this incarnation ends; after that it sends and hears nothing. The next
     * incarnation needs a larger number.
     */
    public void leave() {
        if (left) {
            return;
        }
        members.announceLeave();
        int notified = 0;
        int max = Math.max(1, settings.helpers());
        for (int number : order.instances()) {
            if (notified < max && members.isAlive(number)) {
                sender.ping(number);
                notified++;
            }
        }
        left = true;
    }

    @Override
    public String toString() {
        return "instance " + self + " sees " + members;
    }
}
