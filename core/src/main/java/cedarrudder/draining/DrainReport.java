package cedarrudder.draining;

import java.util.ArrayList;
import java.util.List;

/**
 * What a replica says to the one that leads, in parts that stand for themselves.
 *
 * @param version of the state that it has carried out
 * @param firstSlot the lowest slot that it tells of
 * @param lastSlot and the highest: nodes that leave in between, and are not named, have no calls of
 *     this replica
 * @param calls by slot, rising
 * @param disabled how many nodes are left out here by hand
 * @param disabledSample of them
 * @param trafficSample what became of the calls of the last window
 */
record DrainReport(
        long version,
        int firstSlot,
        int lastSlot,
        List<Calls> calls,
        int disabled,
        List<Long> disabledSample,
        TrafficSample trafficSample) {

    /** Bytes of one part, at most. */
    static final int MAX_BYTES = 136;

    private static final int MAX_CALLS = 8;
    private static final int MAX_SOME = 3;
    private static final int MAX_DISABLED = 1 << 14;
    private static final int MAX_COUNT = 1 << 27;
    private static final int KIND = 0;

    /** This many calls at one node. */
    record Calls(int slot, int calls) {}

    /** How many slots with calls one part may tell of. */
    static int maxCalls() {
        return MAX_CALLS;
    }

    static int maxDisabledSample() {
        return MAX_SOME;
    }

    byte[] encode() {
        CompactCodec.Writer out =
                new CompactCodec.Writer()
                        .put(KIND)
                        .put(version)
                        .put(firstSlot)
                        .put(lastSlot)
                        .put(calls.size());
        int before = firstSlot;
        for (Calls each : calls) {
            out.put(each.slot - before).put(Math.min(each.calls, MAX_DISABLED));
            before = each.slot;
        }
        out.put(Math.min(disabled, MAX_DISABLED)).put(disabledSample.size());
        disabledSample.forEach(out::put);
        for (int each :
                new int[] {
                    trafficSample.ended(),
                    trafficSample.refused(),
                    trafficSample.failed(),
                    trafficSample.deadlineMissed()
                }) {
            out.put(Math.min(each, MAX_COUNT));
        }
        return out.bytes();
    }

    /** Reads a part; null where the bytes are none. It throws nothing. */
    static DrainReport decode(byte[] bytes) {
        try {
            CompactCodec.Reader in = new CompactCodec.Reader(bytes);
            if (bytes.length > MAX_BYTES || in.smallInt(KIND) != KIND) {
                return null;
            }
            long version = in.longValue(Long.MAX_VALUE);
            int first = in.smallInt(Integer.MAX_VALUE);
            int last = in.smallInt(Integer.MAX_VALUE);
            List<Calls> calls = new ArrayList<>();
            int slot = first;
            for (int left = in.count(MAX_CALLS); left > 0; left--) {
                slot += in.smallInt(Integer.MAX_VALUE - slot);
                calls.add(new Calls(slot, in.smallInt(MAX_DISABLED)));
            }
            int disabled = in.smallInt(MAX_DISABLED);
            List<Long> some = new ArrayList<>();
            for (int left = in.count(MAX_SOME); left > 0; left--) {
                some.add(in.longValue(DrainStateMachine.MAX_NODE));
            }
            TrafficSample trafficSample =
                    new TrafficSample(
                            in.smallInt(MAX_COUNT),
                            in.smallInt(MAX_COUNT),
                            in.smallInt(MAX_COUNT),
                            in.smallInt(MAX_COUNT));
            in.requireEnd();
            return new DrainReport(version, first, last, calls, disabled, some, trafficSample);
        } catch (IllegalArgumentException e) {
            return null;
        }
    }
}
