package cedarrudder.transport;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertTrue;

import cedarrudder.balancer.LoadBalancer;
import cedarrudder.forwarding.RequestForwarder;
import cedarrudder.logging.Logger;
import cedarrudder.membership.MembershipSettings;
import cedarrudder.protocol.HttpMessage;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.lang.reflect.Proxy;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.zip.CRC32C;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Tests membership over datagrams. The test simulates two peers, which encode and decode messages
 * byte by byte.
 */
public class MembershipServiceTest {

    private static final int TIMEOUT_MILLIS = 20_000;
    private static final long MILLI = 1_000_000L;

    /** Short intervals, so that the tests are quick; no assertion depends on them. */
    private static final MembershipSettings QUICK =
            new MembershipSettings(50 * MILLI, 20 * MILLI, 2, 1, 1, 1, 3, 2, 2);

    private static final byte PING = 0;
    private static final byte ACK = 1;
    private static final byte SUSPECT = 1;
    private static final byte DEAD = 2;
    private static final byte LEFT = 3;
    private static final byte ROOM = 1;
    private static final byte VERSION = 2 << 4;
    private static final byte WINDOW = 4;

    private static long number(ByteBuffer in) {
        long value = 0;
        for (int shift = 0; ; shift += 7) {
            byte next = in.get();
            value |= (long) (next & 127) << shift;
            if (next >= 0) {
                return value;
            }
        }
    }

    /** A simulated peer that answers each ping, until it is set to be silent. */
    private static final class Peer {
        final DatagramSocket socket;
        final BlockingQueue<byte[]> received = new LinkedBlockingQueue<>();
        volatile long incarnation = 7;
        volatile boolean silent;
        private final int number;

        Peer(int number) throws IOException {
            this.number = number;
            socket = new DatagramSocket(0, InetAddress.getLoopbackAddress());
            Thread thread = new Thread(this::serve);
            thread.setDaemon(true);
            thread.start();
        }

        private void serve() {
            try {
                while (true) {
                    DatagramPacket in = new DatagramPacket(new byte[300], 300);
                    socket.receive(in);
                    byte[] bytes = Arrays.copyOf(in.getData(), in.getLength());
                    received.add(bytes);
                    if (!silent && (bytes[1] & 3) == PING) {
                        byte[] answer = message(ACK, number(ByteBuffer.wrap(bytes, 2, 9)), number);
                        socket.send(
                                new DatagramPacket(answer, answer.length, in.getSocketAddress()));
                    }
                }
            } catch (IOException e) {
                // // closed by the test
            }
        }

        /**
         * Encodes a message. All numbers but that of the ping are below 128, and so are one byte
         * long.
         */
        byte[] message(byte kind, long pingNumber, int subject) {
            ByteBuffer out = ByteBuffer.allocate(30).put(ROOM).put((byte) (VERSION | kind));
            for (long rest = pingNumber; ; rest >>>= 7) {
                out.put((byte) (rest & 127 | (rest > 127 ? 128 : 0)));
                if (rest <= 127) {
                    break;
                }
            }
            out.put((byte) number).put((byte) incarnation).put((byte) subject).putInt(0);
            CRC32C sum = new CRC32C();
            sum.update(out.array(), 0, out.position());
            out.putInt((int) sum.getValue());
            return Arrays.copyOf(out.array(), out.position());
        }

        /** Waits for a message that reports this state of an instance. */
        void awaitReport(int instance, byte standing) throws InterruptedException {
            long until = System.nanoTime() + TIMEOUT_MILLIS * MILLI;
            while (true) {
                byte[] next =
                        received.poll(Math.max(0, until - System.nanoTime()), TimeUnit.NANOSECONDS);
                assertNotNull(next, "no such message was received");
                ByteBuffer in = ByteBuffer.wrap(next, 2, next.length - 2 - 4); // // the checksum
                for (int i = 0; i < 4; i++) {
                    number(in); // // ping number, sender, sender's incarnation, subject
                }
                in.getInt(); // // the digest
                if ((next[1] & WINDOW) != 0) {
                    number(in);
                    in.position(in.position() + 1 + in.get(in.position()));
                }
                while (in.hasRemaining()) {
                    long entry = number(in);
                    number(in); // // incarnation
                    if ((entry & 3) == SUSPECT) {
                        number(in);
                    }
                    if (entry == (instance << 2 | standing)) {
                        return;
                    }
                }
            }
        }
    }

