package cedarrudder.lab.emulator;

import cedarrudder.lab.scenario.Scenario.WireTrouble;
import cedarrudder.protocol.HttpDecoder;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;

/** Answers that are wrong on purpose. */
final class MalformedAnswers {

    private static final int INTERIM_ANSWERS = 100;
    private static final long DRIP_MILLIS = 20;

    private MalformedAnswers() {}

    /** Writes an answer in the way of a trouble. */
    static void write(WireTrouble trouble, Channel to, byte[] body) {
        switch (trouble) {
            case GARBLE -> text(to, "\u0000\u0007 no answer at all \u00ff\r\n\r\n");
            case TOO_LONG ->
                    bytes(to, HttpDecoder.MAX_BODY + 1, new byte[HttpDecoder.MAX_BODY + 1]);
            case TOO_SHORT -> {
                bytes(to, body.length + 1, body);
                to.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
            }
            case ENDLESS -> {
                text(to, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                drip(to);
            }
            case INTERIM_FLOOD -> {
                text(to, "HTTP/1.1 100 Continue\r\n\r\n".repeat(INTERIM_ANSWERS));
                bytes(to, body.length, body);
            }
            case SECOND_COPY -> {
                bytes(to, body.length, body);
                bytes(to, body.length, body);
            }
            case RESET_AFTER -> Sockets.reset(to);
            default -> throw new IllegalArgumentException(trouble + " spoils no answer");
        }
    }

    private static void drip(Channel to) {
        if (to.isActive()) {
            text(to, "1\r\nz\r\n");
            to.eventLoop().schedule(() -> drip(to), DRIP_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private static void bytes(Channel to, int announced, byte[] body) {
        byte[] head =
                ("HTTP/1.1 200 OK\r\nContent-Length: " + announced + "\r\n\r\n")
                        .getBytes(StandardCharsets.ISO_8859_1);
        to.writeAndFlush(Unpooled.wrappedBuffer(head, body));
    }

    private static void text(Channel to, String text) {
        to.writeAndFlush(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
    }
}
