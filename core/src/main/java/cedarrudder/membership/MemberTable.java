package cedarrudder.membership;

import cedarrudder.membership.Member.State;
import cedarrudder.membership.SwimMessage.MemberUpdate;
import java.util.Arrays;

/**
 * What is known of each instance, and the rules by which updates change it (SWIM, 4.2). Every
 * change is queued as gossip.
 */
final class MemberTable {

    /** Takes what changes. */
    interface Listener {
        /** An instance is suspected from now on. */
        void onSuspected(long now);

        /** The state or the incarnation of an instance changed. */
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

    /** All instances count as alive, this one in the given incarnation. */
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

    /** All members by their numbers; not to be changed. */
    Member[] members() {
        return members;
    }

    boolean isLive(int number) {
        return members[number].isLive();
    }

    boolean isAlive(int number) {
        return members[number].state() == State.ALIVE;
    }

    /** How many instances count as live, this one among them. */
    int liveCount() {
        return members.length - exchange.deadCount();
    }

    /** How often this instance has refuted what others said of it. */
    long refuted() {
        return refuted;
    }

    /** This instance suspects another. */
    void suspect(long now, int number) {
        onUpdate(now, members[number].withState(State.SUSPECT), self);
    }

    /** This instance declares another dead. */
    void declareDead(long now, int number) {
        onUpdate(now, members[number].withState(State.DEAD), self);
    }

    /** A message of the instance itself came, of that incarnation. */
    void onMessageReceived(long now, int number, long incarnation) {
        onUpdate(now, new Member(number, incarnation, State.ALIVE), number, true);
    }

    /** Takes what an accuser says of an instance. */
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
        if (isUnprovenDeath(update, known, accuser)) {
            onDeathClaimed(now, known, accuser);
            return;
        }
        if (update.state() == State.SUSPECT) {
            startSuspicion(now, update, accuser);
        } else {
            suspicions.remove(number);
            set(update);
        }
        // A start that nobody missed is no gossip: whom it concerns hears the instance itself.
        if (!isOwnMessage || known.state() != State.ALIVE) {
            queue(update, accuser);
        }
    }

    /** Whether another instance declares an incarnation dead that this one has a message of. */
    private boolean isUnprovenDeath(Member update, Member known, int accuser) {
        return update.state() == State.DEAD
                && accuser != self
                && accuser != known.number()
                && update.incarnation() == known.incarnation()
                && known.incarnation() > 0;
    }

    /**
     * It is suspected for the shortest time, and not declared dead at once. When a partition heals,
     * this avoids each side taking over the other's belief that all of this side are dead, and so
     * does it for an instance that hears nobody.
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

    /** What others say of this instance is refuted by a greater incarnation where it is wrong. */
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

    /** This instance leaves: it is dead by its own word. */
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
