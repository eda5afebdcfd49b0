package cedarrudder.consensus;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

/**
 * The voters of a group, at most {@value #MAX}. A change adds or removes one voter, so that the
 * majorities before and after it overlap.
 */
public record VoterSet(List<Voter> all) {

    /**
     * The maximum number of voters: one more than the maximum that can be configured, because a
     * change may pass through it.
     */
    public static final int MAX = 8;

    static final VoterSet EMPTY = new VoterSet(List.of());

    private static final int VOTER_BYTES = 10;

    public VoterSet {
        all = List.copyOf(all);
    }

    public boolean contains(Voter voter) {
        return all.contains(voter);
    }

    boolean containsReplica(int replica) {
        return all.stream().anyMatch(voter -> voter.replica() == replica);
    }

    public int size() {
        return all.size();
    }

    /** Returns whether more than half of the voters match a predicate. */
    public boolean hasQuorum(Predicate<Voter> predicate) {
        return all.stream().filter(predicate).count() * 2 > all.size();
    }

    VoterSet with(Voter voter) {
        List<Voter> voters = new ArrayList<>(all);
        voters.add(voter);
        return new VoterSet(voters);
    }

    VoterSet without(Voter voter) {
        return new VoterSet(all.stream().filter(each -> !each.equals(voter)).toList());
    }

    byte[] encode() {
        ByteBuffer out = ByteBuffer.allocate(1 + VOTER_BYTES * all.size());
        out.put((byte) all.size());
        all.forEach(voter -> out.putShort((short) voter.replica()).putLong(voter.incarnation()));
        return out.array();
    }

    /** Decodes a set of voters; returns null if the bytes are malformed. */
    public static VoterSet decode(byte[] bytes) {
        if (bytes.length == 0
                || bytes[0] < 0
                || bytes[0] > MAX
                || bytes.length != 1 + VOTER_BYTES * bytes[0]) {
            return null;
        }
        ByteBuffer in = ByteBuffer.wrap(bytes, 1, bytes.length - 1);
        List<Voter> all = new ArrayList<>(bytes[0]);
        while (in.hasRemaining()) {
            all.add(new Voter(in.getShort() & 0xffff, in.getLong()));
        }
        return new VoterSet(all);
    }
}
