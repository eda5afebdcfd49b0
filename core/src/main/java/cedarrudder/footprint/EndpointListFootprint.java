package cedarrudder.footprint;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

/**
 * What a list of nodes takes of the heap, worked out from its shape alone: at rest, and at the peak
 * of its loading, when its text, the objects of the text and the nodes that it replaces are there
 * too. Each line below is a part of the daemon; a test holds them against the objects themselves.
 */
public final class EndpointListFootprint {

    /** Members of an entry as discovery writes it, and the texts among their values but the id. */
    private static final int MEMBERS = 8;

    private static final int VALUES = 4;

    /** Digits of the path by which an entry is named in messages, with what stands round them. */
    private static final int PATH = 14;

    /** Idle channels of a node wait in a queue of this many places. */
    private static final int IDLE = 17;

    /**
     * Hash maps that have one entry a node: three of the reader, the channels, the rotation, the
     * module.
     */
    private static final int MAPS = 6;

    /**
     * What the maps and lists themselves take, however few nodes there are; and those of a text.
     */
    private static final int FIXED = 256;

    private static final int FIXED_TEXT = 1024;

    /** Steps are worked out up to this many. */
    private static final int MAX_STEPS = 16;

    /** What binds. */
    public enum Bound {
        /** What the heap holds once it is loaded. */
        HEAP_AT_REST,
        /** What the heap holds while it, or the same list once more, is read. */
        HEAP_AT_PEAK
    }

    /**
     * What comes of a list.
     *
     * @param fits whether all that it adds may be added now
     * @param step this many of the nodes that it adds may be added now
     * @param bound the one that is nearest, or that binds
     * @param needed bytes that the whole list takes under it
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

    /** What the balancer holds of one endpoint: its state and the objects that the state owns. */
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
     * Bytes that a node that is held already takes while it is listed again: its id, its address
     * and what the balancer learns of it, before and behind the administrative overrides, are there
     * twice.
     */
    private long again(long idChars) {
        return layout.text(idChars) + address() + 2 * endpoint();
    }

    /**
     * Bytes that one more node with an id of this many characters takes at rest, without hash
     * tables.
     */
    private long perEndpoint(long idChars) {
        long reader =
                MAPS / 2 * layout.entry(false)
                        + 2 * layout.boxed()
                        + layout.text(idChars)
                        + layout.object(0, 2 * 8 + Math.floorMod(-layout.header(), 8));
        long channels =
                layout.entry(false)
                        + layout.boxed()
                        + layout.object(2, 1)
                        + address()
                        + layout.object(1, 2 * 4)
                        + layout.array(IDLE, layout.reference());
        long rotation = layout.entry(false) + endpoint();
        long module =
                layout.entry(false)
                        + layout.boxed()
                        + balancerState()
                        + endpoint()
                        + 2L * layout.reference();
        return reader + channels + rotation + module;
    }

    /** What a list takes of the heap once it is loaded. */
    public long atRest(EndpointListShape list) {
        return list.nodes() == 0
                ? 0
                : FIXED
                        + list.nodes()
                                * perEndpoint(EndpointListShape.mean(list.idChars(), list.nodes()))
                        + MAPS * layout.hashTable(list.nodes())
                        + layout.array(buffer(list.textBytes()), 1);
    }

    /**
     * What reading a list takes beside what is kept of it.
     *
     * @param taken this many of its entries are kept until it has been read; the others go as they
     *     are read
     */
    public long reading(EndpointListShape list, int taken) {
        long members =
                layout.object(6, 3 * 4 + 4 + 1)
                        + layout.hashTable(MEMBERS)
                        + MEMBERS * layout.entry(true)
                        + VALUES
                                * layout.text(
                                        EndpointListShape.mean(
                                                list.valueChars(), (long) VALUES * list.nodes()))
                        + layout.object(1, 5 * 4)
                        + layout.array(1, 4)
                        + layout.object(1, 5 * 4)
                        + layout.array(2, 4)
                        + layout.boxed();
        long update =
                layout.object(2, 0)
                        + layout.text(PATH)
                        + layout.object(3, 0)
                        + 4L * layout.reference();
        // The sets by which what is gone is found, and the list as it is handed on.
        long handed =
                layout.object(2, 0) + layout.reference() + layout.entry(false) + layout.boxed();
        return FIXED_TEXT
                + layout.text(list.textBytes())
                + (long) (list.nodes() - taken) * layout.reference()
                + taken * (members + update + handed)
                + layout.hashTable(taken);
    }