    private final BlockingQueue<Integer> live = new LinkedBlockingQueue<>();
    private final ByteArrayOutputStream log = new ByteArrayOutputStream();
    private ProxyEventLoop loop;
    private Peer one;
    private Peer two;
    private MembershipService membership;
    private InetSocketAddress own;

    private LoadBalancer balancer() {
        return (LoadBalancer)
                Proxy.newProxyInstance(
                        LoadBalancer.class.getClassLoader(),
                        new Class<?>[] {LoadBalancer.class},
                        (proxy, method, arguments) -> {
                            if (method.getName().equals("onLiveReplicas")) {
                                live.add((Integer) arguments[1]);
                            }
                            return null;
                        });
    }

    @BeforeMethod
    public void start() throws Exception {
        live.clear();
        log.reset();
        loop = new ProxyEventLoop(new Logger(new PrintStream(log, true)));
        one = new Peer(1);
        two = new Peer(2);
        try (DatagramSocket free = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            own = (InetSocketAddress) free.getLocalSocketAddress();
        }
        RequestForwarder<HttpMessage, HttpMessage> forwarder =
                new RequestForwarder<>(actions -> balancer(), 1, loop, new Logger(System.err));
        PeerSocket socket =
                new PeerSocket(loop, forwarder, List.of(own, address(one), address(two)), null);
        socket.listen(own, false);
        membership =
                new MembershipService(
                        loop,
                        socket,
                        QUICK,
                        3,
                        0,
                        1_000,
                        new SplittableRandom(3),
                        forwarder::liveReplicas,
                        null);
        loop.run(membership::start);
    }

    private static InetSocketAddress address(Peer peer) {
        return (InetSocketAddress) peer.socket.getLocalSocketAddress();
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        loop.stop();
        one.socket.close();
        two.socket.close();
    }

    private void awaitLive(int expected) throws InterruptedException {
        Integer next = live.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        assertNotNull(next, "the balancer was not notified");
        assertEquals((int) next, expected);
    }

    @Test
    public void deathAndRecoveryAreReportedToTheBalancer() throws Exception {
        two.silent = true;
        awaitLive(2);
        one.awaitReport(2, DEAD);
        assertTrue(log.toString().contains("member.died replica=2 live=2"), log.toString());
        two.incarnation = 8;
        two.silent = false;
        awaitLive(3);
        assertTrue(log.toString().contains("member.recovered replica=2 live=3"), log.toString());
    }

    /**
     * Waits for this many messages to a peer; the last is sent after the answers to those before
     * it.
     */
    private static void awaitMessages(Peer peer, int count) throws InterruptedException {
        for (int i = 0; i < count; i++) {
            assertNotNull(
                    peer.received.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS),
                    "the peer was not pinged");
        }
    }

    @Test
    public void anIncarnationThatWasDeclaredDeadStaysDeadWhenItAnswersAgain() throws Exception {
        awaitMessages(two, 3); // // its incarnation is known from its answers
        two.silent = true;
        awaitLive(2);
        two.received.clear();
        two.silent = false;
        two.awaitReport(
                2, DEAD); // // it is pinged, with its own death in the message; the old incarnation
        // answers
        two.awaitReport(2, DEAD);
        assertTrue(live.isEmpty(), "a dead incarnation counts as live");
    }

    @Test
    public void leavingIsAnnouncedToAllPeers() throws Exception {
        loop.run(membership::leave);
        one.awaitReport(0, LEFT);
        two.awaitReport(0, LEFT);
    }

    @Test
    public void invalidDatagramsAndUnknownSendersAreIgnored() throws Exception {
        SplittableRandom random = new SplittableRandom(11);
        try (DatagramSocket stranger = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            for (int i = 0; i < 2_000; i++) {
                byte[] bytes = new byte[random.nextInt(256)];
                random.nextBytes(bytes);
                if (bytes.length > 1 && random.nextBoolean()) {
                    bytes[0] = ROOM;
                    bytes[1] = (byte) (VERSION | random.nextInt(8));
                }
                (i % 2 == 0 ? stranger : one.socket)
                        .send(new DatagramPacket(bytes, bytes.length, own));
            }
        }
        two.silent = true;
        awaitLive(2);
    }
}
