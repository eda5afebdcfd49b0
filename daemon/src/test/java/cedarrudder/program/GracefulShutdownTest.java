package cedarrudder.program;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import cedarrudder.balancer.Await;
import cedarrudder.program.World.Caller;
import cedarrudder.program.World.Received;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Random;
import org.testng.annotations.Test;

/** Tests which answers clients get that go on sending after SIGTERM, up to the last connection. */
public class GracefulShutdownTest {

    private static final int CALLERS = 24;
    private static final long KILLED_AFTER = 3_700_000_000L;

    /**
     * No request may be lost while the proxy shuts down: each is answered, or its connection is
     * closed in order between two requests. New clients connect for 0.4 s, and each sends until its
     * connection ends; some pause so long that their connections are idle when they are closed.
     */
    @Test
    public void eachRequestAfterSigtermIsAnsweredOrItsConnectionClosedBeforeIt() throws Exception {
        long seed = System.nanoTime();
        System.out.println("GracefulShutdownTest: seed " + seed);
        Random random = new Random(seed);
        try (World world = new World(3).start()) {
            Nodes.play(
                    world,
                    call -> {
                        Thread.sleep(5);
                        call.reply("200 OK", "done");
                    });
            PersistentCallers callers = new PersistentCallers(world, random);
            for (int i = 0; i < CALLERS; i++) {
                callers.start("old-" + i + "-");
            }
            callers.awaitServed(200);
            assertFalse(callers.hasAnyEnded(), callers.toString());
            long told = System.nanoTime();
            Thread end = new Thread(world::end);
            end.start();
            for (int i = 0; i < CALLERS; i++) {
                Thread.sleep(400 / CALLERS);
                callers.start("new-" + i + "-");
            }
            callers.awaitEnds();
            Await.end("the end of the service", end);
            assertTrue(System.nanoTime() - told < KILLED_AFTER, "the service ends before SIGKILL");
            assertTrue(callers.allEndedInOrder(), callers.toString());
            System.out.println("GracefulShutdownTest: " + callers);
        }
    }

    /**
     * An accepted request must not stay unanswered because its deadline lies after the process is
     * killed, and half a request may still be completed in the last moments.
     */
    @Test
    public void requestsOpenDuringTheLastMomentsAreAnswered() throws Exception {
        try (World world = new World(1).start();
                Caller taken = world.caller();
                Caller behind = world.caller()) {
            taken.send(World.request("order", "/stays-for-test", "x"));
            world.call();
            Thread end = new Thread(world::end);
            long told = System.nanoTime();
            end.start();
            // A second request behind the first on the same connection, read ahead of the first
            // one's answer.
            behind.send(
                    World.request("lookup", "/api", "").replace("id-1", "behind-1")
                            + World.request("lookup", "/api", "").replace("id-1", "behind-2"));
            world.call().reply("200 OK", "first");
            assertEquals(behind.read().body(), "first");
            world.call().reply("200 OK", "second");
            assertEquals(behind.read().body(), "second");
            Thread.sleep(
                    1500); // the proxy does not wait for half a request as long as it takes to shut
            // down
            try (Caller half = world.caller()) {
                String request = World.request("lookup", "/api", "").replace("id-1", "half");
                half.send(request.substring(0, request.length() - 2));
                assertEquals(behind.read(), null, "closed between requests");
                half.send("\r\n");
                world.call().reply("200 OK", "whole");
                Received answer = half.read();
                assertEquals(answer.body(), "whole");
                assertEquals(answer.field("Connection"), "close");
            }
            assertEquals(
                    taken.read().first(), "HTTP/1.1 502 Bad Gateway", "the request may have run");
            assertTrue(System.nanoTime() - told < KILLED_AFTER, "before SIGKILL");
            Await.end("the end of the service", end);
        }
    }

    /**
     * The last answer of a connection must not be lost. Closing a connection while bytes of its
     * client are unread resets it, and the reset discards the part of the answer that does not yet
     * fit into the client's receive buffer.
     */
    @Test
    public void theLastAnswerIsNotLostWhenItsClientSendsMore() throws Exception {
        String answer = "x".repeat(60_000);
        String more =
                "POST /api HTTP/1.1\r\nHost: a\r\nContent-Length: 1000000\r\n\r\n"
                        + "y".repeat(400_000);
        String one = World.request("order", "/api", "x").replace("HTTP/1.1", "HTTP/1.0");
        String told = World.request("order", "/api", "x", "Connection: close");
        try (World world = new World(1).start()) {
            for (String request : List.of(one, told)) {
                try (Socket caller = new Socket()) {
                    caller.setReceiveBufferSize(4096);
                    caller.setSoTimeout(20_000);
                    caller.connect(
                            new InetSocketAddress(InetAddress.getLoopbackAddress(), world.port));
                    caller.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
                    Received call = world.call();
                    // The kernel accepts these bytes, whether or not the proxy reads them.
                    caller.getOutputStream().write(more.getBytes(StandardCharsets.ISO_8859_1));
                    call.reply("200 OK", answer);
                    assertEquals(caller.getInputStream().read(), 'H');
                    answered(world);
                    answered(world);
                    String all =
                            new String(
                                    caller.getInputStream().readAllBytes(),
                                    StandardCharsets.ISO_8859_1);
                    assertTrue(
                            all.endsWith("\r\n\r\n" + answer),
                            all.length() + " bytes of the answer received");
                }
            }
        }
    }

    /** Waits for another client's answer, which shows that the event loop has run again. */
    private static void answered(World world) throws IOException {
        try (Caller other = world.caller()) {
            assertEquals(
                    other.send("GET /_health HTTP/1.1\r\nHost: a\r\n\r\n").read().body(),
                    "ready\n");
        }
    }

    /**
     * Clients that don't read their answers must not delay the shutdown until the process is
     * killed.
     */
    @Test
    public void aClientThatDoesNotReadDoesNotDelayTheShutdown() throws Exception {
        int large = 32 * 1024 * 1024;
        try (World world =
                        new World(1)
                                .with(
                                        OperatorScenarioTest.operator(
                                                "[callers]\nanswer_patience_ms = 600000\n"))
                                .start();
                Caller deaf = world.caller()) {
            deaf.send(World.request("lookup", "/stays-for-test", ""));
            Received call = world.call();
            call.raw("HTTP/1.1 200 OK\r\nContent-Length: " + large + "\r\n\r\n");
            Nodes.daemon(() -> call.raw("x".repeat(large)));
            assertEquals(deaf.readHead().first(), "HTTP/1.1 200 OK");
            Thread end = new Thread(world::end);
            end.start();
            Await.end("the end of the service", end);
            try {
                assertTrue(deaf.readAll().length() < large);
            } catch (SocketException e) {
                // a reset, which shows that the answer is incomplete
            }
        }
    }
}
