package cedarrudder.transport;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import cedarrudder.balancer.LoadBalancer;
import cedarrudder.forwarding.RequestForwarder;
import cedarrudder.logging.Logger;
import cedarrudder.protocol.HttpMessage;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.lang.reflect.Proxy;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

/** Tests the datagrams between proxies; the test simulates one of the proxies. */
public class PeerSocketTest {

    private static final int TIMEOUT_MILLIS = 20_000;

    private final BlockingQueue<String> messages = new LinkedBlockingQueue<>();

    /** Returns a balancer that only records the peer messages that it receives. */
    private LoadBalancer balancer() {
        return (LoadBalancer)
                Proxy.newProxyInstance(
                        LoadBalancer.class.getClassLoader(),
                        new Class<?>[] {LoadBalancer.class},
                        (proxy, method, arguments) -> {
                            if (method.getName().equals("onPeerMessage")) {
                                messages.add(arguments[1] + " " + text((byte[]) arguments[2], 4));
                            }
                            return null;
                        });
    }

    private static String text(byte[] bytes, int length) {
        return new String(bytes, 0, length, StandardCharsets.UTF_8);
    }

    @Test
    public void messagesAreExchangedAndUnknownSendersAreRejected() throws Exception {
        ByteArrayOutputStream log = new ByteArrayOutputStream();
        ProxyEventLoop loop = new ProxyEventLoop(new Logger(new PrintStream(log, true)));
        InetAddress here = InetAddress.getLoopbackAddress();
        InetSocketAddress own;
        try (DatagramSocket free = new DatagramSocket(0, here)) {
            own = (InetSocketAddress) free.getLocalSocketAddress();
        }
        try (DatagramSocket other = new DatagramSocket(0, here);
                DatagramSocket stranger = new DatagramSocket(0, here)) {
            other.setSoTimeout(TIMEOUT_MILLIS);
            RequestForwarder<HttpMessage, HttpMessage> forwarder =
                    new RequestForwarder<>(actions -> balancer(), 1, loop, new Logger(System.err));
            PeerSocket socket =
                    new PeerSocket(
                            loop,
                            forwarder,
                            List.of(own, (InetSocketAddress) other.getLocalSocketAddress()),
                            null);
            socket.listen(own, false);
            loop.run(() -> socket.send(-1, new byte[] {1})); // // there is no broadcast address
            loop.run(() -> socket.send(1, "hello".getBytes(StandardCharsets.UTF_8)));
            DatagramPacket packet = new DatagramPacket(new byte[300], 300);
            other.receive(packet);
            assertEquals(text(packet.getData(), packet.getLength()), "hello");
            stranger.send(new DatagramPacket("psst".getBytes(StandardCharsets.UTF_8), 4, own));
            other.send(new DatagramPacket(new byte[257], 257, own));
            other.send(new DatagramPacket("back".getBytes(StandardCharsets.UTF_8), 4, own));
            assertEquals(messages.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS), "1 back");
            assertTrue(messages.isEmpty());
            BlockingQueue<String> others = new LinkedBlockingQueue<>();
            CountDownLatch handlersSet = new CountDownLatch(1);
            loop.run(
                    () -> {
                        socket.setHandler(
                                (byte) 0xa6,
                                (from, bytes) -> others.add(from + " a6 " + bytes.length));
                        socket.setHandler(
                                (byte) 0xa7,
                                (from, bytes) -> others.add(from + " a7 " + bytes.length));
                        handlersSet.countDown();
                    });
            assertTrue(handlersSet.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
            for (int first : new int[] {0xa6, 'x', 0xa7}) {
                other.send(new DatagramPacket(new byte[] {(byte) first, 1, 2, 3}, 4, own));
            }
            assertEquals(others.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS), "1 a6 4");
            assertEquals(others.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS), "1 a7 4");
            assertTrue(messages.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS).startsWith("1 x"));
            assertEquals(log.toString(StandardCharsets.UTF_8).lines().count(), 3, log.toString());
        } finally {
            loop.stop();
        }
    }
}
