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
 * What this process takes beside what it may, where the operator's file has {@code [footprint]}.
 */
final class ProcessMemoryEstimate {

    /** The collector compacts all of the heap at each fourth of its collections. */
    private static final int MEASURING_COLLECTIONS = 4;

    /** What a start still adds: listeners, and the classes that its warm-up loads. */
    private static final long REMAINING_START_BYTES = 235_000;

    /** What a process holds beside its endpoints. */
    record Load(int clients, int connections, int openRequests, long bufferedBytes) {}

    /** Tells what the process holds now. */
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
     * @param further this many descriptors more than usual are open for good
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
     * Bytes of the heap for endpoints and their lists: a share of it, and no more than is left
     * beside all that the process may come to hold.
     */
    long capacity(double share, Load max) {
        return Math.min(
                (long) (share * limits.heap()),
                footprint.heapForLists(shape(EndpointListShape.NONE, max), limits.heap()));
    }

    /**
     * From now on what was there before the first list is what this process says, after a
     * collection. To be called in the loop's first turn, when nobody waits. This avoids an estimate
     * that knows nothing of the other tables of the operator's file.
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

    /** Whether estimates are by what this process has measured. */
    boolean isMeasured() {
        return isMeasured;
    }

    /** Bytes that live, as the collector saw them: what is allocated since does not count. */
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

    /** What operators see of it; null before the first list. */
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

    /** What this replica can load of route tables, beside the endpoints that it holds. */
    RouteTableCapacity capacity(RouteTable held, EndpointListReader gate) {
        return tables.capacity(held, gate.left(), gate.max());
    }

    /**
     * Writes a verdict for the judge of many replicas: of the whole list, and of what is loaded of
     * it.
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
     * What was judged last is loaded: says so, and what the process then holds, on a thread of its
     * own.
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
