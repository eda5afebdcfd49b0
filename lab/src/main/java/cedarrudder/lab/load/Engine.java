package cedarrudder.lab.load;

import cedarrudder.protocol.HttpDecoder;
import cedarrudder.protocol.HttpMessage;
import cedarrudder.protocol.MalformedMessageException;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * One event loop of a load run: sends at the intended times, whatever becomes of what was sent
 * before. All of it happens on its loop.
 */
final class Engine {

    /** An answer that can't be read without end costs no more memory than this. */
    private static final int MAX_BODY = 1 << 20;

    /** Nearer to its next send than this the loop spins: timers of the selector are no finer. */
    private static final long SPIN = 1_500_000L;

    /** How often overdue requests are looked for. */
    private static final long TICK = 2_000_000L;

    private static final int CONNECT_MILLIS = 3_000;

    private final EventLoop loop;
    private final Options options;
    private final RandomGenerator random;
    private final Schedule schedule;
    private final int everyNth;
    private final int maxLinks;
    private final long start;
    private final Runnable whenDone;
    private final Request.Writer writer;
    private final Bootstrap bootstrap;
    private final Set<Link> links = new HashSet<>();
    private final Deque<Link> idle = new ArrayDeque<>();
    private final Deque<Request> waiting = new ArrayDeque<>();

    /** The open requests of each class, by deadline. */
    private final List<Deque<Request>> open = new ArrayList<>();

    private Counts counts;
    private long nextSend;
    private int opening;
    private int turn;
    private boolean done;

