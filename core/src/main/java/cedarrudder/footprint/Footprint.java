package cedarrudder.footprint;

import java.util.Objects;

/**
 * What a list of nodes takes of the heap, worked out from its shape alone: at rest, and at the peak of its
 * loading, when its text, the objects of the text and the nodes that it replaces are there too. Each line
 * below is a part of the daemon; a test holds them against the objects themselves.
 */
public final class Footprint {

    /** Members of an entry as discovery writes it, and the texts among their values but the id. */
    private static final int MEMBERS = 8;
    private static final int VALUES = 4;

    /** Digits of the path by which an entry is named in messages, with what stands round them. */
    private static final int PATH = 14;

    /** Idle channels of a node wait in a queue of this many places. */
    private static final int IDLE = 17;

    /** Hash maps that have one entry a node: three of the reader, the channels, the rotation, the module. */
    private static final int MAPS = 6;

    /** What the maps and lists themselves take, however few nodes there are; and those of a text. */
    private static final int FIXED = 256;
    private static final int FIXED_TEXT = 1024;

    /** A step of fewer nodes is none. */
    private static final int LEAST_STEP = 16;

    /** What binds. */
    public enum Bound {
        /** What is held once it is loaded. */
        HEAP_AT_REST,
        /** What is held while it, or the same list when it is told again, is read. */
        HEAP_AT_PEAK
    }

    /**
     * What comes of a list.
     *
     * @param fits whether it may be loaded, at once or in steps
     * @param step so many nodes may be added at once; 0 where it does not fit
     * @param bound the one that is nearest, or that binds
     * @param spare bytes left under it; below 0: so many too few
     */
    public record Verdict(boolean fits, int step, Bound bound, long spare) { }

    private final Layout layout;

    public Footprint(Layout layout) {
        this.layout = Objects.requireNonNull(layout);
    }

    private long endpoint() {
        return layout.object(1, 8 + 3 * 4 + 2 * 8);
    }

    /** Bytes that one more node with an id of so many characters takes at rest, without hash tables. */
    private long node(long idChars) {
        long reader = MAPS / 2 * layout.entry(false) + 2 * layout.boxed() + layout.text(idChars)
                + layout.object(0, 2 * 8 + Math.floorMod(-layout.header(), 8));
        long address = layout.object(1, 0) + layout.object(2, 4) + layout.object(2, 0)
                + layout.object(2, 2 * 4);
        long channels = layout.entry(false) + layout.boxed() + layout.object(2, 1) + address
                + layout.object(1, 2 * 4) + layout.array(IDLE, layout.reference());
        long rotation = layout.entry(false) + endpoint();
        long server = layout.object(2, 10 * 8 + 5 * 4 + 4) + layout.object(0, 6 * 8 + 4);
        long module = layout.entry(false) + layout.boxed() + server + endpoint() + 2L * layout.reference();
        return reader + channels + rotation + module;
    }

    /** What a list takes of the heap once it is loaded. */
    public long atRest(ListShape list) {
        return list.nodes() == 0 ? 0 : FIXED + list.nodes() * node(ListShape.mean(list.idChars(),
                list.nodes())) + MAPS * layout.hashTable(list.nodes())
                + layout.array(buffer(list.textBytes()), 1);
    }

    /** What reading a list takes beside what is kept of it. */
    public long reading(ListShape list) {
        long members = layout.object(6, 3 * 4 + 4 + 1) + layout.hashTable(MEMBERS)
                + MEMBERS * layout.entry(true)
                + VALUES * layout.text(ListShape.mean(list.valueChars(), (long) VALUES * list.nodes()))
                + layout.object(1, 5 * 4) + layout.array(1, 4) + layout.object(1, 5 * 4) + layout.array(2, 4)
                + layout.boxed();
        long told = layout.object(2, 0) + layout.text(PATH) + layout.object(3, 0)
                + 4L * layout.reference();
        // The sets by which what is gone is found, and the list as it is handed on.
        long handed = layout.object(2, 0) + layout.reference() + layout.entry(false) + layout.boxed();
        return FIXED_TEXT + layout.text(list.textBytes())
                + list.nodes() * (members + told + handed) + layout.hashTable(list.nodes());
    }

    /** The buffer in which a text gathers, which doubles, and which a watch keeps. */
    private static long buffer(long bytes) {
        return Math.max(32, Long.highestOneBit(Math.max(1, bytes - 1)) * 2);
    }

    /**
     * What is held at the most, from the moment at which a list comes until it, told again, has been read
     * once more: then all of it is there twice, as nodes and as text.
     *
     * @param held what is loaded
     * @param stays how many of its nodes the list names again
     */
    public long atPeak(ListShape held, ListShape list, int stays) {
        return atRest(held) + atRest(list.part(list.nodes() - stays)) + reading(list);
    }

    /**
     * Whether a list may be loaded.
     *
     * @param room bytes of heap for nodes and their lists, beside all else
     */
    public Verdict judge(ListShape held, ListShape list, int stays, long room) {
        long rest = room - atRest(list);
        long again = room - atPeak(list, list, list.nodes());
        long peak = room - atPeak(held, list, stays);
        int added = list.nodes() - stays;
        if (rest < 0) {
            return new Verdict(false, 0, Bound.HEAP_AT_REST, rest);
        }
        if (peak >= 0) {
            return new Verdict(true, added, Bound.HEAP_AT_PEAK, peak);
        }
        // What leaves has gone before a step is added, and the text with it.
        int step = (int) Math.min(added, again / Math.max(1, node(ListShape.mean(list.idChars(),
                list.nodes()))));
        return step >= Math.min(added, LEAST_STEP) ? new Verdict(true, step, Bound.HEAP_AT_PEAK, again)
                : new Verdict(false, 0, Bound.HEAP_AT_PEAK, peak);
    }
}
