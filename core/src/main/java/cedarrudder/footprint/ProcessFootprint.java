package cedarrudder.footprint;

import cedarrudder.routetable.RouteTable;
import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.stream.Stream;

/**
 * What a whole replica takes: the heap at rest and at the peak of loading, direct memory,
 * descriptors and the machine's memory. What grows with a list or a table is worked out from the
 * layout of objects; what is there before the first of them, and what a connection takes, was
 * measured on real processes (docs/FOOTPRINT.md), with references of four bytes and of eight; a
 * test holds the sums against such processes.
 */
public final class ProcessFootprint {

    /**
     * With references of eight bytes, this much more is taken by what was measured with those of
     * four.
     */
    private static final double WIDE = 1.39;

    /**
     * Of the young generation, as the flags of the platform's command make it: touched as it fills.
     */
    private static final long YOUNG = 3_000_000;

    /** This many times what a list takes at its peak is allocated while it is read. */
    private static final int ALLOCATED = 3;

    /** What discovery's first word leaves behind. */
    private static final long WATCH = 61_500;

    /**
     * The parser's buffer has this many characters at least; those of longer texts are read in
     * parts.
     */
    private static final int MIN_PARSED = 4_000;

    private static final int MAX_PARSED = 1 << 15;

    private static final int CALLER = 3_050;
    private static final int CHANNEL = 2_530;
    private static final int UNDER_WAY = 460;

    /** Direct memory comes in pieces of this many bytes. */
    private static final int CHUNK = 1 << 18;

    /**
     * A body that flows holds this much of the heap, and this much waits in direct memory to be
     * written.
     */
    private static final int FLOWS = 1 << 16;

    private static final int WAITS = 1 << 15;

    private static final int NAME = 10;

    /** What binds a replica. */
    public enum Bound {
        HEAP_AT_REST,
        HEAP_AT_PEAK,
        RESIDENT,
        DIRECT,
        DESCRIPTORS
    }

    /** One line of an estimate. */
    public record Term(String name, long count, MemoryEstimate estimate) {}

    /**
     * What comes of a replica.
     *
     * @param fits whether all bounds leave room
     * @param bound the one that is exceeded by most, or that has the least to spare, in parts of
     *     itself
     * @param needed under it
     * @param capacity that it leaves
     */
    public record Verdict(boolean fits, Bound bound, long needed, long capacity) {

        /** This much is left; below 0: this much is lacking. */
        public long spare() {
            return capacity - needed;
        }
    }

    private final ObjectLayout layout;
    private final EndpointListFootprint lists;
    private final RouteTableFootprint tables;
    private final ProcessBaseline baseline;

    /** Of a process that the platform's command starts with an operator's file. */
    public ProcessFootprint(ObjectLayout layout) {
        this(layout, ProcessBaseline.usual(layout));
    }

    /**
     * @param baseline what there is before the first list, as the process itself says
     */
    public ProcessFootprint(ObjectLayout layout, ProcessBaseline baseline) {
        this.layout = Objects.requireNonNull(layout);
        this.lists = new EndpointListFootprint(layout);
        this.tables = new RouteTableFootprint(layout);
        this.baseline = Objects.requireNonNull(baseline);
    }

    /** What there is before the first list. */
    public ProcessBaseline baseline() {
        return baseline;
    }

    /** All that counts, one after the other. */
    public List<Term> terms(ProcessShape replica) {
        return List.of(
                baselineTerm(),
                term("zones", replica.zones(), name()),
                term("kinds", replica.kinds(), name()),
                term(
                        "classes",
                        replica.classes(),
                        name() + layout.object(1, 10 * 8) + layout.object(0, 3 * 8)),
                term("tenants", replica.tenants(), name() + layout.object(1, 2 * 8) + 3 * 8),
                endpointList(replica.list()),
                routeTable(replica.table()),
                connections("callers", replica.callers(), CALLER),
                connections("channels", replica.channels(), CHANNEL),
                bodies(replica));
    }

    private Term baselineTerm() {
        return new Term(
                "process",
                1,
                new MemoryEstimate(
                        baseline.heap(),
                        baseline.heap(),
                        baseline.direct(),
                        baseline.descriptors()));
    }

    private Term endpointList(EndpointListShape list) {
        long rest = lists.atRest(list) + watch(list);
        long peak = watch(list) + lists.peakOfRepeatedList(list);
        return new Term("nodes", list.nodes(), new MemoryEstimate(rest, peak, 0, 0));
    }

