package cedarrudder.program;

import cedarrudder.footprint.EndpointListShape;
import cedarrudder.footprint.ObjectLayout;
import cedarrudder.footprint.ProcessBaseline;
import cedarrudder.footprint.ProcessFootprint;
import cedarrudder.footprint.ProcessLimits;
import cedarrudder.footprint.ProcessShape;
import cedarrudder.footprint.RouteTableCapacity;
import cedarrudder.footprint.RouteTableFootprint;
import cedarrudder.protocol.EndpointListReader;
import cedarrudder.protocol.EndpointListReader.Judged;
import cedarrudder.protocol.MetricsPage;
import cedarrudder.protocol.SiteSettings;
import cedarrudder.routetable.RouteTable;
import cedarrudder.transport.EventRecorder;
import java.lang.management.ManagementFactory;
import java.lang.management.MemoryType;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Estimates the memory and descriptors that this process needs, against its limits; used where the
 * operator's file has {@code [footprint]}.
 */
final class ProcessMemoryEstimate {

    /** The collector compacts the whole heap at every fourth of its collections. */
    private static final int MEASURING_COLLECTIONS = 4;

    /**
     * The bytes that the rest of the start still adds: listeners, and the classes that the warm-up
     * loads.
     */
    private static final long REMAINING_START_BYTES = 235_000;

    /** The load of a process beside its endpoints. */
    record Load(int clients, int connections, int openRequests, long bufferedBytes) {}

    /** Supplies the current load of the process. */
    interface LoadSource {
        Load load();
    }

    private final SiteSettings site;
    private final ObjectLayout layout;
    private final RouteTableFootprint tables;
    private final ProcessLimits limits;
    private final LoadSource loadSource;
    private ProcessFootprint footprint;
    private boolean isMeasured;
    private int verdicts;
    private String currentLoad;

    /**
     * Creates an estimate.
     *
     * @param further the descriptors that are open permanently beyond the usual number
     * @param now supplies the current load
     */
    ProcessMemoryEstimate(
            SiteSettings site,
            ObjectLayout layout,
            ProcessLimits limits,
            int further,
            LoadSource now) {
        this.site = site;
        this.layout = layout;
        this.tables = new RouteTableFootprint(layout);
        this.limits = limits;
        this.loadSource = now;
        ProcessBaseline usual = new ProcessFootprint(layout).baseline();
        this.footprint =
                new ProcessFootprint(
                        layout,
                        new ProcessBaseline(
                                usual.heap(),
                                usual.resident(),
                                usual.direct(),
                                usual.descriptors() + further));
    }

    private ProcessShape shape(EndpointListShape list, Load load) {
        return new ProcessShape(
                list,
                site.zones().size(),
                site.kinds().size(),
                site.module().classes().size(),
                site.module().tenants().size(),
                null,
                load.clients,
                load.connections,
                load.openRequests,
                load.bufferedBytes);
    }

    /**
     * Returns the bytes of the heap for endpoints and their lists: a fraction of the heap, and no
     * more than is left beside the maximum load of the process.
     */
    long capacity(double share, Load max) {
        return Math.min(
                (long) (share * limits.heap()),
                footprint.heapForLists(shape(EndpointListShape.NONE, max), limits.heap()));
    }

    /**
     * Replaces the baseline by what this process uses after a collection, without the first list,
     * since the default baseline does not include the other tables of the operator's file. Must be
     * called in the loop's first iteration, when no request waits.
     */
    void measure(EndpointListShape held) {
        long known =
                footprint.estimate(shape(held, loadSource.load())).rest()
                        - footprint.baseline().heap();
        footprint =
                new ProcessFootprint(
                        layout,
                        new ProcessBaseline(
                                liveHeapBytes() - known + REMAINING_START_BYTES,
                                footprint.baseline().resident(),
                                footprint.baseline().direct(),
                                footprint.baseline().descriptors()));
        isMeasured = true;
    }

    /** Returns whether estimates are based on a measurement of this process. */
    boolean isMeasured() {
        return isMeasured;
    }

    /**
     * Returns the bytes that were live at the last collection; what has been allocated since does
     * not count.
     */
    static long liveHeapBytes() {
        System.gc();
        return ManagementFactory.getMemoryPoolMXBeans().stream()
                .filter(
                        pool ->
                                pool.getType() == MemoryType.HEAP
                                        && pool.getCollectionUsage() != null)
                .mapToLong(pool -> pool.getCollectionUsage().getUsed())
                .sum();
    }

    /** Returns the estimate that operators see; null before the first list. */
    MetricsPage.Estimate metrics(EndpointListReader gate) {
        if (gate.last() == null) {
            return null;
        }
        ProcessShape shape = shape(gate.held(), loadSource.load());
        return new MetricsPage.Estimate(
                gate.last(),
                footprint.estimate(shape),
                footprint.oneMoreNode(shape),
                footprint.resident(shape),
                footprint.judge(shape, limits),
                capacity(null, gate));
    }

    /**
     * Returns what this replica can load of route tables, beside the endpoints that it has loaded.
     */
    RouteTableCapacity capacity(RouteTable held, EndpointListReader gate) {
        return tables.capacity(held, gate.left(), gate.max());
    }

    /**
     * Records the verdict for a checker that reads the histories of many replicas: for the whole
     * list, and for the part of it that is loaded.
     */
    void recordVerdict(Judged list, EventRecorder history) {
        currentLoad = "list " + ++verdicts;
        recordVerdict(history, list.all(), list.fits());
        if (!list.fits()) {
            currentLoad += " as far as it fits";
            recordVerdict(history, list.then(), true);
        }
    }

    private void recordVerdict(EventRecorder history, EndpointListShape list, boolean fits) {
        history.record(
                "estimate",
                Map.of(
                        "load",
                        currentLoad,
                        "bound",
                        "heap_at_rest",
                        "fits",
                        fits ? 1 : 0,
                        "needed",
                        footprint.estimate(shape(list, loadSource.load())).rest()));
    }

    /**
     * Records that the list of the latest verdict, or the part of it that fits, is loaded. A
     * separate thread then measures the heap that the process uses, and the result is recorded too.
     */
    void recordHeld(EventRecorder history, Consumer<Runnable> loop) {
        String load = currentLoad;
        history.record("took", Map.of("load", load));
        Thread measuring =
                new Thread(
                        () -> {
                            long min = Long.MAX_VALUE;
                            for (int i = 0; i < MEASURING_COLLECTIONS; i++) {
                                min = Math.min(min, liveHeapBytes());
                            }
                            long held = min;
                            loop.accept(
                                    () ->
                                            history.record(
                                                    "held",
                                                    Map.of(
                                                            "load",
                                                            load,
                                                            "bound",
                                                            "heap_at_rest",
                                                            "now",
                                                            held)));
                        },
                        "measure");
        measuring.setDaemon(true);
        measuring.start();
    }
}
