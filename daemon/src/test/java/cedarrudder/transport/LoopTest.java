package cedarrudder.transport;

import static org.testng.Assert.assertEquals;

import cedarrudder.Await;
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
public class LoopTest {

    /**
     * Guards against the module, the driver and the callers being worked on by two threads at once: where no
     * descriptor is left Netty can't make the channel, and tells so on a thread of its own.
     */
    @Test
    public void aChannelThatCanNotBeMadeIsToldOnTheLoop() throws Exception {
        Loop loop = new Loop(new Logger(System.err));
        BlockingQueue<List<Object>> told = new LinkedBlockingQueue<>();
        Bootstrap none = new Bootstrap().group(loop.group()).handler(new ChannelInboundHandlerAdapter())
                .channelFactory(() -> {
                    throw new ChannelException("no descriptor");
                });
        loop.run(() -> loop.connect(none, new InetSocketAddress(InetAddress.getLoopbackAddress(), 1),
                done -> told.add(List.of(done.isSuccess(), loop.group().next().inEventLoop()))));
        assertEquals(Await.next("the failure", told), List.of(false, true));
        loop.stop();
    }
}
