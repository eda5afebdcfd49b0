package cedarrudder.consensus;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

/**
 * Those who vote, at most {@value #MAX}; a change adds one or takes one away, so that majorities
 * overlap.
 */
public record VoterSet(List<Voter> all) {

    /** One more than the most that are asked for: a change may pass through it. */
    public static final int MAX = 8;

    static final VoterSet EMPTY = new VoterSet(List.of());

    private static final int BYTES = 10;

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

    /** Whether more than half of them do. */
    public boolean quorum(Predicate<Voter> does) {
        return all.stream().filter(does).count() * 2 > all.size();
    }

    VoterSet with(Voter voter) {
        List<Voter> more = new ArrayList<>(all);
        more.add(voter);
        return new VoterSet(more);
    }

    VoterSet without(Voter voter) {
        return new VoterSet(all.stream().filter(each -> !each.equals(voter)).toList());
    }

    byte[] encode() {
        ByteBuffer out = ByteBuffer.allocate(1 + BYTES * all.size());
        out.put((byte) all.size());
        all.forEach(voter -> out.putShort((short) voter.replica()).putLong(voter.incarnation()));
        return out.array();
    }

    /** Reads them; null where the bytes are none. */
    public static VoterSet decode(byte[] bytes) {
        if (bytes.length == 0
                || bytes[0] < 0
                || bytes[0] > MAX
                || bytes.length != 1 + BYTES * bytes[0]) {
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