    /**
     * @param number the engine's number; it takes each send of the schedule whose number is that,
     *     modulo {@code everyNth}
     * @param start the instant of {@code System.nanoTime} at which the schedule begins
     */
    Engine(
            EventLoop loop,
            Options options,
            RandomGenerator random,
            Schedule schedule,
            int number,
            int everyNth,
            long start,
            Runnable whenDone) {
        this.loop = loop;
        this.options = options;
        this.random = random;
        this.schedule = schedule;
        this.everyNth = everyNth;
        this.maxLinks = Math.max(1, options.connections() / everyNth);
        this.start = start;
        this.whenDone = whenDone;
        this.writer = new Request.Writer(options);
        this.counts = new Counts(options.traffic().kinds().size());
        this.turn = number;
        for (int i = 0; i < options.traffic().kinds().size(); i++) {
            open.add(new ArrayDeque<>());
        }
        this.bootstrap =
                new Bootstrap()
                        .group(loop)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MILLIS);
        for (int i = 0; i <= number; i++) {
            nextSend = schedule.next();
        }
    }

    /** To be called on the loop. */
    void begin() {
        pump();
        tick();
    }

    /** What was counted since the last call; on the loop. */
    Counts take() {
        Counts taken = counts;
        counts = new Counts(open.size());
        return taken;
    }

    /** Closes all connections; on the loop. */
    void close() {
        done = true;
        List.copyOf(links).forEach(link -> link.channel.close());
    }

    // ---- time ----

    private void pump() {
        if (done) {
            return;
        }
        while (nextSend >= 0) {
            long wait = start + nextSend - System.nanoTime();
            if (wait > 0) {
                if (wait > SPIN) {
                    loop.schedule(this::pump, wait - SPIN / 2, TimeUnit.NANOSECONDS);
                } else {
                    loop.execute(this::pump);
                }
                return;
            }
            long intended = start + nextSend;
            for (int i = 0; i < everyNth && nextSend >= 0; i++) {
                nextSend = schedule.next();
            }
            launch(intended, -wait);
        }
    }

    private void tick() {
        long now = System.nanoTime();
        boolean someOpen = false;
        for (Deque<Request> ofKind : open) {
            while (!ofKind.isEmpty() && (ofKind.peek().over || ofKind.peek().deadline <= now)) {
                Request request = ofKind.poll();
                if (!request.over) {
                    end(request, request.leftAt == 0 ? End.UNSENT : End.NO_ANSWER);
                    if (request.channel != null) {
                        request.channel.close(); // the client goes away
                    }
                }
            }
            someOpen |= !ofKind.isEmpty();
        }
        if (nextSend < 0 && !someOpen) {
            if (!done) {
                whenDone.run();
            }
            return;
        }
        loop.schedule(this::tick, TICK, TimeUnit.NANOSECONDS);
    }

    // ---- requests ----

    private void launch(long intended, long late) {
        int kind = options.traffic().kind(random);
        Request request =
                new Request(
                        kind,
                        options.traffic().tenant(random),
                        random.nextLong(),
                        intended,
                        intended + options.traffic().kinds().get(kind).deadlineMillis() * 1_000_000,
                        intended - start >= options.leadSeconds() * 1e9);
        if (request.counted) {
            counts.intended++;
            counts.turned.recordValue(late / 1000);
        }
        open.get(kind).add(request);
        dispatch(request);
    }

    private void dispatch(Request request) {
        Link link = idle.pollLast();
        if (link != null) {
            link.send(request);
            return;
        }
        waiting.add(request);
        if (links.size() + opening < maxLinks) {
            connect();
        }
    }

    private void connect() {
        opening++;
        counts.opened++;
        InetSocketAddress to = options.targets().get(turn++ % options.targets().size());
        Link link = new Link();
        bootstrap
                .clone()
                .handler(link)
                .connect(to)
                .addListener(
                        connected -> {
                            opening--;
                            if (connected.isSuccess()) {
                                links.add(link);
                                link.next();
                            } else {
                                Request request = nextWaiting();
                                if (request != null) {
                                    end(request, End.UNREACHABLE);
                                }
                                openForWaiting();
                            }
                        });
    }

    private Request nextWaiting() {
        Request request = waiting.poll();
        while (request != null && request.over) {
            request = waiting.poll();
        }
        return request;
    }

    /** This avoids requests that wait for a connection after the last one has gone. */
    private void openForWaiting() {
        waiting.removeIf(request -> request.over);
        if (!done && waiting.size() > opening && links.size() + opening < maxLinks) {
            connect();
        }
    }

    private void end(Request request, End how) {
        request.over = true;
        if (!request.counted) {
            return;
        }
        Counts.OfKind kind = counts.kinds.get(request.kind);
        kind.ends[how.ordinal()]++;
        if (how == End.SERVED) {
            long now = System.nanoTime();
            kind.latency.recordValue((now - request.intended) / 1000);
            counts.service.recordValue((now - request.leftAt) / 1000);
        }
    }

    /** A connection, which carries one request at a time. */
    private final class Link extends ChannelInboundHandlerAdapter {
        private final HttpDecoder decoder = HttpDecoder.ofAnswers(HttpDecoder.MAX_HEAD, MAX_BODY);
        private Channel channel;
        private Request current;
        private boolean used;
        private boolean heard;

        @Override
        public void handlerAdded(ChannelHandlerContext context) {
            channel = context.channel();
        }

        /** Takes the request that has waited longest, or waits for one. */
        void next() {
            Request request = nextWaiting();
            if (request != null) {
                send(request);
            } else {
                idle.add(this);
            }
        }

        void send(Request request) {
            current = request;
            request.channel = channel;
            heard = false;
            long now = System.nanoTime();
            if (request.leftAt == 0) {
                request.leftAt = now;
                if (request.counted) {
                    counts.left.recordValue(Math.max(0, now - request.intended) / 1000);
                }
            }
            ByteBuf out = channel.alloc().buffer(512);
            writer.write(request, Math.max(1, (request.deadline - now) / 1_000_000), out);
            channel.writeAndFlush(out, channel.voidPromise());
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object bytes) {
            ByteBuf in = (ByteBuf) bytes;
            try {
                heard = true;
                HttpMessage answer = decoder.decode(in);
                if (answer != null) {
                    answered(answer, in.isReadable());
                } else if (current == null) {
                    channel.close(); // an answer to nothing
                }
            } catch (MalformedMessageException e) {
                finish(End.GARBLED);
                channel.close();
            } finally {
                in.release();
            }
        }

        private void answered(HttpMessage answer, boolean more) {
            int status = answer.head().status();
            boolean refused = status == 429 || status == 503;
            if (refused && answer.head().fields().get("retry-after") != null) {
                counts.advised++;
            }
            boolean ours = current != null;
            finish(status == 200 ? End.SERVED : refused ? End.REFUSED : End.FAILED);
            used = true;
            if (!ours || more || options.fresh() || !answer.head().keepsAlive()) {
                channel.close();
            } else {
                next();
            }
        }

        private void finish(End how) {
            Request request = current;
            current = null;
            if (request == null) {
                return;
            }
            long now = System.nanoTime();
            if (!request.over) {
                end(request, how == End.SERVED && now > request.deadline ? End.NO_ANSWER : how);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            links.remove(this);
            idle.remove(this);
            HttpMessage whole = decoder.atEnd();
            if (whole != null && current != null) {
                answered(whole, false);
            }
            Request request = current;
            if (request != null && !request.over && used && !heard && !request.resent) {
                // The close of an idle connection crossed the request, which the server has not
                // read.
                request.resent = true;
                counts.resent++;
                current = null;
                dispatch(request);
            } else {
                finish(End.RESET);
            }
            openForWaiting();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            // A reset: told to channelInactive as an end.
            channel.close();
        }
    }
}