    private Term routeTable(RouteTable table) {
        long rest = tables.atRest(table);
        long peak = table == null ? 0 : tables.atPeak(table, table);
        return new Term("table", table == null ? 0 : 1, new MemoryEstimate(rest, peak, 0, 0));
    }

    private Term bodies(ProcessShape replica) {
        long flowing = Math.min(replica.bodies(), replica.bodyBytes() / FLOWS) * WAITS;
        long heap = replica.bodies() * measured(UNDER_WAY) + replica.bodyBytes();
        long direct = (flowing + CHUNK - 1) / CHUNK * CHUNK;
        return new Term("bodies", replica.bodies(), new MemoryEstimate(heap, heap, direct, 0));
    }

    private Term term(String name, int count, long each) {
        return new Term(name, count, MemoryEstimate.heap(count * each));
    }

    private Term connections(String name, int count, int each) {
        long heap = count * measured(each);
        return new Term(name, count, new MemoryEstimate(heap, heap, 0, count));
    }

    /** A name of the settings in its list. */
    private long name() {
        return layout.text(NAME) + layout.reference();
    }

    private long measured(long bytes) {
        return measured(layout, bytes);
    }

    static long measured(ObjectLayout layout, long bytes) {
        return layout.reference() == Integer.BYTES ? bytes : (long) (bytes * WIDE);
    }

    /** What the watch keeps beside the nodes and the buffer of their text. */
    private long watch(EndpointListShape list) {
        if (list.textBytes() == 0) {
            return 0;
        }
        long parsed =
                list.textBytes() > MAX_PARSED ? MIN_PARSED : Math.max(MIN_PARSED, list.textBytes());
        return measured(WATCH) + layout.array(parsed, 2);
    }

    /** What the replica takes in all. */
    public MemoryEstimate estimate(ProcessShape replica) {
        return terms(replica).stream()
                .map(Term::estimate)
                .reduce(MemoryEstimate.NOTHING, MemoryEstimate::plus);
    }

    /** What one more node like the others takes, with its share of what grows in steps. */
    public MemoryEstimate oneMoreNode(ProcessShape replica) {
        int nodes = replica.list().nodes();
        MemoryEstimate more = estimate(replica.withNodes(2 * nodes)).minus(estimate(replica));
        return nodes == 0
                ? MemoryEstimate.NOTHING
                : new MemoryEstimate(
                        more.rest() / nodes,
                        more.peak() / nodes,
                        more.direct() / nodes,
                        more.descriptors() / nodes);
    }

    /** What the replica takes of the machine's memory, in bytes. */
    public long resident(ProcessShape replica) {
        return resident(replica, estimate(replica));
    }

    private long resident(ProcessShape replica, MemoryEstimate all) {
        long grown = all.peak() - baseline.heap();
        long young = replica.callers() > 0 ? YOUNG : Math.min(YOUNG, ALLOCATED * grown);
        return baseline.resident() + young + grown + all.direct() - baseline.direct();
    }

    /**
     * What of the heap is left for nodes and their lists, beside all else that the replica may come
     * to hold.
     */
    public long heapForLists(ProcessShape without, long heap) {
        return Math.max(0, heap - estimate(without.withNodes(0)).rest());
    }

    /** Whether a replica fits, and which bound is nearest. */
    public Verdict judge(ProcessShape replica, ProcessLimits limits) {
        MemoryEstimate all = estimate(replica);
        Verdict rest = verdict(Bound.HEAP_AT_REST, all.rest(), limits.heap());
        return Stream.of(
                        rest,
                        verdict(Bound.HEAP_AT_PEAK, all.peak(), limits.heap()),
                        verdict(Bound.RESIDENT, resident(replica, all), limits.resident()),
                        verdict(Bound.DIRECT, all.direct(), limits.direct()),
                        verdict(Bound.DESCRIPTORS, all.descriptors(), limits.descriptors()))
                // What does not even fit at rest is said so, though the peak lacks more.
                .filter(one -> rest.fits() || one.bound() != Bound.HEAP_AT_PEAK)
                .max(Comparator.comparingDouble(ProcessFootprint::part))
                .orElseThrow();
    }

    private static double part(Verdict verdict) {
        return (double) verdict.needed() / verdict.capacity();
    }

    private static Verdict verdict(Bound bound, long needed, long capacity) {
        long there = capacity == 0 ? Long.MAX_VALUE : capacity;
        return new Verdict(needed <= there, bound, needed, there);
    }
}
