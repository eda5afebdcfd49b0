package cedarrudder.protocol;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Decoding of bodies that are forwarded in pieces, with the input split anywhere. */
public class FlowDecodingTest {

    private static final int WINDOW = 8;
    private static final int MAX_BODY = 64;
    private static final String BODY = "0123456789abcdefghij";
    private static final String CHUNKS =
            "5\r\n01234\r\n3;x=\"y\"\r\n567\r\nC\r\n89abcdefghij\r\n0\r\nT: u\r\n\r\n";

    /** Returns the body of each decoded message. */
    private static List<String> decode(boolean requests, String... pieces)
            throws MalformedMessageException {
        HttpDecoder decoder = HttpDecoder.ofFlows(requests, HttpDecoder.MAX_HEAD, MAX_BODY, WINDOW);
        List<String> bodies = new ArrayList<>();
        StringBuilder received = new StringBuilder();
        for (String piece : pieces) {
            ByteBuf in = Unpooled.copiedBuffer(piece, StandardCharsets.ISO_8859_1);
            while (in.isReadable() || decoder.large()) {
                HttpMessage whole = decoder.decode(in);
                if (whole != null) {
                    bodies.add(received + new String(whole.body(), StandardCharsets.ISO_8859_1));
                    received.setLength(0);
                } else if (decoder.large()) {
                    received.append(
                            new String(
                                    decoder.flow(
                                            more ->
                                                    received.append(
                                                            new String(
                                                                    more,
                                                                    StandardCharsets.ISO_8859_1))),
                                    StandardCharsets.ISO_8859_1));
                }
            }
        }
        return bodies;
    }

    @DataProvider
    public Object[][] messages() {
        String request = "POST / HTTP/1.1\r\nHost: a\r\n";
        String answer = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n";
        return new Object[][] {
            {true, request + "Content-Length: 20\r\n\r\n" + BODY},
            {true, request + "Transfer-Encoding: chunked\r\n\r\n" + CHUNKS},
            {false, answer + "Content-Length: 20\r\n\r\n" + BODY},
            {false, answer + "Transfer-Encoding: chunked\r\n\r\n" + CHUNKS},
        };
    }

    /** No byte may be lost or duplicated at the end of a window or of a read. */
    @Test(dataProvider = "messages")
    public void splitInputYieldsTheSameBodies(boolean requests, String text)
            throws MalformedMessageException {
        String small =
                requests
                        ? "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nok"
                        : "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
        String bothMessages = text + small;
        List<String> expected = List.of(BODY, "ok");
        assertEquals(decode(requests, bothMessages), expected);
        assertEquals(decode(requests, bothMessages.split("")), expected);
        for (int cut = 1; cut < bothMessages.length(); cut++) {
            assertEquals(
                    decode(requests, bothMessages.substring(0, cut), bothMessages.substring(cut)),
                    expected,
                    "cut " + cut);
        }
    }

    /** A body that exceeds the limit must be rejected, whether or not its length is declared. */
    @Test
    public void bodyOverTheLimitIsRejected() {
        for (String body :
                List.of("Content-Length: 65\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n41\r\n")) {
            try {
                decode(true, "POST / HTTP/1.1\r\nHost: a\r\n" + body);
                assertTrue(false, "accepted: " + body);
            } catch (MalformedMessageException e) {
                assertEquals(e.status(), MalformedMessageException.CONTENT_TOO_LARGE);
            }
        }
    }
}
