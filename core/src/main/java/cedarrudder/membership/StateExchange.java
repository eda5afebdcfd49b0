package cedarrudder.membership;

import cedarrudder.membership.SwimMessage.MemberUpdate;
import cedarrudder.membership.SwimMessage.Window;
import java.util.Arrays;
import java.util.BitSet;
import java.util.random.RandomGenerator;

/**
 * Compares the sets of dead instances between pairs of instances (anti-entropy). Each message
 * carries a digest of the sender's set. An instance that receives a digest other than its own
 * includes a window of its set in its next ping, one bit per instance, and the ack carries updates
 * of the instances in which the two sets differ. This delivers what gossip did not; while all
 * instances agree, the cost is only the digest.
 */
final class StateExchange {

    private final BitSet dead = new BitSet();

    /**
     * The dead instances and those that others claim to be dead; peers need not send updates about
     * them.
     */
    private final BitSet knownDead = new BitSet();

    private final int instances;
    private int digest;
    private boolean differs;
    private int nextWindowStart;

    StateExchange(int instances) {
        this.instances = instances;
    }

    /** Records whether an instance counts as dead from now on. */
    void setDead(int number, boolean isDead) {
        knownDead.set(number, isDead);
        if (dead.get(number) != isDead) {
            dead.set(number, isDead);
            digest ^= hash(number);
        }
    }

    /**
     * Records that another instance declares this one dead, which this instance does not accept
     * yet.
     */
    void onClaimedDead(int number) {
        knownDead.set(number);
    }

    /**
     * Returns the finalizer of MurmurHash3; the exclusive or of several hashes does not depend on
     * their order.
     */
    private static int hash(int number) {
        int hash = number + 0x9e3779b9;
        hash = (hash ^ hash >>> 16) * 0x85ebca6b;
        hash = (hash ^ hash >>> 13) * 0xc2b2ae35;
        return hash ^ hash >>> 16;
    }

    /** Returns the digest of the set of dead instances. */
    int digest() {
        return digest;
    }

    /** Returns the number of dead instances. */
    int deadCount() {
        return dead.cardinality();
    }

    /** Returns a random dead instance; there must be one. */
    int randomDead(RandomGenerator random) {
        return dead.nextSetBit(random.nextInt(dead.length()));
    }

    /** Records another instance's digest. */
    void onDigest(int other) {
        differs = other != digest;
    }

    /**
     * Returns the window for the next ping; null if the digest received last equals the local one.
     * A set that is larger than one window is sent in several, in turn.
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
     * @param self this instance, which is the accuser of the dead
     * @param start where to begin, so that all instances get their turn if not all fit
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
