package cedarrudder.membership;

import cedarrudder.membership.SwimMessage.MemberUpdate;
import cedarrudder.membership.SwimMessage.Window;
import java.util.Arrays;
import java.util.BitSet;
import java.util.random.RandomGenerator;

/**
 * Compares the sets of dead instances of pairs of instances (anti-entropy). Each message carries a
 * digest of the sender's set. An instance that hears another digest than its own shows part of its
 * set with its next ping, one bit for each instance, and the ack carries updates of those in which
 * the two sets differ. What gossip did not reach arrives nevertheless; while all agree, this costs
 * no more than the digest.
 */
final class StateExchange {

    private final BitSet dead = new BitSet();

    /** The dead, and those that others claim to be dead: nobody need tell of them. */
    private final BitSet knownDead = new BitSet();

    private final int instances;
    private int digest;
    private boolean differs;
    private int nextWindowStart;

    StateExchange(int instances) {
        this.instances = instances;
    }

    /** An instance counts as dead from now on, or no longer. */
    void setDead(int number, boolean isDead) {
        knownDead.set(number, isDead);
        if (dead.get(number) != isDead) {
            dead.set(number, isDead);
            digest ^= hash(number);
        }
    }

    /** Another instance holds this one dead, which is not believed yet. */
    void onClaimedDead(int number) {
        knownDead.set(number);
    }

    /** The finisher of MurmurHash3; sums of it by exclusive or don't depend on the order. */
    private static int hash(int number) {
        int hash = number + 0x9e3779b9;
        hash = (hash ^ hash >>> 16) * 0x85ebca6b;
        hash = (hash ^ hash >>> 13) * 0xc2b2ae35;
        return hash ^ hash >>> 16;
    }

    /** The digest of the dead. */
    int digest() {
        return digest;
    }

    /** How many instances are dead. */
    int deadCount() {
        return dead.cardinality();
    }

    /** A random dead instance; there must be one. */
    int randomDead(RandomGenerator random) {
        return dead.nextSetBit(random.nextInt(dead.length()));
    }

    /** Another instance's digest came. */
    void onDigest(int other) {
        differs = other != digest;
    }

    /**
     * The window that the next ping shows; null where the last digest that came is the same. A set
     * that is larger than a window is shown in turns.
     */
    Window nextWindow() {
        if (!differs) {
            return null;
        }
        int first = nextWindowStart < instances ? nextWindowStart : 0;
        nextWindowStart = first + Window.MAX_BITS;
        int end = Math.min(instances, nextWindowStart);
        byte[] bits = knownDead.get(first, end).toByteArray();
        int length = (end - first + Byte.SIZE - 1) / Byte.SIZE;
        return new Window(first, Arrays.copyOf(bits, length));
    }

    /**
     * Fills a message with updates of the instances in which a received window differs from this
     * instance's set: first those that are dead here, then those that are live.
     *
     * @param self this instance, which answers for the dead
     * @param start where to begin, so that all have their turn where not all fit
     */
    void fillDifferences(
            int self, Window received, Member[] members, int start, GossipMessage message) {
        addDifferences(true, self, received, members, start, message);
        addDifferences(false, self, received, members, start, message);
    }

    private void addDifferences(
            boolean deadHere,
            int self,
            Window received,
            Member[] members,
            int start,
            GossipMessage message) {
        int count = received.end(instances) - received.first();
        for (int i = 0; i < count && !message.isFull(); i++) {
            int number = received.first() + (start + i) % count;
            if (dead.get(number) == deadHere && received.isDead(number) != deadHere) {
                message.add(new MemberUpdate(members[number], deadHere ? self : number));
            }
        }
    }
}
