package cedarrudder.protocol;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.buffer.UnpooledByteBufAllocator;
import java.nio.charset.StandardCharsets;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Decoding of requests that two parties could read differently, and of bytes that can't become a
 * request.
 */
public class RequestDecodingTest {

    private static final String HOST = "Host: a\r\n";
    private static final String CHUNKED =
            "POST / HTTP/1.1\r\n" + HOST + "Transfer-Encoding: chunked\r\n\r\n";

    private static ByteBuf bytes(String text) {
        return Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1);
    }

    private static HttpDecoder decoder() {
        return HttpDecoder.ofRequests(HttpDecoder.MAX_HEAD, HttpDecoder.MAX_BODY);
    }

    /** Returns a head that is one byte longer than the limit. */
    private static String headOverTheLimit(String start) {
        return start + "x".repeat(HttpDecoder.MAX_HEAD + 1 - start.length());
    }

    /**
     * Inputs that are rejected as soon as these bytes have arrived, whatever may follow, and the
     * status.
     */
    @DataProvider
    public Object[][] refused() {
        return new Object[][] {
            {"\u0016", 400},
            {"\0", 400},
            {"SSH-2.0-x\r", 400},
            {"EHLO a b\r\n", 400},
            {"*1\r", 400},
            {" ", 400},
            {"GE(", 400},
            {"GET / HTTP/1.1\rH", 400},
            {"GET /\u00e9", 400},
            {"\r\n".repeat(9), 400},
            {"\n", 400},
            {"GET / HTTP/1.1\r\nA: b\n", 400},
            {"A".repeat(65), 501},
            {headOverTheLimit("GET /"), 414},
            {headOverTheLimit("GET / HTTP/1.1\r\n" + HOST + "A: "), 431},
            {"PRI * HTTP/2.0\r\n", 505},
            {"GET / HTTP/0.9\r\n", 505},
            {"GET / HTTP/1.10\r\n", 400},
            {"GET api HTTP/1.1\r\n", 400},
            {"GET * HTTP/1.1\r\n", 400},
            {"GET /#x HTTP/1.1\r\n", 400},
            {"GET https://a/ HTTP/1.1\r\n", 400},
            {"GET http://b@a/ HTTP/1.1\r\n", 400},
            {"GET http:///x HTTP/1.1\r\n", 400},
            {"CONNECT a:80 HTTP/1.1\r\n", 400},
            {"GET / HTTP/1.1\r\n\r\n", 400},
            {"GET / HTTP/1.1\r\n" + HOST + HOST + "\r\n", 400},
            {"GET / HTTP/1.1\r\nHost: a b\r\n\r\n", 400},
            {"GET / HTTP/1.1\r\nHost: a:x\r\n\r\n", 400},
            {"GET / HTTP/1.1\r\nHost: [::1\r\n\r\n", 400},
            {"GET / HTTP/1.1\r\nHost: [::1]a\r\n\r\n", 400},
            {"GET / HTTP/1.1\r\nHost: [x]\r\n\r\n", 400},
            {"GET / HTTP/1.1\r\n: b\r\n", 400},
            {CHUNKED.replace("1.1", "1.0"), 400},
            {CHUNKED.replace("chunked", "gzip, chunked"), 501},
            {CHUNKED.replace("chunked", "chunked, gzip"), 400},
            {CHUNKED.replace("chunked", "chunked, chunked"), 400},
            {CHUNKED + "1\n", 400},
            {CHUNKED + "1;\n", 400},
            {CHUNKED + "1;a\rb", 400},
            {CHUNKED + "1 \r\n", 400},
            {CHUNKED + "1 a\r\n", 400},
            {CHUNKED + "1\r\na\n", 400},
            {CHUNKED + "1\r\nab", 400},
            {CHUNKED + "0\r\n\n", 400},
            {CHUNKED + "0\r\nGET / HTTP/1.1\r\n", 400},
        };
    }

    @Test(dataProvider = "refused")
    public void invalidRequestIsRejectedAsSoonAsPossible(String text, int status) throws Exception {
        MalformedMessageException whole =
                expectThrows(MalformedMessageException.class, () -> decoder().decode(bytes(text)));
        assertEquals(whole.status(), status);
        HttpDecoder split = decoder();
        for (int i = 0; i < text.length() - 1; i++) {
            split.decode(bytes(text.substring(i, i + 1)));
        }
        MalformedMessageException last =
                expectThrows(
                        MalformedMessageException.class,
                        () -> split.decode(bytes(text.substring(text.length() - 1))));
        assertEquals(last.status(), status);
    }

    /**
     * A request's first line and Host, and the target and the Host that are forwarded to an
     * endpoint.
     */
    @DataProvider
    public Object[][] taken() {
        return new Object[][] {
            {"GET /a?b HTTP/1.1\r\nHost: c:1\r\n\r\n", "/a?b", "c:1"},
            {"GET /a HTTP/1.1\r\nHost:\r\n\r\n", "/a", ""},
            {"GET /a HTTP/1.1\r\nHost: [::1]:80\r\n\r\n", "/a", "[::1]:80"},
            {"GET HTTP://c:1/a?b HTTP/1.1\r\nHost: d\r\n\r\n", "/a?b", "c:1"},
            {"GET http://c HTTP/1.1\r\nHost: c\r\n\r\n", "/", "c"},
            {"GET http://c?b HTTP/1.1\r\nHost: c\r\n\r\n", "/?b", "c"},
            {"GET /a HTTP/1.0\r\n\r\n", "/a", ""},
            {"GET /a HTTP/1.9\r\nHost: c\r\n\r\n", "/a", "c"},
            {"\r\n\r\nGET /a HTTP/1.1\r\nHost: c\r\n\r\n", "/a", "c"},
        };
    }

    @Test(dataProvider = "taken")
    public void targetFormsAreNormalized(String text, String target, String host) throws Exception {
        HttpMessage request = decoder().decode(bytes(text));
        assertEquals(request.head().target(), target);
        assertEquals(request.head().fields().get("host"), host);
    }

    @Test
    public void expectationOf100IsReportedOnce() throws Exception {
        HttpDecoder decoder = decoder();
        String text =
                "POST / HTTP/1.1\r\n" + HOST + "Expect: 100-Continue\r\nContent-Length: 2\r\n";
        assertNull(decoder.decode(bytes(text)));
        assertFalse(decoder.awaitsContinue());
        assertNull(decoder.decode(bytes("\r\n")));
        assertTrue(decoder.awaitsContinue());
        assertFalse(decoder.awaitsContinue());
        assertEquals(decoder.decode(bytes("ab")).body().length, 2);
        assertNull(decoder.decode(bytes(text + "\r\na")));
        assertFalse(decoder.awaitsContinue());
        decoder.decode(bytes("b"));
        assertNull(decoder.decode(bytes(text.replace("1.1", "1.0") + "\r\n")));
        assertFalse(decoder.awaitsContinue());
    }

    /**
     * RFC 9110 7.6.1. {@code Connection} can't strip a request of essential fields, above all its
     * idempotency key.
     */
    @Test
    public void hopByHopFieldsAreDroppedAndRequestFieldsForwarded() throws Exception {
        HttpMessage request =
                decoder()
                        .decode(
                                bytes(
                                        "GET / HTTP/1.1\r\n"
                                                + HOST
                                                + "Connection: X-A, close\r\n"
                                                + "Connection: host,idempotency-key,Req-Id\r\n"
                                                + "X-a: 1\r\n"
                                                + "X-B: 2\r\n"
                                                + "Req-Id: 3\r\n"
                                                + "Idempotency-Key: 4\r\n\r\n"));
        ByteBuf forwarded = HttpEncoder.request(UnpooledByteBufAllocator.DEFAULT, request, 5, null);
        assertEquals(
                forwarded.toString(StandardCharsets.ISO_8859_1),
                "GET / HTTP/1.1\r\n"
                        + HOST
                        + "X-B: 2\r\n"
                        + "Req-Id: 3\r\nIdempotency-Key: 4\r\nReq-Deadline-Ms: 5\r\n\r\n");
    }
}
