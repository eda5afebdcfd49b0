package cedarrudder.transport;

import static org.testng.Assert.assertEquals;

import cedarrudder.Balancer;
import cedarrudder.Balancer.Endpoint;
import cedarrudder.Balancer.Outcome;
import cedarrudder.Balancer.State;
import cedarrudder.figures.Figures;
import cedarrudder.flow.HeldBytes;
import cedarrudder.logging.Logger;
import cedarrudder.protocol.JsonObject;
import cedarrudder.protocol.Message;
import cedarrudder.protocol.ResolverResult;
import cedarrudder.protocol.SettingsReader;
import cedarrudder.protocol.SiteSettings;
import cedarrudder.routing.Driver;
import cedarrudder.routing.Exchange;
import cedarrudder.routing.Peers;
import cedarrudder.routing.Resolver;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import org.testng.annotations.Test;

/** What the module hears of this process's own shortage. */
public class NodeChannelsTest {

    /** Who is owed an answer, and waits for it. */
    private static final class Caller implements Exchange.Reply<Message> {
        @Override
        public void served(Message answer) {}

        @Override
        public void refused(long retryAfter) {}

        @Override
        public void failed() {}

        @Override
        public boolean waits() {
            return true;
        }
    }

    /**
     * Guards against a node that counts as failing, and as out of connections, for what it never
     * saw: this process has no room for a connection to it.
     */
    @Test
    public void aProbeWithoutRoomForAConnectionSaysNothingOfItsNode() throws Exception {
        assertEquals(
                play(
                        (driver, channels) -> {
                            channels.probe(1);
                            channels.probe(1);
                        }),
                Outcome.MOOT,
                "the second, for which there is no room");
    }

    /**
     * Guards against a caller that waits until its deadline for a request that could not be made.
     */
    @Test
    public void aRequestThatCanNotBeMadeIsMootAtOnce() throws Exception {
        Balancer.Request request =
                new Balancer.Request(1, 0, 0, Long.MAX_VALUE, 0, false, false, 0);
        assertEquals(
                play(
                        (driver, channels) ->
                                driver.accept(
                                        new Exchange<>(
                                                request, new Message(null, null), new Caller()))),
                Outcome.MOOT);
    }

    /** Returns what the module hears first, which sends each RPC on to a silent node. */
    private static Object play(BiConsumer<Driver<Message, Message>, NodeChannels> story)
            throws Exception {
        Loop loop = new Loop(new Logger(new PrintStream(OutputStream.nullOutputStream())));
        SiteSettings site =
                SettingsReader.read(
                        JsonObject.parse(Files.readString(Path.of("example", "config.json")))
                                .child("settings"));
        BlockingQueue<Object> told = new LinkedBlockingQueue<>();
        Driver<Message, Message> driver =
                new Driver<>(
                        actions ->
                                Played.by(
                                        Balancer.class,
                                        (event, with) -> {
                                            if (event.equals("request")) {
                                                actions.send(1, 1, 0);
                                            } else if (!event.equals("denial")) {
                                                told.add(with[event.equals("probed") ? 2 : 4]);
                                            }
                                        }),
                        1,
                        loop,
                        new Logger(System.err));
        try (ServerSocket silent = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            NodeChannels channels =
                    new NodeChannels(
                            loop,
                            driver,
                            site,
                            NodeLimits.DEFAULT,
                            new NodeLimits.Bounds(1, 1),
                            new Figures(1),
                            new HeldBytes(1));
            driver.connect(
                    channels,
                    Played.by(Resolver.class, (action, with) -> {}),
                    Played.by(Peers.class, (action, with) -> {}));
            loop.run(
                    () -> {
                        channels.resolved(
                                new ResolverResult(
                                        1,
                                        true,
                                        List.of(
                                                new ResolverResult.Node(
                                                        "n0",
                                                        new Endpoint(1, 0, 0, 0, State.READY, 1, 0),
                                                        (InetSocketAddress)
                                                                silent.getLocalSocketAddress())),
                                        List.of()));
                        story.accept(driver, channels);
                    });
            return told.poll(20, TimeUnit.SECONDS);
        } finally {
            loop.stop();
        }
    }
}
