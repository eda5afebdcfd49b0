package cedarrudder.agreement;

import java.util.Comparator;

/**
 * Which group of voters a log belongs to. Groups are ordered; a copy goes only from a lower one to
 * a higher one. Two can't be equal: one life of a copy forms each era at most once, and no copy has
 * a life twice.
 *
 * @param era one more than the highest that its founder knew of; 0 is that of no group
 * @param founder the copy that formed it
 * @param life the founder's life
 */
public record Group(int era, int founder, long life) implements Comparable<Group> {

    /** That of a copy that has heard of none. */
    public static final Group NONE = new Group(0, 0, 0);

    private static final Comparator<Group> ORDER =
            Comparator.comparingInt(Group::era)
                    .thenComparingInt(Group::founder)
                    .thenComparingLong(Group::life);

    @Override
    public int compareTo(Group other) {
        return ORDER.compare(this, other);
    }
}
