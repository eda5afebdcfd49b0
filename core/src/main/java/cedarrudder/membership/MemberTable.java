package cedarrudder.membership;

import cedarrudder.membership.Member.State;
import cedarrudder.membership.SwimMessage.MemberUpdate;
import java.util.Arrays;

/**
 * The known state of each instance, and the rules by which updates change it (SWIM, 4.2). Every
 * change is queued as gossip.
 */
final class MemberTable {

    /** Receives changes of members. */
    interface Listener {
        /** Called when an instance becomes suspected. */
        void onSuspected(long now);

        /** Called when the state or the incarnation of an instance has changed. */
        void onChanged(Member before, Member after);
    }

    private final int self;
    private final MembershipSettings settings;
    private final LocalHealth health;
    private final Suspicions suspicions;
    private final StateExchange exchange;
    private final GossipQueue gossip;
    private final Listener listener;
    private final Member[] members;
    private long refuted;

    /** Creates a table in which all instances count as alive, this one in the given incarnation. */
    MemberTable(
            int instances,
            int self,
            long incarnation,
            MembershipSettings settings,
            LocalHealth health,
            Suspicions suspicions,
            StateExchange exchange,
            GossipQueue gossip,
            Listener listener) {
        this.self = self;
        this.settings = settings;
        this.health = health;
        this.suspicions = suspicions;
        this.exchange = exchange;
        this.gossip = gossip;
        this.listener = listener;
        this.members = new Member[instances];
        for (int i = 0; i < instances; i++) {
            members[i] = new Member(i, i == self ? incarnation : 0, State.ALIVE);
        }
    }

    Member member(int number) {
        return members[number];
    }

    /** Returns all members by number; the caller must not change the array. */
    Member[] members() {
        return members;
    }

    boolean isLive(int number) {
        return members[number].isLive();
    }

    boolean isAlive(int number) {
        return members[number].state() == State.ALIVE;
    }

    /** Returns the number of instances that count as live, including this one. */
    int liveCount() {
        return members.length - exchange.deadCount();
    }

    /** Returns how often this instance has refuted a claim about itself. */
    long refuted() {
        return refuted;
    }

    /** Marks another instance as suspected by this one. */
    void suspect(long now, int number) {
        onUpdate(now, members[number].withState(State.SUSPECT), self);
    }

    /** Marks another instance as declared dead by this one. */
    void declareDead(long now, int number) {
        onUpdate(now, members[number].withState(State.DEAD), self);
    }

    /** Records a message that the instance itself sent in that incarnation. */
    void onMessageReceived(long now, int number, long incarnation) {
        onUpdate(now, new Member(number, incarnation, State.ALIVE), number, true);
    }

    /** Applies an update that an accuser sent about an instance. */
    void onUpdate(long now, Member update, int accuser) {
        onUpdate(now, update, accuser, false);
    }

    private void onUpdate(long now, Member update, int accuser, boolean isOwnMessage) {
        int number = update.number();
        if (number == self) {
            refuteIfWrong(update);
            return;
        }
        Member known = members[number];
        if (update.state() == State.SUSPECT && update.equals(known)) {
            if (suspicions.confirm(number, accuser, now)) {
                queue(update, accuser);
            }
            return;
        }
        if (!update.overrides(known)) {
            return;
        }
        if (isUnconfirmedDeath(update, known, accuser)) {
            onDeathClaimed(now, known, accuser);
            return;
        }
        if (update.state() == State.SUSPECT) {
            startSuspicion(now, update, accuser);
        } else {
            suspicions.remove(number);
            set(update);
        }
        // A start of an instance that nobody suspected is not gossiped: the instance's own messages
        // announce it to those concerned.
        if (!isOwnMessage || known.state() != State.ALIVE) {
            queue(update, accuser);
        }
    }

    /**
     * Returns whether another instance declares an incarnation dead from which this instance has
     * received a message.
     */
    private boolean isUnconfirmedDeath(Member update, Member known, int accuser) {
        return update.state() == State.DEAD
                && accuser != self
                && accuser != known.number()
                && update.incarnation() == known.incarnation()
                && known.incarnation() > 0;
    }

    /**
     * Starts the shortest suspicion instead of declaring the instance dead at once. When a
     * partition heals, each side believes that all of the other side are dead, and an instance that
     * receives no messages believes so of all; neither belief may be adopted without a chance to
     * refute it.
     */
    private void onDeathClaimed(long now, Member known, int accuser) {
        if (known.state() == State.ALIVE) {
            startSuspicion(now, known.withState(State.SUSPECT), accuser);
        }
        suspicions.shorten(known.number(), now);
        exchange.onClaimedDead(known.number());
    }

    private void startSuspicion(long now, Member update, int accuser) {
        double min =
                settings.suspicionMultiplier()
                        * Math.max(1, Math.log10(liveCount()))
                        * settings.period()
                        * health.multiplier();
        double max = min * settings.maxSuspicionMultiplier();
        listener.onSuspected(now);
        suspicions.put(
                update.number(), new Suspicion(now, accuser, min, max, settings.confirmations()));
        set(update);
    }

    private void set(Member update) {
        Member before = members[update.number()];
        members[update.number()] = update;
        exchange.setDead(update.number(), !update.isLive());
        listener.onChanged(before, update);
    }

    /** Refutes a wrong claim about this instance by a greater incarnation. */
    private void refuteIfWrong(Member update) {
        Member own = members[self];
        boolean wrong =
                update.incarnation() > own.incarnation()
                        || update.incarnation() == own.incarnation()
                                && update.state() != State.ALIVE;
        if (!wrong || update.incarnation() >= Member.MAX_INCARNATION) {
            return;
        }
        members[self] = new Member(self, update.incarnation() + 1, State.ALIVE);
        refuted++;
        if (update.state() != State.ALIVE) {
            health.worsen();
        }
        queue(members[self], self);
    }

    /** Queues the announcement that this instance leaves, which declares it dead. */
    void announceLeave() {
        queue(members[self].withState(State.DEAD), self);
    }

    private void queue(Member update, int accuser) {
        gossip.add(new MemberUpdate(update, accuser));
    }

    @Override
    public String toString() {
        return Arrays.toString(members);
    }
}
