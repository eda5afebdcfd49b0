package cedarrudder.program;

import cedarrudder.bodyflow.BufferAccount;
import cedarrudder.footprint.EndpointListFootprint;
import cedarrudder.footprint.EndpointListShape;
import cedarrudder.footprint.MemoryEstimate;
import cedarrudder.footprint.ObjectLayout;
import cedarrudder.footprint.ProcessFootprint;
import cedarrudder.footprint.ProcessLimits;
import cedarrudder.footprint.ProcessShape;
import cedarrudder.operator.CallersTable;
import cedarrudder.operator.FootprintSettings;
import cedarrudder.operator.FootprintTable;
import cedarrudder.operator.NodesTable;
import cedarrudder.operator.OperatorFile;
import cedarrudder.protocol.EndpointListReader;
import cedarrudder.protocol.JsonObject;
import cedarrudder.protocol.SettingsReader;
import cedarrudder.protocol.SiteSettings;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;

/** Reports what a list of endpoints needs of a process with given limits, and whether it fits. */
final class EndpointListCheck {

    private static final String LIST = "servers";

    /**
     * The fraction of the heap's maximum, as 1 in this many, that the collector reserves for
     * surviving objects.
     */
    private static final int SURVIVORS = 30;

    /** The endpoint list in a file, and the configuration around it; null where there is none. */
    private record ListFile(JsonObject list, JsonObject configuration) {}

    private final ObjectLayout layout = MachineLayout.read();
    private final ProcessFootprint replica = new ProcessFootprint(layout);
    private final OperatorFile operator;
    private final ProcessLimits limits;
    private final PrintWriter out;

    /**
     * Creates a check.
     *
     * @param limits the limits, with the heap's maximum as the virtual machine's flag states it
     */
    EndpointListCheck(OperatorFile operator, ProcessLimits limits, PrintWriter out) {
        this.operator = operator;
        this.limits =
                new ProcessLimits(
                        limits.heap() - limits.heap() / SURVIVORS,
                        limits.resident(),
                        limits.direct(),
                        limits.descriptors());
        this.out = out;
    }

    /**
     * Prints the memory terms and the verdicts.
     *
     * @param before the list that is loaded when the new one arrives; null: none
     * @return whether all endpoints fit, at once or in steps
     */
    boolean check(Path file, Path before) {
        ListFile files;
        JsonObject held;
        try {
            files = read(file);
            held = before == null ? null : read(before).list;
        } catch (IllegalArgumentException e) {
            out.println(e.getMessage());
            return false;
        }
        JsonObject configuration = files.configuration;
        SiteSettings site =
                configuration == null ? null : SettingsReader.read(configuration.child("settings"));
        int sockets =
                configuration == null
                        ? ProxyConfiguration.DEFAULT_SOCKETS
                        : ProxyConfiguration.sockets(configuration);
        EndpointListShape list = EndpointListReader.shape(files.list);
        int callers = operator.of(CallersTable.CALLERS).maxClients(sockets);
        int channels = operator.of(NodesTable.NODES).bounds(sockets, callers).maxIdle();
        ProcessShape shape =
                new ProcessShape(
                        list,
                        site == null ? 0 : site.zones().size(),
                        site == null ? 0 : site.kinds().size(),
                        site == null ? 0 : site.module().classes().size(),
                        site == null ? 0 : site.module().tenants().size(),
                        null,
                        callers,
                        channels,
                        callers,
                        BufferAccount.MAX);
        out.println(file + ": " + list.nodes() + " nodes");
        terms(shape);
        MemoryEstimate one = replica.oneMoreNode(shape);
        out.println("one more node: " + one.rest() + " at rest, " + one.peak() + " at the peak");
        boolean nodes = nodes(shape, list, files.list, held);
        return process(shape) && nodes;
    }

    private void terms(ProcessShape shape) {
        out.println(row("term", "count", "heap at rest", "heap at peak", "direct", "descriptors"));
        replica.terms(shape)
                .forEach(term -> out.println(row(term.name(), term.count(), term.estimate())));
        out.println(row("all", "", replica.estimate(shape)));
    }

