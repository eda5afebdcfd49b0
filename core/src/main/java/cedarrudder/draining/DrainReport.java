package cedarrudder.draining;

import java.util.ArrayList;
import java.util.List;

/**
 * One part of a replica's report to the leader. Each part can be used without the others.
 *
 * @param version the version of the state that the replica has applied
 * @param firstSlot the lowest slot that the part covers
 * @param lastSlot the highest slot that the part covers: from the lowest to this slot, the replica
 *     has requests in flight only at those nodes of open drains that {@code inFlight} names
 * @param inFlight the requests in flight, by rising slot
 * @param disabled how many nodes an operator has disabled at this replica
 * @param disabledSample some of the disabled nodes
 * @param trafficSample the outcomes of the requests that ended in the last window
 */
record DrainReport(
        long version,
        int firstSlot,
        int lastSlot,
        List<RequestsInFlight> inFlight,
        int disabled,
        List<Long> disabledSample,
        TrafficSample trafficSample) {

    /** The maximum size of one part, in bytes. */
    static final int MAX_BYTES = 136;

    private static final int MAX_SLOTS = 8;
    private static final int MAX_DISABLED_SAMPLE = 3;
    private static final int MAX_DISABLED = 1 << 14;
    private static final int MAX_COUNT = 1 << 27;
    private static final int KIND = 0;

    /** The number of requests in flight at one node. */
    record RequestsInFlight(int slot, int requests) {}

    /** Returns how many slots with requests in flight one part can name. */
    static int maxSlots() {
        return MAX_SLOTS;
    }

    static int maxDisabledSample() {
        return MAX_DISABLED_SAMPLE;
    }

    byte[] encode() {
        CompactCodec.Writer out =
                new CompactCodec.Writer()
                        .put(KIND)
                        .put(version)
                        .put(firstSlot)
                        .put(lastSlot)
                        .put(inFlight.size());
        int before = firstSlot;
        for (RequestsInFlight each : inFlight) {
            out.put(each.slot - before).put(Math.min(each.requests, MAX_DISABLED));
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

    /** Decodes a part; returns null if the bytes are not a valid one. Never throws. */
    static DrainReport decode(byte[] bytes) {
        try {
            CompactCodec.Reader in = new CompactCodec.Reader(bytes);
            if (bytes.length > MAX_BYTES || in.smallInt(KIND) != KIND) {
                return null;
            }
            long version = in.longValue(Long.MAX_VALUE);
            int first = in.smallInt(Integer.MAX_VALUE);
            int last = in.smallInt(Integer.MAX_VALUE);
            List<RequestsInFlight> inFlight = new ArrayList<>();
            int slot = first;
            for (int left = in.count(MAX_SLOTS); left > 0; left--) {
                slot += in.smallInt(Integer.MAX_VALUE - slot);
                inFlight.add(new RequestsInFlight(slot, in.smallInt(MAX_DISABLED)));
            }
            int disabled = in.smallInt(MAX_DISABLED);
            List<Long> sample = new ArrayList<>();
            for (int left = in.count(MAX_DISABLED_SAMPLE); left > 0; left--) {
                sample.add(in.longValue(DrainStateMachine.MAX_NODE));
            }
            TrafficSample trafficSample =
                    new TrafficSample(
                            in.smallInt(MAX_COUNT),
                            in.smallInt(MAX_COUNT),
                            in.smallInt(MAX_COUNT),
                            in.smallInt(MAX_COUNT));
            in.requireEnd();
            return new DrainReport(version, first, last, inFlight, disabled, sample, trafficSample);
        } catch (IllegalArgumentException e) {
            return null;
        }
    }
}
