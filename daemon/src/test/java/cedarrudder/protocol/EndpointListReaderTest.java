package cedarrudder.protocol;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertSame;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import cedarrudder.balancer.LoadBalancer.EndpointStatus;
import cedarrudder.footprint.EndpointListFootprint;
import cedarrudder.footprint.ObjectLayout;
import cedarrudder.protocol.EndpointList.Node;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class EndpointListReaderTest {

    /** Capacity for some hundreds of endpoints, in bytes. */
    private static final long CAPACITY = 2_000_000;

    private EndpointListParser reader;

    @BeforeMethod
    public void createParser() throws Exception {
        JsonObject example = JsonObject.parse(Files.readString(Path.of("example", "config.json")));
        reader =
                new EndpointListParser(
                        SettingsReader.read(example.child("settings")),
                        () -> 1L << 40,
                        () -> 1_790_000_000_000L);
    }

    private EndpointListReader listReader(long capacity, int fromNodes) {
        return new EndpointListReader(
                new EndpointListFootprint(ObjectLayout.of(true, true, 8)),
                reader,
                capacity,
                fromNodes);
    }

    private static String entry(String id, String state) {
        return "{\"id\":\""
                + id
                + "\",\"addr\":\"127.0.0.1:9\",\"zone\":\"room\",\"cell\":1,\"state\":\""
                + state
                + "\",\"started_ms\":0}";
    }

    private static String list(boolean full, String first, String name, int nodes) {
        StringBuilder text =
                new StringBuilder("{\"version\":1,\"full\":" + full + ",\"servers\":[" + first);
        for (int i = 0; i < nodes; i++) {
            text.append(text.charAt(text.length() - 1) == '[' ? "" : ",")
                    .append(entry(name + i, "in_service"));
        }
        return text.append("]}").toString();
    }

    private List<Node> read(EndpointListReader listReader, String text) {
        return reader.read(listReader.read(text)).nodes();
    }

    /**
     * A list that doesn't fit must not be rejected as a whole: its drains, and the removal of
     * endpoints that the list omits, would be lost.
     */
    @Test
    public void removalsApplyAndAdditionsAreMadeInOrderUpToTheCapacity() {
        EndpointListReader listReader = listReader(CAPACITY, 0);
        read(listReader, list(true, "", "a", 3));
        assertEquals(listReader.last().waits(), 0);
        List<Node> nodes =
                read(
                        listReader,
                        list(true, "5," + entry("x", "terminated"), "b", 5_000)
                                .replace(
                                        "]}",
                                        ","
                                                + entry("a1", "terminating")
                                                + ","
                                                + entry("a2", "in_service")
                                                + "]}"));
        int added = nodes.size() - 2;
        assertTrue(added > 100 && added < 1_000, "added " + added);
        assertEquals(nodes.get(added - 1).name(), "b" + (added - 1), "in order");
        assertEquals(nodes.get(added).name(), "a1");
        assertEquals(nodes.get(added).endpoint().status(), EndpointStatus.DRAINING);
        assertFalse(reader.knows("a0"));
        assertEquals(listReader.last().bound(), "heap_at_rest");
        assertEquals(listReader.last().waits(), 5_001 - added - 1);
        assertEquals(listReader.last().wanted(), 5_004);
    }

    /** Changes that are small one by one must not add up to more than the capacity. */
    @Test
    public void changesAreJudgedTogetherWithLoadedEndpoints() {
        EndpointListReader listReader = listReader(CAPACITY, 0);
        for (int i = 0; i < 100; i++) {
            read(listReader, list(false, "", "c" + i + "-", 50));
        }
        assertTrue(reader.size() > 100 && reader.size() < 1_000, "loaded " + reader.size());
        assertEquals(listReader.last().waits(), 50);
        int held = reader.size();
        read(listReader, list(false, entry("c0-1", "terminated"), "d", 0));
        assertEquals(reader.size(), held - 1);
        assertEquals(listReader.last().waits(), 0);
        read(listReader, list(true, "", "three", 1));
        assertEquals(reader.idChars(), "three0".length());
    }

    /**
     * Capacity that former endpoints free must be usable by the same list, without waiting until
     * discovery sends the list again.
     */
    @Test
    public void removedEndpointsFreeCapacityForTheSameList() {
        EndpointListReader listReader = listReader(CAPACITY, 0);
        read(listReader, list(true, "", "a", 700));
        String other = list(true, "", "b", 700);
        assertTrue(read(listReader, other).size() < 700);
        assertTrue(listReader.roomier());
        assertEquals(read(listReader, other).size(), 700);
        assertFalse(listReader.roomier());
    }

    @Test
    public void smallListsAreAlwaysLoaded() {
        assertEquals(read(listReader(1, 51), list(true, "", "a", 50)).size(), 50);
        assertEquals(read(listReader(1, 50), list(false, "", "b", 50)).size(), 0);
    }

    /**
     * Scanning a text first must neither change the error of a malformed text nor accept the text
     * as a list.
     */
    @Test
    public void malformedTextGivesTheSameErrorAsThePlainParser() {
        for (String text :
                new String[] {
                    "",
                    "[",
                    "[]",
                    "5",
                    "{\"servers\":[",
                    "{\"servers\":[}]}",
                    "{} {}",
                    "{\"servers\":[{\"id\":[[1],{}]}]}",
                    "{\"version\":1,\"servers\":{}}"
                }) {
            EndpointListReader listReader = listReader(1, 0);
            String why =
                    expectThrows(
                                    IllegalArgumentException.class,
                                    () -> reader.read(JsonObject.parse(text)))
                            .getMessage();
            assertEquals(
                    expectThrows(
                                    IllegalArgumentException.class,
                                    () -> reader.read(listReader.read(text)))
                            .getMessage(),
                    why,
                    text);
        }
    }

    /** The list in the configuration must be limited as well, not loaded unchecked. */
    @Test
    public void configuredListIsLimitedByTheSameCapacity() {
        EndpointListReader listReader = listReader(CAPACITY, 0);
        JsonObject list = JsonObject.parse(list(true, "5," + entry("x", "terminated"), "b", 5_000));
        List<Node> nodes = reader.read(listReader.read(list)).nodes();
        assertTrue(nodes.size() > 100 && nodes.size() < 1_000, "read " + nodes.size());
        assertEquals(listReader.last().waits(), 5_001 - reader.size() - 1);
        assertEquals(listReader.last().outcome(), "does_not_fit");
        assertEquals(listReader.held().textBytes(), 0, "no watch has delivered a list");
        assertEquals(listReader.held().nodes(), reader.size());
        EndpointListReader wide = listReader(1L << 40, 0);
        assertSame(wide.read(list), list);
    }

    /**
     * An unreadable entry must be reported by its index in the whole list, including entries left
     * out.
     */
    @Test
    public void unreadableEntriesAreNamedByTheirIndexInTheWholeList() {
        EndpointListReader listReader = listReader(CAPACITY, 0);
        read(listReader, list(true, "", "a", 2));
        String last =
                list(true, "", "b", 5_000)
                        .replace(
                                "]}",
                                ","
                                        + entry("a1", "in_service")
                                        + ","
                                        + entry("a0", "asleep")
                                        + "]}");
        String unread = reader.read(listReader.read(last)).unread().toString();
        assertTrue(unread.startsWith("[servers[5001]: unknown state 'asleep'"), unread);
    }

    /**
     * Operators must not be informed that endpoints never fit which the next delivery of the list
     * adds.
     */
    @Test
    public void stepsCountEndpointsThatFitAfterRemovals() {
        EndpointListReader listReader = listReader(CAPACITY, 0);
        read(listReader, list(true, "", "a", 700));
        assertEquals(listReader.last().outcome(), "fits");
        read(listReader, list(true, "", "b", 700));
        EndpointListReader.Judged judged = listReader.last();
        assertEquals(judged.outcome(), "fits_in_steps");
        assertEquals(judged.steps().stream().mapToInt(Integer::intValue).sum(), 700);
        assertEquals(judged.steps().get(0), (Integer) (700 - judged.waits()));
        assertEquals(judged.then().nodes(), reader.size(), "predicted and loaded endpoints");
    }
}
