package cedarrudder.protocol;

import static org.testng.Assert.assertEquals;

import cedarrudder.balancer.LoadBalancer.Request;
import cedarrudder.budget.PropagatedBudget;
import io.netty.buffer.Unpooled;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.testng.annotations.Test;

/** The balancer's view of a request's header fields. */
public class RequestHeadersTest {

    private static final long MS = 1_000_000L;

    private static Request read(long waitMillis, long lateness)
            throws IOException, MalformedMessageException {
        JsonObject example = JsonObject.parse(Files.readString(Path.of("example", "config.json")));
        RequestHeaders fields =
                new RequestHeaders(SettingsReader.read(example.child("settings")).module());
        String text =
                "POST /api HTTP/1.1\r\n"
                        + "Host: a\r\n"
                        + "req-id: a\r\n"
                        + "Req-Kind: order\r\n"
                        + "Req-Owner: acme\r\n"
                        + "Req-Retry: 1\r\n"
                        + "Req-Cost: 1500.5\r\n"
                        + "Req-Deadline-Ms: "
                        + waitMillis
                        + "\r\n\r\n";
        HttpMessage message =
                HttpMessage.requestOf(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
        return fields.read(message, 7, 0, lateness, 5000 * MS, PropagatedBudget.NOTHING);
    }

    @Test
    public void headerFieldsAreRead() throws Exception {
        assertEquals(read(1000, 0), new Request(7, 1, 0, 960 * MS, 0, true, true, 1500 * 1000));
    }

    /**
     * The deadline counts from the client's send: a request was lost whose bytes had waited for a
     * late event loop.
     */
    @Test
    public void lateLoopShortensTheDeadline() throws Exception {
        assertEquals(read(1000, 50 * MS).deadline(), 910 * MS);
        assertEquals(read(100, 0).deadline(), 90 * MS);
        assertEquals(read(100, 500 * MS).deadline(), 70 * MS);
    }

    /**
     * After SIGTERM, requests that are still accepted must be answered before SIGKILL may follow.
     */
    @Test
    public void deadlineIsCappedAtTheLatestInstant() throws Exception {
        assertEquals(read(30_000, 0).deadline(), 5000 * MS);
    }
}
