package cedarrudder.program;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import cedarrudder.operator.OperatorFile;
import cedarrudder.program.World.Caller;
import cedarrudder.program.World.Received;
import java.net.SocketException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.testng.annotations.Test;

/**
 * Misbehaving clients, and well-behaved clients beside them. Where a test sets long timeouts, no
 * close that it waits for can be due to a timeout.
 */
public class ClientScenarioTest {

    private static final String PATIENT = "[callers]\nrequest_patience_ms = 60000\n";
    private static final int LARGE = 60_000;
    private static final int UNREAD = 500;

    private static World world(String operator) throws Exception {
        Path file = Files.createTempFile("operator", ".toml");
        try {
            Files.writeString(file, operator);
            return new World(1).with(OperatorFile.read(file));
        } finally {
            Files.delete(file);
        }
    }

    /** Bytes that are no request must not occupy a descriptor until the timeout. */
    @Test
    public void bytesThatCannotBecomeARequestAreRejectedAtOnce() throws Exception {
        try (World world = world(PATIENT).start()) {
            for (String bytes :
                    List.of("\u0016\u0003\u0001\u0002", "\r\n".repeat(9), "SSH-2.0-x\r\n")) {
                try (Caller caller = world.caller()) {
                    assertEquals(caller.send(bytes).read().first(), "HTTP/1.1 400 Bad Request");
                    assertNull(caller.read());
                }
            }
            assertTrue(world.calls.isEmpty());
        }
    }

    @Test
    public void aClientThatExpects100ContinueGetsIt() throws Exception {
        try (World world = world(PATIENT).start();
                Caller caller = world.caller()) {
            String request = World.request("order", "/api", "body", "Expect: 100-continue");
            caller.send(request.substring(0, request.length() - 4));
            assertEquals(caller.read().first(), "HTTP/1.1 100 Continue");
            caller.send("body");
            Received call = world.call();
            assertEquals(call.body(), "body");
            assertNull(call.field("Expect"));
            call.reply("200 OK", "done");
            assertEquals(caller.read().body(), "done");
        }
    }

    /** The body of an answer to HEAD must not be mistaken for the next answer. */
    @Test
    public void anAnswerToHeadHasNoBody() throws Exception {
        try (World world = world(PATIENT).start();
                Caller caller = world.caller()) {
            String both = "HEAD /_health HTTP/1.1\r\nHost: a\r\n\r\nGET /api HTTP/1.1\r\n\r\n";
            String all = caller.send(both).readAll();
            assertEquals(all.split("\r\n\r\n").length, 3, all);
            assertTrue(all.contains("\r\n\r\nHTTP/1.1 400 Bad Request"), all);
        }
    }

    @Test
    public void anAbsoluteTargetReachesAnEndpointAsAPathWithItsHost() throws Exception {
        try (World world = world(PATIENT).start();
                Caller caller = world.caller()) {
            caller.send(
                    World.request(
                            "lookup",
                            "http://other.example/api?x=1",
                            "",
                            "Connection: X-Mine",
                            "X-Mine: 1"));
            Received call = world.call();
            assertEquals(call.first(), "GET /api?x=1 HTTP/1.1");
            assertEquals(call.field("Host"), "other.example");
            assertNull(call.field("X-Mine"));
            call.reply("200 OK", "done", "Connection: X-Theirs", "X-Theirs: 1");
            assertNull(caller.read().field("X-Theirs"));
        }
    }

    /** Answers must not pile up in memory for a client that sends requests and reads no answers. */
    @Test
    public void aClientThatReadsNoAnswersIsNotReadFromAndIsClosed() throws Exception {
        AtomicInteger served = new AtomicInteger();
        try (World world = world("[callers]\nanswer_patience_ms = 500\n").start();
                Caller deaf = world.caller();
                Caller good = world.caller()) {
            Nodes.play(
                    world,
                    call -> {
                        served.incrementAndGet();
                        call.reply("200 OK", "x".repeat(LARGE));
                    });
            for (int i = 0; i < UNREAD; i++) {
                deaf.send(World.request("lookup", "/api", "").replace("id-1", "deaf-" + i));
            }
            awaitClosed(deaf);
            assertTrue(served.get() < UNREAD, served + " answers were produced");
            good.send(World.request("lookup", "/api", ""));
            assertEquals(good.read().body().length(), LARGE);
        }
    }

    private static void awaitClosed(Caller caller) throws Exception {
        try {
            while (true) {
                caller.send("\r\n");
                Thread.sleep(1);
            }
        } catch (SocketException e) {
            // the proxy has closed the connection with bytes unread
        }
    }

    /** Half requests must not lock out other clients until their timeout. */
    @Test
    public void atItsConnectionBoundTheProxyClosesHalfRequests() throws Exception {
        List<Caller> half = new ArrayList<>();
        try (World world =
                        world(PATIENT + "silent_patience_ms = 60000\n")
                                .with("\"sockets\": 1024", "\"sockets\": 16")
                                .start();
                Caller waiting = world.caller()) {
            waiting.send(World.request("order", "/api", "x"));
            Received call = world.call();
            for (int i = 0; i < 10; i++) {
                // The answer to the first request shows that the half request behind it, in the
                // same segment, was read.
                half.add(
                        world.caller()
                                .send("GET /_health HTTP/1.1\r\nHost: a\r\n\r\nPOST /api HTT"));
                assertEquals(half.get(i).read().body(), "ready\n");
            }
            try (Caller late = world.caller()) {
                late.send(World.request("lookup", "/api", "").replace("id-1", "id-2"));
                world.call().reply("200 OK", "late");
                assertEquals(late.read().body(), "late");
            }
            call.reply("200 OK", "kept");
            assertEquals(waiting.read().body(), "kept");
            for (Caller caller : half) {
                caller.close();
            }
        }
    }
}
