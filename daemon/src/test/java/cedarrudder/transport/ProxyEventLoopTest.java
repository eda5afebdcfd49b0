package cedarrudder.transport;

import static org.testng.Assert.assertEquals;

import cedarrudder.balancer.Await;
import cedarrudder.logging.Logger;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import org.testng.annotations.Test;

/** The loop owns all that runs: whatever Netty would tell elsewhere is told there. */
public class ProxyEventLoopTest {

    /**
     * Detects the balancer, the driver and the clients being worked on by two threads at once:
     * where no descriptor is left Netty can't make the channel, and tells so on a thread of its
     * own.
     */
    @Test
    public void aChannelThatCanNotBeMadeIsToldOnTheLoop() throws Exception {
        ProxyEventLoop loop = new ProxyEventLoop(new Logger(System.err));
        BlockingQueue<List<Object>> told = new LinkedBlockingQueue<>();
        Bootstrap none =
                new Bootstrap()
                        .group(loop.group())
                        .handler(new ChannelInboundHandlerAdapter())
                        .channelFactory(
                                () -> {
                                    throw new ChannelException("no descriptor");
                                });
        loop.run(
                () ->
                        loop.connect(
                                none,
                                new InetSocketAddress(InetAddress.getLoopbackAddress(), 1),
                                done ->
                                        told.add(
                                                List.of(
                                                        done.isSuccess(),
                                                        loop.group().next().inEventLoop()))));
        assertEquals(Await.next("the failure", told), List.of(false, true));
        loop.stop();
    }

    /** Detects a trial whose timers run before they are due on the replica's own clock. */
    @Test
    public void aClockThatDriftsKeepsItsPaceAndItsTimers() {
        for (int millionths : new int[] {-1_000, 1, 1_000}) {
            SkewedClock drift = new SkewedClock(millionths);
            long begin = System.nanoTime();
            for (long passed : new long[] {1, 999, 1_000_000_007, 36_000_000_000_000L}) {
                long own = drift.skewed(begin + passed) - drift.skewed(begin);
                assertEquals(
                        own, passed + passed / 1e6 * millionths, 2, millionths + " of " + passed);
                long due = drift.skewed(begin + drift.toMachineNanos(passed)) - drift.skewed(begin);
                assertEquals(due, passed + 1.5, 1.5, millionths + ", a timer of " + passed);
            }
        }
        long before = System.nanoTime();
        long now = new ProxyEventLoop(new Logger(System.err), new SkewedClock(-1_000)).now();
        assertEquals(now, before, 1e9);
    }
}
