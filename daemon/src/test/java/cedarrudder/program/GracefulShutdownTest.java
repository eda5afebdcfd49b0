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

/** What clients that go on after SIGTERM get, up to the last connection. */
public class GracefulShutdownTest {

    private static final int CALLERS = 24;
    private static final long KILLED_AFTER = 3_700_000_000L;

    /**
     * Detects requests that are lost in the last moments: each that was sent has its answer, or its
     * connection was closed in order between two requests. Clients come anew for 0.4 s, and each
     * goes on until its connection ends; some pause for this long that their connections are idle
     * when they are closed.
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
            assertTrue(System.nanoTime() - told < KILLED_AFTER, "it ends before SIGKILL");
            assertTrue(callers.allEndedInOrder(), callers.toString());
            System.out.println("GracefulShutdownTest: " + callers);
        }
    }

    /**
     * Detects a request that was taken and never answered, since its time would be over only after
     * the process is killed, and against half a request that becomes whole in the last moments.
     */
    @Test
    public void whatIsOpenInTheLastMomentGetsItsAnswer() throws Exception {
        try (World world = new World(1).start();
                Caller taken = world.caller();
                Caller behind = world.caller()) {
            taken.send(World.request("order", "/stays-for-test", "x"));
            world.call();
            Thread end = new Thread(world::end);
            long told = System.nanoTime();
            end.start();
            // A second request behind the first of the same connection, read ahead of its answer.
            behind.send(
                    World.request("lookup", "/api", "").replace("id-1", "behind-1")
                            + World.request("lookup", "/api", "").replace("id-1", "behind-2"));
            world.call().reply("200 OK", "first");
            assertEquals(behind.read().body(), "first");
            world.call().reply("200 OK", "second");
            assertEquals(behind.read().body(), "second");
            Thread.sleep(1500); // half a request is not waited for as long as the end takes
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
            assertEquals(taken.read().first(), "HTTP/1.1 502 Bad Gateway", "it may have run");
            assertTrue(System.nanoTime() - told < KILLED_AFTER, "before SIGKILL");
            Await.end("the end of the service", end);
        }
    }

    /**
     * Detects the last answer of a connection being lost: closing it while bytes of its client's
     * are unread resets it, and the reset takes along what the client's side has no room for yet.
     */
    @Test
    public void theLastAnswerIsNotLostWhereItsCallerSendsMore() throws Exception {
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
                    // The kernel takes it, whoever reads it.
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
                            all.endsWith("\r\n\r\n" + answer), all.length() + " bytes of it came");
                }
            }
        }
    }

    /** Another client's answer shows that the loop has gone on. */
    private static void answered(World world) throws IOException {
        try (Caller other = world.caller()) {
            assertEquals(
                    other.send("GET /_health HTTP/1.1\r\nHost: a\r\n\r\n").read().body(),
                    "ready\n");
        }
    }

    /** Detects clients that don't read their answers holding the process until it is killed. */
    @Test
    public void aCallerThatDoesNotReadDoesNotHoldTheEnd() throws Exception {
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
                // a reset, which shows that it is not whole
            }
        }
    }
}