    /** The buffer in which a text gathers, which doubles, and which a watch keeps. */
    private static long buffer(long bytes) {
        return Math.max(32, Long.highestOneBit(Math.max(1, bytes - 1)) * 2);
    }

    /**
     * What is held at most while a list is read: what was held, what is added, and the text.
     *
     * @param taken this many of the list's entries are kept until it has been read
     * @param added this many of those are new
     */
    public long atPeak(EndpointListShape held, EndpointListShape list, int taken, int added) {
        return atRest(held.plus(list, added))
                + reading(list, taken)
                + (taken - added) * again(EndpointListShape.mean(list.idChars(), list.nodes()));
    }

    /**
     * What is held at most while all that is held is listed again, as discovery does now and then.
     */
    public long peakOfRepeatedList(EndpointListShape held) {
        return held.nodes() == 0 ? 0 : atPeak(held, held, held.nodes(), 0);
    }

    /** The same once a list of changes was loaded, and all that is held is listed again in full. */
    private long peakOfRepeatedList(EndpointListShape held, EndpointListShape changes, int added) {
        EndpointListShape after = held.plus(changes, added);
        EndpointListShape fullList =
                changes.nodes() == 0 ? after : changes.withNodes(after.nodes());
        return atPeak(after, fullList, fullList.nodes(), 0);
    }

    private long atPeak(
            EndpointListShape held, EndpointListShape update, int added, int some, boolean full) {
        long now = atPeak(held, update, update.nodes() - added + some, some);
        EndpointListShape then = update.withNodes(update.nodes() - added + some);
        return Math.max(
                now,
                full
                        ? peakOfRepeatedList(
                                new EndpointListShape(
                                        then.nodes(),
                                        update.textBytes(),
                                        then.idChars(),
                                        then.valueChars()))
                        : peakOfRepeatedList(held, update, some));
    }

    /**
     * Whether a list may be loaded, or how much of it. A list is sent again and again, so there
     * must be room to read what is held once more: else the replica would never again hear of a
     * drain.
     *
     * @param update the list, or changes
     * @param added how many of the nodes that it names are not held
     * @param full whether what it does not name goes, once it is loaded
     * @param capacity bytes of heap for nodes and their lists, beside all else
     */
    public Verdict judge(
            EndpointListShape held,
            EndpointListShape update,
            int added,
            boolean full,
            long capacity) {
        long rest = atRest(full ? update : held.plus(update, added));
        long peak = atPeak(held, update, added, added, full);
        if (peak <= capacity || added == 0) {
            return new Verdict(true, added, Bound.HEAP_AT_PEAK, peak);
        }
        int fits = 0;
        int beyond = added;
        while (fits + 1 < beyond) {
            int some = (fits + beyond) >>> 1;
            if (atPeak(held, update, added, some, full) <= capacity) {
                fits = some;
            } else {
                beyond = some;
            }
        }
        return rest > capacity
                ? new Verdict(false, fits, Bound.HEAP_AT_REST, rest)
                : new Verdict(false, fits, Bound.HEAP_AT_PEAK, peak);
    }

    /**
     * In which steps what a list adds gets in, where it is sent again and again and what it no
     * longer names has left by then: how many nodes each adds. What they don't come to fits in no
     * step.
     */
    public List<Integer> steps(
            EndpointListShape held,
            EndpointListShape update,
            int added,
            boolean full,
            long capacity) {
        List<Integer> steps = new ArrayList<>();
        EndpointListShape now = held;
        for (int left = added; left > 0 && steps.size() < MAX_STEPS; ) {
            int step = judge(now, update, left, full, capacity).step();
            if (step == 0) {
                return steps;
            }
            steps.add(step);
            left -= step;
            now = full ? update.withNodes(update.nodes() - left) : now.plus(update, step);
        }
        return steps;
    }

    /** This many nodes like those of a list may be held and listed again, beside nothing else. */
    public int max(EndpointListShape like, long capacity) {
        int max = 0;
        for (int step = 1 << 23; step > 0 && like.nodes() > 0; step >>>= 1) {
            EndpointListShape more = like.withNodes(max + step);
            max += peakOfRepeatedList(more) <= capacity ? step : 0;
        }
        return max;
    }
}
