package cedarrudder.program;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import cedarrudder.balancer.Await;
import cedarrudder.program.World.Caller;
import cedarrudder.program.World.Received;
import cedarrudder.protocol.JsonObject;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.zip.CRC32;
import org.testng.annotations.Test;

/**
 * Bodies that are too large to be held. The target {@link #STAYS} leaves an endpoint's socket to
 * the test.
 */
public class BodyScenarioTest {

    private static final int LARGE = 32 * 1024 * 1024;
    private static final int MANY = 40;
    private static final String STAYS = "/stays-for-test";

    /** Bytes that are told from one another, from a seed. */
    private static void write(OutputStream out, long seed, int length, boolean chunked, CRC32 sum)
            throws IOException {
        Random random = new Random(seed);
        for (int left = length; left > 0; ) {
            byte[] piece = new byte[Math.min(left, 1 + random.nextInt(50_000))];
            random.nextBytes(piece);
            sum.update(piece);
            if (chunked) {
                out.write(
                        (Integer.toHexString(piece.length) + ";x=y\r\n")
                                .getBytes(StandardCharsets.ISO_8859_1));
            }
            out.write(piece);
            if (chunked) {
                out.write("\r\n".getBytes(StandardCharsets.ISO_8859_1));
            }
            left -= piece.length;
        }
        if (chunked) {
            out.write("0\r\nX-Trailer: t\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
        }
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                throw new IOException("ended within a line");
            }
            line.write(next);
        }
        return line.toString(StandardCharsets.ISO_8859_1).strip();
    }

    /** Reads a body in chunks, or of this many bytes, and returns its sum. */
    private static CRC32 read(InputStream in, int length) throws IOException {
        CRC32 sum = new CRC32();
        if (length >= 0) {
            update(sum, in, length);
            return sum;
        }
        for (int size = Integer.parseInt(line(in), 16);
                size > 0;
                size = Integer.parseInt(line(in), 16)) {
            update(sum, in, size);
            line(in);
        }
        line(in);
        return sum;
    }

    private static void update(CRC32 sum, InputStream in, int length) throws IOException {
        byte[] piece = new byte[64 * 1024];
        for (int left = length; left > 0; ) {
            int got = in.read(piece, 0, Math.min(left, piece.length));
            if (got < 0) {
                throw new IOException("ended " + left + " bytes too soon");
            }
            sum.update(piece, 0, got);
            left -= got;
        }
    }

    private static String upload(String id) {
        return World.request("order", STAYS, "", "Transfer-Encoding: chunked")
                .replace("Content-Length: 0\r\n", "")
                .replace("id-1", id);
    }

    /** Detects bytes that are lost, doubled or out of order, whichever side is the slower. */
    @Test
    public void bodiesOf32MegabytesGoThroughBothWays() throws Exception {
        try (World world = new World(1).start();
                Caller caller = world.caller()) {
            for (boolean chunked : new boolean[] {true, false}) {
                CRC32 sent = new CRC32();
                caller.send(upload("up-" + chunked));
                Nodes.daemon(() -> write(caller.out(), 7, LARGE, true, sent));
                Received call = world.call();
                assertEquals(call.field("Transfer-Encoding"), "chunked");
                Socket node = call.socket();
                assertEquals(read(node.getInputStream(), -1).getValue(), sum(7));
                call.raw(
                        "HTTP/1.1 200 OK\r\n"
                                + (chunked
                                        ? "Transfer-Encoding: chunked"
                                        : "Content-Length: " + LARGE)
                                + "\r\nConnection: close\r\n\r\n");
                Nodes.daemon(
                        () -> {
                            write(node.getOutputStream(), 9, LARGE, chunked, new CRC32());
                            node.close();
                        });
                Received head = caller.readHead();
                assertEquals(head.first(), "HTTP/1.1 200 OK");
                assertEquals(head.field("Content-Length"), chunked ? null : String.valueOf(LARGE));
                assertEquals(read(caller.in(), chunked ? -1 : LARGE).getValue(), sum(9));
            }
        }
    }

    private static long sum(long seed) throws IOException {
        CRC32 sum = new CRC32();
        write(OutputStream.nullOutputStream(), seed, LARGE, false, sum);
        return sum.getValue();
    }

    /** Detects memory that grows with the bodies, and against clients that wait for one another. */
    @Test
    public void manyLargeAnswersThatNobodyReadsAreHeldWithinTheBoundAndOthersAreServed()
            throws Exception {
        try (World world = new World(1).withAdmin().start()) {
            List<Caller> slow = new ArrayList<>();
            for (int i = 0; i < MANY; i++) {
                Caller caller = world.caller();
                slow.add(
                        caller.send(
                                World.request("lookup", STAYS, "").replace("id-1", "slow-" + i)));
                Received call = world.call();
                call.raw(
                        "HTTP/1.1 200 OK\r\nContent-Length: "
                                + LARGE
                                + "\r\nConnection: close\r\n\r\n");
                Nodes.daemon(
                        () -> write(call.socket().getOutputStream(), 3, LARGE, false, new CRC32()));
                assertEquals(caller.readHead().first(), "HTTP/1.1 200 OK");
                long held =
                        JsonObject.parse(world.operator("GET", "/-/metrics").body())
                                .integer("held_bytes");
                assertTrue(held <= MANY * 2 * 64 * 1024, held + " bytes are held");
            }
            try (Caller other = world.caller()) {
                other.send(World.request("lookup", "/api", ""));
                world.call().reply("200 OK", "small");
                assertEquals(other.read().body(), "small");
            }
            assertEquals(read(slow.get(MANY - 1).in(), LARGE).getValue(), sum(3));
            for (Caller caller : slow) {
                caller.close();
            }
            Await.until(
                    "what nobody waits for is let go",
                    () ->
                            JsonObject.parse(world.operator("GET", "/-/metrics").body())
                                            .integer("held_bytes")
                                    == 0);
        }
    }

    /** Detects an answer that ends early and looks whole, however its end is told. */
    @Test
    public void anAnswerThatBreaksOffIsVisiblyNotWhole() throws Exception {
        String[] framings = {"Content-Length: 200000", "Transfer-Encoding: chunked"};
        for (String version : new String[] {"HTTP/1.1", "HTTP/1.0"}) {
            for (String framing : framings) {
                try (World world = new World(1).start();
                        Caller caller = world.caller()) {
                    caller.send(World.request("lookup", STAYS, "").replace("HTTP/1.1", version));
                    Received call = world.call();
                    call.raw("HTTP/1.1 200 OK\r\n" + framing + "\r\n\r\n");
                    call.raw(
                            framing.startsWith("C")
                                    ? "x".repeat(100_000)
                                    : "186a0\r\n" + "x".repeat(100_000) + "\r\n");
                    Received head = caller.readHead();
                    assertEquals(head.first(), "HTTP/1.1 200 OK");
                    call.socket().close();
                    boolean whole = true;
                    try {
                        int length = framing.startsWith("C") ? 200_000 : -1;
                        if (head.field("Content-Length") == null
                                && head.field("Transfer-Encoding") == null) {
                            caller.readAll();
                        } else {
                            read(caller.in(), length);
                        }
                    } catch (IOException e) {
                        whole = false;
                    }
                    assertTrue(!whole, version + " " + framing);
                }
            }
        }
    }

    /**
     * Detects an answer without a length that looks whole, since its client was given up as one
     * that reads nothing: what had been written goes on to it, and then the end.
     */
    @Test
    public void anAnswerWhoseCallerIsGivenUpIsVisiblyNotWhole() throws Exception {
        try (World world =
                        new World(1)
                                .with(
                                        OperatorScenarioTest.operator(
                                                "[callers]\nanswer_patience_ms = 500\n"))
                                .start();
                Caller caller = world.caller()) {
            caller.send(World.request("lookup", STAYS, "").replace("HTTP/1.1", "HTTP/1.0"));
            Received call = world.call();
            call.raw("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            Nodes.daemon(() -> write(call.socket().getOutputStream(), 3, LARGE, true, new CRC32()));
            Received head = caller.readHead();
            assertEquals(head.first(), "HTTP/1.1 200 OK");
            assertNull(head.field("Content-Length"));
            assertNull(head.field("Transfer-Encoding"));
            call.awaitEnd(); // it is given up, and so is the attempt
            assertThrows(SocketException.class, caller::readAll);
        }
    }

    /**
     * Detects a client that reads all there is being given up as one that doesn't, since its
     * endpoint takes longer over the answer than there is patience with clients. Another one, whose
     * answer began later and who reads nothing of it, is given up meanwhile.
     */
    @Test
    public void whoReadsAllOfAnAnswerThatComesSlowlyIsNotGivenUp() throws Exception {
        int length = 100_000;
        try (World world =
                        new World(1)
                                .with(
                                        OperatorScenarioTest.operator(
                                                "[callers]\nanswer_patience_ms = 500\n"))
                                .start();
                Caller reads = world.caller();
                Caller deaf = world.caller()) {
            reads.send(World.request("lookup", STAYS, "").replace("id-1", "reads"));
            Received slow = world.call();
            slow.raw("HTTP/1.1 200 OK\r\nContent-Length: " + length + "\r\n\r\nx");
            assertEquals(reads.readHead().first(), "HTTP/1.1 200 OK");
            assertEquals(reads.in().read(), 'x');
            deaf.send(World.request("lookup", STAYS, "").replace("id-1", "deaf"));
            Received call = world.call();
            call.raw("HTTP/1.1 200 OK\r\nContent-Length: " + LARGE + "\r\n\r\n");
            Nodes.daemon(
                    () -> write(call.socket().getOutputStream(), 3, LARGE, false, new CRC32()));
            assertEquals(deaf.readHead().first(), "HTTP/1.1 200 OK");
            call.awaitEnd();
            slow.raw("x".repeat(length - 1));
            reads.in().skipNBytes(length - 1);
        }
    }

    /** Detects half a request being sent again, and one that may have run being called harmless. */
    @Test
    public void aRequestThatBreaksOffIsRefusedBeforeItsLastByteAndFailsAfterIt() throws Exception {
        try (World world = new World(2).start();
                Caller caller = world.caller();
                Caller late = world.caller()) {
            caller.send(upload("half"));
            byte[] piece = "x".repeat(50_000).getBytes(StandardCharsets.ISO_8859_1);
            for (int i = 0; i < 4; i++) {
                caller.send("c350\r\n" + new String(piece, StandardCharsets.ISO_8859_1) + "\r\n");
            }
            Received call = world.call();
            update(new CRC32(), call.socket().getInputStream(), 150_000);
            call.reset();
            assertEquals(caller.read().first(), "HTTP/1.1 503 Service Unavailable");
            assertNull(caller.read());
            late.send(upload("whole"));
            write(late.out(), 5, 300_000, true, new CRC32());
            Received whole = world.call();
            read(whole.socket().getInputStream(), -1);
            whole.reset();
            assertEquals(late.read().first(), "HTTP/1.1 502 Bad Gateway");
            assertTrue(world.calls.isEmpty(), "it was sent again");
        }
    }

    /** Detects a client that leaves within its upload keeping an endpoint waiting for the rest. */
    @Test
    public void aCallerThatLeavesWithinItsUploadEndsTheAttempt() throws Exception {
        try (World world = new World(1).start()) {
            Received call;
            try (Caller caller = world.caller()) {
                caller.send(upload("leaves"));
                caller.send("13880\r\n" + "x".repeat(80_000) + "\r\n");
                call = world.call();
            }
            while (call.socket().getInputStream().read() >= 0) {
                // what had been sent
            }
        } catch (java.net.SocketException e) {
            // a reset is an end too
        }
    }

    /** Detects an answer that comes slowly being taken for one that has no end. */
    @Test
    public void aSmallAnswerThatIsSlowToComeIsPassedOnAsItComes() throws Exception {
        try (World world = new World(1).start();
                Caller caller = world.caller()) {
            caller.send(World.request("lookup", STAYS, ""));
            Received call = world.call();
            call.raw("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n");
            Nodes.daemon(
                    () -> {
                        for (int i = 0; i < 100; i++) {
                            call.raw("x");
                            Thread.sleep(10);
                        }
                    });
            assertEquals(caller.read().body(), "x".repeat(100));
        }
    }
}
