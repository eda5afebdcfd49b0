package cedarrudder.consensus;

/**
 * The position of an entry in the log of a group. Positions rise within a group and from one group
 * to the next.
 *
 * @param index the index of the entry in the group's log, from 1
 */
public record LogPosition(VoterGroup group, long index) implements Comparable<LogPosition> {

    @Override
    public int compareTo(LogPosition other) {
        int byGroup = group.compareTo(other.group);
        return byGroup != 0 ? byGroup : Long.compare(index, other.index);
    }
}
