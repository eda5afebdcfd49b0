package cedarrudder.footprint;

import cedarrudder.routetable.RouteTable;
import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.stream.Stream;

/**
 * Estimates the resources that a whole replica needs: heap at rest and at the peak of loading,
 * direct memory, descriptors and the machine's memory. The parts that grow with a list or a table
 * are computed from the layout of objects; the baseline before them and the size of a connection
 * come from real processes (docs/FOOTPRINT.md), with references of four bytes and of eight. A test
 * compares the sums with such processes.
 */
public final class ProcessFootprint {

    /**
     * Factor for the sizes that come from real processes with references of four bytes, if
     * references have eight bytes.
     */
    private static final double WIDE_REFERENCE_FACTOR = 1.39;

    /**
     * Bytes of the young generation, as the flags of the platform's command set it; its memory is
     * touched as it fills.
     */
    private static final long YOUNG_GENERATION_BYTES = 3_000_000;

    /** Allocations while a list is read, as a multiple of the list's peak. */
    private static final int ALLOCATION_FACTOR = 3;

    /** Bytes that remain allocated after discovery's first response. */
    private static final long WATCH_BYTES = 61_500;

    /**
     * Minimum and maximum characters of the parser's buffer; a longer text than the maximum is read
     * in parts with the minimum.
     */
    private static final int MIN_PARSER_CHARS = 4_000;

    private static final int MAX_PARSER_CHARS = 1 << 15;

    private static final int CLIENT_CONNECTION_BYTES = 3_050;
    private static final int ENDPOINT_CONNECTION_BYTES = 2_530;
    private static final int REQUEST_BYTES = 460;

    /** Direct memory is allocated in chunks of this many bytes. */
    private static final int DIRECT_CHUNK_BYTES = 1 << 18;

    /**
     * Bytes of heap that a body being forwarded uses, and bytes of it that wait in direct memory to
     * be written.
     */
    private static final int BODY_HEAP_BYTES = 1 << 16;

    private static final int BODY_DIRECT_BYTES = 1 << 15;

    private static final int NAME_CHARS = 10;

    /** The limit that a replica is closest to, or exceeds. */
    public enum Bound {
        HEAP_AT_REST,
        HEAP_AT_PEAK,
        RESIDENT,
        DIRECT,
        DESCRIPTORS
    }

    /**
     * One line of an estimate: the name of a kind of part, the number of such parts, and what all
     * of these parts need.
     */
    public record Term(String name, long count, MemoryEstimate estimate) {}

    /**
     * The result of checking a replica.
     *
     * @param fits whether no limit is exceeded
     * @param bound the limit with the largest used fraction
     * @param needed what the replica needs under that limit
     * @param capacity the limit itself
     */
    public record Verdict(boolean fits, Bound bound, long needed, long capacity) {

        /** Returns the remaining capacity; if below 0, the missing one. */
        public long spare() {
            return capacity - needed;
        }
    }

    private final ObjectLayout layout;
    private final EndpointListFootprint lists;
    private final RouteTableFootprint tables;
    private final ProcessBaseline baseline;

    /**
     * Creates the footprint of a process that the platform's command starts with an operator's
     * file.
     */
    public ProcessFootprint(ObjectLayout layout) {
        this(layout, ProcessBaseline.ofPlatformCommand(layout));
    }

    /**
     * Creates the footprint of a process with the given baseline.
     *
     * @param baseline what the process needs before the first list, as the process itself reports
     */
    public ProcessFootprint(ObjectLayout layout, ProcessBaseline baseline) {
        this.layout = Objects.requireNonNull(layout);
        this.lists = new EndpointListFootprint(layout);
        this.tables = new RouteTableFootprint(layout);
        this.baseline = Objects.requireNonNull(baseline);
    }

    /** Returns what a process needs before the first list. */
    public ProcessBaseline baseline() {
        return baseline;
    }

    /** Returns all parts of the estimate in a fixed order. */
    public List<Term> terms(ProcessShape replica) {
        return List.of(
                baselineTerm(),
                term("zones", replica.zones(), nameBytes()),
                term("kinds", replica.kinds(), nameBytes()),
                term(
                        "classes",
                        replica.classes(),
                        nameBytes() + layout.object(1, 10 * 8) + layout.object(0, 3 * 8)),
                term("tenants", replica.tenants(), nameBytes() + layout.object(1, 2 * 8) + 3 * 8),
                endpointList(replica.list()),
                routeTable(replica.table()),
                connections("callers", replica.clientConnections(), CLIENT_CONNECTION_BYTES),
                connections("channels", replica.endpointConnections(), ENDPOINT_CONNECTION_BYTES),
                requestBodies(replica));
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
        long rest = lists.atRest(list) + watchBytes(list);
        long peak = watchBytes(list) + lists.peakOfRepeatedList(list);
        return new Term("nodes", list.nodes(), new MemoryEstimate(rest, peak, 0, 0));
    }

