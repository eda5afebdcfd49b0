package cedarrudder.protocol;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Decoding of responses: the messages don't depend on how the bytes are split, and invalid input is
 * rejected.
 */
public class HttpDecoderTest {

    private static final String TWO_RESPONSES =
            "\r\n\nHTTP/1.1 200 OK\r\nContent-Length: 3\r\nA: b \r\n\r\nabc"
                    + "HTTP/1.1 100 Continue\r\n\r\n"
                    + "HTTP/1.1 503 Full\nSrv-Declined: 1\nTransfer-Encoding: chunked\n\n"
                    + "2;x=y\r\nde\r\n3\r\nfgh\r\n0\r\nTrailer: x\r\n\r\n";

    private static ByteBuf bytes(String text) {
        return Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1);
    }

    private static List<String> decode(HttpDecoder decoder, String... pieces)
            throws MalformedMessageException {
        List<String> messages = new ArrayList<>();
        for (String piece : pieces) {
            ByteBuf in = bytes(piece);
            while (in.isReadable()) {
                HttpMessage message = decoder.decode(in);
                if (message != null) {
                    messages.add(
                            message.head().status()
                                    + " "
                                    + message.head().fields().get("a")
                                    + " "
                                    + new String(message.body(), StandardCharsets.ISO_8859_1));
                }
            }
        }
        return messages;
    }

    @Test
    public void everySplitYieldsTheSameMessages() throws MalformedMessageException {
        List<String> expected = List.of("200 b abc", "503 null defgh");
        for (int i = 0; i <= TWO_RESPONSES.length(); i++) {
            HttpDecoder decoder = HttpDecoder.ofAnswers(HttpDecoder.MAX_HEAD, 100);
            assertEquals(
                    decode(decoder, TWO_RESPONSES.substring(0, i), TWO_RESPONSES.substring(i)),
                    expected,
                    "cut at " + i);
            assertTrue(decoder.between());
        }
        assertEquals(
                decode(HttpDecoder.ofAnswers(HttpDecoder.MAX_HEAD, 100), TWO_RESPONSES.split("")),
                expected);
    }

    /** A watch must not stall once 2 GiB have arrived on it. */
    @Test
    public void streamedResponseHasNoSizeLimit() throws MalformedMessageException {
        for (boolean chunked : new boolean[] {true, false}) {
            HttpDecoder decoder = HttpDecoder.ofStreams(OutputStream.nullOutputStream());
            decoder.decode(
                    bytes(
                            "HTTP/1.1 200 OK\r\n"
                                    + (chunked ? "Transfer-Encoding: chunked\r\n" : "")
                                    + "\r\n"));
            ByteBuf piece =
                    bytes(
                            chunked
                                    ? "100000\r\n" + "\n".repeat(0x100000) + "\r\n"
                                    : "\n".repeat(0x100000));
            for (int i = 0; i < 2_050; i++) {
                piece.readerIndex(0);
                decoder.decode(piece);
                assertEquals(piece.readableBytes(), 0, "MiB " + i + ", chunked: " + chunked);
            }
        }
    }

    @Test
    public void responseWithoutLengthEndsWithItsConnection() throws MalformedMessageException {
        HttpDecoder decoder = HttpDecoder.ofAnswers(HttpDecoder.MAX_HEAD, 100);
        assertNull(decoder.decode(bytes("HTTP/1.1 200 OK\r\n\r\nall of it")));
        assertEquals(new String(decoder.atEnd().body(), StandardCharsets.ISO_8859_1), "all of it");
        assertNull(decoder.decode(bytes("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhalf")));
        assertNull(decoder.atEnd());
    }

    @DataProvider
    public Object[][] nonsense() {
        String start = "HTTP/1.1 200 OK\r\n";
        return new Object[][] {
            {"HTTP/2 200 OK\r\n\r\n"},
            {"HTTP/1.1 2x0 OK\r\n\r\n"},
            {start + "no colon\r\n\r\n"},
            {start + "A : b\r\n\r\n"},
            {start + " folded: b\r\n\r\n"},
            {start + "A: b\0c\r\n\r\n"},
            {start + "Content-Length: -1\r\n\r\n"},
            {start + "Content-Length: 101\r\n\r\n"},
            {start + "Content-Length: 99999999999999999999\r\n\r\n"},
            {start + "Transfer-Encoding: gzip\r\n\r\n"},
            {start + "Transfer-Encoding: chunked\r\n\r\nx\r\n"},
            {start + "Transfer-Encoding: chunked\r\n\r\nffffffff\r\n"},
            {start + "Transfer-Encoding: chunked\r\n\r\n1\r\nabc\r\n"},
            {start + "\r\n" + "x".repeat(101)},
            {"x".repeat(HttpDecoder.MAX_HEAD + 1)},
        };
    }

    @Test(dataProvider = "nonsense")
    public void malformedResponseIsRejected(String text) {
        expectThrows(
                MalformedMessageException.class,
                () -> decode(HttpDecoder.ofAnswers(HttpDecoder.MAX_HEAD, 100), text));
    }
}
