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

/** Bodies that flow, in pieces cut anywhere. */
public class FlowDecodingTest {

    private static final int WINDOW = 8;
    private static final int MAX = 64;
    private static final String BODY = "0123456789abcdefghij";
    private static final String CHUNKS =
            "5\r\n01234\r\n3;x=\"y\"\r\n567\r\nC\r\n89abcdefghij\r\n0\r\nT: u\r\n\r\n";

    /** What comes of messages: each body, with a bar where it began to flow. */
    private static List<String> decode(boolean requests, String... pieces)
            throws MalformedMessageException {
        HttpDecoder decoder = HttpDecoder.ofFlows(requests, HttpDecoder.MAX_HEAD, MAX, WINDOW);
        List<String> bodies = new ArrayList<>();
        StringBuilder flowed = new StringBuilder();
        for (String piece : pieces) {
            ByteBuf in = Unpooled.copiedBuffer(piece, StandardCharsets.ISO_8859_1);
            while (in.isReadable() || decoder.large()) {
                HttpMessage whole = decoder.decode(in);
                if (whole != null) {
                    bodies.add(flowed + new String(whole.body(), StandardCharsets.ISO_8859_1));
                    flowed.setLength(0);
                } else if (decoder.large()) {
                    flowed.append(
                            new String(
                                    decoder.flow(
                                            more ->
                                                    flowed.append(
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

    /** Detects bytes that are lost or doubled where a window ends, and where a read does. */
    @Test(dataProvider = "messages")
    public void itIsTheSameHoweverItIsCut(boolean requests, String text)
            throws MalformedMessageException {
        String small =
                requests
                        ? "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nok"
                        : "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
        String two = text + small;
        List<String> expected = List.of(BODY, "ok");
        assertEquals(decode(requests, two), expected);
        assertEquals(decode(requests, two.split("")), expected);
        for (int cut = 1; cut < two.length(); cut++) {
            assertEquals(
                    decode(requests, two.substring(0, cut), two.substring(cut)),
                    expected,
                    "cut " + cut);
        }
    }

    /** Detects a body without an end, whether it says its length or not. */
    @Test
    public void moreThanIsAllowedIsRefused() {
        for (String body :
                List.of("Content-Length: 65\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n41\r\n")) {
            try {
                decode(true, "POST / HTTP/1.1\r\nHost: a\r\n" + body);
                assertTrue(false, "taken: " + body);
            } catch (MalformedMessageException e) {
                assertEquals(e.status(), MalformedMessageException.CONTENT_TOO_LARGE);
            }
        }
    }
}
