package cedarrudder.footprint;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

/**
 * Estimates the heap that an endpoint list needs, from its shape alone: at rest, and at the peak of
 * loading, when its text, the objects parsed from the text and the replaced nodes exist at the same
 * time. Each line below is a part of the daemon; a test compares the results with the objects
 * themselves.
 */
public final class EndpointListFootprint {

    /**
     * Members of an entry as discovery writes it, and how many of their values except the id are
     * strings.
     */
    private static final int ENTRY_MEMBERS = 8;

    private static final int STRING_VALUES = 4;

    /**
     * Characters of the path that names an entry in messages: its digits and the text around them.
     */
    private static final int PATH_CHARS = 14;

    /** Capacity of the queue in which a node's idle channels wait. */
    private static final int IDLE_QUEUE_CAPACITY = 17;

    /**
     * Hash maps with one entry per node: three of the reader, and one each of the channels, the
     * rotation and the module.
     */
    private static final int MAPS_PER_NODE = 6;

    /**
     * Bytes of the maps and lists themselves, however few nodes there are; and of those for a text.
     */
    private static final int FIXED_BYTES = 256;

    private static final int FIXED_TEXT_BYTES = 1024;

    /** Maximum number of steps that are computed. */
    private static final int MAX_STEPS = 16;

    /** The limit that a list is closest to, or exceeds. */
    public enum Bound {
        /** The heap after the list is loaded. */
        HEAP_AT_REST,
        /** The heap while the list, or the same list once more, is read. */
        HEAP_AT_PEAK
    }

    /**
     * The result of checking a list.
     *
     * @param fits whether all nodes that it adds may be added now
     * @param step how many of the nodes that it adds may be added now
     * @param bound the limit that is closest or exceeded
     * @param needed bytes that the whole list needs under that limit
     */
    public record Verdict(boolean fits, int step, Bound bound, long needed) {}

    private final ObjectLayout layout;

    public EndpointListFootprint(ObjectLayout layout) {
        this.layout = Objects.requireNonNull(layout);
    }

    private long endpoint() {
        return layout.object(1, 8 + 3 * 4 + 2 * 8);
    }

    private long address() {
        return layout.object(1, 0)
                + layout.object(2, 4)
                + layout.object(2, 0)
                + layout.object(2, 2 * 4);
    }

    /**
     * Returns the bytes of the balancer's state of one endpoint, with the objects that the state
     * owns.
     */
    private long balancerState() {
        long state = layout.object(6, 3 * 8 + 2 * 4 + 3);
        long concurrencyLimit = layout.object(0, 6 * 8 + 4);
        long slowStartBudget = layout.object(0, 2 * 8);
        long connectionEstimate = layout.object(0, 8 + 2 * 4);
        long failureRate = layout.object(0, 2 * 8);
        long probeState = layout.object(0, 2 * 8 + 4 + 2);
        return state
                + concurrencyLimit
                + slowStartBudget
                + connectionEstimate
                + failureRate
                + probeState;
    }

    /**
     * Returns the bytes that a node that is already loaded needs in addition while it is listed
     * again: its id, its address and what the balancer learns of it, before and after the
     * administrative overrides, exist twice.
     */
    private long relistedNode(long idChars) {
        return layout.text(idChars) + address() + 2 * endpoint();
    }

    /**
     * Returns the bytes that one more node with an id of this many characters needs at rest,
     * without hash tables.
     */
    private long perEndpoint(long idChars) {
        long reader =
                MAPS_PER_NODE / 2 * layout.entry(false)
                        + 2 * layout.boxed()
                        + layout.text(idChars)
                        + layout.object(0, 2 * 8 + Math.floorMod(-layout.header(), 8));
        long channels =
                layout.entry(false)
                        + layout.boxed()
                        + layout.object(2, 1)
                        + address()
                        + layout.object(1, 2 * 4)
                        + layout.array(IDLE_QUEUE_CAPACITY, layout.reference());
        long rotation = layout.entry(false) + endpoint();
        long module =
                layout.entry(false)
                        + layout.boxed()
                        + balancerState()
                        + endpoint()
                        + 2L * layout.reference();
        return reader + channels + rotation + module;
    }

    /** Returns the bytes of heap that a loaded list needs. */
    public long atRest(EndpointListShape list) {
        return list.nodes() == 0
                ? 0
                : FIXED_BYTES
                        + list.nodes()
                                * perEndpoint(EndpointListShape.mean(list.idChars(), list.nodes()))
                        + MAPS_PER_NODE * layout.hashTable(list.nodes())
                        + layout.array(bufferBytes(list.textBytes()), 1);
    }

    /**
     * Returns the bytes that reading a list needs in addition to the loaded list.
     *
     * @param retained number of its entries that are retained until it has been read; the others
     *     are discarded as they are read
     */
    public long readingOverhead(EndpointListShape list, int retained) {
        long members =
                layout.object(6, 3 * 4 + 4 + 1)
                        + layout.hashTable(ENTRY_MEMBERS)
                        + ENTRY_MEMBERS * layout.entry(true)
                        + STRING_VALUES
                                * layout.text(
                                        EndpointListShape.mean(
                                                list.valueChars(),
                                                (long) STRING_VALUES * list.nodes()))
                        + layout.object(1, 5 * 4)
                        + layout.array(1, 4)
                        + layout.object(1, 5 * 4)
                        + layout.array(2, 4)
                        + layout.boxed();
        long update =
                layout.object(2, 0)
                        + layout.text(PATH_CHARS)
                        + layout.object(3, 0)
                        + 4L * layout.reference();
        // The sets by which removed nodes are found, and the list as it is passed on.
        long result =
                layout.object(2, 0) + layout.reference() + layout.entry(false) + layout.boxed();
        return FIXED_TEXT_BYTES
                + layout.text(list.textBytes())
                + (long) (list.nodes() - retained) * layout.reference()
                + retained * (members + update + result)
                + layout.hashTable(retained);
    }

