package cedarrudder.membership;

import cedarrudder.membership.Member.Standing;
import cedarrudder.membership.SwimMessage.Kind;
import cedarrudder.membership.SwimMessage.News;
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
 * goes back, and is asked by {@link #due} when it wants to be told next. Not thread-safe: from one
 * thread at a time.
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
    private static final int APPEALS = 2;

    /**
     * All live instances together ask each of the suspected about so often a period. This avoids
     * all of a large tier asking one at once.
     */
    private static final int ASKS_OF_A_SUSPECT = 8;

    /** Suspicions for losses alone that all live instances may come to in a period, about. */
    private static final double FALSE_SUSPICIONS = 0.1;

    /** In its period a question goes out twice, besides by helpers. */
    private static final int OWN_ASKS = 2;

    /** More are never asked for. This avoids losses so high that nobody would be suspected. */
    private static final int MAX_SILENCES = 16;

    /** A question that is out. */
    private static final class Question {
        final int target;
        final int number;
        final long helpAt;
        final Set<Integer> helpers = new HashSet<>();
        boolean asked;
        boolean answered;

        Question(int target, int number, long helpAt) {
            this.target = target;
            this.number = number;
            this.helpAt = helpAt;
        }
    }

    /** A question asked on behalf of another. */
    private record Relay(int asker, int question, int target, long nackAt, boolean nacked) {}

    private final int self;
    private final MembershipSettings settings;
    private final RandomGenerator random;
    private final Actions outlet;
    private final Member[] members;
    private final Suspicions suspicions;
    private final IndirectProbes doubts = new IndirectProbes();
    private final LossEstimate loss = new LossEstimate();
    private final StateExchange exchange;
    private final GossipQueue gossip;
    private final int[] order;
    private final Map<Integer, Relay> relays = new HashMap<>();
    private int nextInOrder;
    private Question question;
    private int questions;
    private int periods;
    private int health;
    private long nextPeriod;
    private long nextAppeal;
    private boolean suspectsTurn;
    private boolean heardAny;
    private boolean left;
    private long malformed;
    private long notItsSender;
    private long refuted;
    private long relaysRefused;
    private long unanswered;
    private int answers;

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
        this.outlet = outlet;
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
    public int live() {
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
    public long due() {
        if (left) {
            return Long.MAX_VALUE;
        }
        long due = nextPeriod;
        if (question != null && !question.answered && !question.asked) {
            due = Math.min(due, question.helpAt);
        }
        if (!suspicions.isEmpty() || !doubts.isEmpty()) {
            due = Math.min(due, Math.min(suspicions.due(), nextAppeal));
        }
        for (Relay relay : relays.values()) {
            due = relay.nacked() ? due : Math.min(due, relay.nackAt());
        }
        return due;
    }

    /** Does what is due. */
    public void tick(long now) {
        if (left) {
            return;
        }
        long late = now - due();
        if (late > settings.period() / 2) {
            stoodStill(late);
        }
        bury(now);
        appeal(now);
        sendNacks(now);
        if (question != null && !question.answered && !question.asked && now >= question.helpAt) {
            askHelpers();
        }
        if (now >= nextPeriod) {
            endPeriod(now);
            beginPeriod(now);
        }
    }

    /**
     * This instance did not run for this long. This avoids burying others for answers that wait
     * unread, and for contradictions that it could not hear.
     */
    private void stoodStill(long late) {
        health = Math.min(settings.worstHealth(), health + 1);
        question = null;
        doubts.clear();
        suspicions.extend(late);
    }

    private void bury(long now) {
        for (int number : suspicions.over(now)) {
            learn(now, members[number].as(Standing.DEAD), self);
        }
    }

    /**
     * Asks one of those that did not answer or that are suspected, by turns: the first is heard or
     * suspected, the second hears what is said of it and contradicts. This avoids burying the
     * living where messages are lost. Twice a period, however many there are.
     */
    private void appeal(long now) {
        if (now < nextAppeal || suspicions.isEmpty() && doubts.isEmpty()) {
            return;
        }
        nextAppeal = now + settings.period() / APPEALS;
        while (!doubts.isEmpty() && doubts.silent() >= silences()) {
            int number = doubts.first();
            doubts.remove(number);
            learn(now, members[number].as(Standing.SUSPECT), self);
        }
        suspectsTurn = !suspicions.isEmpty() && (doubts.isEmpty() || !suspectsTurn);
        if (suspectsTurn) {
            if (random.nextDouble() * APPEALS * live() >= ASKS_OF_A_SUSPECT * suspicions.size()) {
                return;
            }
            int number = suspicions.next();
            send(number, Kind.PING, ++questions, number);
        } else if (!doubts.isEmpty()) {
            int number = doubts.first();
            doubts.asked();
            send(number, Kind.PING, ++questions, number);
        }
    }

    /**
     * So often must one stay silent that in all the tier hardly anybody is suspected for losses
     * alone.
     */
    private int silences() {
        return Math.min(MAX_SILENCES, loss.silences(FALSE_SUSPICIONS / live()));
    }

    private void sendNacks(long now) {
        for (Map.Entry<Integer, Relay> entry : relays.entrySet()) {
            Relay relay = entry.getValue();
            if (!relay.nacked() && now >= relay.nackAt()) {
                entry.setValue(
                        new Relay(
                                relay.asker(),
                                relay.question(),
                                relay.target(),
                                relay.nackAt(),
                                true));
                send(relay.asker(), Kind.NACK, relay.question(), relay.target());
            }
        }
    }

    private void askHelpers() {
        question.asked = true;
        // Once more itself. This avoids suspecting whoever met two losses, where many are lost.
        send(question.target, Kind.PING, question.number, question.target);
        List<Integer> others = new ArrayList<>();
        for (int number : order) {
            if (number != question.target && members[number].standing() == Standing.ALIVE) {
                others.add(number);
            }
        }
        for (int i = 0; i < settings.helpers() && !others.isEmpty(); i++) {
            int helper = others.remove(random.nextInt(others.size()));
            question.helpers.add(helper);
            send(helper, Kind.PING_FOR, question.number, question.target);
        }
    }

    private void endPeriod(long now) {
        if (question == null) {
            return;
        }
        if (question.answered) {
            health = Math.max(0, health - 1);
        } else if (members[question.target].live()) {
            if (!heardAny) {
                health = Math.min(settings.worstHealth(), health + 1);
            }
            if (silences() <= OWN_ASKS) {
                learn(now, members[question.target].as(Standing.SUSPECT), self);
            } else {
                nextAppeal = Math.max(nextAppeal, now);
                doubts.add(question.target, OWN_ASKS);
            }
        }
        question = null;
    }

    private void beginPeriod(long now) {
        nextPeriod = now + settings.period() * (health + 1);
        answers = 0;
        // Those asked in the last period but one are not answered any more.
        relays.values()
                .removeIf(relay -> relay.nacked() && now >= relay.nackAt() + settings.period());
        int target = next();
        if (target >= 0) {
            heardAny = false;
            question =
                    new Question(target, ++questions, now + settings.ackPatience() * (health + 1));
            send(target, Kind.PING, question.number, target);
        }
        if (++periods % settings.revivePeriods() == 0 && exchange.dead() > 0) {
            // This avoids two halves that were cut from one another staying apart: it
            // contradicts.
            int number = exchange.any(random);
            send(number, Kind.PING, ++questions, number);
        }
    }

    /**
     * The next to be asked: each once in a random order, then in another; -1 where none is live.
     */
    private int next() {
        for (int tried = 0; tried < order.length; tried++) {
            if (nextInOrder == order.length) {
                nextInOrder = 0;
                shuffle();
            }
            int number = order[nextInOrder++];
            if (members[number].live()) {
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
    public void received(long now, int from, byte[] message) {
        SwimMessage packet = left ? null : SwimMessage.decode(message, members.length);
        if (packet == null) {
            malformed += left ? 0 : 1;
            return;
        }
        if (packet.from() != from || from == self) {
            notItsSender++;
            return;
        }
        heardAny = true;
        if (doubts.remove(from)) {
            loss.answered(false);
        }
        learn(now, new Member(from, packet.incarnation(), Standing.ALIVE), from, true);
        for (News piece : packet.news()) {
            learn(now, piece.member(), piece.accuser());
        }
        exchange.heard(packet.digest());
        switch (packet.kind()) {
            case PING -> answer(packet);
            case PING_FOR -> relay(now, packet);
            case ACK -> answered(packet);
            case NACK -> {} // that it came says that this instance hears
        }
    }

    private void answer(SwimMessage packet) {
        if (answers >= MAX_ANSWERS) {
            unanswered++;
            return;
        }
        answers++;
        send(packet.from(), Kind.ACK, packet.question(), self, packet.window());
    }

    private void relay(long now, SwimMessage packet) {
        if (packet.subject() == self
                || packet.subject() == packet.from()
                || relays.size() >= MAX_RELAYS) {
            relaysRefused++;
            return;
        }
        int own = ++questions;
        relays.put(
                own,
                new Relay(
                        packet.from(),
                        packet.question(),
                        packet.subject(),
                        now + (long) (settings.ackPatience() * NACK_SHARE),
                        false));
        send(packet.subject(), Kind.PING, own, packet.subject());
    }

    private void answered(SwimMessage packet) {
        if (question != null
                && question.number == packet.question()
                && packet.subject() == question.target
                && (packet.from() == question.target || question.helpers.contains(packet.from()))) {
            if (!question.answered) {
                question.answered = true;
                loss.answered(!question.asked);
            }
            return;
        }
        Relay relay = relays.get(packet.question());
        if (relay != null && relay.target() == packet.from()) {
            relays.remove(packet.question());
            send(relay.asker(), Kind.ACK, relay.question(), relay.target());
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
            letter.add(new News(members[to], self));
        }
        if (asked != null) {
            exchange.answer(self, asked, members, random.nextInt(members.length), letter);
        }
        double times = settings.spread() * Math.ceil(Math.log(live() + 1.0) / Math.log(2));
        gossip.fill(letter, (int) Math.max(1, times));
        outlet.send(
                to,
                new SwimMessage(
                                kind,
                                number,
                                self,
                                incarnation,
                                subject,
                                exchange.digest(),
                                shown,
                                letter.news())
                        .encode());
    }

    // ---- news ----

    private void learn(long now, Member news, int accuser) {
        learn(now, news, accuser, false);
    }

    /**
     * @param byItself whether the instance itself has just been heard
     */
    private void learn(long now, Member news, int accuser, boolean byItself) {
        int number = news.number();
        if (number == self) {
            contradict(news);
            return;
        }
        Member known = members[number];
        if (news.standing() == Standing.SUSPECT && news.equals(known)) {
            if (suspicions.confirmed(number, accuser, now)) {
                tell(news, accuser);
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
            hold(news);
        }
        // This avoids a start that nobody missed filling all messages: whom it concerns hears it
        // itself.
        if (!byItself || known.standing() != Standing.ALIVE) {
            tell(news, accuser);
        }
    }

    private void suspect(long now, Member news, int accuser) {
        // One that does badly itself takes longer to bury others, as over everything.
        double min =
                settings.minSuspicion()
                        * Math.max(1, Math.log10(live()))
                        * settings.period()
                        * (health + 1);
        nextAppeal = Math.max(nextAppeal, now);
        suspicions.put(
                news.number(),
                new Suspicion(
                        now,
                        accuser,
                        min,
                        min * settings.maxSuspicion(),
                        settings.confirmations()));
        hold(news);
    }

    private void hold(Member news) {
        Member known = members[news.number()];
        members[news.number()] = news;
        exchange.set(news.number(), !news.live());
        if (!news.live()) {
            doubts.remove(news.number());
        }
        outlet.changed(known, news);
    }

    /**
     * Another one holds a life as dead that is known here: it is suspected for the shortest time,
     * and not buried at once. This avoids one that hears nobody, and against the halves of a cut
     * when it heals, which would hold as dead whom they hear all the time, until these contradict.
     */
    private void claimed(long now, Member known, int accuser) {
        if (known.standing() == Standing.ALIVE) {
            suspect(now, known.as(Standing.SUSPECT), accuser);
        }
        suspicions.shorten(known.number(), now);
        exchange.claimed(known.number());
    }

    /** News of this very instance: what is wrong is contradicted by a greater incarnation. */
    private void contradict(Member news) {
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
            tell(members[self], self);
        }
    }

    private void tell(Member news, int accuser) {
        gossip.add(new News(news, accuser));
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
        tell(members[self].as(Standing.DEAD), self);
        int told = 0;
        int max = Math.max(1, settings.helpers());
        for (int i = 0; i < order.length && told < max; i++) {
            if (members[order[i]].standing() == Standing.ALIVE) {
                send(order[i], Kind.PING, ++questions, order[i]);
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
