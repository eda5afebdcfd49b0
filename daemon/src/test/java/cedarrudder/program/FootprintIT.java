package cedarrudder.program;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import cedarrudder.balancer.Await;
import cedarrudder.program.ProxyHarness.Client;
import cedarrudder.program.ProxyHarness.Received;
import cedarrudder.protocol.JsonObject;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.testng.annotations.Test;

/**
 * Tests the built jar with the heap size of the platform's command, and a list that is larger than
 * it can load.
 */
public class FootprintIT {

    /**
     * The number of endpoints: a text of some 3.9 MB, which is within the bound on what is read,
     * and a peak of 66 MB.
     */
    private static final int NODES = 28_000;

    /** The exit code of a virtual machine that ends since its heap is exhausted. */
    private static final int OUT_OF_MEMORY = 3;

    private static final List<String> MACHINE = List.of("-XX:+UseSerialGC", "-Xms32m", "-Xmx56m");

    /** Returns a list whose endpoints all have the address of the first one, which answers. */
    private static String list(ProxyHarness harness) {
        String one = harness.entries("in_service").split(",\\{")[0];
        String other = "{" + harness.entries("terminating").split(",\\{")[1];
        StringBuilder text =
                new StringBuilder("{\"version\":3,\"full\":true,\"servers\":[").append(one);
        for (int i = 0; i < NODES; i++) {
            text.append(',').append(one.replace("\"n0\"", "\"api-" + (100_000 + i) + "\""));
        }
        return text.append(',').append(other).append("]}\n").toString();
    }

    private static Received serve(ProxyHarness harness, String id) throws Exception {
        try (Client client = harness.client()) {
            return client.send(ProxyHarness.request("order", "/api", "x").replace("id-1", id))
                    .read();
        }
    }

    /** Sends the list on each watch, and in answer to each request for it. */
    private static void serveList(ProxyHarness harness) {
        String list = list(harness);
        assertTrue(list.length() < 4 * 1024 * 1024, "length " + list.length());
        TestEndpoints.daemon(
                () -> {
                    while (true) {
                        Received lookup = harness.lookups.take();
                        if (lookup.first().contains("follow")) {
                            lookup.raw(ProxyHarness.STREAM);
                            lookup.chunk(list);
                        } else {
                            lookup.reply("200 OK", list);
                        }
                    }
                });
    }

    /** A list that does not fit must neither end the proxy nor keep it from receiving a drain. */
    @Test
    public void aTooLargeListIsAppliedAsFarAsItFitsAndClientsAreServed() throws Exception {
        Path operator = Files.createTempFile("operator", ".toml");
        Files.writeString(operator, "[footprint]\nask_again_ms = 1000\n");
        try (ProxyHarness harness = new ProxyHarness(3);
                ProxyUnderTest proxy =
                        new ProxyUnderTest(
                                harness,
                                Files.createTempDirectory("fit"),
                                "",
                                MACHINE,
                                List.of("--operator", operator.toString()))) {
            TestEndpoints.handleRequests(harness, request -> request.reply("200 OK", "done"));
            serveList(harness);
            // The list is received once, and then twice more since endpoints are waiting.
            for (int i = 0; i < 3; i++) {
                proxy.awaitLine("footprint.exceeded bound=heap_at_");
            }
            for (int i = 0; i < 200; i++) {
                assertEquals(serve(harness, "id-" + i).body(), "done");
            }
            JsonObject page = JsonObject.parse(proxy.request("GET", "/-/metrics").body());
            JsonObject verdict = page.child("footprint");
            System.out.println(
                    "loaded "
                            + page.integer("registry_entries")
                            + " of "
                            + verdict.integer("wanted")
                            + ", needed "
                            + verdict.integer("needed")
                            + ", available "
                            + verdict.integer("room"));
            assertEquals(verdict.integer("wanted"), NODES + 2);
            assertTrue(verdict.integer("needed") > verdict.integer("room"));
            assertEquals(page.integer("registry_entries") + verdict.integer("waits"), NODES + 2);
            assertTrue(page.integer("registry_entries") > 2_000, "as many as fit");
            assertEquals(
                    page.integer("out_of_rotation"), 1, "the draining endpoint"); // n2 was removed
            proxy.signal("TERM");
            String output = proxy.rest();
            assertFalse(output.contains("OutOfMemory"), output);
            proxy.awaitEnd(ProxyUnderTest.TERMINATED);
        }
    }

