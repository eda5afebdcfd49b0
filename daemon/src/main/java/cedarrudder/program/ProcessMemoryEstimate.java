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
    private static final int COLLECTIONS = 4;

    /** What a start still adds: listeners, and the classes that its warm-up loads. */
    private static final long STARTING = 235_000;

    /** What a process holds beside its endpoints. */
    record Load(int callers, int channels, int bodies, long bodyBytes) {}

    /** Tells what the process holds now. */
    interface Now {
        Load load();
    }

    private final SiteSettings site;
    private final ObjectLayout layout;
    private final RouteTableFootprint tables;
    private final ProcessLimits limits;
    private final Now now;
    private ProcessFootprint replica;
    private boolean measured;
    private int judged;
    private String loads;

    /**
     * @param further this many descriptors more than usual are open for good
     */
    ProcessMemoryEstimate(
            SiteSettings site, ObjectLayout layout, ProcessLimits limits, int further, Now now) {
        this.site = site;
        this.layout = layout;
        this.tables = new RouteTableFootprint(layout);
        this.limits = limits;
        this.now = now;
        ProcessBaseline usual = new ProcessFootprint(layout).ground();
        this.replica =
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
                load.callers,
                load.channels,
                load.bodies,
                load.bodyBytes);
    }

    /**
     * Bytes of the heap for endpoints and their lists: a share of it, and no more than is left
     * beside all that the process may come to hold.
     */
    long room(double share, Load max) {
        return Math.min(
                (long) (share * limits.heap()),
                replica.left(shape(EndpointListShape.NONE, max), limits.heap()));
    }

    /**
     * From now on what was there before the first list is what this process says, after a
     * collection. To be called in the loop's first turn, when nobody waits. This avoids an estimate
     * that knows nothing of the other tables of the operator's file.
     */
    void measure(EndpointListShape held) {
        long known = replica.takes(shape(held, now.load())).rest() - replica.ground().heap();
        replica =
                new ProcessFootprint(
                        layout,
                        new ProcessBaseline(
                                live() - known + STARTING,
                                replica.ground().resident(),
                                replica.ground().direct(),
                                replica.ground().descriptors()));
        measured = true;
    }

    /** Whether estimates are by what this process has measured. */
    boolean measured() {
        return measured;
    }

    /** Bytes that live, as the collector saw them: what is allocated since does not count. */
    static long live() {
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
    MetricsPage.Estimate figures(EndpointListReader gate) {
        if (gate.last() == null) {
            return null;
        }
        ProcessShape shape = shape(gate.held(), now.load());
        return new MetricsPage.Estimate(
                gate.last(),
                replica.takes(shape),
                replica.oneMoreNode(shape),
                replica.resident(shape),
                replica.judge(shape, limits),
                room(null, gate));
    }

    /** What this replica can load of route tables, beside the endpoints that it holds. */
    RouteTableCapacity room(RouteTable held, EndpointListReader gate) {
        return tables.room(held, gate.left(), gate.max());
    }

    /**
     * Writes a verdict for the judge of many replicas: of the whole list, and of what is loaded of
     * it.
     */
    void judged(Judged list, EventRecorder history) {
        loads = "list " + ++judged;
        note(history, list.all(), list.fits());
        if (!list.fits()) {
            loads += " as far as it fits";
            note(history, list.then(), true);
        }
    }

    private void note(EventRecorder history, EndpointListShape list, boolean fits) {
        history.note(
                "estimate",
                Map.of(
                        "load",
                        loads,
                        "bound",
                        "heap_at_rest",
                        "fits",
                        fits ? 1 : 0,
                        "needed",
                        replica.takes(shape(list, now.load())).rest()));
    }

    /**
     * What was judged last is loaded: says so, and what the process then holds, on a thread of its
     * own.
     */
    void took(EventRecorder history, Consumer<Runnable> loop) {
        String load = loads;
        history.note("took", Map.of("load", load));
        Thread measuring =
                new Thread(
                        () -> {
                            long min = Long.MAX_VALUE;
                            for (int i = 0; i < COLLECTIONS; i++) {
                                min = Math.min(min, live());
                            }
                            long held = min;
                            loop.accept(
                                    () ->
                                            history.note(
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
