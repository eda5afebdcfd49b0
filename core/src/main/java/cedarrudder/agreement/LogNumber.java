package cedarrudder.agreement;

/**
 * The number of something that copies agreed on. It rises within a group and over groups.
 *
 * @param index its place in the group's log, from 1
 */
public record LogNumber(Group group, long index) implements Comparable<LogNumber> {

    @Override
    public int compareTo(LogNumber other) {
        int byGroup = group.compareTo(other.group);
        return byGroup != 0 ? byGroup : Long.compare(index, other.index);
    }
}
