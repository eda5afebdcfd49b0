package cedarrudder.consensus;

/**
 * The state that results from all committed entries up to an index.
 *
 * @param index the index of the last of these entries
 * @param term the term of that entry
 * @param voters the voters after that entry
 * @param state the resulting state of the replica, which must not be modified
 */
public record Snapshot(long index, long term, VoterSet voters, byte[] state) {

    /** The snapshot before the first entry. */
    static final Snapshot EMPTY = new Snapshot(0, 0, VoterSet.EMPTY, new byte[0]);
}
