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
 * Compares HttpDecoder with the decoder of Netty, which shares no code with it, on mutated
 * requests. Where two parties parse the same bytes as different requests, one request can be
 * smuggled past the first party.
 */
public class IndependentReadingTest {

    private static final long SEED = 20_251;
    private static final int RUNS = 20_000;
    private static final int MAX_MUTATIONS = 3;

    private static final String[] VALID_REQUESTS = {
        "GET /a HTTP/1.1\r\nHost: h\r\nA: b\r\n\r\n",
        "POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 11\r\nA: b\r\n\r\nhello world",
        "POST /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nA: b\r\n\r\n"
                + "5\r\nhello\r\n6;x=y\r\n world\r\n0\r\n\r\n",
        "POST /d HTTP/1.1\r\nTransfer-Encoding: chunked\r\nHost: h\r\n\r\n"
                + "a\r\n0123456789\r\n0\r\nT: u\r\n\r\n",
        "POST /e HTTP/1.0\r\nHost: h\r\nContent-Length: 3\r\nConnection: keep-alive\r\n\r\nabc",
    };

    private static final String FOLLOWING_REQUEST = "GET /behind HTTP/1.1\r\nHost: h\r\n\r\n";

    /** Replacement texts for mutations. */
    private static final String[] REPLACEMENTS = {
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

    /** A request as one of the two decoders reads it. */
    private record ParsedRequest(String method, String target, String field, String body) {}

    /** The requests up to the first that is rejected or incomplete. */
    private record Reading(List<ParsedRequest> requests, boolean rejected) {}

    private static String mutatedRequests(SplittableRandom random) {
        StringBuilder text =
                new StringBuilder(VALID_REQUESTS[random.nextInt(VALID_REQUESTS.length)]);
        for (int i = random.nextInt(MAX_MUTATIONS) + 1; i > 0; i--) {
            int at = random.nextInt(text.length());
            String replacement = REPLACEMENTS[random.nextInt(REPLACEMENTS.length)];
            switch (random.nextInt(4)) {
                case 0 -> text.insert(at, replacement);
                case 1 -> text.replace(at, at + 1, replacement);
                case 2 -> text.deleteCharAt(at);
                default -> {
                    int start = text.lastIndexOf("\n", at) + 1;
                    int end = text.indexOf("\n", at) + 1;
                    String line = text.substring(start, Math.max(start, end));
                    text.insert(random.nextBoolean() ? start : 0, line);
                }
            }
        }
        return text.append(FOLLOWING_REQUEST).toString();
    }

    private static Reading readByProxy(String text) {
        List<ParsedRequest> requests = new ArrayList<>();
        HttpDecoder decoder = HttpDecoder.ofRequests(HttpDecoder.MAX_HEAD, HttpDecoder.MAX_BODY);
        ByteBuf in = Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1);
        try {
            for (HttpMessage next = decoder.decode(in); next != null; next = decoder.decode(in)) {
                requests.add(
                        new ParsedRequest(
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

    private static Reading readByNetty(String text) {
        EmbeddedChannel channel =
                new EmbeddedChannel(
                        new HttpRequestDecoder(), new HttpObjectAggregator(HttpDecoder.MAX_BODY));
        channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
        List<ParsedRequest> requests = new ArrayList<>();
        boolean rejected = false;
        for (FullHttpRequest next = channel.readInbound();
                next != null;
                next = channel.readInbound()) {
            rejected |= next.decoderResult().isFailure();
            if (!rejected) {
                requests.add(
                        new ParsedRequest(
                                next.method().name(),
                                next.uri(),
                                next.headers().get("a"),
                                next.content().toString(StandardCharsets.ISO_8859_1)));
            }
            next.release();
        }
        channel.close();
        return new Reading(requests, rejected);
    }

    private static String printable(String text) {
        return text.replace("\r", "\\r").replace("\n", "\\n").replace("\0", "\\0");
    }

    /**
     * Checks that the decoders agree on all requests that both accept. No request may be accepted,
     * rejected or left incomplete by one decoder alone, except that Netty's may accept a request
     * that this decoder rejects.
     */
    @Test
    public void bothDecodersReadAcceptedRequestsAlike() {
        SplittableRandom random = new SplittableRandom(SEED);
        TreeMap<String, String> differences = new TreeMap<>();
        int both = 0;
        for (int run = 0; run < RUNS; run++) {
            String text = mutatedRequests(random);
            Reading byProxy = readByProxy(text);
            Reading byNetty = readByNetty(text);
            int common = Math.min(byProxy.requests().size(), byNetty.requests().size());
            both += common;
            String where =
                    "seed "
                            + SEED
                            + ", run "
                            + run
                            + ": "
                            + printable(text)
                            + "\n"
                            + byProxy
                            + "\n"
                            + byNetty;
            for (int i = 0; i < common; i++) {
                if (!byProxy.requests().get(i).equals(byNetty.requests().get(i))) {
                    differences.putIfAbsent("other", where);
                }
            }
            if (byProxy.requests().size() > common) {
                differences.putIfAbsent(
                        byNetty.rejected() ? "only the proxy accepts" : "only Netty waits for more",
                        where);
            } else if (!byProxy.rejected() && byNetty.requests().size() > common) {
                differences.putIfAbsent("only the proxy waits for more", where);
            }
        }
        assertTrue(both > RUNS / 4, "requests accepted by both: " + both);
        assertEquals(differences.size(), 0, String.join("\n\n", differences.values()));
    }
}