    private static String row(String name, Object count, MemoryEstimate takes) {
        return row(name, count, takes.rest(), takes.peak(), takes.direct(), takes.descriptors());
    }

    private static String row(Object... cells) {
        return String.format("%-8s%8s%14s%14s%10s%13s", cells);
    }

    /** Returns whether the endpoints fit into their fraction of the heap. */
    private boolean nodes(
            ProcessShape shape, EndpointListShape list, JsonObject listObject, JsonObject held) {
        FootprintSettings set = operator.of(FootprintTable.FOOTPRINT);
        double share = set == null ? FootprintSettings.DEFAULT.heapShare() : set.heapShare();
        long capacity =
                Math.min(
                        (long) (share * limits.heap()), replica.heapForLists(shape, limits.heap()));
        EndpointListFootprint footprint = new EndpointListFootprint(layout);
        Set<String> known = held == null ? Set.of() : ids(held);
        int added =
                (int)
                        listObject.objects(LIST, true).stream()
                                .filter(
                                        entry ->
                                                entry == null
                                                        || !known.contains(entry.text("id", "")))
                                .count();
        EndpointListShape before =
                held == null ? EndpointListShape.NONE : EndpointListReader.shape(held);
        EndpointListFootprint.Verdict verdict =
                footprint.judge(before, list, added, true, capacity);
        List<Integer> steps = footprint.steps(before, list, added, true, capacity);
        int never = added - steps.stream().mapToInt(Integer::intValue).sum();
        int min = set == null ? FootprintSettings.DEFAULT.fromNodes() : set.fromNodes();
        boolean few = list.nodes() < min;
        String outcome =
                verdict.fits()
                        ? "fit"
                        : never == 0
                                ? "fit in steps of " + steps
                                : "don't fit, " + never + " of them in no step";
        out.println(
                "nodes: "
                        + outcome
                        + "; "
                        + boundText(verdict.bound(), verdict.needed(), capacity)
                        + (few && !verdict.fits()
                                ? "; all are loaded, since from_nodes is " + min
                                : ""));
        return few || never == 0;
    }

    private static Set<String> ids(JsonObject list) {
        Set<String> ids = new HashSet<>();
        list.objects(LIST, true).stream()
                .filter(entry -> entry != null)
                .forEach(entry -> ids.add(entry.text("id", "")));
        return ids;
    }

    /**
     * Returns whether the process fits with the maximum numbers of clients, connections and bodies.
     */
    private boolean process(ProcessShape shape) {
        ProcessFootprint.Verdict verdict = replica.judge(shape, limits);
        out.println(
                "process: "
                        + (verdict.fits() ? "fits" : "does not fit")
                        + "; "
                        + boundText(verdict.bound(), verdict.needed(), verdict.capacity()));
        return verdict.fits();
    }

    private static String boundText(Enum<?> bound, long needed, long capacity) {
        return bound.name().toLowerCase(Locale.ROOT)
                + " needs "
                + needed
                + " of "
                + capacity
                + ", "
                + (needed <= capacity
                        ? capacity - needed + " to spare"
                        : needed - capacity + " too many");
    }

    /** Reads a list in the form that discovery sends, or a configuration with its initial list. */
    private static ListFile read(Path file) {
        JsonObject json;
        try {
            json = JsonObject.parse(Files.readString(file));
        } catch (IOException e) {
            throw new IllegalArgumentException(file + ": can't be read: " + e, e);
        } catch (IllegalArgumentException e) {
            throw new IllegalArgumentException(
                    file + ": found " + e.getMessage() + "; allowed: a JSON object", e);
        }
        try {
            boolean bare = !json.objects(LIST, false).isEmpty();
            JsonObject list = bare ? json : json.child("known");
            if (list.objects(LIST, false).isEmpty()) {
                throw new IllegalArgumentException("no nodes");
            }
            if (!bare) {
                SettingsReader.read(json.child("settings"));
            }
            return new ListFile(list, bare ? null : json);
        } catch (IllegalArgumentException e) {
            throw new IllegalArgumentException(
                    file
                            + ": found "
                            + e.getMessage()
                            + "; allowed: a list of "
                            + "nodes with 'servers', or a configuration that has one under 'known'",
                    e);
        }
    }
}
