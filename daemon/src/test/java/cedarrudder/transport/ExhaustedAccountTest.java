package cedarrudder.transport;

import static cedarrudder.transport.HttpServerUnderTest.HEALTH;
import static cedarrudder.transport.HttpServerUnderTest.MAX_CLIENTS;
import static cedarrudder.transport.HttpServerUnderTest.read;
import static cedarrudder.transport.HttpServerUnderTest.send;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import cedarrudder.balancer.Await;
import cedarrudder.bodyflow.BodyFlow;
import cedarrudder.bodyflow.BufferAccount;
import java.net.Socket;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Requests of which a part has come when the account of buffers is exhausted. */
public class ExhaustedAccountTest {

    private static final String FIELDS =
            "Host: a\r\nReq-Id: partial\r\nReq-Kind: order\r\nReq-Owner: acme\r\n"
                    + "Req-Deadline-Ms: 900000\r\n";

    private static void exhaust(HttpServerUnderTest service) throws Exception {
        service.on(
                () -> {
                    service.account.add(BufferAccount.MAX);
                    return null;
                });
    }

    private static String withLength(int bytes) {
        String head = "POST /api HTTP/1.1\r\n" + FIELDS + "Content-Length: " + bytes + "\r\n\r\n";
        return head + "x".repeat(bytes);
    }

    private static String chunked(int chunks) {
        String head = "POST /api HTTP/1.1\r\n" + FIELDS + "Transfer-Encoding: chunked\r\n\r\n";
        return head + ("5\r\nxxxxx\r\n").repeat(chunks) + "0\r\n\r\n";
    }

    /** Requests whose heads come in full before the rest. */
    @DataProvider
    public Object[][] requests() {
        return new Object[][] {
            {withLength(1)}, {withLength(1_000)}, {withLength(4 * BodyFlow.WINDOW)}, {chunked(100)}
        };
    }

    /** Guards against dropping what stands behind a request that is refused before its end. */
    @Test(dataProvider = "requests")
    public void aPartialRequestIsRefusedAndThoseBehindItAreAnswered(String request)
            throws Exception {
        try (HttpServerUnderTest service = new HttpServerUnderTest();
                Socket client = service.client()) {
            exhaust(service);
            int partial = request.indexOf("\r\n\r\n") + 4;
            send(client, request.substring(0, partial));
            awaitTurns(service);
            send(client, request.substring(partial) + HEALTH + HEALTH);
            String refusal = read(client);
            assertTrue(refusal.startsWith("HTTP/1.1 503 "), refusal);
            assertFalse(refusal.contains("Connection: close"), refusal);
            assertEquals(read(client).lines().findFirst().orElse("closed"), "HTTP/1.1 200 OK");
            assertEquals(read(client).lines().findFirst().orElse("closed"), "HTTP/1.1 200 OK");
            assertEquals(service.on(service.account::bufferedBytes), BufferAccount.MAX);
            assertTrue(service.requests.isEmpty());
        }
    }

    /** Guards against a client that keeps what it has begun for as long as it likes. */
    @Test
    public void aClientThatStopsWithinARefusedRequestIsDisconnected() throws Exception {
        try (HttpServerUnderTest service = new HttpServerUnderTest();
                Socket client = service.client()) {
            service.on(
                    () -> {
                        service.listener.apply(ClientLimits.DEFAULT, MAX_CLIENTS);
                        return null;
                    });
            exhaust(service);
            String request = withLength(1_000);
            send(client, request.substring(0, request.length() - 1));
            assertEquals(read(client), "");
        }
    }

    /** Waits until the event loop has read what was sent before. */
    private static void awaitTurns(HttpServerUnderTest service) throws Exception {
        try (Socket other = service.client()) {
            send(other, HEALTH);
            Await.until("an answer", () -> read(other).contains(" 200 "));
        }
    }
}
