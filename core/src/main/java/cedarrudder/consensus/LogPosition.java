package cedarrudder.consensus;

/**
 * The number of something that replicas agreed on. It rises within a group and over groups.
 *
 * @param index its place in the group's log, from 1
 */
public record LogPosition(VoterGroup group, long index) implements Comparable<LogPosition> {

    @Override
    public int compareTo(LogPosition other) {
        int byGroup = group.compareTo(other.group);
        return byGroup != 0 ? byGroup : Long.compare(index, other.index);
    }
}
