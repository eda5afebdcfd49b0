package cedarrudder.protocol;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.testng.annotations.Test;

/** The state that is cached from one endpoint list to the next. */
public class EndpointListParserTest {

    private static JsonObject result(boolean full, String id, String state) {
        return JsonObject.parse(
                "{\"version\":1,\"full\":"
                        + full
                        + ",\"servers\":[{\"id\":\""
                        + id
                        + "\",\"addr\":\"127.0.0.1:1\",\"state\":\""
                        + state
                        + "\"}]}");
    }

    private long clock = 7_000_000_000L;
    private long unixMillis = 1_000_000L;

    private EndpointListParser reader() throws Exception {
        JsonObject example = JsonObject.parse(Files.readString(Path.of("example", "config.json")));
        return new EndpointListParser(
                SettingsReader.read(example.child("settings")), () -> clock, () -> unixMillis);
    }

    private long startedAt(EndpointListParser reader, String id, long millis) throws Exception {
        String entry =
                "{\"id\":\""
                        + id
                        + "\",\"addr\":\"127.0.0.1:1\",\"state\":\"in_service\",\"started_ms\":"
                        + millis
                        + "}";
        return reader.read(
                        JsonObject.parse(
                                "{\"version\":1,\"full\":false,\"servers\":[" + entry + "]}"))
                .nodes()
                .get(0)
                .endpoint()
                .startedAt();
    }

    /**
     * A cold endpoint must not look warm, and then be overloaded, once the machine's clock was set
     * or has drifted since the proxy started; nor may an unchanged start time look like a restart.
     */
    @Test
    public void startInstantIsComputedOnceFromTheCurrentClocks() throws Exception {
        EndpointListParser reader = reader();
        long first = startedAt(reader, "a", unixMillis - 2000);
        assertEquals(first, clock - 2_000_000_000L);
        clock += 50_000_000_000L;
        unixMillis += 50_000 - 3_600_000; // an hour backward
        assertEquals(startedAt(reader, "a", 1_000_000L - 2000), first, "no restart");
        assertEquals(
                startedAt(reader, "b", unixMillis - 1000), clock - 1_000_000_000L, "a second old");
        unixMillis += 7_200_000; // and two hours forward
        assertEquals(
                startedAt(reader, "c", unixMillis - 1000), clock - 1_000_000_000L, "a second old");
        assertEquals(startedAt(reader, "d", unixMillis + 5000), clock, "no start in the future");
        assertEquals(startedAt(reader, "e", 0), 0, "long ago");
    }

    /** Guards against overloading an endpoint that starts after the proxy's clock was set. */
    @Test
    public void anEndpointIsColdAfterAStepOfTheProxysWallClockAlone() throws Exception {
        long hourMillis = 3_600_000;
        for (long step : new long[] {hourMillis, -hourMillis, 30_000}) {
            EndpointListParser reader = reader();
            long trueMillis = unixMillis;
            startedAt(reader, "a", 0);
            unixMillis += step;
            startedAt(reader, "a", 0);
            long aSecondAgo = clock - 1_000_000_000L;
            assertEquals(startedAt(reader, "b", trueMillis - 1000), aSecondAgo, "step " + step);
            unixMillis += step; // a second one
            assertEquals(startedAt(reader, "c", trueMillis - 1000), aSecondAgo, "step " + step);
            assertTrue(startedAt(reader, "d", trueMillis + step - 1000) >= aSecondAgo);
            unixMillis = trueMillis;
        }
    }

    /** The ids of a long day must not accumulate. */
    @Test
    public void removedEndpointIsForgotten() throws Exception {
        EndpointListParser reader = reader();
        for (int i = 0; i < 100; i++) {
            reader.read(result(false, "node-" + i, "in_service"));
            reader.read(result(false, "node-" + i, "terminated"));
        }
        assertEquals(reader.size(), 0);
        reader.read(result(true, "a", "in_service"));
        reader.read(result(true, "b", "in_service"));
        assertEquals(reader.size(), 1);
    }

    /** One entry that can't be read must not block the drains of all other endpoints. */
    @Test
    public void unreadableEntryDoesNotBlockOthers() throws Exception {
        EndpointListParser reader = reader();
        reader.read(result(false, "a", "in_service"));
        String servers =
                "{\"id\":\"a\",\"addr\":\"nowhere\",\"state\":\"in_service\"},{\"addr\":7},"
                        + "{\"id\":\"b\",\"addr\":\"127.0.0.1:1\",\"state\":\"terminating\"}";
        EndpointList mixed =
                reader.read(
                        JsonObject.parse(
                                "{\"version\":2,\"full\":false,\"servers\":[" + servers + "]}"));
        assertEquals(
                mixed.nodes().stream().map(n -> n.name() + n.endpoint().status()).toList(),
                List.of("aREMOVED", "bDRAINING"));
        assertEquals(
                mixed.unread().toString(),
                "[servers[0]: 'nowhere' is not an address, servers[1]: 'servers[1].state' is"
                        + " missing]");
        assertEquals(reader.size(), 1);
        assertThrows(
                IllegalArgumentException.class, () -> reader.read(result(true, "b", "unheard_of")));
        assertEquals(reader.size(), 1, "a full list without a readable entry changes nothing");
    }

    /**
     * An entry whose id is not a string, or that is not an object at all, must not block the others
     * either.
     */
    @Test
    public void entryWithoutTextIdDoesNotBlockOthers() throws Exception {
        String bad =
                "{\"id\":[1],\"addr\":\"127.0.0.1:1\",\"state\":\"in_service\"},{\"id\":{}},7,null,";
        String good = "{\"id\":\"b\",\"addr\":\"127.0.0.1:1\",\"state\":\"terminating\"}";
        for (boolean full : new boolean[] {true, false}) {
            String list = "{\"version\":2,\"full\":" + full + ",\"servers\":[" + bad + good + "]}";
            EndpointList mixed = reader().read(JsonObject.parse(list));
            assertEquals(
                    mixed.nodes().stream().map(n -> n.name() + n.endpoint().status()).toList(),
                    List.of("bDRAINING"));
            assertEquals(
                    mixed.unread().toString(),
                    "[servers[0]: 'servers[0].id' is not a text, servers[1]: 'servers[1].state' is"
                        + " missing, servers[2] is not an object, servers[3] is not an object]");
        }
    }
}
