package cedarrudder.membership;

import cedarrudder.membership.SwimMessage.MemberUpdate;
import cedarrudder.membership.SwimMessage.Window;
import java.util.Arrays;
import java.util.BitSet;
import java.util.random.RandomGenerator;

/**
 * Who is dead, compared between pairs. Each message carries a digest; who hears another than its
 * own shows with its next question whom it holds as dead, one bit for each instance, and the answer
 * says of those in whom the two differ what the other one holds. So what news did not reach comes
 * all the same, in few messages, and while all agree it costs the digest.
 */
final class StateExchange {

    private final BitSet dead = new BitSet();

    /**
     * Those of whom it need not be told that they are dead: the dead, and whom others claim to be.
     */
    private final BitSet told = new BitSet();

    private final int instances;
    private int digest;
    private boolean differs;
    private int next;

    StateExchange(int instances) {
        this.instances = instances;
    }

    /** An instance counts as dead from now on, or does not. */
    void set(int number, boolean isDead) {
        told.set(number, isDead);
        if (dead.get(number) != isDead) {
            dead.set(number, isDead);
            digest ^= digest(number);
        }
    }

    /** Another one holds it as dead, which is heard but not believed yet. */
    void claimed(int number) {
        told.set(number);
    }

    /**
     * Of one instance; sums of these by exclusive or depend on no order (the finisher of
     * MurmurHash3).
     */
    private static int digest(int number) {
        int h = number + 0x9e3779b9;
        h = (h ^ h >>> 16) * 0x85ebca6b;
        h = (h ^ h >>> 13) * 0xc2b2ae35;
        return h ^ h >>> 16;
    }

    int digest() {
        return digest;
    }

    int dead() {
        return dead.cardinality();
    }

    /** One of the dead; there must be one. */
    int any(RandomGenerator random) {
        return dead.nextSetBit(random.nextInt(dead.length()));
    }

    /** Another one's digest was heard. */
    void onWindow(int other) {
        differs = other != digest;
    }

    /**
     * What the next question shows; null where the last that was heard agrees. Large tiers by
     * turns.
     */
    Window show() {
        if (!differs) {
            return null;
        }
        int first = next < instances ? next : 0;
        next = first + Window.MAX_BITS;
        int end = Math.min(instances, next);
        byte[] bits = told.get(first, end).toByteArray();
        return new Window(first, Arrays.copyOf(bits, (end - first + 7) / 8));
    }

    /**
     * Says of those in whom the one that asks differs what is held here, the dead first.
     *
     * @param self this instance, which says so
     * @param shown what it holds
     * @param start where to begin, so that all have their turn where there is no room for all
     */
    void answer(int self, Window shown, Member[] members, int start, GossipMessage letter) {
        int count = shown.end(instances) - shown.first();
        for (int wanted = 0; wanted < 2; wanted++) {
            for (int i = 0; i < count && !letter.isFull(); i++) {
                int number = shown.first() + (start + i) % count;
                boolean held = dead.get(number);
                if (held != shown.dead(number) && held == (wanted == 0)) {
                    letter.add(new MemberUpdate(members[number], held ? self : number));
                }
            }
        }
    }
}
