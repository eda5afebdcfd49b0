package cedarrudder.membership;

import cedarrudder.membership.Member.Standing;
import cedarrudder.membership.SwimMessage.Kind;
import cedarrudder.membership.SwimMessage.MemberUpdate;
import cedarrudder.membership.SwimMessage.Window;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * Which of a fixed set of instances live, as one of them sees it: SWIM (Das, Gupta, Motivala 2002)
 * with suspicion, incarnations and indirect questions, and Lifeguard (Dadgar, Phillips, Currey
 * 2017) against those that are slow themselves. {@link IndirectProbes} come before a suspicion, and
 * {@link StateExchange} brings what news did not.
 *
 * <p>It has no clock, no socket and no thread. It is told of messages and of the time, which never
 * goes back, and is asked by {@link #nextTickAt} when it wants to be told next. Not thread-safe:
 * from one thread at a time.
 *
 * <p>What goes out is bounded whatever the number of instances: a question a period, two more to
 * those in doubt, another to one of the dead now and then, {@code helpers} and one more where one
 * isn't answered, and one answer to each that asks, of which there is a bound too.
 */
public final class SwimMember {

    /** What it causes. */
    public interface Actions {
        /** Sends a message of at most 224 bytes; it may be lost. */
        void send(int to, byte[] message);

        /** What is known of another instance has changed. */
        void changed(Member before, Member now);
    }

    /** What came that was none, told nothing good, or was too much; for figures. */
    public record Counts(
            long malformed, long notItsSender, long refuted, long relaysRefused, long unanswered) {}

    /**
     * Questions answered in a period. This avoids answering all that waited while this one stood
     * still.
     */
    private static final int MAX_ANSWERS = 64;

    /**
     * Questions asked on behalf of others at one time. This avoids work without end for a flood.
     */
    private static final int MAX_RELAYS = 64;

    /** The one that asked for others hears that one is at it after this share of its patience. */
    private static final double NACK_SHARE = 0.8;

    /** Those that did not answer, and the suspected, are asked so often a period, all together. */
    private static final int DEAD_PINGS = 2;

    /**
     * All live instances together ask each of the suspected about so often a period. This avoids
     * all of a large tier asking one at once.
     */
    private static final int PINGS_OF_A_SUSPECT = 8;

    /** Suspicions for losses alone that all live instances may come to in a period, about. */
    private static final double FALSE_SUSPICIONS = 0.1;

    /** In its period a question goes out twice, besides by helpers. */
    private static final int DIRECT_PINGS = 2;

    /** More are never asked for. This avoids losses so high that nobody would be suspected. */
    private static final int MAX_SILENCES = 16;

    /** A question that is out. */
    private static final class ProbeRound {
        final int target;
        final int sequence;
        final long helpAt;
        final Set<Integer> helpers = new HashSet<>();
        boolean sentAt;
        boolean answered;

        ProbeRound(int target, int number, long helpAt) {
            this.target = target;
            this.sequence = number;
            this.helpAt = helpAt;
        }
    }

    /** A question asked on behalf of another. */
    private record RelayedPing(
            int requester, int sequence, int target, long nackAt, boolean nacked) {}

    private final int self;
    private final MembershipSettings settings;
    private final RandomGenerator random;
    private final Actions actions;
    private final Member[] members;
    private final Suspicions suspicions;
    private final IndirectProbes indirectProbes = new IndirectProbes();
    private final LossEstimate lossEstimate = new LossEstimate();
    private final StateExchange exchange;
    private final GossipQueue gossip;
    private final int[] order;
    private final Map<Integer, RelayedPing> relays = new HashMap<>();
    private int nextInOrder;
    private ProbeRound round;
    private int nextSequence;
    private int periods;
    private int health;
    private long nextPeriod;
    private long nextDeadPing;
    private boolean pingSuspectNext;
    private boolean heardAnyone;
    private boolean left;
    private long malformed;
    private long notItsSender;
    private long refuted;
    private long relaysRefused;
    private long unanswered;
    private int openRounds;

    /**
     * All others count as live until they are found not to be.
     *
     * @param instances how many there may be, from 1 to 65,535
     * @param self the number of this one
     * @param incarnation larger than that of any earlier life of this one, such as the time of its
     *     start in milliseconds; where it is not, the others say so and it takes the next one
     * @throws IllegalArgumentException if a figure is outside its range
     */
    public SwimMember(
            int instances,
            int self,
            long incarnation,
            MembershipSettings settings,
            RandomGenerator random,
            Actions outlet,
            long now) {
        if (instances < 1
                || instances > 0xffff
                || self < 0
                || self >= instances
                || incarnation < 0
                || incarnation > Member.MAX_INCARNATION) {
            throw new IllegalArgumentException(
                    "instance " + self + " of " + instances + ", life " + incarnation);
        }
        this.self = self;
        this.settings = settings;
        this.random = random;
        this.actions = outlet;
        this.members = new Member[instances];
        for (int i = 0; i < instances; i++) {
            members[i] = new Member(i, i == self ? incarnation : 0, Standing.ALIVE);
        }
        this.suspicions = new Suspicions(random.nextInt(instances));
        this.exchange = new StateExchange(instances);
        this.gossip = new GossipQueue(instances);
        this.order = new int[instances - 1];
        for (int i = 0; i < order.length; i++) {
            order[i] = i < self ? i : i + 1;
        }
        shuffle();
        // Spread over a period. This avoids all that start at once asking at once for ever.
        nextPeriod = now + (long) (random.nextDouble() * settings.period());
    }

    // ---- what is known ----

    /** What is held of an instance. */
    public Member member(int number) {
        return members[number];
    }

    /** How many count as live, this one with them. */
    public int liveCount() {
        return members.length - exchange.dead();
    }

    /** How badly this one does, from 0: it takes that much longer over everything. */
    public int health() {
        return health;
    }

    public Counts counts() {
        return new Counts(malformed, notItsSender, refuted, relaysRefused, unanswered);
    }

    // ---- time ----

    /** When {@link #tick} is to be called next; it does no harm to call it sooner or later. */
    public long nextTickAt() {
        if (left) {
            return Long.MAX_VALUE;
        }
        long due = nextPeriod;
        if (round != null && !round.answered && !round.sentAt) {
            due = Math.min(due, round.helpAt);
        }
        if (!suspicions.isEmpty() || !indirectProbes.isEmpty()) {
            due = Math.min(due, Math.min(suspicions.due(), nextDeadPing));
        }
        for (RelayedPing relay : relays.values()) {
            due = relay.nacked() ? due : Math.min(due, relay.nackAt());
        }
        return due;
    }

    /** Does what is due. */
    public void tick(long now) {
        if (left) {
            return;
        }
        long late = now - nextTickAt();
        if (late > settings.period() / 2) {
            wasStopped(late);
        }
        declareDead(now);
        pingDead(now);
        sendNacks(now);
        if (round != null && !round.answered && !round.sentAt && now >= round.helpAt) {
            requestIndirectPings();
        }
        if (now >= nextPeriod) {
            endPeriod(now);
            startPeriod(now);
        }
    }

    /**
     * This instance did not run for this long. This avoids burying others for answers that wait
     * unread, and for contradictions that it could not hear.
     */
    private void wasStopped(long late) {
        health = Math.min(settings.worstHealth(), health + 1);
        round = null;
        indirectProbes.clear();
        suspicions.extend(late);
    }

    private void declareDead(long now) {
        for (int number : suspicions.expired(now)) {
            onUpdate(now, members[number].withStanding(Standing.DEAD), self);
        }
    }

    /**
     * Asks one of those that did not answer or that are suspected, by turns: the first is heard or
     * suspected, the second hears what is said of it and contradicts. This avoids burying the
     * living where messages are lost. Twice a period, however many there are.
     */
    private void pingDead(long now) {
        if (now < nextDeadPing || suspicions.isEmpty() && indirectProbes.isEmpty()) {
            return;
        }
        nextDeadPing = now + settings.period() / DEAD_PINGS;
        while (!indirectProbes.isEmpty() && indirectProbes.onSilence() >= silences()) {
            int number = indirectProbes.first();
            indirectProbes.remove(number);
            onUpdate(now, members[number].withStanding(Standing.SUSPECT), self);
        }
        pingSuspectNext = !suspicions.isEmpty() && (indirectProbes.isEmpty() || !pingSuspectNext);
        if (pingSuspectNext) {
            if (random.nextDouble() * DEAD_PINGS * liveCount()
                    >= PINGS_OF_A_SUSPECT * suspicions.size()) {
                return;
            }
            int number = suspicions.next();
            send(number, Kind.PING, ++nextSequence, number);
        } else if (!indirectProbes.isEmpty()) {
            int number = indirectProbes.first();
            indirectProbes.onAsked();
            send(number, Kind.PING, ++nextSequence, number);
        }
    }

    /**
     * So often must one stay silent that in all the tier hardly anybody is suspected for losses
     * alone.
     */
    private int silences() {
        return Math.min(MAX_SILENCES, lossEstimate.maxSilences(FALSE_SUSPICIONS / liveCount()));
    }

    private void sendNacks(long now) {
        for (Map.Entry<Integer, RelayedPing> entry : relays.entrySet()) {
            RelayedPing relay = entry.getValue();
            if (!relay.nacked() && now >= relay.nackAt()) {
                entry.setValue(
                        new RelayedPing(
                                relay.requester(),
                                relay.sequence(),
                                relay.target(),
                                relay.nackAt(),
                                true));
                send(relay.requester(), Kind.NACK, relay.sequence(), relay.target());
            }
        }
    }

    private void requestIndirectPings() {
        round.sentAt = true;
        // Once more itself. This avoids suspecting whoever met two losses, where many are lost.
        send(round.target, Kind.PING, round.sequence, round.target);
        List<Integer> others = new ArrayList<>();
        for (int number : order) {
            if (number != round.target && members[number].standing() == Standing.ALIVE) {
                others.add(number);
            }
        }
        for (int i = 0; i < settings.helpers() && !others.isEmpty(); i++) {
            int helper = others.remove(random.nextInt(others.size()));
            round.helpers.add(helper);
            send(helper, Kind.PING_FOR, round.sequence, round.target);
        }
    }

    private void endPeriod(long now) {
        if (round == null) {
            return;
        }
        if (round.answered) {
            health = Math.max(0, health - 1);
        } else if (members[round.target].isLive()) {
            if (!heardAnyone) {
                health = Math.min(settings.worstHealth(), health + 1);
            }
            if (silences() <= DIRECT_PINGS) {
                onUpdate(now, members[round.target].withStanding(Standing.SUSPECT), self);
            } else {
                nextDeadPing = Math.max(nextDeadPing, now);
                indirectProbes.add(round.target, DIRECT_PINGS);
            }
        }
        round = null;
    }

    private void startPeriod(long now) {
        nextPeriod = now + settings.period() * (health + 1);
        openRounds = 0;
        // Those asked in the last period but one are not answered any more.
        relays.values()
                .removeIf(relay -> relay.nacked() && now >= relay.nackAt() + settings.period());
        int target = nextTarget();
        if (target >= 0) {
            heardAnyone = false;
            round =
                    new ProbeRound(
                            target, ++nextSequence, now + settings.ackPatience() * (health + 1));
            send(target, Kind.PING, round.sequence, target);
        }
        if (++periods % settings.revivePeriods() == 0 && exchange.dead() > 0) {
            // This avoids two halves that were cut from one another staying apart: it
            // contradicts.
            int number = exchange.any(random);
            send(number, Kind.PING, ++nextSequence, number);
        }
    }

    /**
     * The next to be asked: each once in a random order, then in another; -1 where none is live.
     */
    private int nextTarget() {
        for (int tried = 0; tried < order.length; tried++) {
            if (nextInOrder == order.length) {
                nextInOrder = 0;
                shuffle();
            }
            int number = order[nextInOrder++];
            if (members[number].isLive()) {
                return number;
            }
        }
        return -1;
    }

    private void shuffle() {
        for (int i = order.length - 1; i > 0; i--) {
            int other = random.nextInt(i + 1);
            int held = order[i];
            order[i] = order[other];
            order[other] = held;
        }
    }

    // ---- messages ----

    /**
     * Takes a message. Its first byte is 1, which tells membership's messages from those of others
     * that share a socket. One that can't be read, or that names another as its sender, is counted
     * and dropped.
     *
     * @param from the instance whose address it came from
     */
    public void onDatagram(long now, int from, byte[] message) {
        SwimMessage packet = left ? null : SwimMessage.decode(message, members.length);
        if (packet == null) {
            malformed += left ? 0 : 1;
            return;
        }
        if (packet.from() != from || from == self) {
            notItsSender++;
            return;
        }
        heardAnyone = true;
        if (indirectProbes.remove(from)) {
            lossEstimate.onAnswer(false);
        }
        onUpdate(now, new Member(from, packet.incarnation(), Standing.ALIVE), from, true);
        for (MemberUpdate piece : packet.updates()) {
            onUpdate(now, piece.member(), piece.accuser());
        }
        exchange.onWindow(packet.digest());
        switch (packet.kind()) {
            case PING -> answer(packet);
            case PING_FOR -> relay(now, packet);
            case ACK -> answered(packet);
            case NACK -> {} // that it came says that this instance hears
        }
    }

    private void answer(SwimMessage packet) {
        if (openRounds >= MAX_ANSWERS) {
            unanswered++;
            return;
        }
        openRounds++;
        send(packet.from(), Kind.ACK, packet.sequence(), self, packet.window());
    }

    private void relay(long now, SwimMessage packet) {
        if (packet.subject() == self
                || packet.subject() == packet.from()
                || relays.size() >= MAX_RELAYS) {
            relaysRefused++;
            return;
        }
        int own = ++nextSequence;
        relays.put(
                own,
                new RelayedPing(
                        packet.from(),
                        packet.sequence(),
                        packet.subject(),
                        now + (long) (settings.ackPatience() * NACK_SHARE),
                        false));
        send(packet.subject(), Kind.PING, own, packet.subject());
    }

    private void answered(SwimMessage packet) {
        if (round != null
                && round.sequence == packet.sequence()
                && packet.subject() == round.target
                && (packet.from() == round.target || round.helpers.contains(packet.from()))) {
            if (!round.answered) {
                round.answered = true;
                lossEstimate.onAnswer(!round.sentAt);
            }
            return;
        }
        RelayedPing relay = relays.get(packet.sequence());
        if (relay != null && relay.target() == packet.from()) {
            relays.remove(packet.sequence());
            send(relay.requester(), Kind.ACK, relay.sequence(), relay.target());
        }
    }

    private void send(int to, Kind kind, int number, int subject) {
        send(to, kind, number, subject, null);
    }

    /**
     * @param asked what the one that is answered showed; null where it showed nothing
     */
    private void send(int to, Kind kind, int number, int subject, Window asked) {
        Window shown = kind == Kind.PING ? exchange.show() : null;
        long incarnation = members[self].incarnation();
        GossipMessage letter = new GossipMessage(incarnation, SwimMessage.room(shown));
        if (members[to].standing() != Standing.ALIVE) {
            // Lifeguard's buddy rule: who is suspected hears of it first, and can contradict.
            letter.add(new MemberUpdate(members[to], self));
        }
        if (asked != null) {
            exchange.answer(self, asked, members, random.nextInt(members.length), letter);
        }
        double times = settings.spread() * Math.ceil(Math.log(liveCount() + 1.0) / Math.log(2));
        gossip.fill(letter, (int) Math.max(1, times));
        actions.send(
                to,
                new SwimMessage(
                                kind,
                                number,
                                self,
                                incarnation,
                                subject,
                                exchange.digest(),
                                shown,
                                letter.updates())
                        .encode());
    }

    // ---- news ----

    private void onUpdate(long now, Member news, int accuser) {
        onUpdate(now, news, accuser, false);
    }

    /**
     * @param byItself whether the instance itself has just been heard
     */
    private void onUpdate(long now, Member news, int accuser, boolean byItself) {
        int number = news.number();
        if (number == self) {
            refute(news);
            return;
        }
        Member known = members[number];
        if (news.standing() == Standing.SUSPECT && news.equals(known)) {
            if (suspicions.confirmed(number, accuser, now)) {
                sendPing(news, accuser);
            }
            return;
        }
        if (!news.overrides(known)) {
            return;
        }
        if (news.standing() == Standing.DEAD
                && accuser != self
                && accuser != number
                && news.incarnation() == known.incarnation()
                && known.incarnation() > 0) {
            claimed(now, known, accuser);
            return;
        }
        if (news.standing() == Standing.SUSPECT) {
            suspect(now, news, accuser);
        } else {
            suspicions.remove(number);
            setMember(news);
        }
        // This avoids a start that nobody missed filling all messages: whom it concerns hears it
        // itself.
        if (!byItself || known.standing() != Standing.ALIVE) {
            sendPing(news, accuser);
        }
    }

    private void suspect(long now, Member news, int accuser) {
        // One that does badly itself takes longer to bury others, as over everything.
        double min =
                settings.minSuspicion()
                        * Math.max(1, Math.log10(liveCount()))
                        * settings.period()
                        * (health + 1);
        nextDeadPing = Math.max(nextDeadPing, now);
        suspicions.put(
                news.number(),
                new Suspicion(
                        now,
                        accuser,
                        min,
                        min * settings.maxSuspicion(),
                        settings.confirmations()));
        setMember(news);
    }

    private void setMember(Member news) {
        Member known = members[news.number()];
        members[news.number()] = news;
        exchange.set(news.number(), !news.isLive());
        if (!news.isLive()) {
            indirectProbes.remove(news.number());
        }
        actions.changed(known, news);
    }

    /**
     * Another one holds a life as dead that is known here: it is suspected for the shortest time,
     * and not buried at once. This avoids one that hears nobody, and against the halves of a cut
     * when it heals, which would hold as dead whom they hear all the time, until these contradict.
     */
    private void claimed(long now, Member known, int accuser) {
        if (known.standing() == Standing.ALIVE) {
            suspect(now, known.withStanding(Standing.SUSPECT), accuser);
        }
        suspicions.shorten(known.number(), now);
        exchange.claimed(known.number());
    }

    /** News of this very instance: what is wrong is contradicted by a greater incarnation. */
    private void refute(Member news) {
        Member own = members[self];
        boolean wrong =
                news.incarnation() > own.incarnation()
                        || news.incarnation() == own.incarnation()
                                && news.standing() != Standing.ALIVE;
        if (wrong && news.incarnation() < Member.MAX_INCARNATION) {
            members[self] = new Member(self, news.incarnation() + 1, Standing.ALIVE);
            refuted++;
            if (news.standing() != Standing.ALIVE) {
                health = Math.min(settings.worstHealth(), health + 1);
            }
            sendPing(members[self], self);
        }
    }

    private void sendPing(Member news, int accuser) {
        gossip.add(new MemberUpdate(news, accuser));
    }

    // ---- the end ----

    /**
     * Says that this life ends, to as many as help it ask; after that it sends nothing and hears
     * nothing. The next life needs a larger number.
     */
    public void leave() {
        if (left) {
            return;
        }
        sendPing(members[self].withStanding(Standing.DEAD), self);
        int told = 0;
        int max = Math.max(1, settings.helpers());
        for (int i = 0; i < order.length && told < max; i++) {
            if (members[order[i]].standing() == Standing.ALIVE) {
                send(order[i], Kind.PING, ++nextSequence, order[i]);
                told++;
            }
        }
        left = true;
    }

    @Override
    public String toString() {
        return "instance " + self + " sees " + Arrays.toString(members);
    }
}