    /**
     * Returns the size of the buffer that collects a text; it doubles as it grows, and a watch
     * retains it.
     */
    private static long bufferBytes(long bytes) {
        return Math.max(32, Long.highestOneBit(Math.max(1, bytes - 1)) * 2);
    }

    /**
     * Returns the maximum heap while a list is read: the loaded nodes, the added ones and the text.
     *
     * @param retained number of the list's entries that are retained until it has been read
     * @param added number of those that are new
     */
    public long atPeak(EndpointListShape loaded, EndpointListShape list, int retained, int added) {
        return atRest(loaded.plus(list, added))
                + readingOverhead(list, retained)
                + (retained - added)
                        * relistedNode(EndpointListShape.mean(list.idChars(), list.nodes()));
    }

    /**
     * Returns the maximum heap while the full list is sent again, as discovery does now and then.
     */
    public long peakOfRepeatedList(EndpointListShape loaded) {
        return loaded.nodes() == 0 ? 0 : atPeak(loaded, loaded, loaded.nodes(), 0);
    }

    /**
     * Returns the maximum heap while the full list is sent again after a list of changes was
     * loaded.
     */
    private long peakOfRepeatedList(
            EndpointListShape loaded, EndpointListShape changes, int added) {
        EndpointListShape after = loaded.plus(changes, added);
        EndpointListShape fullList =
                changes.nodes() == 0 ? after : changes.withNodes(after.nodes());
        return atPeak(after, fullList, fullList.nodes(), 0);
    }

    private long atPeak(
            EndpointListShape loaded,
            EndpointListShape update,
            int added,
            int accepted,
            boolean full) {
        long peakOfUpdate = atPeak(loaded, update, update.nodes() - added + accepted, accepted);
        EndpointListShape relisted = update.withNodes(update.nodes() - added + accepted);
        return Math.max(
                peakOfUpdate,
                full
                        ? peakOfRepeatedList(
                                new EndpointListShape(
                                        relisted.nodes(),
                                        update.textBytes(),
                                        relisted.idChars(),
                                        relisted.valueChars()))
                        : peakOfRepeatedList(loaded, update, accepted));
    }

    /**
     * Returns whether a list may be loaded, or how much of it. Discovery sends a list again and
     * again, so there must be enough heap to read the loaded list once more: otherwise the replica
     * would never again be notified of a drain.
     *
     * @param update the list, or changes
     * @param added how many of its nodes are not loaded
     * @param full whether nodes that it does not name are removed once it is loaded
     * @param capacity bytes of heap for nodes and their lists, apart from everything else
     */
    public Verdict judge(
            EndpointListShape loaded,
            EndpointListShape update,
            int added,
            boolean full,
            long capacity) {
        long rest = atRest(full ? update : loaded.plus(update, added));
        long peak = atPeak(loaded, update, added, added, full);
        if (peak <= capacity || added == 0) {
            return new Verdict(true, added, Bound.HEAP_AT_PEAK, peak);
        }
        int fits = 0;
        int tooMany = added;
        while (fits + 1 < tooMany) {
            int accepted = (fits + tooMany) >>> 1;
            if (atPeak(loaded, update, added, accepted, full) <= capacity) {
                fits = accepted;
            } else {
                tooMany = accepted;
            }
        }
        return rest > capacity
                ? new Verdict(false, fits, Bound.HEAP_AT_REST, rest)
                : new Verdict(false, fits, Bound.HEAP_AT_PEAK, peak);
    }

    /**
     * Returns the steps in which a list's new nodes are added if the list is sent again and again,
     * and nodes that it no longer names have been removed by then: how many nodes each step adds.
     * Nodes beyond their sum fit in no step.
     */
    public List<Integer> steps(
            EndpointListShape loaded,
            EndpointListShape update,
            int added,
            boolean full,
            long capacity) {
        List<Integer> steps = new ArrayList<>();
        EndpointListShape current = loaded;
        for (int remaining = added; remaining > 0 && steps.size() < MAX_STEPS; ) {
            int step = judge(current, update, remaining, full, capacity).step();
            if (step == 0) {
                return steps;
            }
            steps.add(step);
            remaining -= step;
            current =
                    full
                            ? update.withNodes(update.nodes() - remaining)
                            : current.plus(update, step);
        }
        return steps;
    }

    /**
     * Returns how many nodes like those of a list may be loaded and listed again, without any other
     * nodes.
     */
    public int max(EndpointListShape like, long capacity) {
        int max = 0;
        for (int step = 1 << 23; step > 0 && like.nodes() > 0; step >>>= 1) {
            EndpointListShape more = like.withNodes(max + step);
            max += peakOfRepeatedList(more) <= capacity ? step : 0;
        }
        return max;
    }
}
