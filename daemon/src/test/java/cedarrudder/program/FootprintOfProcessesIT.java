package cedarrudder.program;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import cedarrudder.balancer.Await;
import cedarrudder.footprint.EndpointListShape;
import cedarrudder.footprint.ProcessFootprint;
import cedarrudder.footprint.ProcessShape;
import cedarrudder.program.ProxyHarness.Received;
import cedarrudder.protocol.JsonObject;
import cedarrudder.toml.ConfigDocument;
import java.io.File;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.testng.annotations.Test;

/**
 * Compares the footprint that the built jar reports with its actual use, under the platform's own
 * flags.
 */
public class FootprintOfProcessesIT {

    private static final double MAX_UNDER = 0.03;
    private static final double MAX_OVER = 0.15;

    /**
     * The number of heap readings for the bytes of a list alone. Short-lived use, such as a request
     * to discovery or the last steps of the start, only adds to a reading: the min is the use at
     * rest.
     */
    private static final int READINGS = 10;

    /** The reported footprint of a process and its actual use. */
    private record Footprints(JsonObject reported, long heap, long resident, int descriptors) {}

    /** Returns the flags of the platform's command, with every collection a compacting one. */
    private static List<String> flags() throws Exception {
        String run =
                ConfigDocument.read(Path.of("deploy", "balancer.toml")).root().text("run", null);
        List<String> flags = new ArrayList<>(List.of("-XX:MarkSweepAlwaysCompactCount=1"));
        for (String word : run.split(" ")) {
            if (word.startsWith("-X")) {
                flags.add(word);
            }
        }
        return flags;
    }

    private static ProxyHarness harness(int zones, int tenants) throws Exception {
        StringBuilder zone = new StringBuilder("\"room\"");
        for (int i = 1; i < zones; i++) {
            zone.append(",\"zone-").append(i).append('"');
        }
        StringBuilder tenant = new StringBuilder();
        for (int i = 0; i < tenants; i++) {
            tenant.append(i == 0 ? "" : ",")
                    .append("{\"name\":\"tenant-")
                    .append(i)
                    .append("\",\"share\":")
                    .append(1.0 / tenants)
                    .append(",\"quota-per-s\":10}");
        }
        return new ProxyHarness(0)
                .with("\"room\"", zone.toString())
                .with(
                        "{\"name\": \"acme\", \"share\": 1.0, \"quota-per-s\": 100.0}",
                        tenant.toString());
    }

    /**
     * Sends the lists on each watch from now on, and the last of them in answer to each request for
     * a list.
     */
    private static void serveLists(ProxyHarness harness, String... lists) {
        TestEndpoints.daemon(
                () -> {
                    while (true) {
                        Received lookup = harness.lookups.take();
                        if (lookup.first().contains("follow")) {
                            lookup.raw(ProxyHarness.STREAM);
                            for (String list : lists) {
                                lookup.chunk(list + "\n");
                            }
                        } else {
                            lookup.reply("200 OK", lists[lists.length - 1]);
                        }
                    }
                });
    }

    /**
     * Returns a list of endpoints that refuse connections at once, so that none is open while
     * descriptors are counted.
     */
    private static String list(int nodes, int zones) {
        return RetainedEndpointList.list(0, nodes, zones)
                .replace("\"addr\":\"10.", "\"addr\":\"127.");
    }

    private static Path operator(String more) throws IOException {
        Path file = Files.createTempFile("operator", ".toml");
        Files.writeString(file, "[footprint]\nheap_share = 0.9\n" + more);
        return file;
    }

    private static long residentBytes(Process process) throws IOException {
        return Long.parseLong(
                        Files.readString(Path.of("/proc", Long.toString(process.pid()), "statm"))
                                .split(" ")[1])
                * 4096;
    }

