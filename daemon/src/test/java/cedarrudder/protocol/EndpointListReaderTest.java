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

    /** Room for some hundreds of endpoints. */
    private static final long ROOM = 2_000_000;

    private EndpointListParser reader;

    @BeforeMethod
    public void begin() throws Exception {
        JsonObject example = JsonObject.parse(Files.readString(Path.of("example", "config.json")));
        reader =
                new EndpointListParser(
                        SettingsReader.read(example.child("settings")),
                        () -> 1L << 40,
                        () -> 1_790_000_000_000L);
    }

    private EndpointListReader gate(long room, int fromNodes) {
        return new EndpointListReader(
                new EndpointListFootprint(ObjectLayout.of(true, true, 8)), reader, room, fromNodes);
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

    private List<Node> read(EndpointListReader gate, String text) {
        return reader.read(gate.read(text)).nodes();
    }

    /** Detects a list that is refused whole: its drains, and what it no longer names, were lost. */
    @Test
    public void whatLeavesCountsAndWhatIsAddedIsAddedInOrderAsFarAsItFits() {
        EndpointListReader gate = gate(ROOM, 0);
        read(gate, list(true, "", "a", 3));
        assertEquals(gate.last().waits(), 0);
        List<Node> nodes =
                read(
                        gate,
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
        assertEquals(gate.last().bound(), "heap_at_rest");
        assertEquals(gate.last().waits(), 5_001 - added - 1);
        assertEquals(gate.last().wanted(), 5_004);
    }

    /** Detects changes that, few at a time, come to more than there is room for. */
    @Test
    public void changesAreJudgedWithWhatIsHeld() {
        EndpointListReader gate = gate(ROOM, 0);
        for (int i = 0; i < 100; i++) {
            read(gate, list(false, "", "c" + i + "-", 50));
        }
        assertTrue(reader.size() > 100 && reader.size() < 1_000, "held " + reader.size());
        assertEquals(gate.last().waits(), 50);
        int held = reader.size();
        read(gate, list(false, entry("c0-1", "terminated"), "d", 0));
        assertEquals(reader.size(), held - 1);
        assertEquals(gate.last().waits(), 0);
        read(gate, list(true, "", "three", 1));
        assertEquals(reader.idChars(), "three0".length());
    }

    /**
     * Detects room that stays empty until the list is told again, once its former endpoints have
     * left.
     */
    @Test
    public void whatHasLeftMakesRoomForMoreOfTheSameList() {
        EndpointListReader gate = gate(ROOM, 0);
        read(gate, list(true, "", "a", 700));
        String other = list(true, "", "b", 700);
        assertTrue(read(gate, other).size() < 700);
        assertTrue(gate.roomier());
        assertEquals(read(gate, other).size(), 700);
        assertFalse(gate.roomier());
    }

    @Test
    public void fewNodesAreNeverLeftOut() {
        assertEquals(read(gate(1, 51), list(true, "", "a", 50)).size(), 50);
        assertEquals(read(gate(1, 50), list(false, "", "b", 50)).size(), 0);
    }

    /** Detects what is broken being said otherwise, or taken for a list, where the table is on. */
    @Test
    public void whatIsNoListIsSaidAsWithoutIt() {
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
            EndpointListReader gate = gate(1, 0);
            String why =
                    expectThrows(
                                    IllegalArgumentException.class,
                                    () -> reader.read(JsonObject.parse(text)))
                            .getMessage();
            assertEquals(
                    expectThrows(IllegalArgumentException.class, () -> reader.read(gate.read(text)))
                            .getMessage(),
                    why,
                    text);
        }
    }

    /** Detects a list of the configuration that is loaded as it is. */
    @Test
    public void theListOfTheConfigurationIsHeldToTheSameRoom() {
        EndpointListReader gate = gate(ROOM, 0);
        JsonObject list = JsonObject.parse(list(true, "5," + entry("x", "terminated"), "b", 5_000));
        List<Node> nodes = reader.read(gate.read(list)).nodes();
        assertTrue(nodes.size() > 100 && nodes.size() < 1_000, "read " + nodes.size());
        assertEquals(gate.last().waits(), 5_001 - reader.size() - 1);
        assertEquals(gate.last().outcome(), "does_not_fit");
        assertEquals(gate.held().textBytes(), 0, "no watch has told anything");
        assertEquals(gate.held().nodes(), reader.size());
        EndpointListReader wide = gate(1L << 40, 0);
        assertSame(wide.read(list), list);
    }

    /** Detects an entry that can't be read being looked for at another place than its own. */
    @Test
    public void entriesThatCantBeReadAreNamedByTheirPlacesInTheWholeList() {
        EndpointListReader gate = gate(ROOM, 0);
        read(gate, list(true, "", "a", 2));
        String last =
                list(true, "", "b", 5_000)
                        .replace(
                                "]}",
                                ","
                                        + entry("a1", "in_service")
                                        + ","
                                        + entry("a0", "asleep")
                                        + "]}");
        String unread = reader.read(gate.read(last)).unread().toString();
        assertTrue(unread.startsWith("[servers[5001]: unknown state 'asleep'"), unread);
    }

    /** Detects operators told that endpoints wait for good which the next telling adds. */
    @Test
    public void stepsSayWhatGetsInWhenWhatHasLeftMakesRoom() {
        EndpointListReader gate = gate(ROOM, 0);
        read(gate, list(true, "", "a", 700));
        assertEquals(gate.last().outcome(), "fits");
        read(gate, list(true, "", "b", 700));
        EndpointListReader.Judged judged = gate.last();
        assertEquals(judged.outcome(), "fits_in_steps");
        assertEquals(judged.steps().stream().mapToInt(Integer::intValue).sum(), 700);
        assertEquals(judged.steps().get(0), (Integer) (700 - judged.waits()));
        assertEquals(judged.then().nodes(), reader.size(), "what was foretold is what is held");
    }
}
