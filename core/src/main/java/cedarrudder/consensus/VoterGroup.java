package cedarrudder.consensus;

import java.util.Comparator;

/**
 * Which group of voters a log belongs to. Groups are ordered; a replica goes only from a lower one
 * to a higher one. Two can't be equal: one incarnation of a replica forms each era at most once,
 * and no replica has a life twice.
 *
 * @param era one more than the highest that its founder knew of; 0 is that of no group
 * @param founder the replica that formed it
 * @param incarnation the founder's life
 */
public record VoterGroup(int era, int founder, long incarnation) implements Comparable<VoterGroup> {

    /** That of a replica that knows of none. */
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