    private Term routeTable(RouteTable table) {
        long rest = tables.atRest(table);
        long peak = table == null ? 0 : tables.atPeak(table, table);
        return new Term("table", table == null ? 0 : 1, new MemoryEstimate(rest, peak, 0, 0));
    }

    private Term requestBodies(ProcessShape replica) {
        long flowing =
                Math.min(replica.activeRequests(), replica.bodyBytes() / BODY_HEAP_BYTES)
                        * BODY_DIRECT_BYTES;
        long heap = replica.activeRequests() * scaledToLayout(REQUEST_BYTES) + replica.bodyBytes();
        long direct = (flowing + DIRECT_CHUNK_BYTES - 1) / DIRECT_CHUNK_BYTES * DIRECT_CHUNK_BYTES;
        return new Term(
                "bodies", replica.activeRequests(), new MemoryEstimate(heap, heap, direct, 0));
    }

    private Term term(String name, int count, long each) {
        return new Term(name, count, MemoryEstimate.heap(count * each));
    }

    private Term connections(String name, int count, int each) {
        long heap = count * scaledToLayout(each);
        return new Term(name, count, new MemoryEstimate(heap, heap, 0, count));
    }

    /** Returns the bytes of one name from the settings, in its list. */
    private long nameBytes() {
        return layout.text(NAME_CHARS) + layout.reference();
    }

    private long scaledToLayout(long bytes) {
        return scaledToLayout(layout, bytes);
    }

    static long scaledToLayout(ObjectLayout layout, long bytes) {
        return layout.reference() == Integer.BYTES ? bytes : (long) (bytes * WIDE_REFERENCE_FACTOR);
    }

    /**
     * Returns the bytes that the watch retains in addition to the nodes and the buffer of their
     * text.
     */
    private long watchBytes(EndpointListShape list) {
        if (list.textBytes() == 0) {
            return 0;
        }
        long parserChars =
                list.textBytes() > MAX_PARSER_CHARS
                        ? MIN_PARSER_CHARS
                        : Math.max(MIN_PARSER_CHARS, list.textBytes());
        return scaledToLayout(WATCH_BYTES) + layout.array(parserChars, 2);
    }

    /** Returns what the replica needs in total. */
    public MemoryEstimate estimate(ProcessShape replica) {
        return terms(replica).stream()
                .map(Term::estimate)
                .reduce(MemoryEstimate.NOTHING, MemoryEstimate::plus);
    }

    /**
     * Returns what one more node like the others needs, with its part of the tables that grow in
     * steps.
     */
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

    /** Returns the bytes of the machine's memory that the replica needs. */
    public long resident(ProcessShape replica) {
        return resident(replica, estimate(replica));
    }

    private long resident(ProcessShape replica, MemoryEstimate all) {
        long heapGrowth = all.peak() - baseline.heap();
        long youngBytes =
                replica.clientConnections() > 0
                        ? YOUNG_GENERATION_BYTES
                        : Math.min(YOUNG_GENERATION_BYTES, ALLOCATION_FACTOR * heapGrowth);
        return baseline.resident() + youngBytes + heapGrowth + all.direct() - baseline.direct();
    }

    /**
     * Returns the bytes of heap that remain for nodes and their lists after everything else that
     * the replica may load.
     */
    public long heapForLists(ProcessShape withoutNodes, long heap) {
        return Math.max(0, heap - estimate(withoutNodes.withNodes(0)).rest());
    }

    /** Returns whether a replica fits, and which limit is closest. */
    public Verdict judge(ProcessShape replica, ProcessLimits limits) {
        MemoryEstimate all = estimate(replica);
        Verdict rest = verdict(Bound.HEAP_AT_REST, all.rest(), limits.heap());
        return Stream.of(
                        rest,
                        verdict(Bound.HEAP_AT_PEAK, all.peak(), limits.heap()),
                        verdict(Bound.RESIDENT, resident(replica, all), limits.resident()),
                        verdict(Bound.DIRECT, all.direct(), limits.direct()),
                        verdict(Bound.DESCRIPTORS, all.descriptors(), limits.descriptors()))
                // If not even the heap at rest fits, that is reported, though the peak exceeds the
                // limit by more.
                .filter(candidate -> rest.fits() || candidate.bound() != Bound.HEAP_AT_PEAK)
                .max(Comparator.comparingDouble(ProcessFootprint::usedFraction))
                .orElseThrow();
    }

    private static double usedFraction(Verdict verdict) {
        return (double) verdict.needed() / verdict.capacity();
    }

    private static Verdict verdict(Bound bound, long needed, long capacity) {
        long effectiveCapacity = capacity == 0 ? Long.MAX_VALUE : capacity;
        return new Verdict(needed <= effectiveCapacity, bound, needed, effectiveCapacity);
    }
}
