package cedarrudder.consensus;

import java.util.Comparator;

/**
 * The group of voters that a log belongs to. Groups are ordered, and a replica only moves from a
 * lower one to a higher one. No two groups are equal: one incarnation of a replica forms a group in
 * each era at most once, and no replica has the same incarnation twice.
 *
 * @param era one more than the highest era that the founder knew of; 0 stands for no group
 * @param founder the number of the replica that formed the group
 * @param incarnation the founder's incarnation
 */
public record VoterGroup(int era, int founder, long incarnation) implements Comparable<VoterGroup> {

    /** The value for a replica that is in no group. */
    public static final VoterGroup NONE = new VoterGroup(0, 0, 0);

    private static final Comparator<VoterGroup> ORDER =
            Comparator.comparingInt(VoterGroup::era)
                    .thenComparingInt(VoterGroup::founder)
                    .thenComparingLong(VoterGroup::incarnation);

    @Override
    public int compareTo(VoterGroup other) {
        return ORDER.compare(this, other);
    }
}
