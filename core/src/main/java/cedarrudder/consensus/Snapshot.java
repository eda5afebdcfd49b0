package cedarrudder.consensus;

/**
 * What all committed entries up to one came to.
 *
 * @param index of the last of them
 * @param term of that entry
 * @param voters who voted after it
 * @param state what the replica made of them; not to be changed
 */
public record Snapshot(long index, long term, VoterSet voters, byte[] state) {

    /** Before the first entry. */
    static final Snapshot EMPTY = new Snapshot(0, 0, VoterSet.EMPTY, new byte[0]);
}
