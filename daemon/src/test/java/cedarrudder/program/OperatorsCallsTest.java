package cedarrudder.program;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;

import cedarrudder.program.World.Caller;
import cedarrudder.program.World.Received;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;

/** What operators ask over their own address, and what clients see of it. */
public class OperatorsCallsTest {

    private static final int CROWD = 40;

    @Test
    public void callsThatAreWrongGetWhatIsWrongAndDisturbNothing() throws Exception {
        try (World world = new World(1).withAdmin().start()) {
            assertEquals(world.status("GET", "/-/ready"), 200);
            assertEquals(world.status("GET", "/-/nothing"), 404);
            Received wrong = world.operator("DELETE", "/-/ready");
            assertEquals(wrong.first(), "HTTP/1.1 405 Method Not Allowed");
            assertEquals(wrong.field("Allow"), "GET");
            assertEquals(world.operator("GET", "/-/drain").field("Allow"), "POST");
            try (Caller garbled = world.operator()) {
                assertEquals(garbled.send("\u0016\u0003\u0001").read().first(), "HTTP/1.1 400 Bad Request");
                assertNull(garbled.read());
            }
            serve(world, "after");
        }
    }

    /** Guards against those who say nothing, or half a call, shutting out those who say all of it. */
    @Test
    public void aCrowdOfSilentAndHalfCallsLeavesRoomForAWholeOne() throws Exception {
        try (World world = new World(1).withAdmin().start()) {
            List<Caller> crowd = new ArrayList<>();
            for (int i = 0; i < CROWD; i++) {
                crowd.add(world.operator().send(i % 2 == 0 ? "" : "GET /-/rea"));
            }
            assertEquals(world.status("GET", "/-/ready"), 200);
            // The oldest of those that said nothing made room for the others.
            assertNull(crowd.get(0).read());
            for (Caller caller : crowd) {
                caller.close();
            }
        }
    }

    /** Guards against clients staying with a proxy that operators want to be alone with. */
    @Test
    public void aDrainSendsClientsAwayAndLosesNothingAndResumeTakesItBack() throws Exception {
        try (World world = new World(1).withAdmin().start(); Caller busy = world.caller();
                Caller idle = world.caller(); Caller silent = world.caller()) {
            serveOn(world, idle, "idle");
            busy.send(World.rpc("order", "/api", "x").replace("id-1", "busy"));
            Received open = world.call();
            assertEquals(world.status("POST", "/-/drain"), 200);
            assertEquals(health(world), "HTTP/1.1 503 Service Unavailable");
            assertEquals(world.status("POST", "/-/drain"), 200);
            // The process can serve all the same.
            assertEquals(world.status("GET", "/-/ready"), 200);
            // The front still brings some, which are served.
            serve(world, "late");
            assertNull(idle.read());
            assertNull(silent.read());
            open.reply("200 OK", "kept");
            Received answer = busy.read();
            assertEquals(answer.body(), "kept");
            assertEquals(answer.field("Connection"), "close");
            assertEquals(world.status("POST", "/-/resume"), 200);
            assertEquals(health(world), "HTTP/1.1 200 OK");
            try (Caller back = world.caller()) {
                serveOn(world, back, "one");
                serveOn(world, back, "two");
            }
        }
    }

    private static String health(World world) throws Exception {
        try (Caller front = world.caller()) {
            return front.send("GET /_health HTTP/1.1\r\nHost: a\r\n\r\n").read().first();
        }
    }

    private static void serve(World world, String text) throws Exception {
        try (Caller caller = world.caller()) {
            serveOn(world, caller, text);
        }
    }

    private static void serveOn(World world, Caller caller, String text) throws Exception {
        caller.send(World.rpc("lookup", "/api", "").replace("id-1", text));
        world.call().reply("200 OK", text);
        assertEquals(caller.read().body(), text);
    }
}