    /** Returns the bytes of all live objects after a collection. */
    private static long live(Process process) throws Exception {
        Process jcmd =
                new ProcessBuilder(
                                Path.of(System.getProperty("java.home"), "bin", "jcmd").toString(),
                                Long.toString(process.pid()),
                                "GC.class_histogram")
                        .redirectErrorStream(true)
                        .start();
        String output = new String(jcmd.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        assertEquals(Await.end("the end of jcmd", jcmd), 0, output);
        return output.lines()
                .filter(line -> line.startsWith("Total"))
                .mapToLong(line -> Long.parseLong(line.strip().split("\\s+")[2]))
                .findFirst()
                .orElseThrow();
    }

    /**
     * Makes discovery reset each request while the returned flag is true. Otherwise requests
     * waiting for discovery, and the spare connection beside them, would be counted as in use
     * before a list was received; they end once it is.
     */
    private static AtomicBoolean resetLookups(ProxyHarness harness) {
        AtomicBoolean resetting = new AtomicBoolean(true);
        TestEndpoints.daemon(
                () -> {
                    while (resetting.get()) {
                        Received lookup = harness.lookups.poll(1, TimeUnit.MILLISECONDS);
                        if (lookup != null) {
                            lookup.reset();
                        }
                    }
                });
        return resetting;
    }

    private static ProxyUnderTest start(ProxyHarness harness, List<String> flags)
            throws IOException {
        return new ProxyUnderTest(
                harness,
                Files.createTempDirectory("fit"),
                "",
                flags,
                List.of("--operator", operator("").toString()));
    }

    private static Footprints rest(int nodes, int zones, int tenants) throws Exception {
        try (ProxyHarness harness = harness(zones, tenants);
                ProxyUnderTest proxy = start(harness, flags())) {
            AtomicBoolean resetting = resetLookups(harness);
            proxy.awaitLine("proxy.started");
            // The first run creates the objects that jcmd itself leaves, so that they are not
            // counted.
            live(proxy.process);
            live(proxy.process);
            resetting.set(false);
            serveLists(harness, list(nodes, zones));
            proxy.awaitMetric("registry_entries", nodes);
            long resident = residentBytes(proxy.process);
            int descriptors = Integer.MAX_VALUE;
            // Connections of this test to the operators' address may still be closing.
            for (int i = 0; i < 10; i++) {
                descriptors =
                        Math.min(descriptors, proxy.descriptors() - 1); // except the one for jcmd
                Thread.sleep(20);
            }
            JsonObject reported =
                    JsonObject.parse(proxy.request("GET", "/-/metrics").body())
                            .child("footprint")
                            .child("process");
            return new Footprints(reported, live(proxy.process), resident, descriptors);
        }
    }

    /**
     * Returns the growth of the heap by a list, measured in its own process since the many readings
     * enlarge the resident memory.
     */
    private static long heapGrowthByList(int nodes, int zones, int tenants) throws Exception {
        List<String> flags = new ArrayList<>(flags());
        // Otherwise softly referenced objects may be collected between two readings.
        flags.add("-XX:SoftRefLRUPolicyMSPerMB=1000000");
        try (ProxyHarness harness = harness(zones, tenants);
                ProxyUnderTest proxy = start(harness, flags)) {
            AtomicBoolean resetting = resetLookups(harness);
            proxy.awaitLine("proxy.started");
            long before = minLive(proxy.process);
            resetting.set(false);
            serveLists(harness, list(nodes, zones));
            proxy.awaitMetric("registry_entries", nodes);
            return minLive(proxy.process) - before;
        }
    }

    private static long minLive(Process process) throws Exception {
        long minBytes = Long.MAX_VALUE;
        for (int i = 0; i < READINGS; i++) {
            minBytes = Math.min(minBytes, live(process));
        }
        return minBytes;
    }

    /** Returns the estimated heap bytes of a list and of the watch that receives it. */
    private static long list(String text, int nodes) {
        ProcessFootprint footprint = new ProcessFootprint(MachineLayout.read());
        EndpointListShape list =
                new EndpointListShape(nodes, text.length(), nodes * 10L, nodes * 37L);
        return footprint.estimate(new ProcessShape(list, 0, 0, 0, 0, null, 0, 0, 0, 0)).rest()
                - footprint.baseline().heap();
    }

    private static String compare(String what, long estimate, long used) {
        double off = estimate / (double) used - 1;
        String line =
                String.format(
                        "%s: estimated %d, used %d, %+.1f %%", what, estimate, used, 100 * off);
        System.out.println(line);
        return off < -MAX_UNDER || off > MAX_OVER ? line + "\n" : "";
    }

    /** The estimate must cover every part of the process and its size. */
    @Test
    public void estimateAtRestIsAtMost3PercentBelowAnd15PercentAboveTheUse() throws Exception {
        StringBuilder wrong = new StringBuilder();
        boolean all = System.getProperty("footprint.nodes") != null;
        for (int nodes = 10; nodes <= Integer.getInteger("footprint.nodes", 1_000); nodes *= 10) {
            for (int zones : all ? new int[] {1, 12} : new int[] {12}) {
                for (int tenants : all ? new int[] {1, 20} : new int[] {20}) {
                    Footprints footprints = rest(nodes, zones, tenants);
                    String name = nodes + " nodes, " + zones + " zones, " + tenants + " tenants, ";
                    wrong.append(
                            compare(
                                    name + "heap",
                                    footprints.reported.integer("heap_at_rest"),
                                    footprints.heap));
                    wrong.append(
                            compare(
                                    name + "list alone",
                                    list(list(nodes, zones), nodes),
                                    heapGrowthByList(nodes, zones, tenants)));
                    wrong.append(
                            compare(
                                    name + "resident",
                                    footprints.reported.integer("resident"),
                                    footprints.resident));
                    wrong.append(
                            compare(
                                    name + "descriptors",
                                    footprints.reported.integer("descriptors"),
                                    footprints.descriptors));
                }
            }
        }
        assertTrue(wrong.isEmpty(), wrong.toString());
    }

    /** The estimate must cover the peak while a list is loaded. */
    @Test
    public void estimateOfThePeakIsAtMost3PercentBelowAnd15PercentAboveTheUse() throws Exception {
        StringBuilder wrong = new StringBuilder();
        for (int nodes = 1_000;
                nodes <= Integer.getInteger("footprint.nodes", 1_000);
                nodes *= 10) {
            Path begin = Files.createTempDirectory("fit").resolve("begin");
            List<String> flags = new ArrayList<>(flags());
            flags.add("-D" + GarbageCollectingDaemon.FILE + "=" + begin);
            try (ProxyHarness harness = harness(12, 20);
                    ProxyUnderTest proxy =
                            new ProxyUnderTest(
                                    harness,
                                    Files.createTempDirectory("fit"),
                                    "",
                                    flags,
                                    List.of(
                                            "-cp",
                                            ProxyUnderTest.JAR
                                                    + File.pathSeparator
                                                    + Path.of("daemon", "target", "test-classes"),
                                            "cedarrudder.program.GarbageCollectingDaemon"),
                                    List.of("--operator", operator("").toString()))) {
                proxy.awaitLine("proxy.started");
                Files.createFile(begin);
                Await.line(
                        "the first collection",
                        proxy.process,
                        proxy.log,
                        line -> GarbageCollectingDaemon.max(line) > 0);
                // Sent several times: a peak is short, and each of these loads has one.
                String list = list(nodes, 12);
                serveLists(harness, list, list, list, list(nodes - 1, 12));
                long[] max = {0};
                proxy.awaitMetric("registry_entries", nodes - 1);
                JsonObject reported =
                        JsonObject.parse(proxy.request("GET", "/-/metrics").body())
                                .child("footprint")
                                .child("process");
                proxy.signal("TERM");
                proxy.rest()
                        .lines()
                        .forEach(
                                line ->
                                        max[0] =
                                                Math.max(
                                                        max[0], GarbageCollectingDaemon.max(line)));
                wrong.append(
                        compare(
                                nodes + " nodes, at the peak",
                                reported.integer("heap_at_peak"),
                                max[0]));
            }
        }
        assertTrue(wrong.isEmpty(), wrong.toString());
    }

    /** The history must show whether the estimate was right. */
    @Test
    public void theHistoryRecordsTheEstimateAndTheUseAfterwards() throws Exception {
        Path history = Files.createTempDirectory("history").resolve("history.jsonl");
        try (ProxyHarness harness = harness(3, 2);
                ProxyUnderTest proxy =
                        new ProxyUnderTest(
                                harness,
                                Files.createTempDirectory("fit"),
                                "",
                                flags(),
                                List.of(
                                        "--operator",
                                        operator(
                                                        "from_nodes = 0\n[history]\nfile = \""
                                                                + history
                                                                + "\"\n")
                                                .toString()))) {
            serveLists(harness, list(300, 3));
            proxy.awaitLine("proxy.started");
            proxy.awaitMetric("registry_entries", 300);
            Await.until(
                    "the use after the load", () -> Files.readString(history).contains("\"held\""));
        }
        List<JsonObject> output =
                Files.readAllLines(history).stream()
                        .map(JsonObject::parse)
                        .filter(line -> line.isText("load"))
                        .toList();
        assertEquals(
                output.stream().map(line -> line.text("what", "")).toList(),
                List.of("estimate", "took", "held"));
        assertEquals(
                output.stream().map(line -> line.text("load", "")).distinct().toList(),
                List.of("list 1"));
        assertEquals(output.get(0).text("fits", ""), "1");
        assertEquals(output.get(0).text("bound", ""), output.get(2).text("bound", ""));
        assertEquals(
                compare(
                        "300 nodes, by the history",
                        Long.parseLong(output.get(0).text("needed", "")),
                        Long.parseLong(output.get(2).text("now", ""))),
                "");
    }
}
