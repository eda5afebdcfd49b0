package cedarrudder.program;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import cedarrudder.balancer.Await;
import cedarrudder.footprint.EndpointListShape;
import cedarrudder.footprint.ProcessFootprint;
import cedarrudder.footprint.ProcessShape;
import cedarrudder.program.World.Received;
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
 * What the built jar says that it takes, beside what it then holds, under the platform's own flags.
 */
public class FootprintOfProcessesIT {

    private static final double MAX_UNDER = 0.03;
    private static final double MAX_OVER = 0.15;

    /**
     * The heap is read this often for what a list alone holds. What a process does for a moment,
     * such as a call to discovery or the last of its start, only adds to a reading: the least is at
     * rest.
     */
    private static final int READINGS = 10;

    /** What a process said and held. */
    private record Seen(JsonObject says, long heap, long resident, int descriptors) {}

    /** The flags of the platform's command, with every collection one that compacts all. */
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

    private static World world(int zones, int tenants) throws Exception {
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
        return new World(0)
                .with("\"room\"", zone.toString())
                .with(
                        "{\"name\": \"acme\", \"share\": 1.0, \"quota-per-s\": 100.0}",
                        tenant.toString());
    }

    /** Tells the lists on each watch from now on, and at each call for one the last of them. */
    private static void tell(World world, String... lists) {
        Nodes.daemon(
                () -> {
                    while (true) {
                        Received lookup = world.lookups.take();
                        if (lookup.first().contains("follow")) {
                            lookup.raw(World.STREAM);
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
     * Of endpoints that refuse connections at once, so that none is open while descriptors are
     * counted.
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

    private static long pages(Process process) throws IOException {
        return Long.parseLong(
                        Files.readString(Path.of("/proc", Long.toString(process.pid()), "statm"))
                                .split(" ")[1])
                * 4096;
    }

    /** Bytes of all objects that live, after a collection. */
    private static long live(Process process) throws Exception {
        Process jcmd =
                new ProcessBuilder(
                                Path.of(System.getProperty("java.home"), "bin", "jcmd").toString(),
                                Long.toString(process.pid()),
                                "GC.class_histogram")
                        .redirectErrorStream(true)
                        .start();
        String said = new String(jcmd.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        assertEquals(Await.end("the end of jcmd", jcmd), 0, said);
        return said.lines()
                .filter(line -> line.startsWith("Total"))
                .mapToLong(line -> Long.parseLong(line.strip().split("\\s+")[2]))
                .findFirst()
                .orElseThrow();
    }

    /**
     * Discovery resets each call as long as this holds. Detects calls that wait for it, and the
     * spare connection beside them, being counted as held before a list was told: they go once it
     * is.
     */
    private static AtomicBoolean turnAway(World world) {
        AtomicBoolean away = new AtomicBoolean(true);
        Nodes.daemon(
                () -> {
                    while (away.get()) {
                        Received lookup = world.lookups.poll(1, TimeUnit.MILLISECONDS);
                        if (lookup != null) {
                            lookup.reset();
                        }
                    }
                });
        return away;
    }

    private static ProxyUnderTest start(World world, List<String> flags) throws IOException {
        return new ProxyUnderTest(
                world,
                Files.createTempDirectory("fit"),
                "",
                flags,
                List.of("--operator", operator("").toString()));
    }

    private static Seen rest(int nodes, int zones, int tenants) throws Exception {
        try (World world = world(zones, tenants);
                ProxyUnderTest proxy = start(world, flags())) {
            AtomicBoolean away = turnAway(world);
            proxy.awaitLine("proxy.started");
            live(proxy.process); // first: what jcmd itself leaves there counts for nothing
            live(proxy.process);
            away.set(false);
            tell(world, list(nodes, zones));
            proxy.awaitFigure("registry_entries", nodes);
            long resident = pages(proxy.process);
            int descriptors = Integer.MAX_VALUE;
            for (int i = 0;
                    i < 10;
                    i++) { // operators' connections of this test may still be closing
                descriptors = Math.min(descriptors, proxy.descriptors() - 1); // but that for jcmd
                Thread.sleep(20);
            }
            JsonObject says =
                    JsonObject.parse(proxy.call("GET", "/-/metrics").body())
                            .child("footprint")
                            .child("process");
            return new Seen(says, live(proxy.process), resident, descriptors);
        }
    }

    /**
     * By how much a list lets the heap grow, in a process of its own: the many readings enlarge
     * what is resident.
     */
    private static long heldByList(int nodes, int zones, int tenants) throws Exception {
        List<String> flags = new ArrayList<>(flags());
        // Else what soft references hold may go between two readings.
        flags.add("-XX:SoftRefLRUPolicyMSPerMB=1000000");
        try (World world = world(zones, tenants);
                ProxyUnderTest proxy = start(world, flags)) {
            AtomicBoolean away = turnAway(world);
            proxy.awaitLine("proxy.started");
            long before = leastLive(proxy.process);
            away.set(false);
            tell(world, list(nodes, zones));
            proxy.awaitFigure("registry_entries", nodes);
            return leastLive(proxy.process) - before;
        }
    }

    private static long leastLive(Process process) throws Exception {
        long least = Long.MAX_VALUE;
        for (int i = 0; i < READINGS; i++) {
            least = Math.min(least, live(process));
        }
        return least;
    }

    /** What a list is said to take, with the watch that tells it. */
    private static long list(String text, int nodes) {
        ProcessFootprint footprint = new ProcessFootprint(MachineLayout.read());
        EndpointListShape list =
                new EndpointListShape(nodes, text.length(), nodes * 10L, nodes * 37L);
        return footprint.estimate(new ProcessShape(list, 0, 0, 0, 0, null, 0, 0, 0, 0)).rest()
                - footprint.baseline().heap();
    }

    private static String compare(String what, long estimate, long held) {
        double off = estimate / (double) held - 1;
        String line =
                String.format("%s: said %d, held %d, %+.1f %%", what, estimate, held, 100 * off);
        System.out.println(line);
        return off < -MAX_UNDER || off > MAX_OVER ? line + "\n" : "";
    }

    /** Detects a term that is forgotten, or one that grew since it was measured. */
    @Test
    public void atRestNeverUnderByMoreThanThreeInAHundredNorOverByMoreThanFifteen()
            throws Exception {
        StringBuilder wrong = new StringBuilder();
        boolean all = System.getProperty("footprint.nodes") != null;
        for (int nodes = 10; nodes <= Integer.getInteger("footprint.nodes", 1_000); nodes *= 10) {
            for (int zones : all ? new int[] {1, 12} : new int[] {12}) {
                for (int tenants : all ? new int[] {1, 20} : new int[] {20}) {
                    Seen seen = rest(nodes, zones, tenants);
                    String name = nodes + " nodes, " + zones + " zones, " + tenants + " tenants, ";
                    wrong.append(
                            compare(name + "heap", seen.says.integer("heap_at_rest"), seen.heap));
                    wrong.append(
                            compare(
                                    name + "list alone",
                                    list(list(nodes, zones), nodes),
                                    heldByList(nodes, zones, tenants)));
                    wrong.append(
                            compare(
                                    name + "resident",
                                    seen.says.integer("resident"),
                                    seen.resident));
                    wrong.append(
                            compare(
                                    name + "descriptors",
                                    seen.says.integer("descriptors"),
                                    seen.descriptors));
                }
            }
        }
        assertTrue(wrong.isEmpty(), wrong.toString());
    }

    /** Detects an estimate that forgets the peak. */
    @Test
    public void atThePeakOfLoadingLikewise() throws Exception {
        StringBuilder wrong = new StringBuilder();
        for (int nodes = 1_000;
                nodes <= Integer.getInteger("footprint.nodes", 1_000);
                nodes *= 10) {
            Path begin = Files.createTempDirectory("fit").resolve("begin");
            List<String> flags = new ArrayList<>(flags());
            flags.add("-D" + Collecting.FILE + "=" + begin);
            try (World world = world(12, 20);
                    ProxyUnderTest proxy =
                            new ProxyUnderTest(
                                    world,
                                    Files.createTempDirectory("fit"),
                                    "",
                                    flags,
                                    List.of(
                                            "-cp",
                                            ProxyUnderTest.JAR
                                                    + File.pathSeparator
                                                    + Path.of("daemon", "target", "test-classes"),
                                            "cedarrudder.program.Collecting"),
                                    List.of("--operator", operator("").toString()))) {
                proxy.awaitLine("proxy.started");
                Files.createFile(begin);
                Await.line(
                        "the first collection",
                        proxy.process,
                        proxy.log,
                        line -> Collecting.max(line) > 0);
                // Told again and again: a peak is short, and each passes it.
                String list = list(nodes, 12);
                tell(world, list, list, list, list(nodes - 1, 12));
                long[] max = {0};
                proxy.awaitFigure("registry_entries", nodes - 1);
                JsonObject says =
                        JsonObject.parse(proxy.call("GET", "/-/metrics").body())
                                .child("footprint")
                                .child("process");
                proxy.signal("TERM");
                proxy.rest()
                        .lines()
                        .forEach(line -> max[0] = Math.max(max[0], Collecting.max(line)));
                wrong.append(
                        compare(
                                nodes + " nodes, at the peak",
                                says.integer("heap_at_peak"),
                                max[0]));
            }
        }
        assertTrue(wrong.isEmpty(), wrong.toString());
    }

    /** Detects a history from which nobody can tell whether the estimate held. */
    @Test
    public void theHistoryHasWhatWasEstimatedAndWhatWasThenHeld() throws Exception {
        Path history = Files.createTempDirectory("history").resolve("history.jsonl");
        try (World world = world(3, 2);
                ProxyUnderTest proxy =
                        new ProxyUnderTest(
                                world,
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
            tell(world, list(300, 3));
            proxy.awaitLine("proxy.started");
            proxy.awaitFigure("registry_entries", 300);
            Await.until("what it held", () -> Files.readString(history).contains("\"held\""));
        }
        List<JsonObject> said =
                Files.readAllLines(history).stream()
                        .map(JsonObject::parse)
                        .filter(line -> line.isText("load"))
                        .toList();
        assertEquals(
                said.stream().map(line -> line.text("what", "")).toList(),
                List.of("estimate", "took", "held"));
        assertEquals(
                said.stream().map(line -> line.text("load", "")).distinct().toList(),
                List.of("list 1"));
        assertEquals(said.get(0).text("fits", ""), "1");
        assertEquals(said.get(0).text("bound", ""), said.get(2).text("bound", ""));
        assertEquals(
                compare(
                        "300 nodes, by the history",
                        Long.parseLong(said.get(0).text("needed", "")),
                        Long.parseLong(said.get(2).text("now", ""))),
                "");
    }
}
