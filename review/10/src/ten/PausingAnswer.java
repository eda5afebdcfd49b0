package ten;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import kit.Client;
import kit.Discovery;
import kit.Http;
import kit.Kit;
import kit.Node;
import kit.Settings;

/** Long answers without a length, whose nodes pause once across the time of the client. */
public final class PausingAnswer {
    private static final int SIZE = 200_000;
    private static final int FIRST = 30_000;
    private static final int DEADLINE = 1250;
    private static final int BEFORE_FIRST_BYTE_MS = 600;
    private static final int REST_MS = 500;
    private static final int PAUSE_MS = 700;
    private static final int REQUESTS = 8;
    private static final AtomicInteger ENDED = new AtomicInteger();

    /** Requests whose answers have begun to reach their clients with status 200. */
    private static final AtomicInteger SERVED = new AtomicInteger();

    private PausingAnswer() {}

    public static void main(String[] arguments) throws Exception {
        Kit.open(arguments);
        Discovery discovery = new Discovery();
        for (int i = 0; i < 4; i++) {
            Node node = new Node("s-" + i, PausingAnswer::work);
            discovery.set(node.id, node.port, 0, "in_service", 0);
        }
        Kit.Proxy proxy = new Kit.Proxy("p1");
        proxy.configure(Settings.small(), discovery.port, discovery.list(), 192, 1024);
        proxy.start(discovery.port, 0);
        if (!proxy.awaitReady(30)) {
            Kit.finish(false, "the proxy did not get ready");
        }
        Kit.sleep(1000);
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < REQUESTS; i++) {
            clients.add(Kit.go(() -> ask(proxy.port)));
            Kit.sleep(300);
        }
        for (Thread client : clients) {
            client.join();
        }
        Kit.finish(
                ENDED.get() == REQUESTS && (Kit.TROUBLE || SERVED.get() == REQUESTS),
                "requests that ended " + ENDED + ", of which answers began " + SERVED);
    }

    private static void ask(int port) throws IOException {
        String id = Client.newId();
        try (Client client = new Client(port)) {
            client.connect();
            client.socket.setSoTimeout(DEADLINE + 3000);
            double sentAt = Kit.now();
            client.write(Client.request(id, "order", DEADLINE, null, "two loaves"));
            client.in.mark(1);
            int first = client.in.read();
            double begunAt = Kit.now();
            client.in.reset();
            String end;
            boolean whole = false;
            try {
                Http.Answer answer = Http.readAnswer(client.in);
                whole = answer.body.length == SIZE;
                end = "status " + answer.status + ", " + answer.body.length + " bytes";
                if (answer.status == 200) {
                    SERVED.incrementAndGet();
                } else {
                    whole = true; // a final answer, and none of it has been cut off
                }
            } catch (IOException e) {
                end = e.toString();
                SERVED.incrementAndGet();
            }
            ENDED.incrementAndGet();
            String what =
                    "the answer to "
                            + id
                            + " began after "
                            + Math.round(begunAt - sentAt)
                            + " ms and ended after "
                            + Math.round(Kit.now() - sentAt)
                            + " ms: "
                            + (first < 0 ? "no byte" : end);
            if (whole) {
                Kit.note(what);
            } else {
                Kit.breach(what);
            }
        }
    }

    private static void work(Http.Request request, Node.Connection connection) throws Exception {
        Kit.sleep(BEFORE_FIRST_BYTE_MS);
        connection.write("HTTP/1.1 200 OK\r\n\r\n");
        connection.write("x".repeat(FIRST));
        Kit.sleep(Kit.TROUBLE ? REST_MS + PAUSE_MS : REST_MS);
        try {
            for (int given = FIRST; given < SIZE; given += 2_000) {
                connection.write("x".repeat(2_000));
                Kit.sleep(1);
            }
        } catch (IOException e) {
            Kit.note("node: the proxy ended request " + request.id());
            throw e;
        }
        connection.socket.close();
        Kit.note("node: answered " + request.id());
    }
}
