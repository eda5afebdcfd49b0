package cedarrudder.protocol;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequestDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.testng.annotations.Test;

/**
 * Our reading of spoilt requests beside that of Netty's own decoder, which knows nothing of ours.
 * Where two parties take the same bytes for different requests, one can be smuggled past the first.
 */
public class IndependentReadingTest {

    private static final long SEED = 20_251;
    private static final int RUNS = 20_000;
    private static final int MAX_SPOILT = 3;

    private static final String[] SOUND = {
        "GET /a HTTP/1.1\r\nHost: h\r\nA: b\r\n\r\n",
        "POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 11\r\nA: b\r\n\r\nhello world",
        "POST /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nA: b\r\n\r\n"
                + "5\r\nhello\r\n6;x=y\r\n world\r\n0\r\n\r\n",
        "POST /d HTTP/1.1\r\nTransfer-Encoding: chunked\r\nHost: h\r\n\r\n"
                + "a\r\n0123456789\r\n0\r\nT: u\r\n\r\n",
        "POST /e HTTP/1.0\r\nHost: h\r\nContent-Length: 3\r\nConnection: keep-alive\r\n\r\nabc",
    };

    private static final String BEHIND = "GET /behind HTTP/1.1\r\nHost: h\r\n\r\n";

    /** What may stand in for something else. */
    private static final String[] ODD = {
        "\r",
        "\n",
        "\r\n",
        "\t",
        " ",
        ":",
        ";",
        ",",
        "0",
        "1",
        "f",
        "\0",
        "\u000b",
        "\u0080",
        "\u00a0",
        "+",
        "-",
        "x",
        "\"",
        "\r\n ",
        "chunked",
        "Content-Length: 1\r\n",
        "Transfer-Encoding: chunked\r\n",
        "Transfer-Encoding: identity\r\n",
        "HTTP/1.1"
    };

    /** A request as one of the two reads it. */
    private record Read(String method, String target, String field, String body) {}

    /** Requests up to the first that is refused, or that has no end. */
    private record Reading(List<Read> requests, boolean refused) {}

    private static String spoilt(SplittableRandom random) {
        StringBuilder text = new StringBuilder(SOUND[random.nextInt(SOUND.length)]);
        for (int i = random.nextInt(MAX_SPOILT) + 1; i > 0; i--) {
            int at = random.nextInt(text.length());
            String odd = ODD[random.nextInt(ODD.length)];
            switch (random.nextInt(4)) {
                case 0 -> text.insert(at, odd);
                case 1 -> text.replace(at, at + 1, odd);
                case 2 -> text.deleteCharAt(at);
                default -> {
                    int start = text.lastIndexOf("\n", at) + 1;
                    int end = text.indexOf("\n", at) + 1;
                    String line = text.substring(start, Math.max(start, end));
                    text.insert(random.nextBoolean() ? start : 0, line);
                }
            }
        }
        return text.append(BEHIND).toString();
    }

    private static Reading ours(String text) {
        List<Read> requests = new ArrayList<>();
        HttpDecoder decoder = HttpDecoder.ofRequests(HttpDecoder.MAX_HEAD, HttpDecoder.MAX_BODY);
        ByteBuf in = Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1);
        try {
            for (HttpMessage next = decoder.decode(in); next != null; next = decoder.decode(in)) {
                requests.add(
                        new Read(
                                next.head().method(),
                                next.head().target(),
                                next.head().fields().get("a"),
                                new String(next.body(), StandardCharsets.ISO_8859_1)));
            }
            return new Reading(requests, false);
        } catch (MalformedMessageException e) {
            return new Reading(requests, true);
        }
    }

    private static Reading theirs(String text) {
        EmbeddedChannel channel =
                new EmbeddedChannel(
                        new HttpRequestDecoder(), new HttpObjectAggregator(HttpDecoder.MAX_BODY));
        channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
        List<Read> requests = new ArrayList<>();
        boolean refused = false;
        for (FullHttpRequest next = channel.readInbound();
                next != null;
                next = channel.readInbound()) {
            refused |= next.decoderResult().isFailure();
            if (!refused) {
                requests.add(
                        new Read(
                                next.method().name(),
                                next.uri(),
                                next.headers().get("a"),
                                next.content().toString(StandardCharsets.ISO_8859_1)));
            }
            next.release();
        }
        channel.close();
        return new Reading(requests, refused);
    }

    private static String told(String text) {
        return text.replace("\r", "\\r").replace("\n", "\\n").replace("\0", "\\0");
    }

    /**
     * Of what both take, each takes the same; and what ours takes and theirs doesn't is taken on
     * purpose.
     */
    @Test
    public void whatBothTakeTheyTakeAlike() {
        SplittableRandom random = new SplittableRandom(SEED);
        TreeMap<String, String> differ = new TreeMap<>();
        int both = 0;
        for (int run = 0; run < RUNS; run++) {
            String text = spoilt(random);
            Reading ours = ours(text);
            Reading theirs = theirs(text);
            int common = Math.min(ours.requests().size(), theirs.requests().size());
            both += common;
            String where =
                    "seed "
                            + SEED
                            + ", run "
                            + run
                            + ": "
                            + told(text)
                            + "\n"
                            + ours
                            + "\n"
                            + theirs;
            for (int i = 0; i < common; i++) {
                if (!ours.requests().get(i).equals(theirs.requests().get(i))) {
                    differ.putIfAbsent("other", where);
                }
            }
            if (ours.requests().size() > common) {
                differ.putIfAbsent(theirs.refused() ? "ours takes" : "theirs waits", where);
            } else if (!ours.refused() && theirs.requests().size() > common) {
                differ.putIfAbsent("ours waits", where);
            }
        }
        assertTrue(both > RUNS / 4, "both took only " + both);
        assertEquals(differ.size(), 0, String.join("\n\n", differ.values()));
    }
}