    /**
     * A list in the configuration that does not fit must not end the process, and the rest must be
     * requested later.
     */
    @Test
    public void aTooLargeListInTheConfigurationIsLoadedAsFarAsItFits() throws Exception {
        Path operator = Files.createTempFile("operator", ".toml");
        Files.writeString(operator, "[footprint]\n");
        try (ProxyHarness harness = new ProxyHarness(2)) {
            String list = list(harness);
            int nodes = 20_000;
            String entries = list.substring(list.indexOf('[') + 1);
            for (int i = 0, at = 0; ; i++, at++) {
                at = entries.indexOf('}', at);
                if (i == nodes - 1) {
                    entries = entries.substring(0, at + 1);
                    break;
                }
            }
            harness.with("\"servers\": []", "\"servers\": [" + entries + "]")
                    .with("\"version\": 0", "\"version\": 5");
            TestEndpoints.handleRequests(harness, request -> request.reply("200 OK", "done"));
            try (ProxyUnderTest proxy =
                    new ProxyUnderTest(
                            harness,
                            Files.createTempDirectory("fit"),
                            "",
                            MACHINE,
                            List.of("--operator", operator.toString()))) {
                proxy.awaitLine("footprint.exceeded bound=heap_at_");
                proxy.awaitLine("proxy.started");
                for (int i = 0; i < 50; i++) {
                    assertEquals(serve(harness, "id-" + i).body(), "done");
                }
                JsonObject page = JsonObject.parse(proxy.request("GET", "/-/metrics").body());
                long loaded = page.integer("registry_entries");
                assertTrue(loaded > 2_000 && loaded < nodes, "loaded " + loaded);
                assertEquals(page.child("footprint").integer("waits"), nodes - loaded);
                assertTrue(
                        ProxyHarness.await(harness.lookups).first().contains("since=0"),
                        "the waiting endpoints are requested");
            }
        }
    }

    /** Shows that the process of the first test could not have loaded the whole list. */
    @Test
    public void withoutTheFootprintTableTheSameListExhaustsTheHeap() throws Exception {
        try (ProxyHarness harness = new ProxyHarness(3);
                ProxyUnderTest proxy =
                        new ProxyUnderTest(
                                harness,
                                Files.createTempDirectory("fit"),
                                "",
                                MACHINE,
                                List.of())) {
            TestEndpoints.handleRequests(harness, request -> request.reply("200 OK", "done"));
            serveList(harness);
            Await.line(
                    "OutOfMemoryError",
                    proxy.process,
                    proxy.log,
                    line -> line.contains("OutOfMemoryError"));
        }
    }

    /** Guards against a process that goes on, or ends as if all were well, without memory. */
    @Test
    public void aProcessWhoseHeapIsExhaustedEndsAtOnceWithAnExitCodeOfItsOwn() throws Exception {
        try (ProxyHarness harness = new ProxyHarness(3);
                ProxyUnderTest proxy =
                        new ProxyUnderTest(
                                harness,
                                Files.createTempDirectory("fit"),
                                "",
                                MemoryUnderSlowClientsIT.deployOptions(),
                                List.of())) {
            serveList(harness);
            List<String> errors =
                    proxy.rest().lines().filter(line -> line.contains("OutOfMemory")).toList();
            proxy.awaitEnd(OUT_OF_MEMORY);
            assertEquals(
                    errors,
                    List.of("Terminating due to java.lang.OutOfMemoryError: Java heap space"));
        }
    }
}
